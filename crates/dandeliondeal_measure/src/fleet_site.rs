//! Entry instances before one stand-in platform, all on the present arbiter.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use dandeliondeal_config::{
    ChangeRequest, EntrySettings, InstanceSettings, ListenSettings, MembershipSettings,
    PlatformSettings, RolloutSettings, SecretSettings, SecretText, SheetRows, StoreCall,
};
use dandeliondeal_entry::EntryServer;
use dandeliondeal_peer::{FanOut, MemberState};
use dandeliondeal_standin::{PlatformStandin, StandinError};
use dandeliondeal_store::{BudgetSettings, PlatformClient};
use dandeliondeal_types::{Clock, SystemClock};

use crate::MeasureError;

/// Failure domains of the target.
pub const DOMAINS: usize = 5;
/// Longest wait for the fleet to reach a state.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time between two looks at the fleet.
const LOOK_INTERVAL: Duration = Duration::from_millis(1);

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Name of the measurement, for its errors.
    pub measurement: &'static str,
    /// Number of instances.
    pub size: usize,
    /// To whom heartbeats go.
    pub fan_out: FanOut,
    /// Instances in each failure domain that watch the platform.
    pub watchers_per_domain: u64,
    /// Heartbeats.
    pub membership: MembershipSettings,
}

/// Entry instances that know each other.
#[derive(Debug)]
pub struct FleetSite {
    settings: FleetSettings,
    /// The platform.
    pub platform: PlatformStandin,
    /// The instances.
    pub entries: Vec<EntryServer<SystemClock>>,
}

impl FleetSite {
    /// Starts a fleet and waits until everyone knows everyone.
    ///
    /// # Errors
    ///
    /// Says what could not be started, or that the fleet did not form.
    pub async fn start(settings: FleetSettings) -> Result<Self, MeasureError> {
        let unlimited = dandeliondeal_standin::PlatformSettings {
            writes_per_second: 0,
            reads_per_second: 0,
            ..dandeliondeal_standin::PlatformSettings::default()
        };
        let failed =
            |error: StandinError| MeasureError::new(settings.measurement, error.to_string());
        let mut site = Self {
            platform: PlatformStandin::start(unlimited).map_err(failed)?,
            settings,
            entries: Vec::new(),
        };
        for index in 0..site.settings.size {
            site.add_instance(index).await?;
        }
        let size = site.settings.size;
        let is_formed = |site: &Self| site.entries.iter().all(|entry| live_members(entry) == size);
        site.wait_until("everyone knows everyone", is_formed)
            .await?;
        Ok(site)
    }

    async fn add_instance(&mut self, index: usize) -> Result<(), MeasureError> {
        let name = self.settings.measurement;
        let failed =
            |error: dandeliondeal_entry::EntryError| MeasureError::new(name, error.to_string());
        let settings = self.entry_settings(index);
        let mut entry = EntryServer::start(settings, SystemClock)
            .await
            .map_err(failed)?;
        entry.join_fleet_by(self.settings.fan_out).map_err(failed)?;
        if let Some(link) = entry.link() {
            self.platform.put_instance(link.record());
        }
        self.entries.push(entry);
        Ok(())
    }

    fn entry_settings(&self, index: usize) -> EntrySettings {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let domain = format!("domain-{}", index % DOMAINS);
        EntrySettings {
            instance: InstanceSettings::new(format!("entry-{index}"), domain, "region-a".into()),
            listen: ListenSettings {
                callers: any,
                operators: any,
                peers: any,
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

    /// Accepts a sheet as an operator does.
    ///
    /// # Errors
    ///
    /// Why it was not accepted.
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
        let call = StoreCall {
            store: &client,
            clock: &SystemClock,
            deadline: SystemClock.now() + PATIENCE,
        };
        let request = ChangeRequest {
            change: change.into(),
            author: "measure".into(),
            at_milliseconds: 0,
            base: None,
            allow_removals: true,
        };
        let report = call.accept_sheet(rows, &request).await;
        let report = report
            .map_err(|error| MeasureError::new(self.settings.measurement, error.to_string()))?;
        Ok(report.revision)
    }

    /// Waits until something holds, and returns the time that it took.
    ///
    /// # Errors
    ///
    /// If it does not hold in time.
    pub async fn wait_until<Holds>(
        &self,
        what: &str,
        holds: Holds,
    ) -> Result<Duration, MeasureError>
    where
        Holds: Fn(&Self) -> bool,
    {
        let start = Instant::now();
        while !holds(self) {
            if start.elapsed() > PATIENCE {
                let message = format!("not within {} s: {what}", PATIENCE.as_secs());
                return Err(MeasureError::new(self.settings.measurement, message));
            }
            actix_rt::time::sleep(LOOK_INTERVAL).await;
        }
        Ok(start.elapsed())
    }

    /// Whether every instance has a revision in force.
    pub fn is_in_force(&self, revision: u64) -> bool {
        let mut entries = self.entries.iter();
        entries.all(|entry| entry.context().table().revision() >= revision)
    }

    /// Ends one instance without a word to the others.
    pub fn kill(&mut self, index: usize) -> EntryServer<SystemClock> {
        let entry = self.entries.remove(index);
        if let Some(link) = entry.link() {
            link.stop();
        }
        entry
    }

    /// Ends all instances.
    pub fn stop(&mut self) {
        while !self.entries.is_empty() {
            drop(self.kill(0));
        }
        self.platform.kill();
    }

    /// Calls between the instances so far, and bytes of their bodies.
    pub fn traffic(&self) -> (u64, u64) {
        let links = self.entries.iter().filter_map(EntryServer::link);
        links
            .map(|link| link.directory().client.traffic())
            .fold((0, 0), |(calls, bytes), traffic| {
                (calls + traffic.calls, bytes + traffic.body_bytes)
            })
    }

    /// Times that a running instance had to contradict its own failure.
    pub fn false_alarms(&self) -> u64 {
        let links = self.entries.iter().filter_map(EntryServer::link);
        links
            .map(|link| link.directory().machine.borrow().own_update().version)
            .sum()
    }
}

/// Live members that an instance knows, itself included.
pub fn live_members(entry: &EntryServer<SystemClock>) -> usize {
    entry
        .link()
        .map_or(0, |link| link.directory().live_members().len())
}

/// Whether an instance holds a member to have failed.
pub fn holds_failed(entry: &EntryServer<SystemClock>, id: &str) -> bool {
    entry.link().is_some_and(|link| {
        let machine = link.directory().machine.borrow();
        machine
            .members()
            .any(|(card, state)| *card.id == *id && state == MemberState::Failed)
    })
}
