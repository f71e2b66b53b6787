//! Looks up the state of a request in this instance's registry or in the claim log.

use std::time::Duration;

use dandeliondeal_claim::{ClaimView, ShardReply, ShardTask};
use dandeliondeal_types::{Clock, OrganisationId, Outcome};

use crate::entry_context::EntryContext;
use crate::request_id::shard_of;
use crate::request_registry::RequestStatus;

/// Maximum wait for the claim log.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the state of a request of `organisation`, if it is known.
///
/// A settled outcome in this instance's registry is final. Otherwise the claim log is read, where
/// any instance may have recorded an outcome.
pub async fn lookup_status<ClockSource>(
    context: &EntryContext<ClockSource>,
    organisation: &OrganisationId,
    id: &str,
) -> Option<RequestStatus>
where
    ClockSource: Clock,
{
    let local = context.registry().borrow().status(id, organisation);
    let is_settled = local
        .as_ref()
        .is_some_and(|status| matches!(status.outcome, Some(Outcome::Answered | Outcome::NotRun)));
    if is_settled {
        return local;
    }
    let logged = claim_log_status(context, organisation, id).await;
    match (&local, &logged) {
        (Some(_), Some(status)) if status.outcome.is_none() => local,
        (_, None) => local,
        _ => logged,
    }
}

async fn claim_log_status<ClockSource>(
    context: &EntryContext<ClockSource>,
    organisation: &OrganisationId,
    id: &str,
) -> Option<RequestStatus>
where
    ClockSource: Clock,
{
    let claims = context.claims();
    let shard = shard_of(id).filter(|shard| *shard < claims.settings().shards)?;
    let deadline = context.clock().now() + LOOKUP_TIMEOUT;
    match claims
        .submit(shard, ShardTask::Find(id.into()), deadline)
        .await
    {
        ShardReply::Found(Some(view)) if belongs_to(&view, organisation) => Some(RequestStatus {
            id: view.request,
            state: state_label(view.state.outcome()),
            outcome: view.state.outcome(),
        }),
        _ => None,
    }
}

fn belongs_to(view: &ClaimView, organisation: &OrganisationId) -> bool {
    let claim = view.claim.as_ref();
    claim.is_some_and(|claim| claim.key.organisation == *organisation)
}

fn state_label(outcome: Option<Outcome>) -> &'static str {
    match outcome {
        None => "running",
        Some(Outcome::Answered) => "answered",
        Some(Outcome::NotRun) => "not-run",
        Some(Outcome::InDoubt) => "in-doubt",
    }
}
