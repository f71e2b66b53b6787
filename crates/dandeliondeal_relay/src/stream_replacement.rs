//! Starts other runs beside silent ones, and ends the runs that are not needed.

use std::time::Duration;

use dandeliondeal_http::{ConnectionError, EndpointConnection};
use dandeliondeal_layout::EngineChain;
use dandeliondeal_types::{Clock, EndpointId};
use tokio::task::JoinHandle;

use crate::chain_selection::{ChainConstraints, select_chain};
use crate::chain_watch::SilenceCause;
use crate::dialect::{FleetDialect, OrderReply, RequestDialect};
use crate::endpoint_exchange::open_connection;
use crate::engine_calls::{send_move_order, send_order};
use crate::load_tracker::LoadReservation;
use crate::process_watch::WatchCause;
use crate::stream_rejection::MAX_ATTEMPTS;
use crate::stream_relay::StreamRelay;
use crate::stream_run::{MoveOrder, MoveResult, StreamRun};

/// Time until a silent run is looked at again after another run or a move was tried.
const SILENCE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Connection that is opened for another run.
#[derive(Debug)]
pub(crate) struct PendingConnection {
    chain: EngineChain,
    connection: JoinHandle<Result<EndpointConnection, ConnectionError>>,
}

/// Move that is ordered again after a conflict.
#[derive(Debug)]
struct RetriedMove {
    /// Engine that the reply to the first order named.
    refused: Option<EndpointId>,
}

impl PendingConnection {
    /// Waits until the connection is open or has failed. Cancel safe.
    pub(crate) async fn wait(&mut self) -> Result<EndpointConnection, ConnectionError> {
        let result = (&mut self.connection).await;
        result.unwrap_or_else(|error| Err(ConnectionError::before_write(&error)))
    }
}

impl<Time, Dialect> StreamRelay<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    /// Moves a silent run to another chain, or starts another run beside it.
    pub(crate) fn handle_silence(&mut self, index: usize, cause: SilenceCause) {
        let retry_at = self.context.now() + SILENCE_RETRY_DELAY;
        self.runs[index].set_silent_since(retry_at);
        // The first engine may be silent because the process of a later one has ended.
        for hop in self.runs[index].chain().hops.iter().skip(1) {
            let watch = self.context.process_watch();
            watch.add(&hop.id, WatchCause::Failure);
        }
        if let SilenceCause::Unresponsive(engine) | SilenceCause::Suspected(engine) = &cause
            && self.runs[index].may_move()
        {
            if let Some(next_chain) = self.select_move(&self.runs[index], engine, None) {
                self.order_move(index, cause, next_chain);
                return;
            }
            self.runs[index].refuse_moves();
        }
        self.start_replacement(&cause);
    }

    /// Handles the end of an order to move a run.
    pub(crate) fn handle_move(&mut self, index: usize, cause: SilenceCause, result: MoveResult) {
        let run = &mut self.runs[index];
        match result {
            MoveResult::Moved(chain) => {
                let tokens = self.demand.tokens();
                let reservation = self.context.tracker().reserve(&chain, tokens);
                run.set_chain(chain, reservation);
                return;
            }
            MoveResult::Conflict(named) if run.is_graded() && run.record_conflict() => {
                let run = &self.runs[index];
                let retry = RetriedMove { refused: named };
                if let Some(chain) = self.select_move(run, cause.engine(), Some(&retry)) {
                    self.order_move(index, cause, chain);
                    return;
                }
            }
            MoveResult::Conflict(_) | MoveResult::Refused => {}
        }
        self.runs[index].refuse_moves();
        self.start_replacement(&cause);
    }

    /// Opens a connection for another run beside the silent ones, if the route, the repeat budget
    /// and the engines' capacity allow it.
    fn start_replacement(&mut self, cause: &SilenceCause) {
        // A mute engine may still move its own run, so that it is not excluded for good.
        if let SilenceCause::Unresponsive(engine) = cause
            && !self.excluded.contains(engine)
        {
            self.excluded.push(EndpointId::clone(engine));
        }
        if self.pending_connection.is_some() {
            return;
        }
        if !self.may_run_again() || self.attempts >= MAX_ATTEMPTS {
            self.log_unreplaced(cause, "no further run is allowed");
            return;
        }
        // Runs have the same id, by which an engine tells the requests that it received apart.
        let excluded_count = self.excluded.len();
        // A suspicion may be wrong, so that the engine is not excluded for good.
        self.excluded.extend(self.suspected_engines());
        let open_engines = self.runs.iter().map(StreamRun::first_engine).cloned();
        self.excluded.extend(open_engines);
        let chain = self.select_chain(None);
        self.excluded.truncate(excluded_count);
        let Some(chain) = chain else {
            self.log_unreplaced(cause, "no other chain has room");
            return;
        };
        if !self.acquire_resume("silent-stream") {
            self.log_unreplaced(cause, "the repeat budget is used up");
            return;
        }
        let context = self.context.clone();
        let hop = chain.hops[0].clone();
        let choice = self.connection_choice();
        let limit = self.request.time_left(self.context.now());
        let connection = actix_rt::spawn(async move {
            open_connection(&context, &hop.id, hop.address, choice, limit).await
        });
        tracing::info!(
            request = %self.request.facts.request, %cause, engine = %chain.hops[0].id,
            last_event = self.last_event, "replacement run started"
        );
        self.pending_connection = Some(PendingConnection { chain, connection });
    }

    fn log_unreplaced(&self, cause: &SilenceCause, reason: &str) {
        tracing::info!(
            request = %self.request.facts.request, chain = self.describe_chain(), %cause, reason,
            open_runs = self.runs.len(), "stalled stream stays on its chain"
        );
    }

    /// Starts a run over the connection that was opened for it.
    pub(crate) fn add_run(&mut self, opened: Result<EndpointConnection, ConnectionError>) {
        let Some(pending) = self.pending_connection.take() else {
            return;
        };
        if opened.is_ok() && self.is_backed_off(&pending.chain) {
            // The repeat that is still held is used by the next run.
            return;
        }
        let engine = EndpointId::clone(&pending.chain.hops[0].id);
        let run = opened.and_then(|connection| self.send_request(connection, pending.chain));
        match run {
            Ok(run) => self.runs.push(run),
            // If no run is open, the next one starts with the repeat that is still held.
            Err(error) => self.record_connect_failure(&engine, &error),
        }
    }

    /// Keeps only the run that delivered the next event or the end of the stream.
    pub(crate) fn keep_run(&mut self, index: usize) {
        self.pending_connection = None;
        if self.runs.len() == 1 {
            return;
        }
        self.request.lifecycle.mark_may_have_run();
        let kept = self.runs.swap_remove(index);
        let cancelled = std::mem::replace(&mut self.runs, vec![kept]);
        let id = &self.request.facts.request;
        if index == 0 {
            tracing::info!(request = %id, "replacement run cancelled");
        } else {
            tracing::info!(request = %id, chain = self.describe_chain(), "replacement run took over");
            for run in &cancelled {
                self.record_break(run);
            }
        }
        self.record_wait();
    }

    /// Selects a chain without the failed engine to which a run may be moved.
    fn select_move(
        &self,
        run: &StreamRun<Time, Dialect>,
        failed: &EndpointId,
        retry: Option<&RetriedMove>,
    ) -> Option<EngineChain> {
        if run.first_engine() == failed {
            return None;
        }
        if !run.is_graded() {
            return self.select_chain(Some(run.chain()));
        }
        let id = &self.request.facts.request;
        let spread_key = if retry.is_some() {
            format!("{id}/retry")
        } else {
            id.to_string()
        };
        let mut excluded = self.excluded.clone();
        excluded.extend(self.suspected_engines());
        excluded.extend(retry.and_then(|retry| retry.refused.clone()));
        excluded.retain(|engine| engine != run.first_engine());
        let constraints = ChainConstraints {
            current_chain: Some(run.chain()),
            excluded: &excluded,
            spread_key: Some(&spread_key),
        };
        let (service, profile) = (&self.request.service, &self.profile);
        let chain = select_chain(&self.context, service, profile, self.demand, constraints)?;
        // The order of an unchanged chain would not help.
        (chain.hops != run.chain().hops).then_some(chain)
    }

    /// Returns the engines that are suspected now; none if the service is not graded.
    fn suspected_engines(&self) -> Vec<EndpointId> {
        let now = self.context.now();
        let silences = self.context.silences();
        silences.suspected_engines(&self.request.service, now)
    }

    /// Reserves the room that a move takes on the engines that are new to the run.
    fn reserve_move(&self, run: &StreamRun<Time, Dialect>, next: &EngineChain) -> LoadReservation {
        let mut added = next.clone();
        added
            .hops
            .retain(|hop| !run.chain().contains_engine(&hop.id));
        self.context.tracker().reserve(&added, self.demand.tokens())
    }

    /// Orders the first engine of a run to continue the request on another chain.
    fn order_move(&mut self, index: usize, cause: SilenceCause, next_chain: EngineChain) {
        let context = self.context.clone();
        let id = self.request.facts.request.clone();
        let first = self.runs[index].chain().hops[0].clone();
        let lost = EndpointId::clone(cause.engine());
        let run = &self.runs[index];
        let is_graded = run.is_graded();
        let reservation = is_graded.then(|| self.reserve_move(run, &next_chain));
        let reply = actix_rt::spawn(async move {
            let order = context.dialect().write_move_order(&id, &next_chain);
            let reply = if is_graded {
                send_move_order(&context, first.address, &order).await
            } else {
                let reply = send_order(&context, first.address, &order).await;
                reply.map(|reply| (reply, None))
            };
            let (text, refused) = match &reply {
                Ok((reply, address)) => (reply.to_string(), *address),
                Err(error) => (error.to_string(), None),
            };
            let named = next_chain
                .hops
                .iter()
                .find(|hop| Some(hop.address) == refused);
            let named = named.map(|hop| EndpointId::clone(&hop.id));
            tracing::info!(
                request = %id, engine = %first.id, %lost, reply = text, refused = named.as_deref(),
                "chain move ordered"
            );
            drop(reservation);
            match reply {
                Ok((OrderReply::Started | OrderReply::Done, _)) => MoveResult::Moved(next_chain),
                Ok((OrderReply::Conflict, _)) => MoveResult::Conflict(named),
                Ok(_) | Err(_) => MoveResult::Refused,
            }
        });
        self.runs[index].set_move_order(MoveOrder { cause, reply });
    }
}
