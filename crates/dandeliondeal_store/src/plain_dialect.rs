//! Dialect of the stand-in platform servers: versions in entity tags, object names without kinds.

use awc::http::{Method, StatusCode, header};
use dandeliondeal_types::{KindChanges, ObjectValue, PutCondition, StoreError, StoreVersion};
use serde::de::DeserializeOwned;

use crate::object_record::ObjectRecord;
use crate::store_dialect::{
    HttpAnswer, HttpCall, KindPage, StoreDialect, StoreRequest, encode_path,
};

/// Dialect of the object API that is specified in docs/PROTOCOLS.md and served by the stand-ins.
///
/// This API does not support kinds.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainDialect;

impl StoreDialect for PlainDialect {
    fn encode(&self, request: &StoreRequest<'_>) -> HttpCall {
        match request {
            StoreRequest::Get { name } => HttpCall::without_body(Method::GET, object_path(name)),
            StoreRequest::Put {
                name,
                condition,
                body,
            } => HttpCall {
                headers: vec![match condition {
                    PutCondition::Absent => (header::IF_NONE_MATCH, "*".to_owned()),
                    PutCondition::Version(version) => (header::IF_MATCH, entity_tag(*version)),
                }],
                body: (*body).to_owned(),
                ..HttpCall::without_body(Method::PUT, object_path(name))
            },
            StoreRequest::Delete { name, version } => HttpCall {
                headers: vec![(header::IF_MATCH, entity_tag(*version))],
                ..HttpCall::without_body(Method::DELETE, object_path(name))
            },
            StoreRequest::List { prefix } => {
                let path = format!("/objects?prefix={}", encode_path(prefix));
                HttpCall::without_body(Method::GET, path)
            }
            StoreRequest::Watch {
                name,
                known_version,
                timeout,
            } => {
                let timeout_ms = timeout.as_millis();
                let revision = known_version.revision;
                let path = format!(
                    "{}?watch={revision}&limit_ms={timeout_ms}",
                    object_path(name)
                );
                HttpCall::without_body(Method::GET, path)
            }
            StoreRequest::KindPage { kind, .. } | StoreRequest::KindWatch { kind, .. } => {
                HttpCall::without_body(Method::GET, object_path(kind))
            }
        }
    }

    fn check(&self, name: &str, answer: &HttpAnswer) -> Result<(), StoreError> {
        match answer.status {
            StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::PAYLOAD_TOO_LARGE
            | StatusCode::PRECONDITION_REQUIRED
            | StatusCode::BAD_REQUEST => Err(StoreError::unavailable(name, &answer.status)),
            StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict {
                name: name.into(),
                found: entity_version(answer),
            }),
            status if status.is_server_error() => Err(StoreError::response_lost(name, &status)),
            _ => Ok(()),
        }
    }

    fn read_object(
        &self,
        name: &str,
        answer: &HttpAnswer,
    ) -> Result<Option<ObjectValue>, StoreError> {
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let text = std::str::from_utf8(&answer.body)
            .map_err(|error| StoreError::response_lost(name, &error))?;
        Ok(Some(ObjectValue {
            name: name.into(),
            version: self.read_version(name, answer)?,
            body: text.into(),
        }))
    }

    fn read_version(&self, name: &str, answer: &HttpAnswer) -> Result<StoreVersion, StoreError> {
        match entity_version(answer) {
            Some(version) if answer.status.is_success() => Ok(version),
            _ => Err(unexpected_answer(name, answer)),
        }
    }

    fn read_list(&self, prefix: &str, answer: &HttpAnswer) -> Result<Vec<ObjectValue>, StoreError> {
        let records: Vec<ObjectRecord> = parse(prefix, answer)?;
        Ok(records.into_iter().map(ObjectRecord::into_value).collect())
    }

    fn read_watch(
        &self,
        name: &str,
        answer: &HttpAnswer,
    ) -> Option<Result<Option<ObjectValue>, StoreError>> {
        let is_changed = answer.status != StatusCode::NOT_MODIFIED;
        is_changed.then(|| self.read_object(name, answer))
    }

    fn read_page(&self, kind: &str, _answer: &HttpAnswer) -> Result<KindPage, StoreError> {
        Err(kinds_unsupported(kind))
    }

    fn read_changes(&self, kind: &str, _answer: &HttpAnswer) -> Result<KindChanges, StoreError> {
        Err(kinds_unsupported(kind))
    }
}

/// Parses a JSON answer.
///
/// # Errors
///
/// Returns an error if the status is not a success or the body cannot be parsed.
pub(crate) fn parse<Parsed>(name: &str, answer: &HttpAnswer) -> Result<Parsed, StoreError>
where
    Parsed: DeserializeOwned,
{
    if !answer.status.is_success() {
        return Err(StoreError::unavailable(name, &answer.status));
    }
    serde_json::from_slice(&answer.body).map_err(|error| StoreError::response_lost(name, &error))
}

fn object_path(name: &str) -> String {
    format!("/objects/{}", encode_path(name))
}

fn entity_tag(version: StoreVersion) -> String {
    format!("\"{}\"", version.revision)
}

fn entity_version(answer: &HttpAnswer) -> Option<StoreVersion> {
    let entity_tag = answer.headers.get(header::ETAG)?.to_str().ok()?;
    let revision: u64 = entity_tag.trim_matches('"').parse().ok()?;
    Some(revision.into())
}

fn unexpected_answer(name: &str, answer: &HttpAnswer) -> StoreError {
    StoreError::response_lost(name, &format!("unexpected answer {}", answer.status))
}

fn kinds_unsupported(kind: &str) -> StoreError {
    StoreError::unavailable(kind, "this object API does not support kinds")
}
