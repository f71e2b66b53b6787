//! Divides an organisation's limit between two instances, and admits requests by one share.

use std::error::Error;
use std::time::{Duration, Instant};

use dandeliondeal::limit::{GrantHolder, GrantOwner, GrantSettings, LimitAmount, LocalLimit};

const LIMIT: LimitAmount = LimitAmount {
    milli_requests: 10_000,
    tokens: 1_000,
    concurrency: 8,
};

/// Asks for a grant; the owner may be another process, so either message could be lost.
fn ask(owner: &mut GrantOwner, holder: &mut GrantHolder, demand: LimitAmount, now: Instant) {
    let request = holder.request(demand, now);
    let answer = owner.request(&request, now);
    holder.answered(answer, now);
}

fn main() -> Result<(), Box<dyn Error>> {
    let now = Instant::now();
    let settings = GrantSettings::default();
    // There was no owner before this one, so it need not wait for old grants to end.
    let mut owner = GrantOwner::new(settings, LIMIT, 1, true, now, now);
    let mut quiet = GrantHolder::new("entry-1".into(), 1);
    let mut busy = GrantHolder::new("entry-2".into(), 1);
    // The first to ask gets all. It gives up a part as it renews, and only then, when the owner
    // has heard that the part is no longer used, the other one gets it.
    for round in 1..=3 {
        ask(&mut owner, &mut quiet, LIMIT.divided(4), now);
        ask(&mut owner, &mut busy, LIMIT, now);
        let places = [&quiet, &busy].map(|holder| holder.amount(now).concurrency);
        println!("round {round}: places in flight {places:?}");
    }
    println!("quiet instance: {:?}", quiet.amount(now));
    println!("busy instance:  {:?}", busy.amount(now));
    // The sum never exceeds the limit, whatever the instances ask for.
    let sum = quiet.amount(now).plus(busy.amount(now));
    println!("both together within the limit: {}", sum.is_within(LIMIT));

    // Each instance applies its share alone; no call to the owner is made for a request.
    let mut limit = LocalLimit::new(busy.amount(now), now);
    let admitted = (0..20).filter(|_| limit.admit(1.0, now).is_ok()).count();
    println!("of 20 requests at once the busy instance admits {admitted}");
    let wait = limit
        .admit(1.0, now)
        .err()
        .ok_or("the share was not used up")?;
    println!("the next one is told to wait {wait:?}");

    // A share ends by itself, so an instance that lost the owner cannot use it for ever.
    let later = now + settings.life + Duration::from_millis(1);
    println!("without renewal the share is {:?}", busy.amount(later));
    Ok(())
}
