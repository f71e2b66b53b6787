//! Tests the limits of the retry budget.

use std::time::Duration;

use dandeliondeal_balance::{RetryBudget, RetrySettings};
use rand::SeedableRng;
use rand::rngs::StdRng;

#[test]
fn retries_bounded() {
    let settings = RetrySettings::default();
    let mut budget = RetryBudget::new(settings);
    let requests = 10_000_u32;
    let mut retries = 0_u32;
    for _ in 0..requests {
        budget.record_request();
        while budget.try_take() {
            retries += 1;
        }
    }
    let bound = settings.retries_per_request * f64::from(requests) + settings.max_saved_retries;
    assert!(f64::from(retries) <= bound, "{retries} over {bound}");
}

#[test]
fn saved_retries_bounded() {
    let settings = RetrySettings::default();
    let mut budget = RetryBudget::new(settings);
    for _ in 0..10_000 {
        budget.record_request();
    }
    let allowed = (0..10_000).filter(|_| budget.try_take()).count();
    assert_eq!(allowed, 20);
}

#[test]
fn delay_bounded() {
    let budget = RetryBudget::new(RetrySettings::default());
    let mut random = StdRng::seed_from_u64(3);
    let remaining = Duration::from_mins(1);
    for retry in 0..40 {
        let delay = budget.retry_delay(retry, remaining, &mut random).unwrap();
        assert!(delay <= Duration::from_secs(1), "{delay:?}");
    }
    let short = Duration::from_millis(1);
    assert_eq!(budget.retry_delay(0, short, &mut random), None);
}
