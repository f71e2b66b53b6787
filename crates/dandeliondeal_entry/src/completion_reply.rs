//! Completions as callers get them, whole and in chunks.

use std::sync::Arc;

use bytes::Bytes;
use dandeliondeal_types::{Outcome, RequestId, RouteError, RouteId};
use serde::Serialize;

use crate::reply::ErrorReply;

/// Builds the bodies of one completion.
#[derive(Clone, Debug)]
pub struct CompletionReply {
    /// Whether the chat form is used.
    pub chat: bool,
    /// The request.
    pub id: RequestId,
    /// Route as the caller named it.
    pub route: RouteId,
    /// Time of day in seconds since 1970.
    pub created: u64,
}

#[derive(Debug, Serialize)]
struct CompletionObject<'text> {
    id: &'text str,
    object: &'static str,
    created: u64,
    model: &'text str,
    choices: Vec<CompletionChoice<'text>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<TokenUsage>,
}

#[derive(Debug, Serialize)]
struct CompletionChoice<'text> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'text str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<ChatText<'text>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChatText<'text>>,
    finish_reason: Option<&'static str>,
    logprobs: Option<()>,
}

#[derive(Debug, Serialize)]
struct ChatText<'text> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    content: &'text str,
}

/// Token counts of one request.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Both together.
    pub total_tokens: u64,
}

impl TokenUsage {
    /// Counts both together.
    pub fn new(prompt_tokens: u64, completion_tokens: u64) -> Self {
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens + completion_tokens,
        }
    }
}

impl CompletionReply {
    /// The whole answer.
    pub fn whole(&self, text: &str, usage: TokenUsage) -> Vec<u8> {
        let (plain, message) = if self.chat {
            (
                None,
                Some(ChatText {
                    role: Some("assistant"),
                    content: text,
                }),
            )
        } else {
            (Some(text), None)
        };
        let choice = CompletionChoice {
            index: 0,
            text: plain,
            message,
            delta: None,
            finish_reason: Some("length"),
            logprobs: None,
        };
        let object = if self.chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        serde_json::to_vec(&self.object(object, vec![choice], Some(usage))).unwrap_or_default()
    }

    /// One chunk of text; the last one of an answer says why it ends.
    pub fn chunk(&self, text: &str, first: bool, last: bool) -> Bytes {
        let (plain, delta) = if self.chat {
            (
                None,
                Some(ChatText {
                    role: first.then_some("assistant"),
                    content: text,
                }),
            )
        } else {
            (Some(text), None)
        };
        let choice = CompletionChoice {
            index: 0,
            text: plain,
            message: None,
            delta,
            finish_reason: last.then_some("length"),
            logprobs: None,
        };
        event(&self.object(self.chunk_object(), vec![choice], None))
    }

    /// The chunk with the token counts.
    pub fn usage_chunk(&self, usage: TokenUsage) -> Bytes {
        event(&self.object(self.chunk_object(), Vec::new(), Some(usage)))
    }

    /// The end of a whole answer. The comment line tells the outcome, which the headers could not.
    pub fn done() -> Bytes {
        Bytes::from(format!(
            ": dandeliondeal-outcome {}\n\ndata: [DONE]\n\n",
            Outcome::Answered
        ))
    }

    /// The end of an answer that broke off; `[DONE]` does not follow.
    pub fn failed(error: &RouteError) -> Bytes {
        let comment = format!(": dandeliondeal-outcome {}\n\n", error.outcome());
        let mut end = comment.into_bytes();
        end.extend_from_slice(&event(&ErrorReply::new(error)));
        Bytes::from(end)
    }

    fn chunk_object(&self) -> &'static str {
        if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        }
    }

    fn object<'text>(
        &'text self,
        object: &'static str,
        choices: Vec<CompletionChoice<'text>>,
        usage: Option<TokenUsage>,
    ) -> CompletionObject<'text> {
        CompletionObject {
            id: &self.id,
            object,
            created: self.created,
            model: &self.route,
            choices,
            usage,
        }
    }
}

fn event<Body>(body: &Body) -> Bytes
where
    Body: Serialize,
{
    let text = serde_json::to_string(body).unwrap_or_default();
    Bytes::from(format!("data: {text}\n\n"))
}

/// The list of models, as OpenAI clients expect it.
#[derive(Debug, Serialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: &'static str,
    /// One entry a route.
    pub data: Vec<ModelLine>,
}

/// One route in the list of models.
#[derive(Debug, Serialize)]
pub struct ModelLine {
    /// Route that callers name as `model`.
    pub id: RouteId,
    /// Always `model`.
    pub object: &'static str,
    /// Time of creation, which is not kept.
    pub created: u64,
    /// Who runs the model.
    pub owned_by: Arc<str>,
}
