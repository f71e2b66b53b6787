//! Orders an engine to load another model version, under a lease with a fencing number.

use std::error::Error;
use std::time::Duration;

use dandeliondeal::order::{
    DesiredState, EngineContent, OrderAction, OrderAnswer, OrderEvent, OrderReconciler,
    OrderSettings, OrderTerm,
};
use dandeliondeal::prelude::{Clock, ManualClock};
use dandeliondeal::store::{
    LeaseAction, LeaseEvent, LeaseMachine, LeaseSettings, LeaseTime, MemoryStore,
};

/// Performs the store calls that the lease machine requests, until it requests no more.
fn run_lease(lease: &mut LeaseMachine, store: &MemoryStore, time: LeaseTime) {
    let mut event = LeaseEvent::Tick;
    while let Some(action) = lease.handle(event, time) {
        event = match action {
            LeaseAction::Get(name) => LeaseEvent::Read(store.get_now(&name)),
            LeaseAction::Put {
                name,
                condition,
                body,
            } => LeaseEvent::Written(store.put_now(&name, condition, body)),
        };
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let (clock, store) = (ManualClock::default(), MemoryStore::default());
    let mut lease = LeaseMachine::new(LeaseSettings::default())?;
    run_lease(&mut lease, &store, LeaseTime::of(&clock));
    let fencing_number = lease
        .fencing_number(LeaseTime::of(&clock))
        .ok_or("the lease was not acquired")?;
    println!("lease {:?}, fencing number {fencing_number}", lease.state());

    let desired = DesiredState {
        content: EngineContent {
            model: "drafter".into(),
            version: "v2".into(),
            start: 0,
            end: 12,
        },
        layers: 24,
        checks_fencing: true,
    };
    let mut loaded_content = desired.content.clone();
    loaded_content.version = "v1".into();
    // The reconciler reads the loaded content before it sends an order, and again afterwards.
    let number = lease.term_count();
    let term = Some(OrderTerm {
        fencing_number,
        number,
    });
    let mut reconciler = OrderReconciler::new(OrderSettings::default());
    let mut event = OrderEvent::Desired([("engine-1".into(), desired)].into());
    while let Some(action) = reconciler.handle(event, term, clock.now())?.pop() {
        println!("{action:?}");
        event = match action {
            OrderAction::Read(id) => OrderEvent::Read(id, Some(loaded_content.clone())),
            OrderAction::Send(id, order) => {
                loaded_content = order.content;
                OrderEvent::Answered(id, OrderAnswer::Applied)
            }
        };
    }
    println!(
        "endpoints not as desired: {}",
        reconciler.unconfirmed_count()
    );
    // A process that was paused for longer than its lease may have been replaced, so that it must
    // not send orders.
    clock.advance(Duration::from_secs(11));
    println!(
        "after a pause: {:?}",
        lease.fencing_number(LeaseTime::of(&clock))
    );
    Ok(())
}
