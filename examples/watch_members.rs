//! Suspects a member that does not answer, and gives it up once a second observer agrees.

use std::error::Error;
use std::time::{Duration, Instant};

use dandeliondeal::peer::{
    MemberCard, MembershipAction, MembershipEvent, MembershipMachine, MembershipSettings,
};
use dandeliondeal::types::{InstanceRecord, InstanceRole, InstanceState};

fn card(id: &str, port: u16) -> MemberCard {
    MemberCard {
        id: id.into(),
        incarnation: 1,
        address: ([127, 0, 0, 1], port).into(),
        failure_domain: "didube".into(),
        region: "tbilisi".into(),
    }
}

/// What the platform's instance list says of a member.
fn record(card: MemberCard) -> InstanceRecord {
    InstanceRecord {
        id: card.id,
        role: InstanceRole::Entry,
        state: InstanceState::Live,
        address: card.address,
        failure_domain: card.failure_domain,
        region: card.region,
        incarnation: card.incarnation,
    }
}

/// Applies an event and shows what the shell would have to do.
fn show(machine: &mut MembershipMachine, event: MembershipEvent, now: Instant) {
    println!("{event:?}");
    for action in machine.apply(event, now) {
        match action {
            MembershipAction::Send { to } => println!("  heartbeat to {}", to.id),
            MembershipAction::Observe { observer, subject } => {
                println!("  ask {} whether it reaches {}", observer.id, subject.id);
            }
            MembershipAction::Changed { id, state } => println!("  {id} is now {state:?}"),
        }
    }
    println!("  live: {}", machine.live().len());
}

fn main() -> Result<(), Box<dyn Error>> {
    let now = Instant::now();
    let settings = MembershipSettings::default();
    let mut machine = MembershipMachine::new(settings, card("entry-1", 1), now)?;
    let records = vec![record(card("entry-2", 2)), record(card("entry-3", 3))];
    machine.apply(MembershipEvent::Listed { records }, now);
    let now = now + Duration::from_secs(1);
    show(&mut machine, MembershipEvent::Tick, now);
    // One silent link says little: a suspected member still counts as live.
    let peer = "entry-2".into();
    show(&mut machine, MembershipEvent::Unanswered { peer }, now);
    let (subject, reachable) = ("entry-2".into(), false);
    let event = MembershipEvent::Observed { subject, reachable };
    show(&mut machine, event, now);
    Ok(())
}
