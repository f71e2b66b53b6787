//! Starts runs of a stream: selects a chain, connects and sends the request.

use dandeliondeal_http::{ConnectionError, EndpointConnection};
use dandeliondeal_layout::EngineChain;
use dandeliondeal_types::{Clock, EndpointId};

use crate::chain_selection::{ChainConstraints, select_chain};
use crate::dialect::{AttemptFacts, FleetDialect, RequestDialect};
use crate::endpoint_backoff::{is_backed_off, record_send};
use crate::endpoint_exchange::{ConnectionChoice, build_attempt, open_connection};
use crate::loss_board::record_loss;
use crate::loss_notice::LossEvidence;
use crate::refusal::RefusalCause;
use crate::relay_lifecycle::LifecycleEvent;
use crate::stop_admission::outlasts_process;
use crate::stream_handover::LocalEnd;
use crate::stream_relay::StreamRelay;
use crate::stream_run::StreamRun;

/// Maximum number of failed connections to first engines: none is an attempt, as nothing was sent.
const MAX_CONNECT_ATTEMPTS: u32 = 4;

impl<Time, Dialect> StreamRelay<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect + FleetDialect,
{
    /// Sends the request to the first chain to which a connection can be made.
    pub(crate) async fn start_run(&mut self) -> Result<StreamRun<Time, Dialect>, LocalEnd> {
        let mut failed_connections = 0;
        loop {
            let time_left = self.time_left()?;
            self.ask_admission(time_left).await?;
            if self.is_unsent()
                && outlasts_process(&self.context, &self.request, self.demand.output_tokens)
            {
                return Err(self.refuse(RefusalCause::Stopping).into());
            }
            if !self.is_admitted() {
                return Err(self.refuse(RefusalCause::Quarantined).into());
            }
            let Some(chain) = self.select_chain(None) else {
                if self.must_hand_over().await {
                    return Err(LocalEnd::LinksLost);
                }
                let cause = self.request.no_endpoint_cause(&self.context);
                if cause == RefusalCause::NoEndpoint && self.wait_for_room(time_left).await? {
                    continue;
                }
                return Err(self.refuse(cause).into());
            };
            let hop = chain.hops[0].clone();
            let choice = self.connection_choice();
            let opened = open_connection(&self.context, &hop.id, hop.address, choice, time_left);
            let error = match opened.await {
                // An engine has asked for a pause meanwhile.
                Ok(_) if self.is_backed_off(&chain) => continue,
                Ok(connection) => match self.send_request(connection, chain) {
                    Ok(run) => return Ok(run),
                    Err(error) => error,
                },
                Err(error) => error,
            };
            if self.must_hand_over().await {
                return Err(LocalEnd::LinksLost);
            }
            self.record_connect_failure(&hop.id, &error);
            failed_connections += 1;
            if failed_connections >= MAX_CONNECT_ATTEMPTS {
                return Err(self.refuse(RefusalCause::NoEndpoint).into());
            }
        }
    }

    /// Returns whether the request has neither run nor begun to be answered.
    fn is_unsent(&self) -> bool {
        self.response_headers.is_none() && self.request.lifecycle.is_proven_not_run()
    }

    /// Returns the kind of connection for the next run.
    pub(crate) fn connection_choice(&self) -> ConnectionChoice {
        // A repeated run must not fail because an idle connection was closed without notice, and
        // one that must not be repeated would be lost by it.
        let is_repeatable = self.request.route_match.route.repeat_class.is_repeatable();
        if is_repeatable && self.attempts == 0 {
            ConnectionChoice::Idle
        } else {
            ConnectionChoice::New
        }
    }

    /// Takes an engine to which no connection could be made out of use.
    pub(crate) fn record_connect_failure(&mut self, engine: &EndpointId, error: &ConnectionError) {
        tracing::info!(
            request = %self.request.facts.request, %engine, %error, "connection failed"
        );
        let now = self.context.now();
        self.context.mark_failed(engine);
        let evidence = if error.is_refused() {
            LossEvidence::Refused
        } else {
            LossEvidence::Silent
        };
        record_loss(&self.context, engine, evidence);
        self.context.first_engines().record(engine, false, now);
        self.excluded.push(EndpointId::clone(engine));
    }

    /// Starts a run on a chain over a connection to its first engine.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError`] if the request cannot be encoded; nothing was sent.
    pub(crate) fn send_request(
        &mut self,
        connection: EndpointConnection,
        chain: EngineChain,
    ) -> Result<StreamRun<Time, Dialect>, ConnectionError> {
        let (service, route_match) = (&self.request.service, &self.request.route_match);
        let facts = AttemptFacts {
            endpoint: &chain.hops[0].id,
            organisation: self.request.route_match.organisation.as_ref(),
            time_left: self.request.time_left(self.context.now()),
            last_event: self.last_event,
            chain: Some(&chain),
            urgency: self.context.admission().urgency(service, route_match),
        };
        let outbound = build_attempt(&self.context, &self.request, &facts);
        let reservation = self.context.tracker().reserve(&chain, self.demand.tokens());
        let mut run = StreamRun::start(
            &self.context,
            connection,
            chain,
            reservation,
            (&self.request, &outbound),
            self.last_event,
        )?;
        run.set_grade(&self.request.route_match, &self.request.service);
        let now = self.context.now();
        let rates = self.context.rates();
        rates.borrow_mut().record_request(run.first_engine(), now);
        record_send(
            &self.context,
            &self.request.facts.request,
            run.first_engine(),
        );
        let links = self.context.links();
        links.record_request(&self.request.service, run.first_engine());
        self.record_running();
        self.attempts += 1;
        self.run_count += 1;
        self.holds_repeat = false;
        self.request.progress.record_attempt(run.first_engine());
        self.request.lifecycle.apply(LifecycleEvent::Offer);
        Ok(run)
    }
}

impl<Time, Dialect> StreamRelay<Time, Dialect>
where
    Time: Clock,
    Dialect: RequestDialect,
{
    /// Returns whether no request may be sent through a chain now because of an engine's pause.
    pub(crate) fn is_backed_off(&self, chain: &EngineChain) -> bool {
        let mut hops = chain.hops.iter();
        hops.any(|hop| is_backed_off(&self.context, &hop.id))
    }

    pub(crate) fn select_chain(&self, current_chain: Option<&EngineChain>) -> Option<EngineChain> {
        let constraints = ChainConstraints {
            current_chain,
            excluded: &self.excluded,
            spread_key: None,
        };
        select_chain(
            &self.context,
            &self.request.service,
            &self.profile,
            self.demand,
            constraints,
        )
    }
}
