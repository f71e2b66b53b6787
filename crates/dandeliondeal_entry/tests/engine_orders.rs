//! Orders to engines over real sockets, while the lease changes hands.

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

const PAUSE: Duration = Duration::from_millis(5);

struct OrderFleet {
    platform: PlatformStandin,
    engines: Vec<EngineStandin>,
    clock: ManualClock,
    runners: Vec<OrderRunner<ManualClock>>,
}

impl OrderFleet {
    /// Two engines, of which the first checks fencing numbers, and two contenders.
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
            .map(|index| runner(index, &platform, &engines, &clock))
            .collect();
        Self {
            platform,
            engines,
            clock,
            runners,
        }
    }

    /// Lets time go by for the contenders that are not paused.
    async fn run(&self, running: &[usize], time: Duration) {
        let end = self.clock.now() + time;
        while self.clock.now() < end {
            self.clock.advance(Duration::from_millis(250));
            for index in running {
                self.runners[*index].tick();
            }
            actix_rt::time::sleep(PAUSE).await;
        }
    }

    async fn versions(&self) -> Vec<String> {
        let pool = dandeliondeal_entry::http_pool::HttpPool::new(Duration::from_secs(1));
        let mut versions = Vec::new();
        for engine in &self.engines {
            let content = read_content(&pool, engine.address()).await;
            versions.push(content.expect("content").version.to_string());
        }
        versions
    }
}

fn runner(
    index: usize,
    platform: &PlatformStandin,
    engines: &[EngineStandin],
    clock: &ManualClock,
) -> OrderRunner<ManualClock> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = EntrySettings {
        instance: InstanceSettings::new(format!("entry-{index}"), "didube".into(), "a".into()),
        listen: ListenSettings {
            callers: any,
            operators: any,
            peers: any,
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
        .install(RouteTable::new(Arc::new(sheet(1, engines))));
    let orders = OrderSettings {
        load_interval: Duration::ZERO,
        ..OrderSettings::default()
    };
    OrderRunner::new(context, LeaseSettings::default(), orders).expect("charts")
}

/// A sheet that asks for version 2 of the model.
fn sheet(revision: u64, engines: &[EngineStandin]) -> SheetModel {
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
    fleet.run(&[0, 1], Duration::from_secs(10)).await;
    let holders = fleet.runners.iter().filter(|runner| runner.is_holder());
    assert_eq!(holders.count(), 1);
    assert_eq!(
        fleet.versions().await,
        ["2", "1"],
        "one waits for the grace period"
    );
    fleet.run(&[0, 1], Duration::from_mins(1)).await;
    assert_eq!(fleet.versions().await, ["2", "2"]);
}

#[actix_rt::test]
async fn paused_holder() {
    let fleet = OrderFleet::start();
    fleet.run(&[0], Duration::from_secs(2)).await;
    assert!(fleet.runners[0].is_holder());
    fleet.run(&[1], Duration::from_secs(20)).await;
    assert!(fleet.runners[1].is_holder());
    assert!(!fleet.runners[0].is_holder(), "it woke past its term");
    fleet.run(&[0, 1], Duration::from_secs(5)).await;
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
    fleet.run(&[0], Duration::from_secs(20)).await;
    assert_eq!(fleet.versions().await[0], "2");
    assert_eq!(fleet.runners[0].unsettled(), 1, "read back as it should be");
}

#[actix_rt::test]
async fn store_outage() {
    let fleet = OrderFleet::start();
    fleet.run(&[0], Duration::from_secs(2)).await;
    fleet.platform.set_faults(FaultChange {
        outage: Some(true),
        ..FaultChange::default()
    });
    fleet.run(&[0, 1], Duration::from_secs(12)).await;
    assert!(fleet.runners.iter().all(|runner| !runner.is_holder()));
    fleet.platform.set_faults(FaultChange {
        outage: Some(false),
        ..FaultChange::default()
    });
    fleet.run(&[0, 1], Duration::from_secs(30)).await;
    let holders = fleet.runners.iter().filter(|runner| runner.is_holder());
    assert_eq!(holders.count(), 1);
}

#[actix_rt::test]
async fn released_lease() {
    let fleet = OrderFleet::start();
    fleet.run(&[0], Duration::from_secs(2)).await;
    fleet.runners[0].stop().await;
    fleet.run(&[1], Duration::from_secs(4)).await;
    assert!(fleet.runners[1].is_holder(), "no term has to be waited for");
}
