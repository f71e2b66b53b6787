//! Acts as an operator that accepts sheets at a platform stand-in.

use std::time::{Duration, Instant};

use dandeliondeal_config::{
    AcceptError, AcceptReport, ChangeRequest, ReadinessGate, StoreSession, example_sheet,
    read_sheet, verify_trail,
};
use dandeliondeal_entry::EntryServer;
use dandeliondeal_standin::PlatformStandin;
use dandeliondeal_store::PlatformClient;
use dandeliondeal_types::{Clock, SystemClock};

/// Maximum time for a store call, and for a condition to become true.
const WAIT_LIMIT: Duration = Duration::from_secs(15);

pub fn start_platform() -> PlatformStandin {
    PlatformStandin::start(dandeliondeal_standin::PlatformSettings::default()).unwrap()
}

/// Accepts the example sheet with `capacity` set for its first engine, and verifies the trail.
pub async fn accept_sheet(
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
    let store_session = StoreSession {
        store: &client,
        clock: &SystemClock,
        deadline: SystemClock.now() + WAIT_LIMIT,
    };
    let sheet_text = example_sheet().replace(
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
    let report = store_session
        .accept_sheet(&read_sheet(sheet_text.as_bytes()).unwrap(), &request)
        .await;
    verify_trail(&store_session.read_trail().await.unwrap()).unwrap();
    report
}

pub fn is_ready(entry: &EntryServer<SystemClock>) -> bool {
    let readiness = entry.context().readiness().borrow();
    readiness.as_ref().is_some_and(ReadinessGate::is_ready)
}

/// Waits until `condition` returns true; panics with `description` after [`WAIT_LIMIT`].
pub async fn wait_until<Condition>(description: &str, condition: Condition)
where
    Condition: Fn() -> bool,
{
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "not true within {WAIT_LIMIT:?}: {description}"
        );
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}
