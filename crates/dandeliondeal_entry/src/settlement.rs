//! Settlement: asks plain services whether a request ran, and if not, prevents it from running.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::Method;
use dandeliondeal_claim::{ClaimAnswer, OutcomeRecord, ShardIndex};
use dandeliondeal_types::{
    Clock, EndpointId, ErrorKind, Outcome, RequestId, RequestStep, RouteError,
};
use serde::Deserialize;

use crate::entry_context::EntryContext;
use crate::http_pool::call_failure;

/// Maximum wait for one answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after the first round of calls; doubles after each round.
const INITIAL_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between two rounds of calls.
const MAX_DELAY: Duration = Duration::from_secs(5);
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A request whose outcome has to be settled.
#[derive(Clone, Debug)]
pub struct SettlementTarget {
    /// Id of the request.
    pub request: RequestId,
    /// All endpoints that the request may have been sent to.
    pub candidates: Vec<EndpointId>,
    /// Shard of its claim, if it has a claim.
    pub shard: Option<ShardIndex>,
    /// Time at which settlement is abandoned.
    pub deadline: Instant,
}

/// Answer of a service about a request.
#[derive(Clone, Debug, Deserialize)]
pub struct Settlement {
    /// Whether the request ran; if not, it never will.
    pub ran: bool,
    /// HTTP status of the original answer.
    #[serde(default)]
    pub status: Option<u16>,
    /// Body of the original answer.
    #[serde(default)]
    pub body: Option<Arc<str>>,
}

/// Asks all endpoints that may have run a request until each has answered or the deadline passes.
///
/// The request is settled as answered if one endpoint ran it, and as not run only if all endpoints
/// refuse it permanently. The outcome is recorded with the claim.
pub async fn settle<ClockSource>(
    context: &EntryContext<ClockSource>,
    target: &SettlementTarget,
) -> Option<Settlement>
where
    ClockSource: Clock,
{
    let mut pending = target.candidates.clone();
    if pending.is_empty() {
        return None;
    }
    let mut delay = INITIAL_DELAY;
    loop {
        let mut unanswered = Vec::new();
        for endpoint in pending {
            match request_settlement(context, &target.request, &endpoint).await {
                Ok(settlement) if settlement.ran => {
                    record_settlement(context, target, &settlement).await;
                    return Some(settlement);
                }
                Ok(_refused) => {}
                Err(_error) => unanswered.push(endpoint),
            }
        }
        pending = unanswered;
        if pending.is_empty() {
            let settlement = Settlement {
                ran: false,
                status: None,
                body: None,
            };
            record_settlement(context, target, &settlement).await;
            return Some(settlement);
        }
        if context.clock().now() + delay >= target.deadline {
            return None;
        }
        actix_rt::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_DELAY);
    }
}

async fn record_settlement<ClockSource>(
    context: &EntryContext<ClockSource>,
    target: &SettlementTarget,
    settlement: &Settlement,
) where
    ClockSource: Clock,
{
    let Some(shard) = target.shard else {
        return;
    };
    let limit = context.claims().settings().answer_bytes;
    let outcome = if settlement.ran {
        Outcome::Answered
    } else {
        Outcome::NotRun
    };
    let answer = settlement.ran.then(|| {
        ClaimAnswer {
            status: settlement.status.unwrap_or(200),
            content_type: "application/json".into(),
            body: settlement.body.clone(),
        }
        .with_body_limit(limit)
    });
    let record = OutcomeRecord {
        request: Arc::clone(&target.request),
        outcome,
        answer,
    };
    let claims = context.claims();
    claims.record_and_wait(shard, record, target.deadline).await;
}

/// Asks one endpoint to settle a request, over a new connection.
async fn request_settlement<ClockSource>(
    context: &EntryContext<ClockSource>,
    request: &RequestId,
    endpoint: &EndpointId,
) -> Result<Settlement, RouteError>
where
    ClockSource: Clock,
{
    let settlement_error = |kind: ErrorKind, message: String| {
        RouteError::new(kind, RequestStep::Recovery, message).at(Arc::clone(endpoint))
    };
    let table = context.table().current();
    let endpoint_entry = table.sheet.endpoints.get(endpoint).ok_or_else(|| {
        settlement_error(
            ErrorKind::NotFound,
            "the endpoint is no longer in the sheet".to_owned(),
        )
    })?;
    let url = format!("http://{}/settlements/{request}", endpoint_entry.address);
    let call = context
        .pool()
        .client(true)
        .request(Method::PUT, url)
        .timeout(CALL_TIMEOUT)
        .send();
    let mut answer = call
        .await
        .map_err(|error| call_failure(&error, RequestStep::Recovery, endpoint))?;
    if !answer.status().is_success() {
        let message = format!("the settlement call returned status {}", answer.status());
        return Err(settlement_error(ErrorKind::BadAnswer, message));
    }
    let body_future = answer.body().limit(MAX_ANSWER_BYTES);
    let body = actix_rt::time::timeout(CALL_TIMEOUT, body_future)
        .await
        .map_err(|_elapsed| {
            settlement_error(
                ErrorKind::NoAnswer,
                "the settlement answer was not complete in time".to_owned(),
            )
        })?
        .map_err(|error| settlement_error(ErrorKind::NoAnswer, error.to_string()))?;
    serde_json::from_slice(&body)
        .map_err(|error| settlement_error(ErrorKind::BadAnswer, error.to_string()))
}
