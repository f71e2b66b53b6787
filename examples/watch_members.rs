//! Suspects a member that does not answer, and declares it failed when an observer confirms this.

use std::error::Error;
use std::time::{Duration, Instant};

use dandeliondeal::peer::{
    MemberIdentity, MembershipAction, MembershipEvent, MembershipMachine, MembershipSettings,
};
use dandeliondeal::types::{InstanceRecord, InstanceRole, InstanceState};

fn member_identity(id: &str, port: u16) -> MemberIdentity {
    MemberIdentity {
        id: id.into(),
        incarnation: 1,
        address: ([127, 0, 0, 1], port).into(),
        failure_domain: "didube".into(),
        region: "tbilisi".into(),
    }
}

/// Returns the record of a member in the instance list of the platform.
fn instance_record(identity: MemberIdentity) -> InstanceRecord {
    InstanceRecord {
        id: identity.id,
        role: InstanceRole::Entry,
        state: InstanceState::Live,
        address: identity.address,
        failure_domain: identity.failure_domain,
        region: identity.region,
        incarnation: identity.incarnation,
    }
}

/// Applies an event and prints the actions that the caller of the machine has to perform.
fn show_event(machine: &mut MembershipMachine, event: MembershipEvent, now: Instant) {
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
    println!("  live: {}", machine.live_members().len());
}

fn main() -> Result<(), Box<dyn Error>> {
    let now = Instant::now();
    let settings = MembershipSettings::default();
    let mut machine = MembershipMachine::new(settings, member_identity("entry-1", 1), now)?;
    let records = vec![
        instance_record(member_identity("entry-2", 2)),
        instance_record(member_identity("entry-3", 3)),
    ];
    machine.apply(MembershipEvent::InstancesListed { records }, now);
    let now = now + Duration::from_secs(1);
    show_event(&mut machine, MembershipEvent::Tick, now);
    // A single missing answer may be due to the link, so a suspected member still counts as live.
    let peer = "entry-2".into();
    show_event(&mut machine, MembershipEvent::Unanswered { peer }, now);
    let (subject, reachable) = ("entry-2".into(), false);
    let event = MembershipEvent::Observed { subject, reachable };
    show_event(&mut machine, event, now);
    Ok(())
}
