//! Starts and ends the replacement of a silent run.

use std::time::Duration;

use dandeliondeal_layout::EngineChain;
use dandeliondeal_types::{Clock, EndpointId};

use crate::chain_watch::SilenceCause;
use crate::dialect::{FleetDialect, OrderReply, RequestDialect};
use crate::endpoint_exchange::open_connection;
use crate::engine_calls::send_order;
use crate::stream_rejection::MAX_ATTEMPTS;
use crate::stream_relay::StreamRelay;
use crate::stream_run::RunStep;

/// Time until another replacement of a silent run is tried after one could not be started.
const REPLACEMENT_RETRY_DELAY: Duration = Duration::from_millis(500);

impl<Time, Dialect> StreamRelay<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    /// Moves the silent current run to another chain, or starts a replacement beside it.
    ///
    /// Returns a step of the current run that was made meanwhile.
    pub(crate) async fn handle_silence(&mut self, cause: SilenceCause) -> Option<RunStep> {
        if let SilenceCause::Unresponsive(engine) = &cause
            && !self.is_move_refused
            && self.move_run(engine).await
        {
            return None;
        }
        self.is_move_refused = true;
        if !self.excluded.contains(cause.engine()) {
            self.excluded.push(EndpointId::clone(cause.engine()));
        }
        let step = self.start_replacement(&cause).await;
        if self.replacement.is_none() {
            self.silent_since = self.context.now() + REPLACEMENT_RETRY_DELAY;
        }
        step
    }

    /// Starts a run on another chain beside the silent one, if the route, the repeat budget and the
    /// engines' capacity allow it.
    async fn start_replacement(&mut self, cause: &SilenceCause) -> Option<RunStep> {
        if !self.may_run_again() || self.attempts >= MAX_ATTEMPTS {
            self.log_unreplaced(cause, "no further run is allowed");
            return None;
        }
        let first = self.current.as_ref()?.first_engine().clone();
        // Both runs have the same id, by which an engine tells the requests that it received apart.
        self.excluded.push(first);
        let chain = self.select_chain(None);
        self.excluded.pop();
        let Some(chain) = chain else {
            self.log_unreplaced(cause, "no other chain has room");
            return None;
        };
        let hop = chain.hops[0].clone();
        let choice = self.connection_choice();
        let limit = self.request.time_left(self.context.now());
        let current = self.current.as_mut()?;
        let opened = open_connection(&self.context, &hop.id, hop.address, choice, limit);
        let opened = tokio::select! {
            biased;
            step = current.next_step() => return Some(step),
            opened = opened => opened,
        };
        let connection = match opened {
            Ok(connection) => connection,
            Err(error) => {
                self.record_connect_failure(&hop.id, &error);
                return None;
            }
        };
        if !self.acquire_resume() {
            self.log_unreplaced(cause, "the repeat budget is used up");
            return None;
        }
        match self.send_request(connection, chain) {
            Ok(run) => {
                tracing::info!(
                    request = %self.request.facts.request, %cause, chain = run.describe_chain(),
                    last_event = self.last_event, "replacement run started"
                );
                self.replacement = Some(run);
            }
            Err(error) => self.record_connect_failure(&hop.id, &error),
        }
        None
    }

    fn log_unreplaced(&self, cause: &SilenceCause, reason: &str) {
        tracing::info!(
            request = %self.request.facts.request, chain = self.describe_chain(), %cause, reason,
            "stalled stream stays on its chain"
        );
    }

    /// Makes the replacement the current run, because it delivered the next event first.
    pub(crate) fn take_over(&mut self) {
        self.request.lifecycle.mark_may_have_run();
        let chain = self.describe_chain();
        let replaced = self.current.take();
        self.current = self.replacement.take();
        tracing::info!(
            request = %self.request.facts.request, replaced = chain,
            chain = self.describe_chain(), "replacement run took over"
        );
        if let Some(run) = replaced {
            self.record_break(&run);
        }
        self.record_wait();
    }

    /// Cancels the replacement, if there is one.
    pub(crate) fn cancel_replacement(&mut self, reason: &str) {
        if let Some(run) = self.replacement.take() {
            self.request.lifecycle.mark_may_have_run();
            tracing::info!(
                request = %self.request.facts.request, chain = run.describe_chain(), reason,
                "replacement run cancelled"
            );
        }
    }

    /// Handles a step of the replacement that delivers no event; the current run goes on.
    pub(crate) fn handle_replacement(&mut self, step: &RunStep) {
        let reason = match step {
            RunStep::Started | RunStep::Events(_) | RunStep::Complete => return,
            RunStep::Rejected(head, facts) => {
                if let Some(run) = self.replacement.take() {
                    self.record_rejection(&run, head, facts, false);
                }
                return;
            }
            RunStep::Failed(head) => format!("status {}", head.status),
            RunStep::Broken(error) => error.to_string(),
        };
        if let Some(run) = self.replacement.take() {
            self.record_break(&run);
            // Puts the run back, so that one place cancels and logs.
            self.replacement = Some(run);
        }
        self.cancel_replacement(&reason);
    }

    /// Moves the current run to a chain without the failed engine; `false` if the move fails.
    async fn move_run(&mut self, failed: &EndpointId) -> bool {
        let Some(run) = &self.current else {
            return false;
        };
        let chain = std::rc::Rc::clone(&run.chain);
        let Some(chain) = self.order_move(&chain, failed).await else {
            return false;
        };
        let reservation = self.context.tracker().reserve(&chain, self.demand.tokens());
        self.silent_since = self.context.now();
        if let Some(run) = &mut self.current {
            run.set_chain(chain, reservation);
        }
        true
    }

    /// Orders the first engine of a chain to continue the request without the failed engine.
    async fn order_move(&self, chain: &EngineChain, failed: &EndpointId) -> Option<EngineChain> {
        let first = chain.hops.first().filter(|first| first.id != *failed)?;
        let next_chain = self.select_chain(Some(chain))?;
        let id = &self.request.facts.request;
        let order = self.context.dialect().write_move_order(id, &next_chain);
        let reply = send_order(&self.context, first.address, &order).await;
        let (text, is_moved) = match &reply {
            Ok(reply) => (
                reply.to_string(),
                matches!(reply, OrderReply::Started | OrderReply::Done),
            ),
            Err(error) => (error.to_string(), false),
        };
        tracing::info!(
            request = %id, engine = %first.id, lost = %failed, reply = text, "chain move ordered"
        );
        is_moved.then_some(next_chain)
    }
}
