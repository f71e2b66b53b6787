//! Bounds on retries.

use std::time::Duration;

use dandeliondeal_balance::{RetryBudget, RetrySettings};
use rand::SeedableRng;
use rand::rngs::StdRng;

#[test]
fn total_outage() {
    let settings = RetrySettings::default();
    let mut budget = RetryBudget::new(settings);
    let requests = 10_000_u32;
    let mut retries = 0_u32;
    for _ in 0..requests {
        budget.first_try();
        while budget.take() {
            retries += 1;
        }
    }
    let bound = settings.share * f64::from(requests) + settings.reserve;
    assert!(f64::from(retries) <= bound, "{retries} over {bound}");
}

#[test]
fn outage_end() {
    let settings = RetrySettings::default();
    let mut budget = RetryBudget::new(settings);
    for _ in 0..10_000 {
        budget.first_try();
    }
    let saved = (0..10_000).filter(|_| budget.take()).count();
    assert_eq!(saved, 20);
}

#[test]
fn wait_bounded() {
    let budget = RetryBudget::new(RetrySettings::default());
    let mut random = StdRng::seed_from_u64(3);
    let left = Duration::from_mins(1);
    for retry in 0..40 {
        let wait = budget.wait(retry, left, &mut random).unwrap();
        assert!(wait <= Duration::from_secs(1), "{wait:?}");
    }
    let short = Duration::from_millis(1);
    assert_eq!(budget.wait(0, short, &mut random), None);
}
