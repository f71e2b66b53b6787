//! Completion replies to callers, in full or in chunks.

use std::sync::Arc;

use bytes::Bytes;
use dandeliondeal_types::{Outcome, RequestId, RouteError, RouteId};
use serde::Serialize;

use crate::reply::ErrorReply;

/// Builds the reply bodies of one completion.
#[derive(Clone, Debug)]
pub struct CompletionReply {
    /// Whether the chat format is used.
    pub chat: bool,
    /// Id of the request.
    pub id: RequestId,
    /// Route that the caller named as `model`.
    pub route: RouteId,
    /// Unix time of creation in seconds.
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
    message: Option<ChatContent<'text>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChatContent<'text>>,
    finish_reason: Option<&'static str>,
    logprobs: Option<()>,
}

#[derive(Debug, Serialize)]
struct ChatContent<'text> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    content: &'text str,
}

/// Token counts of one request.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct TokenUsage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub completion_tokens: u64,
    /// Sum of both.
    pub total_tokens: u64,
}

impl TokenUsage {
    /// Creates the counts with their sum.
    pub fn new(prompt_tokens: u64, completion_tokens: u64) -> Self {
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens + completion_tokens,
        }
    }
}

impl CompletionReply {
    /// Returns the body of the full answer.
    pub fn full_body(&self, text: &str, usage: TokenUsage) -> Vec<u8> {
        let (choice_text, message) = if self.chat {
            (
                None,
                Some(ChatContent {
                    role: Some("assistant"),
                    content: text,
                }),
            )
        } else {
            (Some(text), None)
        };
        let choice = CompletionChoice {
            index: 0,
            text: choice_text,
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
        serde_json::to_vec(&self.completion_object(object, vec![choice], Some(usage)))
            .unwrap_or_default()
    }

    /// Returns the event for one chunk of text; the last one contains the finish reason.
    pub fn chunk(&self, text: &str, is_first: bool, is_last: bool) -> Bytes {
        let (choice_text, delta) = if self.chat {
            (
                None,
                Some(ChatContent {
                    role: is_first.then_some("assistant"),
                    content: text,
                }),
            )
        } else {
            (Some(text), None)
        };
        let choice = CompletionChoice {
            index: 0,
            text: choice_text,
            message: None,
            delta,
            finish_reason: is_last.then_some("length"),
            logprobs: None,
        };
        event(&self.completion_object(self.chunk_object(), vec![choice], None))
    }

    /// Returns the event with the token counts.
    pub fn usage_chunk(&self, usage: TokenUsage) -> Bytes {
        event(&self.completion_object(self.chunk_object(), Vec::new(), Some(usage)))
    }

    /// Returns the end of a complete stream.
    ///
    /// The comment line contains the outcome, which was unknown when the headers were sent.
    pub fn end_of_stream() -> Bytes {
        Bytes::from(format!(
            ": dandeliondeal-outcome {}\n\ndata: [DONE]\n\n",
            Outcome::Answered
        ))
    }

    /// Returns the end of an interrupted stream: the outcome and the error, without `[DONE]`.
    pub fn error_event(error: &RouteError) -> Bytes {
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

    fn completion_object<'text>(
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

/// List of models in the format that OpenAI clients expect.
#[derive(Debug, Serialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: &'static str,
    /// One entry per route.
    pub data: Vec<ModelEntry>,
}

/// One route in the list of models.
#[derive(Debug, Serialize)]
pub struct ModelEntry {
    /// Route that callers name as `model`.
    pub id: RouteId,
    /// Always `model`.
    pub object: &'static str,
    /// Unix time of creation in seconds; always 0, since it is not stored.
    pub created: u64,
    /// Owner of the model.
    pub owned_by: Arc<str>,
}
