//! A testbed of entry instances with one stand-in platform, all on the current actix arbiter.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use dandeliondeal_config::{
    ChangeRequest, EntrySettings, InstanceSettings, ListenSettings, MembershipSettings,
    PlatformSettings, RolloutSettings, SecretSettings, SecretText, SheetRows, StoreSession,
};
use dandeliondeal_entry::EntryServer;
use dandeliondeal_peer::{FanOut, MemberState};
use dandeliondeal_standin::{PlatformStandin, StandinError};
use dandeliondeal_store::{BudgetSettings, PlatformClient};
use dandeliondeal_types::{Clock, SystemClock};

use crate::MeasureError;

/// Number of failure domains at the target scale.
pub const FAILURE_DOMAINS: usize = 5;
/// Maximum time to wait for the fleet to reach a state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the state of the fleet is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Name of the measurement, for errors.
    pub measurement: &'static str,
    /// Number of instances.
    pub size: usize,
    /// Members to which each instance sends heartbeats.
    pub fan_out: FanOut,
    /// Number of instances in each failure domain that watch the platform for new revisions.
    pub watchers_per_domain: u64,
    /// Settings of membership and heartbeats.
    pub membership: MembershipSettings,
}

/// Entry instances that form one fleet.
#[derive(Debug)]
pub struct FleetTestbed {
    settings: FleetSettings,
    /// Stand-in platform of the fleet.
    pub platform: PlatformStandin,
    /// Running instances.
    pub entries: Vec<EntryServer<SystemClock>>,
}

impl FleetTestbed {
    /// Starts a fleet and waits until every instance knows all others.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet cannot be started or does not form in time.
    pub async fn start(settings: FleetSettings) -> Result<Self, MeasureError> {
        let unlimited_settings = dandeliondeal_standin::PlatformSettings {
            writes_per_second: 0,
            reads_per_second: 0,
            ..dandeliondeal_standin::PlatformSettings::default()
        };
        let to_measure_error =
            |error: StandinError| MeasureError::new(settings.measurement, error.to_string());
        let mut testbed = Self {
            platform: PlatformStandin::start(unlimited_settings).map_err(to_measure_error)?,
            settings,
            entries: Vec::new(),
        };
        for index in 0..testbed.settings.size {
            testbed.add_instance(index).await?;
        }
        let size = testbed.settings.size;
        let is_formed = |testbed: &Self| {
            testbed
                .entries
                .iter()
                .all(|entry| live_members(entry) == size)
        };
        testbed
            .wait_until("every instance to know all others", is_formed)
            .await?;
        Ok(testbed)
    }

    async fn add_instance(&mut self, index: usize) -> Result<(), MeasureError> {
        let measurement = self.settings.measurement;
        let to_measure_error = |error: dandeliondeal_entry::EntryError| {
            MeasureError::new(measurement, error.to_string())
        };
        let settings = self.entry_settings(index);
        let mut entry = EntryServer::start(settings, SystemClock)
            .await
            .map_err(to_measure_error)?;
        entry
            .join_fleet_with_fan_out(self.settings.fan_out)
            .map_err(to_measure_error)?;
        if let Some(link) = entry.link() {
            self.platform.put_instance(link.record());
        }
        self.entries.push(entry);
        Ok(())
    }

    fn entry_settings(&self, index: usize) -> EntrySettings {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let domain = format!("domain-{}", index % FAILURE_DOMAINS);
        EntrySettings {
            instance: InstanceSettings::new(format!("entry-{index}"), domain, "region-a".into()),
            listen: ListenSettings {
                callers: any_port,
                operators: any_port,
                peers: any_port,
            },
            platform: PlatformSettings {
                address: self.platform.address(),
                ..PlatformSettings::default()
            },
            secrets: SecretSettings {
                peer: SecretText::new("measured-fleet"),
                ..SecretSettings::default()
            },
            membership: self.settings.membership.clone(),
            rollout: RolloutSettings {
                watchers_per_domain: self.settings.watchers_per_domain,
                ..RolloutSettings::default()
            },
            ..EntrySettings::default()
        }
    }

    /// Accepts a sheet as an operator does, and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the sheet was not accepted.
    pub async fn accept(&self, rows: &SheetRows, change: &str) -> Result<u64, MeasureError> {
        let settings = dandeliondeal_store::PlatformSettings {
            address: self.platform.address(),
            budget: BudgetSettings {
                fleet_writes_per_second: 100_000.0,
                fleet_reads_per_second: 100_000.0,
                ..BudgetSettings::default()
            },
            ..dandeliondeal_store::PlatformSettings::default()
        };
        let client = PlatformClient::new(settings, SystemClock);
        let session = StoreSession {
            store: &client,
            clock: &SystemClock,
            deadline: SystemClock.now() + WAIT_TIMEOUT,
        };
        let request = ChangeRequest {
            change: change.into(),
            author: "measure".into(),
            at_milliseconds: 0,
            base: None,
            allow_removals: true,
        };
        let report = session.accept_sheet(rows, &request).await;
        let report = report
            .map_err(|error| MeasureError::new(self.settings.measurement, error.to_string()))?;
        Ok(report.revision)
    }

    /// Polls until `is_met` returns true, and returns the time that this took.
    ///
    /// # Errors
    ///
    /// Returns an error that names `awaited` if the condition is not met in time.
    pub async fn wait_until<Condition>(
        &self,
        awaited: &str,
        is_met: Condition,
    ) -> Result<Duration, MeasureError>
    where
        Condition: Fn(&Self) -> bool,
    {
        let start = Instant::now();
        while !is_met(self) {
            if start.elapsed() > WAIT_TIMEOUT {
                let message = format!(
                    "timed out after {} s waiting for {awaited}",
                    WAIT_TIMEOUT.as_secs()
                );
                return Err(MeasureError::new(self.settings.measurement, message));
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        Ok(start.elapsed())
    }

    /// Returns whether every instance has this or a newer revision in force.
    pub fn is_in_force(&self, revision: u64) -> bool {
        let mut entries = self.entries.iter();
        entries.all(|entry| entry.context().table().revision() >= revision)
    }

    /// Stops one instance without notifying the others.
    pub fn kill(&mut self, index: usize) -> EntryServer<SystemClock> {
        let entry = self.entries.remove(index);
        if let Some(link) = entry.link() {
            link.stop();
        }
        entry
    }

    /// Stops all instances and the platform.
    pub fn stop(&mut self) {
        while !self.entries.is_empty() {
            drop(self.kill(0));
        }
        self.platform.kill();
    }

    /// Returns the number of calls between the instances so far and the bytes of their bodies.
    pub fn traffic(&self) -> (u64, u64) {
        let links = self.entries.iter().filter_map(EntryServer::link);
        links
            .map(|link| link.directory().client.traffic())
            .fold((0, 0), |(calls, bytes), traffic| {
                (calls + traffic.calls, bytes + traffic.body_bytes)
            })
    }

    /// Returns how often running instances had to refute their own reported failure.
    pub fn false_alarms(&self) -> u64 {
        let links = self.entries.iter().filter_map(EntryServer::link);
        links
            .map(|link| link.directory().machine.borrow().own_update().version)
            .sum()
    }
}

/// Returns the number of live members that an instance knows, including itself.
pub fn live_members(entry: &EntryServer<SystemClock>) -> usize {
    entry
        .link()
        .map_or(0, |link| link.directory().live_members().len())
}

/// Returns whether an instance considers a member to have failed.
pub fn considers_failed(entry: &EntryServer<SystemClock>, id: &str) -> bool {
    entry.link().is_some_and(|link| {
        let machine = link.directory().machine.borrow();
        machine
            .members()
            .any(|(card, state)| *card.id == *id && state == MemberState::Failed)
    })
}
