//! Progress of a request, as its last log line shows it.

use dandeliondeal_relay::request_progress::RequestProgress;
use dandeliondeal_types::EndpointId;

#[test]
fn rejected_attempt() {
    let progress = RequestProgress::default();
    progress.record_attempt(&EndpointId::from("engine-1"));
    progress.record_rejection();
    assert_eq!((progress.attempts(), progress.runs()), (1, 0));
    assert_eq!(progress.waiting_on(), None);
}

// A request that ends while it waits for its first event shows what it waited for.
#[test]
fn shared_progress() {
    let progress = RequestProgress::default();
    let logged = progress.clone();
    progress.record_attempt(&EndpointId::from("engine-1"));
    progress.record_attempt(&EndpointId::from("engine-2"));
    progress.record_event(Some(4));
    assert_eq!((logged.attempts(), logged.runs()), (2, 2));
    assert_eq!(logged.waiting_on().as_deref(), Some("engine-2"));
    assert_eq!(logged.last_event(), Some(4));
}
