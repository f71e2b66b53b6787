//! The error of a request, with the step and the peer at which it arose.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};

use crate::Outcome;

/// The part of a request's way at which something happened.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum RequestStep {
    /// Reading and checking the caller's input.
    #[display("input")]
    Input,
    /// Waiting for capacity and limits.
    #[display("admission")]
    Admission,
    /// Choosing the endpoints.
    #[display("planning")]
    Planning,
    /// Writing the claim of a non-repeatable request.
    #[display("claim")]
    Claim,
    /// Sending the request to a plain service.
    #[display("dispatch")]
    Dispatch,
    /// Running the prompt through the layers.
    #[display("first-step")]
    FirstStep,
    /// Running one more token through the layers.
    #[display("decode")]
    Decode,
    /// Continuing after a failure.
    #[display("recovery")]
    Recovery,
    /// Talking to the platform.
    #[display("platform")]
    Platform,
    /// Putting a revision of the sheet in force.
    #[display("configuration")]
    Configuration,
    /// Exchanging messages with another instance.
    #[display("membership")]
    Membership,
    /// Sending an order to an endpoint.
    #[display("order")]
    Order,
}

/// What went wrong, as far as a caller or a retry has to tell cases apart.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum ErrorKind {
    /// The input is wrong; the message names the field.
    #[display("invalid input")]
    InvalidInput,
    /// The key is missing or unknown.
    #[display("unauthorised")]
    Unauthorised,
    /// The named thing does not exist.
    #[display("not found")]
    NotFound,
    /// The same idempotency key came with another request.
    #[display("key reused")]
    KeyReused,
    /// A limit of the organisation is reached.
    #[display("limited")]
    Limited,
    /// The system has no capacity for the request now.
    #[display("overloaded")]
    Overloaded,
    /// No connection was made, so nothing was written.
    #[display("refused")]
    Refused,
    /// The peer did not answer in time or the connection broke after the first byte.
    #[display("no answer")]
    NoAnswer,
    /// The peer answered something that the protocol does not allow.
    #[display("bad answer")]
    BadAnswer,
    /// The peer no longer has what was asked for, such as a session.
    #[display("gone")]
    Gone,
    /// The peer is leaving and takes no new work.
    #[display("leaving")]
    Leaving,
    /// The deadline passed.
    #[display("deadline")]
    Deadline,
    /// The platform cannot be reached or does not answer.
    #[display("platform unavailable")]
    PlatformUnavailable,
    /// The caller went away.
    #[display("caller left")]
    CallerLeft,
}

/// An error with the step and the peer at which it arose.
///
/// # Examples
///
/// ```
/// use dandeliondeal_types::{ErrorKind, RequestStep, RouteError};
///
/// let error = RouteError::new(ErrorKind::NoAnswer, RequestStep::Decode, "no answer for 120 ms")
///     .at("engine-3");
/// assert_eq!(error.to_string(), "decode at engine-3: no answer for 120 ms");
/// ```
#[derive(Clone, Debug, Display, Error)]
#[display("{step} at {peer}: {message}")]
pub struct RouteError {
    kind: ErrorKind,
    step: RequestStep,
    peer: Arc<str>,
    message: Arc<str>,
    field: Option<Arc<str>>,
    retry_after: Option<Duration>,
    outcome: Outcome,
}

impl RouteError {
    /// Makes an error of this instance; [`RouteError::at`] names another peer.
    ///
    /// The outcome is [`Outcome::NotRun`] for the kinds that arise before anything was written and
    /// [`Outcome::InDoubt`] for the others.
    pub fn new<Text>(kind: ErrorKind, step: RequestStep, message: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        let outcome = match kind {
            ErrorKind::NoAnswer
            | ErrorKind::BadAnswer
            | ErrorKind::Gone
            | ErrorKind::Deadline
            | ErrorKind::CallerLeft => Outcome::InDoubt,
            _ => Outcome::NotRun,
        };
        Self {
            kind,
            step,
            peer: "this instance".into(),
            message: message.into(),
            field: None,
            retry_after: None,
            outcome,
        }
    }

    /// The caller's input is wrong in `field`.
    pub fn invalid_input<Text>(field: &'static str, message: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        Self::new(ErrorKind::InvalidInput, RequestStep::Input, message)
            .at("caller")
            .field(field)
    }

    /// What the caller names in `field` does not exist.
    pub fn not_found<Text>(field: &'static str, message: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        Self::new(ErrorKind::NotFound, RequestStep::Input, message).field(field)
    }

    /// Names the peer at which the error arose.
    #[must_use]
    pub fn at<Text>(mut self, peer: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        self.peer = peer.into();
        self
    }

    /// Names the input field that is wrong.
    #[must_use]
    pub fn field<Text>(mut self, field: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        self.field = Some(field.into());
        self
    }

    /// Tells when to come back.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// States the outcome, where proof differs from what the kind implies.
    #[must_use]
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// What went wrong.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Where on the request's way it went wrong.
    pub fn step(&self) -> RequestStep {
        self.step
    }

    /// The peer at which it went wrong.
    pub fn peer(&self) -> &Arc<str> {
        &self.peer
    }

    /// The message without step and peer.
    pub fn message(&self) -> &Arc<str> {
        &self.message
    }

    /// The input field that is wrong, if one is.
    pub fn input_field(&self) -> Option<&Arc<str>> {
        self.field.as_ref()
    }

    /// When to come back, if that is known.
    pub fn wait(&self) -> Option<Duration> {
        self.retry_after
    }

    /// The outcome of the request that meets this error.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Whether nothing ran, so that another endpoint may be tried.
    pub fn is_not_run(&self) -> bool {
        self.outcome == Outcome::NotRun
    }
}
