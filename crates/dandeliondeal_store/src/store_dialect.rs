//! Encoding of calls to an object API, and decoding of its answers.

use std::fmt::Debug;
use std::time::Duration;

use awc::http::header::{HeaderMap, HeaderName};
use awc::http::{Method, StatusCode};
use bytes::Bytes;
use dandeliondeal_types::{
    KindChanges, ObjectValue, PutCondition, ReadFreshness, StoreEra, StoreError, StoreVersion,
};

/// Call to the object API, independent of its encoding.
#[derive(Clone, Debug)]
pub enum StoreRequest<'call> {
    /// Reads one object.
    Get {
        /// Name of the object.
        name: &'call str,
    },
    /// Writes one object.
    Put {
        /// Name of the object.
        name: &'call str,
        /// Condition of the write.
        condition: PutCondition,
        /// Content of the object.
        body: &'call str,
    },
    /// Deletes one object.
    Delete {
        /// Name of the object.
        name: &'call str,
        /// Version that the object must have.
        version: StoreVersion,
    },
    /// Lists the objects whose names start with a prefix.
    List {
        /// Prefix of the object names.
        prefix: &'call str,
    },
    /// Waits for a change to one object.
    Watch {
        /// Name of the object.
        name: &'call str,
        /// Version that the caller already has.
        known_version: StoreVersion,
        /// Maximum time to wait.
        timeout: Duration,
    },
    /// Lists one page of the objects of a kind.
    KindPage {
        /// Name of the kind.
        kind: &'call str,
        /// Name of the last object of the previous page; `None` for the first page.
        after: Option<&'call str>,
        /// Required freshness of the page.
        freshness: ReadFreshness,
    },
    /// Waits for changes to the objects of a kind.
    KindWatch {
        /// Name of the kind.
        kind: &'call str,
        /// Version of the store after which changes are returned.
        since: StoreVersion,
        /// Maximum time to wait.
        timeout: Duration,
    },
}

impl StoreRequest<'_> {
    /// Returns the object name, prefix or kind that the call refers to.
    pub fn name(&self) -> &str {
        match self {
            Self::Get { name }
            | Self::Put { name, .. }
            | Self::Delete { name, .. }
            | Self::Watch { name, .. } => name,
            Self::List { prefix } => prefix,
            Self::KindPage { kind, .. } | Self::KindWatch { kind, .. } => kind,
        }
    }
}

/// Encoded call, as sent over HTTP.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query string.
    pub path: String,
    /// Additional headers.
    pub headers: Vec<(HeaderName, String)>,
    /// Request body.
    pub body: String,
}

impl HttpCall {
    /// Creates a call without headers or body.
    pub fn without_body(method: Method, path: String) -> Self {
        Self {
            method,
            path,
            headers: Vec::new(),
            body: String::new(),
        }
    }
}

/// Complete HTTP answer.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// HTTP status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
    /// Era of the store's content; the last one that the store stated if this answer states none.
    pub era: StoreEra,
}

/// Page of the list of a kind's objects.
#[derive(Clone, Debug, Default)]
pub struct KindPage {
    /// Objects of the page that could be decoded.
    pub objects: Vec<ObjectValue>,
    /// Name after which the next page starts; `None` if this is the last page.
    pub next: Option<String>,
    /// Version of the store that the page was read at.
    pub version: StoreVersion,
}

/// Encoder of calls to an object API and decoder of its answers.
///
/// A dialect has no state and makes no decisions. [`PlatformClient`](crate::PlatformClient)
/// manages the budget, the retries and the connections.
pub trait StoreDialect: Clone + Debug + 'static {
    /// Encodes a call.
    fn encode(&self, request: &StoreRequest<'_>) -> HttpCall;

    /// Decodes the era that an answer states.
    ///
    /// Returns `None` if it states none, or none that can be decoded.
    fn read_era(&self, _headers: &HeaderMap) -> Option<StoreEra> {
        None
    }

    /// Checks whether the status of an answer indicates a failed call.
    ///
    /// # Errors
    ///
    /// Returns the error that corresponds to the status. A missing object is not an error here.
    fn check(&self, name: &str, answer: &HttpAnswer) -> Result<(), StoreError>;

    /// Decodes one object; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer cannot be decoded.
    fn read_object(
        &self,
        name: &str,
        answer: &HttpAnswer,
    ) -> Result<Option<ObjectValue>, StoreError>;

    /// Decodes the version that a write created.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer cannot be decoded.
    fn read_version(&self, name: &str, answer: &HttpAnswer) -> Result<StoreVersion, StoreError>;

    /// Decodes the objects of a list by prefix.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer cannot be decoded.
    fn read_list(&self, prefix: &str, answer: &HttpAnswer) -> Result<Vec<ObjectValue>, StoreError>;

    /// Decodes the object in the answer to [`StoreRequest::Watch`].
    ///
    /// Returns `None` if the answer does not contain the object, which then has to be read by
    /// another call.
    fn read_watch(
        &self,
        name: &str,
        answer: &HttpAnswer,
    ) -> Option<Result<Option<ObjectValue>, StoreError>>;

    /// Decodes a page of the list of a kind's objects.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer cannot be decoded.
    fn read_page(&self, kind: &str, answer: &HttpAnswer) -> Result<KindPage, StoreError>;

    /// Decodes the changes to the objects of a kind.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer cannot be decoded.
    fn read_changes(&self, kind: &str, answer: &HttpAnswer) -> Result<KindChanges, StoreError>;
}

/// Percent-encodes a path, except for unreserved characters and `/`.
pub fn encode_path(name: &str) -> String {
    use std::fmt::Write as _;
    let mut encoded = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || b"/-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a string cannot fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}
