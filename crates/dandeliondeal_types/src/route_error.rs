//! The error of a request, with the step and the peer at which it occurred.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};

use crate::Outcome;

/// The stage of request processing at which an error occurred.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum RequestStep {
    /// Parsing and validating the caller's input.
    #[display("input")]
    Input,
    /// Waiting for capacity, or for limits to allow the request.
    #[display("admission")]
    Admission,
    /// Selecting the endpoints.
    #[display("planning")]
    Planning,
    /// Writing the claim of a non-repeatable request.
    #[display("claim")]
    Claim,
    /// Sending the request to a plain service.
    #[display("dispatch")]
    Dispatch,
    /// Running the prompt through the layers (prefill).
    #[display("first-step")]
    FirstStep,
    /// Running one further token through the layers.
    #[display("decode")]
    Decode,
    /// Continuing after a failure.
    #[display("recovery")]
    Recovery,
    /// Communicating with the platform.
    #[display("platform")]
    Platform,
    /// Activating a revision of the configuration sheet.
    #[display("configuration")]
    Configuration,
    /// Exchanging messages with another instance.
    #[display("membership")]
    Membership,
    /// Sending an order to an endpoint.
    #[display("order")]
    Order,
}

/// Category of an error, as needed by callers and retry decisions.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum ErrorKind {
    /// The input is invalid; the message names the field.
    #[display("invalid input")]
    InvalidInput,
    /// The API key is missing or unknown.
    #[display("unauthorised")]
    Unauthorised,
    /// The named object does not exist.
    #[display("not found")]
    NotFound,
    /// The idempotency key was already used for a different request.
    #[display("key reused")]
    KeyReused,
    /// A limit of the organisation is reached.
    #[display("limited")]
    Limited,
    /// The system currently has no capacity for the request.
    #[display("overloaded")]
    Overloaded,
    /// No connection was made, so nothing was written.
    #[display("refused")]
    Refused,
    /// The peer did not respond in time, or the connection broke after the first byte was written.
    #[display("no answer")]
    NoAnswer,
    /// The peer's response violates the protocol.
    #[display("bad answer")]
    BadAnswer,
    /// The peer no longer has the requested object, such as a session.
    #[display("gone")]
    Gone,
    /// The peer is leaving and accepts no new work.
    #[display("leaving")]
    Leaving,
    /// The deadline passed.
    #[display("deadline")]
    Deadline,
    /// The platform cannot be reached or does not respond.
    #[display("platform unavailable")]
    PlatformUnavailable,
    /// The caller disconnected.
    #[display("caller left")]
    CallerLeft,
}

/// An error with the step and the peer at which it occurred.
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
    /// Creates an error that occurred at this instance; [`RouteError::at`] sets another peer.
    ///
    /// The outcome is [`Outcome::NotRun`] for kinds that occur before anything was written, and
    /// [`Outcome::InDoubt`] for all others.
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

    /// Creates an error for an invalid `field` in the caller's input.
    pub fn invalid_input<Text>(field: &'static str, message: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        Self::new(ErrorKind::InvalidInput, RequestStep::Input, message)
            .at("caller")
            .field(field)
    }

    /// Creates an error for a `field` that names an object that does not exist.
    pub fn not_found<Text>(field: &'static str, message: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        Self::new(ErrorKind::NotFound, RequestStep::Input, message).field(field)
    }

    /// Sets the peer at which the error occurred.
    #[must_use]
    pub fn at<Text>(mut self, peer: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        self.peer = peer.into();
        self
    }

    /// Sets the invalid input field.
    #[must_use]
    pub fn field<Text>(mut self, field: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        self.field = Some(field.into());
        self
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Sets the outcome, if evidence shows another outcome than the kind implies.
    #[must_use]
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Returns the category of the error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the stage of request processing at which the error occurred.
    pub fn step(&self) -> RequestStep {
        self.step
    }

    /// Returns the peer at which the error occurred.
    pub fn peer(&self) -> &Arc<str> {
        &self.peer
    }

    /// Returns the message without step and peer.
    pub fn message(&self) -> &Arc<str> {
        &self.message
    }

    /// Returns the invalid input field, if the error concerns one.
    pub fn input_field(&self) -> Option<&Arc<str>> {
        self.field.as_ref()
    }

    /// Returns the time after which the caller may retry, if it is known.
    pub fn retry_delay(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Returns the outcome of a request that fails with this error.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns whether nothing ran, so that another endpoint may be tried.
    pub fn is_not_run(&self) -> bool {
        self.outcome == Outcome::NotRun
    }
}
