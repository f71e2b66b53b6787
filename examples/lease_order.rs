//! Orders an engine to hold a range of layers, under a lease with a fencing number.

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

/// Makes the calls that the lease asks for, until it has none left.
fn drive(lease: &mut LeaseMachine, store: &MemoryStore, time: LeaseTime) {
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
    drive(&mut lease, &store, LeaseTime::of(&clock));
    let fence = lease.fence(LeaseTime::of(&clock)).ok_or("no lease")?;
    println!("lease {:?}, fencing number {fence}", lease.state());

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
    let mut held = desired.content.clone();
    held.version = "v1".into();
    // The desk reads before it orders, and reads again after an order took effect.
    let number = lease.terms();
    let term = Some(OrderTerm { fence, number });
    let mut desk = OrderReconciler::new(OrderSettings::default());
    let mut event = OrderEvent::Desired([("engine-1".into(), desired)].into());
    while let Some(action) = desk.handle(event, term, clock.now())?.pop() {
        println!("{action:?}");
        event = match action {
            OrderAction::Read(id) => OrderEvent::Read(id, Some(held.clone())),
            OrderAction::Send(id, order) => {
                held = order.content;
                OrderEvent::Answered(id, OrderAnswer::Applied)
            }
        };
    }
    println!("endpoints not as desired: {}", desk.unsettled());
    // A process that was paused past its term may have a successor: it must not order.
    clock.advance(Duration::from_secs(11));
    println!("after a pause: {:?}", lease.fence(LeaseTime::of(&clock)));
    Ok(())
}
