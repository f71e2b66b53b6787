//! Parses and validates the completion requests of callers.

use std::sync::Arc;

use dandeliondeal_types::{RouteError, RouteId};
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::{Map, Value, json};

/// Tokens to generate if the caller sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 16;
/// Fields that an error can name as having the wrong type.
const CHECKED_FIELDS: [&str; 11] = [
    "model",
    "prompt",
    "messages",
    "max_tokens",
    "max_completion_tokens",
    "stream",
    "stream_options",
    "n",
    "best_of",
    "logprobs",
    "echo",
];

/// A text or chat completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Whether the chat format is used.
    pub chat: bool,
    /// Route that the caller names as `model`.
    pub route: RouteId,
    /// Prompt as one text.
    pub prompt: Arc<str>,
    /// Number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the answer is streamed as events.
    pub stream: bool,
    /// Whether the stream ends with the token counts.
    pub include_usage: bool,
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: Option<RouteId>,
    prompt: Option<PromptBody>,
    messages: Option<Vec<ChatMessage>>,
    max_tokens: Option<i64>,
    max_completion_tokens: Option<i64>,
    #[serde(default)]
    stream: bool,
    stream_options: Option<StreamOptions>,
    n: Option<i64>,
    best_of: Option<i64>,
    stop: Option<IgnoredAny>,
    suffix: Option<IgnoredAny>,
    tools: Option<IgnoredAny>,
    logprobs: Option<LogprobsBody>,
    response_format: Option<IgnoredAny>,
    #[serde(default)]
    echo: bool,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum LogprobsBody {
    Chosen(bool),
    Count(#[expect(dead_code, reason = "any count is rejected")] i64),
}

#[derive(Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum PromptBody {
    Text(Arc<str>),
    Texts(Vec<Arc<str>>),
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: Arc<str>,
    content: ChatContent,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum ChatContent {
    Text(Arc<str>),
    Parts(Vec<ChatPart>),
}

#[derive(Debug, Deserialize)]
struct ChatPart {
    text: Option<Arc<str>>,
}

impl CompletionRequest {
    /// Parses and validates a body, in the chat format if `chat` is true.
    ///
    /// # Errors
    ///
    /// Returns an error with the name of the invalid field.
    pub fn parse(body: &[u8], chat: bool) -> Result<Self, RouteError> {
        let text = std::str::from_utf8(body).map_err(|error| {
            RouteError::invalid_input("body", format!("body is not UTF-8: {error}"))
        })?;
        let body: CompletionBody = serde_json::from_str(text).map_err(|error| {
            let message = format!("body is not the expected JSON: {error}");
            RouteError::invalid_input(invalid_field(text), message)
        })?;
        reject_unsupported(&body)?;
        let max_tokens = token_count(&body)?;
        let route = body
            .model
            .filter(|route| !route.is_empty())
            .ok_or_else(|| RouteError::invalid_input("model", "`model` is missing"))?;
        let prompt = if chat {
            chat_prompt(body.messages)?
        } else {
            completion_prompt(body.prompt)?
        };
        Ok(Self {
            chat,
            route,
            prompt,
            max_tokens,
            stream: body.stream,
            include_usage: body.stream_options.unwrap_or_default().include_usage,
        })
    }
}

/// Returns the first field that cannot be parsed; `body` if there is none.
fn invalid_field(text: &str) -> &'static str {
    let Ok(fields) = serde_json::from_str::<Map<String, Value>>(text) else {
        return "body";
    };
    let is_invalid = |name: &str| {
        fields.get(name).is_some_and(|value| {
            let single_field = json!({ name: value });
            serde_json::from_value::<CompletionBody>(single_field).is_err()
        })
    };
    CHECKED_FIELDS
        .into_iter()
        .find(|name| is_invalid(name))
        .unwrap_or("body")
}

fn reject_unsupported(body: &CompletionBody) -> Result<(), RouteError> {
    let is_not_one = |count: Option<i64>| count.is_some_and(|count| count != 1);
    let fields = [
        ("n", is_not_one(body.n)),
        ("best_of", is_not_one(body.best_of)),
        ("stop", body.stop.is_some()),
        ("suffix", body.suffix.is_some()),
        ("tools", body.tools.is_some()),
        (
            "logprobs",
            !matches!(body.logprobs, None | Some(LogprobsBody::Chosen(false))),
        ),
        ("response_format", body.response_format.is_some()),
        ("echo", body.echo),
    ];
    match fields.iter().find(|(_, is_present)| *is_present) {
        None => Ok(()),
        Some((field, _)) => Err(RouteError::invalid_input(
            field,
            format!("`{field}` is not supported"),
        )),
    }
}

fn token_count(body: &CompletionBody) -> Result<u32, RouteError> {
    let (field, count) = match (body.max_completion_tokens, body.max_tokens) {
        (Some(count), _) => ("max_completion_tokens", count),
        (None, Some(count)) => ("max_tokens", count),
        (None, None) => return Ok(DEFAULT_MAX_TOKENS),
    };
    u32::try_from(count)
        .ok()
        .filter(|count| *count > 0)
        .ok_or_else(|| {
            RouteError::invalid_input(field, format!("`{field}` is {count}; expected 1 or more"))
        })
}

fn completion_prompt(prompt: Option<PromptBody>) -> Result<Arc<str>, RouteError> {
    let text = match prompt {
        Some(PromptBody::Text(text)) => text,
        Some(PromptBody::Texts(texts)) if texts.len() == 1 => Arc::clone(&texts[0]),
        Some(PromptBody::Texts(_)) => {
            return Err(RouteError::invalid_input(
                "prompt",
                "`prompt` must hold one text",
            ));
        }
        None => return Err(RouteError::invalid_input("prompt", "`prompt` is missing")),
    };
    if text.is_empty() {
        return Err(RouteError::invalid_input("prompt", "`prompt` is empty"));
    }
    Ok(text)
}

fn chat_prompt(messages: Option<Vec<ChatMessage>>) -> Result<Arc<str>, RouteError> {
    let messages = messages
        .filter(|messages| !messages.is_empty())
        .ok_or_else(|| RouteError::invalid_input("messages", "`messages` is missing or empty"))?;
    let mut prompt = String::new();
    for message in &messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        match &message.content {
            ChatContent::Text(text) => prompt.push_str(text),
            ChatContent::Parts(parts) => {
                for part in parts {
                    let text = part.text.as_ref().ok_or_else(|| {
                        RouteError::invalid_input(
                            "messages",
                            "`messages` may hold parts of text only",
                        )
                    })?;
                    prompt.push_str(text);
                }
            }
        }
        prompt.push('\n');
    }
    Ok(prompt.into())
}
