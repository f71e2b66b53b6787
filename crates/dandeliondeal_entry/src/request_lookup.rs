//! The state of a request, from this instance's memory or from the claim log.

use std::time::Duration;

use dandeliondeal_claim::{ClaimView, ShardReply, ShardTask};
use dandeliondeal_types::{Clock, OrganisationId, Outcome};

use crate::entry_context::EntryContext;
use crate::request_id::shard_of;
use crate::request_life::RequestStatus;

/// Longest wait for the claim log.
const LOOK_TIME: Duration = Duration::from_secs(3);

/// What is known of a request of `organisation`.
///
/// A settled outcome in this instance's memory stands; else the claim log is asked, where any
/// instance may have recorded one.
pub async fn known_status<ClockSource>(
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
    let claimed = claimed_status(context, organisation, id).await;
    match (&local, &claimed) {
        (Some(_), Some(claim)) if claim.outcome.is_none() => local,
        (_, None) => local,
        _ => claimed,
    }
}

async fn claimed_status<ClockSource>(
    context: &EntryContext<ClockSource>,
    organisation: &OrganisationId,
    id: &str,
) -> Option<RequestStatus>
where
    ClockSource: Clock,
{
    let claims = context.claims();
    let shard = shard_of(id).filter(|shard| *shard < claims.settings().shards)?;
    let deadline = context.clock().now() + LOOK_TIME;
    match claims
        .submit(shard, ShardTask::Look(id.into()), deadline)
        .await
    {
        ShardReply::Found(Some(view)) if is_of(&view, organisation) => Some(RequestStatus {
            id: view.request,
            state: state_label(view.state.outcome()),
            outcome: view.state.outcome(),
        }),
        _ => None,
    }
}

fn is_of(view: &ClaimView, organisation: &OrganisationId) -> bool {
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
