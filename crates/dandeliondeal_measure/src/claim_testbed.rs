//! A testbed with a stand-in platform and instances that claim keys.

use std::cell::Cell;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_claim::{
    ClaimAnswer, ClaimKey, ClaimRecord, ClaimSettings, OutcomeRecord, RequestFingerprint,
    ShardReply,
};
use dandeliondeal_entry::claim_coordinator::ClaimCoordinator;
use dandeliondeal_entry::claim_link::ClaimMember;
use dandeliondeal_entry::claim_rpc::{ClaimHandler, PeerClaimLink};
use dandeliondeal_peer::{PeerServer, PeerSettings};
use dandeliondeal_standin::PlatformStandin;
use dandeliondeal_store::{BudgetSettings, CallClass, PlatformClient, PlatformSettings};
use dandeliondeal_types::{ObjectStore, Outcome, PutCondition, StoreVersion, SystemClock};
use serde::Serialize;

use crate::MeasureError;

const MEASUREMENT: &str = "claims";
/// Maximum time to wait for the confirmation of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Body of the answer that is recorded with each claim.
const ANSWER_BODY: &str = "{\"confirmed\":true,\"deposit\":\"120.00\",\"lathe\":\"3\"}";

/// How claims are written to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimMode {
    /// The shard's preferred instance appends claims to the log for all instances.
    Grouped,
    /// Each instance appends its claims to the log itself.
    Direct,
    /// The baseline: one object per claim, with one write for the claim and one for its outcome.
    Single,
}

/// Instances that claim keys on a stand-in platform of their own.
#[derive(Debug)]
pub struct ClaimTestbed {
    mode: ClaimMode,
    platform: PlatformStandin,
    clients: Vec<PlatformClient<SystemClock>>,
    coordinators: Vec<ClaimCoordinator<PlatformClient<SystemClock>, SystemClock, PeerClaimLink>>,
    peers: Vec<PeerServer>,
    /// Number of the next claim.
    next_number: Cell<u64>,
}

impl ClaimTestbed {
    /// Starts a platform without rate limits and the given number of instances.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the testbed cannot be started.
    pub fn start(instances: usize, mode: ClaimMode) -> Result<Self, MeasureError> {
        let unlimited_settings = dandeliondeal_standin::PlatformSettings {
            writes_per_second: 0,
            reads_per_second: 0,
            ..dandeliondeal_standin::PlatformSettings::default()
        };
        let platform =
            PlatformStandin::start(unlimited_settings).map_err(|error| measure_error(&error))?;
        let mut testbed = Self {
            mode,
            platform,
            clients: Vec::new(),
            coordinators: Vec::new(),
            peers: Vec::new(),
            next_number: Cell::new(0),
        };
        for index in 0..instances {
            testbed.add_instance(index, instances);
        }
        if mode == ClaimMode::Grouped {
            testbed.connect_peers()?;
        }
        Ok(testbed)
    }

    fn add_instance(&mut self, index: usize, instances: usize) {
        let settings = PlatformSettings {
            address: self.platform.address(),
            seed: index as u64,
            budget: BudgetSettings::default(),
            ..PlatformSettings::default()
        };
        let client = PlatformClient::new(settings, SystemClock).with_class(CallClass::Claims);
        client.resize_fleet(instances);
        let settings = ClaimSettings {
            instance: format!("entry-{index}").into(),
            ..ClaimSettings::default()
        };
        let link = PeerClaimLink::new(PeerSettings::default());
        let coordinator = ClaimCoordinator::new(client.clone(), link, SystemClock, settings);
        self.clients.push(client);
        self.coordinators.push(coordinator);
    }

    /// Starts a peer server per instance and makes all instances known to each other.
    fn connect_peers(&mut self) -> Result<(), MeasureError> {
        let mut members = Vec::new();
        for coordinator in &self.coordinators {
            let listener =
                TcpListener::bind("127.0.0.1:0").map_err(|error| measure_error(&error))?;
            let handler = ClaimHandler::new(coordinator.clone(), SystemClock);
            let server = PeerServer::start(listener, &PeerSettings::default(), handler);
            let server = server.map_err(|error| measure_error(&error))?;
            let address = server.address();
            let instance = Arc::clone(&coordinator.settings().instance);
            members.push(ClaimMember { instance, address });
            self.peers.push(server);
        }
        for coordinator in &self.coordinators {
            coordinator.route().set_members(members.clone());
        }
        Ok(())
    }

    /// Stops the peer servers and the platform.
    pub fn stop(&self) {
        for peer in &self.peers {
            peer.stop();
        }
        self.platform.kill();
    }

    /// Returns how many writes and how many calls in total the platform has received.
    pub fn platform_calls(&self) -> (u64, u64) {
        let counts = self.platform.counts();
        let total = counts.writes + counts.reads + counts.lists + counts.watches;
        (counts.writes, total)
    }

    /// Claims a new key at one of the instances and records its outcome.
    ///
    /// Returns the time to confirm the claim, or `None` if it was not confirmed.
    pub async fn claim(&self) -> Option<Duration> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let index = usize::try_from(number).unwrap_or_default() % self.coordinators.len();
        let start = Instant::now();
        match self.mode {
            ClaimMode::Single => self.claim_single(index, number, start).await,
            ClaimMode::Grouped | ClaimMode::Direct => self.claim_log(index, number, start).await,
        }
    }

    /// Claims a key in the claim log and records its outcome.
    async fn claim_log(&self, index: usize, number: u64, start: Instant) -> Option<Duration> {
        let coordinator = &self.coordinators[index];
        let record = claim_record(number);
        let request = Arc::clone(&record.request);
        let shard = record.key.shard(coordinator.settings().shards);
        let deadline = start + CLAIM_TIMEOUT;
        if coordinator.claim(shard, record, deadline).await != ShardReply::Claimed {
            return None;
        }
        let time = start.elapsed();
        coordinator.record(
            shard,
            OutcomeRecord {
                request,
                outcome: Outcome::Answered,
                answer: Some(claim_answer()),
            },
        );
        Some(time)
    }

    /// Claims a key in the baseline, which waits for the call budget as the claim log does.
    async fn claim_single(&self, index: usize, number: u64, start: Instant) -> Option<Duration> {
        let client = &self.clients[index];
        let name = format!("single/{number:012}");
        let body = serde_json::to_string(&claim_record(number)).ok()?;
        let version = put(client, &name, PutCondition::Absent, body.into(), start).await?;
        let time = start.elapsed();
        let outcome = serde_json::to_string(&claim_answer()).ok()?;
        let condition = PutCondition::Version(version);
        put(client, &name, condition, outcome.into(), start).await?;
        Some(time)
    }
}

/// Writes an object and returns its version, or `None` on an error or after the timeout.
async fn put(
    client: &PlatformClient<SystemClock>,
    name: &str,
    condition: PutCondition,
    body: Arc<str>,
    start: Instant,
) -> Option<StoreVersion> {
    while start.elapsed() < CLAIM_TIMEOUT {
        match client.put(name, condition, Arc::clone(&body)).await {
            Ok(version) => return Some(version),
            Err(dandeliondeal_types::StoreError::OverBudget { wait }) => {
                actix_rt::time::sleep(wait).await;
            }
            Err(_error) => return None,
        }
    }
    None
}

/// Returns the record of the claim with this number.
pub(crate) fn claim_record(number: u64) -> ClaimRecord {
    let request = format!("entry-18c0ffee-{number}");
    ClaimRecord {
        key: ClaimKey {
            organisation: "org-a".into(),
            key: format!("booking-{number}").into(),
        },
        fingerprint: RequestFingerprint::from_parts([request.as_bytes()]),
        request: request.into(),
        candidates: vec!["order-coordinator-1".into(), "order-coordinator-2".into()],
    }
}

/// Returns the answer that is recorded with each claim.
pub(crate) fn claim_answer() -> ClaimAnswer {
    ClaimAnswer {
        status: 200,
        content_type: "application/json".into(),
        body: Some(ANSWER_BODY.into()),
    }
}

fn measure_error<Error>(error: &Error) -> MeasureError
where
    Error: std::fmt::Display,
{
    MeasureError::new(MEASUREMENT, error.to_string())
}
