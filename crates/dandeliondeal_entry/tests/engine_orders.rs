//! Orders to engines over real sockets, also while the lease moves to another instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_config::{EntrySettings, InstanceSettings, ListenSettings, PlatformSettings};
use dandeliondeal_entry::EntryContext;
use dandeliondeal_entry::order_call::read_content;
use dandeliondeal_entry::order_runner::OrderRunner;
use dandeliondeal_entry::route_table::RouteTable;
use dandeliondeal_order::OrderSettings;
use dandeliondeal_standin::{EngineSettings, EngineStandin, FaultChange, PlatformStandin};
use dandeliondeal_store::LeaseSettings;
use dandeliondeal_types::sheet_model::{EndpointEntry, EndpointTarget, ModelEntry};
use dandeliondeal_types::{Clock as _, LayerRange, ManualClock, SheetModel};

/// Real time after each step of the manual clock, in which socket calls finish.
const TICK_PAUSE: Duration = Duration::from_millis(5);

/// Stand-ins of a platform and engines, and the order runners that contend for the lease.
struct OrderFleet {
    platform: PlatformStandin,
    engines: Vec<EngineStandin>,
    clock: ManualClock,
    runners: Vec<OrderRunner<ManualClock>>,
}

impl OrderFleet {
    /// Starts two engines, of which only the first checks fencing numbers, and two order runners.
    fn start() -> Self {
        let platform = PlatformStandin::start(dandeliondeal_standin::PlatformSettings::default())
            .expect("platform");
        let engines: Vec<EngineStandin> = [true, false]
            .into_iter()
            .map(|checks_fencing| {
                let settings = EngineSettings {
                    checks_fencing,
                    ..EngineSettings::default()
                };
                EngineStandin::start(settings).expect("engine")
            })
            .collect();
        let clock = ManualClock::default();
        let runners = (0..2)
            .map(|index| new_runner(index, &platform, &engines, &clock))
            .collect();
        Self {
            platform,
            engines,
            clock,
            runners,
        }
    }

    /// Advances the clock by `time` and ticks only the runners in `active`; the others are paused.
    async fn advance(&self, active: &[usize], time: Duration) {
        let end = self.clock.now() + time;
        while self.clock.now() < end {
            self.clock.advance(Duration::from_millis(250));
            for index in active {
                self.runners[*index].tick();
            }
            actix_rt::time::sleep(TICK_PAUSE).await;
        }
    }

    async fn engine_versions(&self) -> Vec<String> {
        let pool = dandeliondeal_entry::http_pool::HttpPool::new(Duration::from_secs(1));
        let mut versions = Vec::new();
        for engine in &self.engines {
            let content = read_content(&pool, engine.address()).await;
            versions.push(content.expect("content").version.to_string());
        }
        versions
    }
}

fn new_runner(
    index: usize,
    platform: &PlatformStandin,
    engines: &[EngineStandin],
    clock: &ManualClock,
) -> OrderRunner<ManualClock> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = EntrySettings {
        instance: InstanceSettings::new(format!("entry-{index}"), "didube".into(), "a".into()),
        listen: ListenSettings {
            callers: any_port,
            operators: any_port,
            peers: any_port,
        },
        platform: PlatformSettings {
            address: platform.address(),
            ..PlatformSettings::default()
        },
        ..EntrySettings::default()
    };
    let context = EntryContext::new(settings, clock.clone()).expect("context");
    context
        .table()
        .install(RouteTable::new(Arc::new(desired_sheet(1, engines))));
    let orders = OrderSettings {
        load_interval: Duration::ZERO,
        ..OrderSettings::default()
    };
    OrderRunner::new(context, LeaseSettings::default(), orders).expect("state charts")
}

/// Returns a sheet that requires version 2 of the model.
fn desired_sheet(revision: u64, engines: &[EngineStandin]) -> SheetModel {
    let endpoints = engines.iter().enumerate().map(|(index, engine)| {
        let entry = EndpointEntry {
            address: engine.address(),
            target: EndpointTarget::Layers {
                model: "model-a".into(),
                range: LayerRange::new(0, 8),
            },
            accelerator: "a10".into(),
            failure_domain: "didube".into(),
            region: "a".into(),
            checks_fencing: index == 0,
            capacity: 8,
        };
        (format!("engine-{index}").into(), entry)
    });
    let model = ModelEntry {
        layers: 8,
        context_tokens: 1000,
        version: "2".into(),
    };
    SheetModel {
        revision,
        endpoints: endpoints.collect(),
        models: [("model-a".into(), model)].into(),
        ..SheetModel::default()
    }
}

#[actix_rt::test]
async fn desired_version() {
    let fleet = OrderFleet::start();
    fleet.advance(&[0, 1], Duration::from_secs(10)).await;
    let holders = fleet.runners.iter().filter(|runner| runner.is_holder());
    assert_eq!(holders.count(), 1);
    assert_eq!(
        fleet.engine_versions().await,
        ["2", "1"],
        "the engine without fencing waits for the grace period"
    );
    fleet.advance(&[0, 1], Duration::from_mins(1)).await;
    assert_eq!(fleet.engine_versions().await, ["2", "2"]);
}

#[actix_rt::test]
async fn paused_lease_holder() {
    let fleet = OrderFleet::start();
    fleet.advance(&[0], Duration::from_secs(2)).await;
    assert!(fleet.runners[0].is_holder());
    fleet.advance(&[1], Duration::from_secs(20)).await;
    assert!(fleet.runners[1].is_holder());
    assert!(
        !fleet.runners[0].is_holder(),
        "the term of the paused holder has ended"
    );
    fleet.advance(&[0, 1], Duration::from_secs(5)).await;
    assert!(fleet.runners[1].is_holder());
    assert!(!fleet.runners[0].is_holder());
}

#[actix_rt::test]
async fn lost_order_answer() {
    let fleet = OrderFleet::start();
    fleet.engines[0].set_faults(FaultChange {
        reset_answers: Some(1),
        only_method: Some("POST".into()),
        ..FaultChange::default()
    });
    fleet.advance(&[0], Duration::from_secs(20)).await;
    assert_eq!(fleet.engine_versions().await[0], "2");
    assert_eq!(
        fleet.runners[0].unconfirmed_count(),
        1,
        "the first engine is confirmed by its state read back"
    );
}

#[actix_rt::test]
async fn store_outage() {
    let fleet = OrderFleet::start();
    fleet.advance(&[0], Duration::from_secs(2)).await;
    fleet.platform.set_faults(FaultChange {
        outage: Some(true),
        ..FaultChange::default()
    });
    fleet.advance(&[0, 1], Duration::from_secs(12)).await;
    assert!(fleet.runners.iter().all(|runner| !runner.is_holder()));
    fleet.platform.set_faults(FaultChange {
        outage: Some(false),
        ..FaultChange::default()
    });
    fleet.advance(&[0, 1], Duration::from_secs(30)).await;
    let holders = fleet.runners.iter().filter(|runner| runner.is_holder());
    assert_eq!(holders.count(), 1);
}

#[actix_rt::test]
async fn released_lease() {
    let fleet = OrderFleet::start();
    fleet.advance(&[0], Duration::from_secs(2)).await;
    fleet.runners[0].stop().await;
    fleet.advance(&[1], Duration::from_secs(4)).await;
    assert!(
        fleet.runners[1].is_holder(),
        "a released lease is free before its term ends"
    );
}
