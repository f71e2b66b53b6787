//! Divides the limit of an organisation between two instances, and enforces one of the shares.

use std::error::Error;
use std::time::{Duration, Instant};

use dandeliondeal::limit::{GrantHolder, GrantOwner, GrantSettings, LimitAmount, LocalLimit};

const LIMIT: LimitAmount = LimitAmount {
    milli_requests: 10_000,
    tokens: 1_000,
    concurrency: 8,
};

/// Requests a grant from the owner of the limit.
///
/// The owner may be another process, in which case either message can be lost.
fn request_grant(
    owner: &mut GrantOwner,
    holder: &mut GrantHolder,
    demand: LimitAmount,
    now: Instant,
) {
    let request = holder.request(demand, now);
    let answer = owner.request(&request, now);
    holder.process_answer(answer, now);
}

fn main() -> Result<(), Box<dyn Error>> {
    let now = Instant::now();
    let settings = GrantSettings::default();
    // There was no previous owner, so this one need not wait for earlier grants to expire.
    let mut owner = GrantOwner::new(settings, LIMIT, 1, true, now, now);
    let mut quiet = GrantHolder::new("entry-1".into(), 1);
    let mut busy = GrantHolder::new("entry-2".into(), 1);
    // The first instance that asks is granted the whole limit. It releases a part when it renews
    // its grant. The owner grants that part to the other instance only after this renewal, which
    // confirms that the part is no longer used.
    for round in 1..=3 {
        request_grant(&mut owner, &mut quiet, LIMIT.divide_by(4), now);
        request_grant(&mut owner, &mut busy, LIMIT, now);
        let places = [&quiet, &busy].map(|holder| holder.amount(now).concurrency);
        println!("round {round}: places in flight {places:?}");
    }
    println!("quiet instance: {:?}", quiet.amount(now));
    println!("busy instance:  {:?}", busy.amount(now));
    // The sum of all shares never exceeds the limit, regardless of the demands.
    let sum = quiet.amount(now).plus(busy.amount(now));
    println!("both together within the limit: {}", sum.is_within(LIMIT));

    // Each instance enforces its share locally, without a call to the owner for each request.
    let mut local_limit = LocalLimit::new(busy.amount(now), now);
    let admitted = (0..20)
        .filter(|_| local_limit.admit(1.0, now).is_ok())
        .count();
    println!("of 20 requests at once the busy instance admits {admitted}");
    let retry_delay = local_limit
        .admit(1.0, now)
        .err()
        .ok_or("the share is not exhausted")?;
    println!("the next one is told to wait {retry_delay:?}");

    // A share expires, so that an instance without contact to the owner cannot use it indefinitely.
    let later = now + settings.lifetime + Duration::from_millis(1);
    println!("without renewal the share is {:?}", busy.amount(later));
    Ok(())
}
