//! Asks plain services whether a request ran, and closes it off where it did not.

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

/// Wait for one answer.
const CALL_TIME: Duration = Duration::from_secs(2);
/// Pause after the first round of calls; it doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two rounds.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// Largest answer in bytes.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A request whose outcome is to be settled.
#[derive(Clone, Debug)]
pub struct SettlementTarget {
    /// The request.
    pub request: RequestId,
    /// Every endpoint that it may have been sent to.
    pub candidates: Vec<EndpointId>,
    /// The shard of its claim, if it has one.
    pub shard: Option<ShardIndex>,
    /// When to give up.
    pub deadline: Instant,
}

/// What a service says of a request.
#[derive(Clone, Debug, Deserialize)]
pub struct Settlement {
    /// Whether the request ran; if not, it never will.
    pub ran: bool,
    /// Status of its answer.
    #[serde(default)]
    pub status: Option<u16>,
    /// Body of its answer.
    #[serde(default)]
    pub body: Option<Arc<str>>,
}

/// Asks every endpoint that may have run the request, until all have told or the deadline passes.
///
/// A request that one of them ran is settled as answered; it is settled as not run only if all of
/// them refuse it for good. The outcome is recorded with the claim.
pub async fn settle<ClockSource>(
    context: &EntryContext<ClockSource>,
    target: &SettlementTarget,
) -> Option<Settlement>
where
    ClockSource: Clock,
{
    let mut open = target.candidates.clone();
    if open.is_empty() {
        return None;
    }
    let mut pause = FIRST_PAUSE;
    loop {
        let mut left = Vec::new();
        for endpoint in open {
            match ask(context, &target.request, &endpoint).await {
                Ok(settlement) if settlement.ran => {
                    record(context, target, &settlement).await;
                    return Some(settlement);
                }
                Ok(_refused) => {}
                Err(_error) => left.push(endpoint),
            }
        }
        open = left;
        if open.is_empty() {
            let settlement = Settlement {
                ran: false,
                status: None,
                body: None,
            };
            record(context, target, &settlement).await;
            return Some(settlement);
        }
        if context.clock().now() + pause >= target.deadline {
            return None;
        }
        actix_rt::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

async fn record<ClockSource>(
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
        .bounded(limit)
    });
    let record = OutcomeRecord {
        request: Arc::clone(&target.request),
        outcome,
        answer,
    };
    let claims = context.claims();
    claims.record_by(shard, record, target.deadline).await;
}

/// Asks one endpoint, over a new connection.
async fn ask<ClockSource>(
    context: &EntryContext<ClockSource>,
    request: &RequestId,
    endpoint: &EndpointId,
) -> Result<Settlement, RouteError>
where
    ClockSource: Clock,
{
    let failed = |kind: ErrorKind, message: String| {
        RouteError::new(kind, RequestStep::Recovery, message).at(Arc::clone(endpoint))
    };
    let table = context.table().current();
    let entry = table
        .sheet
        .endpoints
        .get(endpoint)
        .ok_or_else(|| failed(ErrorKind::NotFound, "endpoint left the sheet".to_owned()))?;
    let url = format!("http://{}/settlements/{request}", entry.address);
    let call = context
        .pool()
        .client(true)
        .request(Method::PUT, url)
        .timeout(CALL_TIME)
        .send();
    let mut answer = call
        .await
        .map_err(|error| call_failure(&error, RequestStep::Recovery, endpoint))?;
    if !answer.status().is_success() {
        let message = format!("settlement answered {}", answer.status());
        return Err(failed(ErrorKind::BadAnswer, message));
    }
    let body = answer.body().limit(ANSWER_BYTES);
    let bytes = actix_rt::time::timeout(CALL_TIME, body)
        .await
        .map_err(|_elapsed| failed(ErrorKind::NoAnswer, "settlement stopped".to_owned()))?
        .map_err(|error| failed(ErrorKind::NoAnswer, error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| failed(ErrorKind::BadAnswer, error.to_string()))
}
