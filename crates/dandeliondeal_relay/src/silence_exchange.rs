//! Passes evidence on silent streams to hubs, and their suspicions to all instances.
//!
//! An instance with silent streams, or one that its hub asks, reports to the first hub of its failure
//! domain. The first hubs of the domains exchange the sums, and publish suspicions as notices.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use dandeliondeal_balance::{ObserverReport, Suspicion};
use dandeliondeal_types::{Clock, EndpointId, InstanceId, ServiceId};
use futures_util::future::join_all;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::dialect::FleetDialect;
use crate::engine_calls::REPORT_TIMEOUT;
use crate::engine_check::{CheckCause, check_engine};
use crate::instance_registry::PeerInstance;
use crate::loss_board::publish_suspicion;
use crate::loss_exchange::{HUB_TIMEOUT, LossExchange};
use crate::loss_notice::LossNotice;
use crate::silence_watch::is_graded;

/// Method that reports evidence on silent streams to a hub.
pub(crate) const SILENCE_METHOD: &str = "silence-report";
/// Time between two evaluations of the evidence at a hub.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of observers in a message.
const MAX_REPORTS: usize = 65;

/// Evidence of an instance, or the sum that a hub passes on.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct SilenceMessage {
    /// Whether a hub sent the message, so that it is not passed on again.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    is_relayed: bool,
    #[serde(default)]
    services: BTreeMap<ServiceId, Vec<ObserverReport>>,
}

/// Reply of a hub.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct SilenceReply {
    /// Interval in milliseconds at which the hub asks for further reports; absent if it needs none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    asked_ms: Option<u64>,
}

impl<Time, Dialect> LossExchange<Time, Dialect>
where
    Time: Clock,
    Dialect: FleetDialect,
{
    /// Reports the evidence of this instance, or of its members if it is a hub, when it is due.
    pub(crate) async fn report_silences(&self) {
        loop {
            let board = self.context().silences().board();
            let now = self.context().now();
            let hub = self.first_hub();
            let next_at = hub.as_ref().and_then(|hub| self.next_report(hub, now));
            match (hub, next_at) {
                (Some(hub), Some(at)) if at <= now => self.send_silences(&hub, now).await,
                (_, Some(at)) => {
                    let until_due = actix_rt::time::sleep(at.saturating_duration_since(now));
                    tokio::select! {
                        () = until_due => {}
                        () = board.wait_for_report() => {}
                    }
                }
                _ => board.wait_for_report().await,
            }
        }
    }

    /// Publishes the suspicions of this instance while it is a hub and knows of silent streams.
    pub(crate) async fn publish_suspicions(&self) {
        loop {
            self.context().silences().board().wait_for_evidence().await;
            while self.evaluate_silences() {
                actix_rt::time::sleep(EVALUATION_INTERVAL).await;
            }
        }
    }

    fn first_hub(&self) -> Option<PeerInstance> {
        let domain = &self.context().settings().instance.failure_domain;
        self.hubs().ranked_hubs(domain, 1).pop()
    }

    fn is_own(&self, instance: &InstanceId) -> bool {
        self.context().settings().instance.id == *instance
    }

    fn next_report(&self, hub: &PeerInstance, now: Instant) -> Option<Instant> {
        let silences = self.context().silences();
        let is_hub = self.is_own(&hub.id);
        let mut has_silences = false;
        silences.for_each(|service, inference| {
            has_silences |= if is_hub {
                inference.has_silences(now)
            } else {
                !inference.report(now).is_empty() && !self.context().links().is_lost(service)
            };
        });
        let mut schedule = silences.board().schedule().borrow_mut();
        schedule.set_silent(has_silences);
        schedule.next_at(now)
    }

    async fn send_silences(&self, hub: &PeerInstance, now: Instant) {
        let own = &self.context().settings().instance;
        let silences = self.context().silences();
        silences.board().schedule().borrow_mut().record_sent(now);
        let is_hub = self.is_own(&hub.id);
        let mut message = SilenceMessage {
            is_relayed: is_hub,
            ..SilenceMessage::default()
        };
        silences.for_each(|service, inference| {
            let mut reports = if is_hub {
                inference.sum_reports(&own.id, now)
            } else {
                vec![ObserverReport {
                    observer: InstanceId::clone(&own.id),
                    age_ms: 0,
                    report: inference.report(now),
                }]
            };
            // Behind lost links all streams look silent.
            if self.context().links().is_lost(service) {
                reports[0].report.silent.clear();
            }
            let service = ServiceId::clone(service);
            message.services.insert(service, reports);
        });
        let hubs = if is_hub {
            self.other_hubs()
        } else {
            vec![hub.clone()]
        };
        let calls = hubs
            .iter()
            .map(|hub| self.call(hub, SILENCE_METHOD, &message, HUB_TIMEOUT));
        let replies: Vec<Option<SilenceReply>> = join_all(calls).await;
        if let Some(asked_ms) = replies
            .into_iter()
            .flatten()
            .find_map(|reply| reply.asked_ms)
        {
            self.answer_ask(asked_ms);
        }
    }

    /// Records that a hub asks for reports.
    pub(crate) fn answer_ask(&self, asked_ms: u64) {
        let interval = Duration::from_millis(asked_ms);
        let draw = self.context().with_rng(Rng::random::<f64>);
        let now = self.context().now();
        self.context().silences().board().ask(interval, draw, now);
    }

    /// Returns the first hubs of the other failure domains.
    fn other_hubs(&self) -> Vec<PeerInstance> {
        let own = &self.context().settings().instance.failure_domain;
        let domains = self.domains().into_iter();
        let others = domains.filter(|domain| domain != own);
        others
            .filter_map(|domain| self.hubs().ranked_hubs(&domain, 1).pop())
            .collect()
    }

    /// Adds the evidence of another instance.
    pub(crate) fn receive_silences(&self, message: &SilenceMessage) -> SilenceReply {
        let now = self.context().now();
        let silences = self.context().silences();
        let board = silences.board();
        for (service, reports) in &message.services {
            if !is_graded(self.context(), service) {
                continue;
            }
            silences.with_inference(service, |inference| {
                let others = reports
                    .iter()
                    .filter(|report| !self.is_own(&report.observer));
                for report in others.take(MAX_REPORTS) {
                    if message.is_relayed {
                        inference.add_relayed(report, now);
                    } else {
                        let observer = InstanceId::clone(&report.observer);
                        board.hub().borrow_mut().record_report(&observer, now);
                        inference.add_report(observer, &report.report, now);
                    }
                }
            });
        }
        board.notify_report();
        SilenceReply {
            asked_ms: self.asked_ms().filter(|_| !message.is_relayed),
        }
    }

    /// Returns the interval in milliseconds at which this hub asks its members for reports.
    pub(crate) fn asked_ms(&self) -> Option<u64> {
        let interval = self.context().silences().board().asked_interval();
        interval.map(|interval| u64::try_from(interval.as_millis()).unwrap_or(u64::MAX))
    }

    /// Publishes suspicions, and asks members for reports if they may decide; returns whether there
    /// are silences that a hub has to evaluate.
    fn evaluate_silences(&self) -> bool {
        let silences = self.context().silences();
        let board = silences.board();
        if !self.first_hub().is_some_and(|hub| self.is_own(&hub.id)) {
            board.set_asking(false);
            return false;
        }
        let now = self.context().now();
        let mut has_silences = false;
        let mut is_asking = false;
        let mut news: Vec<Suspicion> = Vec::new();
        let mut withdrawn: Vec<EndpointId> = Vec::new();
        silences.for_each(|service, inference| {
            let mut hub = board.hub().borrow_mut();
            withdrawn.extend(hub.take_withdrawn(inference));
            if self.context().links().is_lost(service) || !inference.has_silences(now) {
                return;
            }
            has_silences = true;
            is_asking |= hub.needs_reports(inference, now);
            news.extend(hub.take_suspicions(inference, now));
        });
        board.set_asking(is_asking);
        if is_asking {
            // The other hubs need the signs of life of this domain.
            board.ask(Duration::ZERO, 0.0, now);
        }
        for engine in withdrawn {
            self.context()
                .losses()
                .notices()
                .borrow_mut()
                .withdraw(&engine);
        }
        for suspicion in news {
            if let Some(notice) = publish_suspicion(self.context(), &suspicion) {
                self.apply_suspicion(&notice);
            }
        }
        has_silences
    }

    /// Avoids an engine that a hub suspects; if own streams run through it, checks it, and lets those
    /// that are silent leave it.
    pub(crate) fn apply_suspicion(&self, notice: &LossNotice) {
        let (context, engine) = (self.context(), &notice.engine);
        let record = context.fleet().borrow().record(engine).cloned();
        let age = Duration::from_millis(notice.age_ms);
        let Some(record) = record.filter(|_| age < REPORT_TIMEOUT) else {
            return;
        };
        let now = context.now();
        let (has_stream, is_alive) =
            context
                .silences()
                .with_inference(&record.service, |inference| {
                    inference.add_suspicion(engine, now);
                    (
                        inference.has_stream(engine),
                        inference.is_seen_alive(engine, now),
                    )
                });
        if !is_alive {
            let mut fleet = context.fleet().borrow_mut();
            fleet.exclude_for_check(engine, now + REPORT_TIMEOUT);
        }
        if has_stream {
            check_engine(context, engine, CheckCause::Silence);
            context.losses().wake_streams();
        }
        tracing::info!(
            %engine, observer = %notice.observer, age_ms = notice.age_ms, has_stream, is_alive,
            "engine suspected by a hub"
        );
    }
}
