//! An operator who accepts sheets at a stand-in platform.

use std::time::{Duration, Instant};

use dandeliondeal_config::{
    AcceptError, AcceptReport, ChangeRequest, ReadinessGate, StoreCall, example_sheet, read_sheet,
    verify_trail,
};
use dandeliondeal_entry::EntryServer;
use dandeliondeal_standin::PlatformStandin;
use dandeliondeal_store::PlatformClient;
use dandeliondeal_types::{Clock, SystemClock};

const PATIENCE: Duration = Duration::from_secs(15);

pub fn platform() -> PlatformStandin {
    PlatformStandin::start(dandeliondeal_standin::PlatformSettings::default()).unwrap()
}

/// Accepts the example sheet with another capacity of its first engine.
pub async fn accept(
    platform: &PlatformStandin,
    author: &str,
    capacity: u32,
) -> Result<AcceptReport, AcceptError> {
    let client = PlatformClient::new(
        dandeliondeal_store::PlatformSettings {
            address: platform.address(),
            call_timeout: Duration::from_millis(300),
            ..dandeliondeal_store::PlatformSettings::default()
        },
        SystemClock,
    );
    let call = StoreCall {
        store: &client,
        clock: &SystemClock,
        deadline: SystemClock.now() + PATIENCE,
    };
    let text = example_sheet().replace(
        "engine-1,capacity,16",
        &format!("engine-1,capacity,{capacity}"),
    );
    let request = ChangeRequest {
        change: format!("{author}-{capacity}").into(),
        author: author.into(),
        at_milliseconds: 0,
        base: None,
        allow_removals: false,
    };
    let report = call
        .accept_sheet(&read_sheet(text.as_bytes()).unwrap(), &request)
        .await;
    verify_trail(&call.read_trail().await.unwrap()).unwrap();
    report
}

pub fn is_ready(entry: &EntryServer<SystemClock>) -> bool {
    let readiness = entry.context().readiness().borrow();
    readiness.as_ref().is_some_and(ReadinessGate::is_ready)
}

/// Waits until something holds.
pub async fn wait_until<Holds>(what: &str, holds: Holds)
where
    Holds: Fn() -> bool,
{
    let limit = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < limit, "not within {PATIENCE:?}: {what}");
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}
