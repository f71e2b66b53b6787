//! How calls to an object API are written and its answers read.

use std::fmt::Debug;
use std::time::Duration;

use awc::http::header::{HeaderMap, HeaderName};
use awc::http::{Method, StatusCode};
use bytes::Bytes;
use dandeliondeal_types::{
    KindChanges, ObjectValue, PutCondition, ReadFreshness, StoreError, Version,
};

/// One call to the object API.
#[derive(Clone, Debug)]
pub enum StoreRequest<'call> {
    /// Reads one object.
    Get {
        /// The object.
        name: &'call str,
    },
    /// Writes one object.
    Put {
        /// The object.
        name: &'call str,
        /// The condition under which it is written.
        condition: PutCondition,
        /// The content.
        body: &'call str,
    },
    /// Deletes one object.
    Delete {
        /// The object.
        name: &'call str,
        /// The version that it must have.
        version: Version,
    },
    /// Lists the objects whose names start with a prefix.
    List {
        /// The prefix.
        prefix: &'call str,
    },
    /// Waits for a change of one object.
    Watch {
        /// The object.
        name: &'call str,
        /// The version that is known.
        seen: Version,
        /// Longest wait.
        limit: Duration,
    },
    /// Lists a page of the objects of a kind.
    KindPage {
        /// The kind.
        kind: &'call str,
        /// Name of the last object of the page before.
        after: Option<&'call str>,
        /// How fresh the page has to be.
        freshness: ReadFreshness,
    },
    /// Waits for changes of a kind.
    KindWatch {
        /// The kind.
        kind: &'call str,
        /// The version of the store from which changes are asked for.
        seen: Version,
        /// Longest wait.
        limit: Duration,
    },
}

impl StoreRequest<'_> {
    /// The object, prefix or kind that the call is about.
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

/// A call as it is sent.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Further headers.
    pub headers: Vec<(HeaderName, String)>,
    /// Body.
    pub body: String,
}

impl HttpCall {
    /// A call without headers or body.
    pub fn bare(method: Method, path: String) -> Self {
        Self {
            method,
            path,
            headers: Vec::new(),
            body: String::new(),
        }
    }
}

/// An answer, read whole.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A page of a kind's list.
#[derive(Clone, Debug, Default)]
pub struct KindPage {
    /// The objects that could be read.
    pub objects: Vec<ObjectValue>,
    /// Name after which the next page starts; `None` on the last page.
    pub next: Option<String>,
    /// Version of the store as of this page.
    pub version: Version,
}

/// How calls to an object API are written and its answers read.
///
/// A dialect holds no state and takes no decision; [`PlatformClient`](crate::PlatformClient) has
/// the budget, the retries and the connections.
pub trait StoreDialect: Clone + Debug + 'static {
    /// Writes a call.
    fn encode(&self, request: &StoreRequest<'_>) -> HttpCall;

    /// Tells what an answer says of a call that did not succeed.
    ///
    /// # Errors
    ///
    /// The error that the status stands for; a missing object is no error here.
    fn check(&self, name: &str, answer: &HttpAnswer) -> Result<(), StoreError>;

    /// Reads one object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// The answer cannot be read.
    fn read_object(
        &self,
        name: &str,
        answer: &HttpAnswer,
    ) -> Result<Option<ObjectValue>, StoreError>;

    /// Reads the version that a write gave its object.
    ///
    /// # Errors
    ///
    /// The answer cannot be read.
    fn read_version(&self, name: &str, answer: &HttpAnswer) -> Result<Version, StoreError>;

    /// Reads the objects of a list by prefix.
    ///
    /// # Errors
    ///
    /// The answer cannot be read.
    fn read_list(&self, prefix: &str, answer: &HttpAnswer) -> Result<Vec<ObjectValue>, StoreError>;

    /// Reads the object out of the answer to [`StoreRequest::Watch`].
    ///
    /// `None` where the answer does not hold it, so that it has to be read by another call.
    fn read_watch(
        &self,
        name: &str,
        answer: &HttpAnswer,
    ) -> Option<Result<Option<ObjectValue>, StoreError>>;

    /// Reads a page of a kind's list.
    ///
    /// # Errors
    ///
    /// The answer cannot be read.
    fn read_page(&self, kind: &str, answer: &HttpAnswer) -> Result<KindPage, StoreError>;

    /// Reads the changes of a kind.
    ///
    /// # Errors
    ///
    /// The answer cannot be read.
    fn read_changes(&self, kind: &str, answer: &HttpAnswer) -> Result<KindChanges, StoreError>;
}

/// Percent-encodes all but unreserved characters and `/`.
pub fn encode_path(name: &str) -> String {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || b"/-._~".contains(&byte) {
            text.push(char::from(byte));
        } else {
            // Writing to a string cannot fail.
            let _ = write!(text, "%{byte:02X}");
        }
    }
    text
}
