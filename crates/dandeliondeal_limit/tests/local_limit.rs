//! Tests admission of requests against an instance's share of a limit.

use std::time::{Duration, Instant};

use dandeliondeal_limit::{LimitAmount, LocalLimit};

const SHARE: LimitAmount = LimitAmount {
    milli_requests: 10_000,
    tokens: 1_000,
    concurrency: 20,
};

#[test]
fn request_rate() {
    let now = Instant::now();
    let mut limit = LocalLimit::new(SHARE, now);
    let mut admitted = 0;
    for step in 0..1000_u32 {
        let time = now + Duration::from_millis(10) * step;
        if limit.admit(1.0, time).is_ok() {
            admitted += 1;
            limit.finish(0.0);
        }
    }
    // Ten per second for ten seconds, plus a burst of one second.
    assert!((109..=110).contains(&admitted), "{admitted}");
}

#[test]
fn concurrency_limited() {
    let now = Instant::now();
    let share = LimitAmount {
        milli_requests: 1_000_000,
        ..SHARE
    };
    let mut limit = LocalLimit::new(share, now);
    let admitted = (0..50).filter(|_| limit.admit(1.0, now).is_ok()).count();
    assert_eq!(admitted, 20);
    limit.finish(0.0);
    assert!(limit.admit(1.0, now).is_ok());
}

#[test]
fn token_retry_delay() {
    let now = Instant::now();
    let mut limit = LocalLimit::new(SHARE, now);
    assert!(limit.admit(1000.0, now).is_ok());
    let retry_delay = limit.admit(500.0, now).unwrap_err();
    assert!(limit.admit(500.0, now + retry_delay).is_ok());
}

#[test]
fn correction_returned() {
    let now = Instant::now();
    let mut limit = LocalLimit::new(SHARE, now);
    assert!(limit.admit(1000.0, now).is_ok());
    limit.finish(-600.0);
    assert!(limit.admit(600.0, now).is_ok());
}

#[test]
fn empty_share() {
    let now = Instant::now();
    let mut limit = LocalLimit::new(LimitAmount::default(), now);
    assert!(limit.admit(1.0, now).is_err());
    assert!(limit.demand(now).milli_requests > 0);
}
