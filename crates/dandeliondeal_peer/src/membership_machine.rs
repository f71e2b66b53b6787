//! Decides which members receive heartbeats, are suspected, or have failed.
//!
//! Updates on members spread with the heartbeats. Digests detect the updates that a member missed,
//! and a failure is declared only after a second observer confirms it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use dandeliondeal_chart::{ChartError, ChartMachine};
use dandeliondeal_config::RevisionStamp;
use dandeliondeal_types::{Incarnation, InstanceId, InstanceRecord, InstanceRole, InstanceState};

use crate::member_state::{MemberEvent, MemberState, MemberTable, member_table};
use crate::membership_event::{FanOut, MembershipAction, MembershipEvent, MembershipSettings};
use crate::neighbour_ring::neighbours;
use crate::peer_message::{Heartbeat, MemberIdentity, MemberStatus, MemberUpdate};

/// Maximum number of updates in a heartbeat, besides one that reports the recipient as failed.
const UPDATES_PER_HEARTBEAT: usize = 8;
/// Number of heartbeats that carry the same update, for each doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 3;
/// Number of heartbeat intervals between attempts to reach failed members, which are tried in turn.
const FAILED_PROBE_INTERVALS: u32 = 10;
/// Number of consecutive list reads without a failed member after which it is removed.
const MISSED_LISTINGS_LIMIT: u32 = 2;

#[derive(Debug)]
struct Member {
    update: MemberUpdate,
    update_hash: u64,
    machine: ChartMachine<MemberState, MemberEvent>,
    next_send: Instant,
    /// Number of heartbeats that have carried the update.
    update_sends: u32,
    /// Number of consecutive list reads without this member.
    missed_listings: u32,
    /// Number of unanswered heartbeats so far, which determines the next observer to ask.
    observation_turn: u64,
}

/// All members of the fleet, as one instance sees them.
#[derive(Debug)]
pub struct MembershipMachine {
    settings: MembershipSettings,
    table: MemberTable,
    own_update: MemberUpdate,
    members: BTreeMap<InstanceId, Member>,
    next_failed_probe: Instant,
    failed_probe_turn: usize,
    /// Whether the digest in the last received heartbeat differed from that of this instance.
    digest_differs: bool,
    /// Index of the next member to include in a heartbeat after the digests differed.
    resync_index: usize,
}

impl MembershipMachine {
    /// Creates a machine whose only member is this instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the chart file is invalid.
    pub fn new(
        settings: MembershipSettings,
        own_identity: MemberIdentity,
        now: Instant,
    ) -> Result<Self, ChartError> {
        Ok(Self {
            next_failed_probe: now + settings.interval * FAILED_PROBE_INTERVALS,
            settings,
            table: member_table()?,
            own_update: MemberUpdate {
                identity: own_identity,
                status: MemberStatus::Alive,
                version: 0,
            },
            members: BTreeMap::new(),
            failed_probe_turn: 0,
            digest_differs: false,
            resync_index: 0,
        })
    }

    /// Returns the update that this instance sends about itself.
    pub fn own_update(&self) -> &MemberUpdate {
        &self.own_update
    }

    /// Returns the identity and the state of every other member.
    pub fn members(&self) -> impl Iterator<Item = (&MemberIdentity, MemberState)> {
        let members = self.members.values();
        members.map(|member| (&member.update.identity, member.machine.state()))
    }

    /// Returns the identity of a member, or `None` if it is not known.
    pub fn identity(&self, id: &str) -> Option<&MemberIdentity> {
        self.members.get(id).map(|member| &member.update.identity)
    }

    /// Returns the running members, including this instance and suspected members.
    ///
    /// Leaving members are left out, since they take no new work.
    pub fn live_members(&self) -> Vec<&MemberIdentity> {
        let is_live = |state| matches!(state, MemberState::Alive | MemberState::Suspected);
        let others = self.members().filter(|(_, state)| is_live(*state));
        let own_identity =
            (self.own_update.status == MemberStatus::Alive).then_some(&self.own_update.identity);
        own_identity
            .into_iter()
            .chain(others.map(|(identity, _)| identity))
            .collect()
    }

    /// Returns the rank of this instance, from 0, among the live ones of its failure domain.
    ///
    /// Ranks go by hashed id. Low ones do shared work, such as reading the instance list often.
    pub fn domain_rank(&self) -> usize {
        let sort_key = |member: &MemberIdentity| (xxh3_64(member.id.as_bytes()), member.id.clone());
        let own_key = sort_key(&self.own_update.identity);
        self.live_members()
            .into_iter()
            .filter(|identity| identity.failure_domain == self.own_update.identity.failure_domain)
            .filter(|identity| sort_key(identity) < own_key)
            .count()
    }

    /// Creates the heartbeat, or the answer to one, for a member.
    pub fn heartbeat(&mut self, to: &str, stamp: RevisionStamp) -> Heartbeat {
        let fleet_size_plus_one = u32::try_from(self.members.len() + 2).unwrap_or(u32::MAX);
        let max_sends = SENDS_PER_DOUBLING * fleet_size_plus_one.ilog2().max(1);
        let mut updates = Vec::new();
        // A member reported as failed has to learn of it, so that it can raise its version.
        if let Some(member) = self.members.get(to)
            && member.update.status == MemberStatus::Failed
        {
            updates.push(member.update.clone());
        }
        let mut pending: Vec<&mut Member> = self
            .members
            .values_mut()
            .filter(|member| member.update_sends < max_sends && &*member.update.identity.id != to)
            .collect();
        pending.sort_by_key(|member| member.update_sends);
        for member in pending.into_iter().take(UPDATES_PER_HEARTBEAT) {
            member.update_sends += 1;
            updates.push(member.update.clone());
        }
        if self.digest_differs {
            self.add_resync_updates(&mut updates);
        }
        Heartbeat {
            from: self.own_update.clone(),
            stamp,
            digest: self.digest(),
            updates,
        }
    }

    /// Fills a heartbeat with updates on all members in turn, because the digests differed.
    fn add_resync_updates(&mut self, updates: &mut Vec<MemberUpdate>) {
        let free_slots = UPDATES_PER_HEARTBEAT
            .saturating_sub(updates.len())
            .min(self.members.len());
        let members = self.members.values().cycle().skip(self.resync_index);
        updates.extend(members.take(free_slots).map(|member| member.update.clone()));
        self.resync_index = (self.resync_index + free_slots) % self.members.len().max(1);
    }

    /// Returns a digest of the updates on all members, equal on instances with equal views.
    fn digest(&self) -> u64 {
        let others = self.members.values();
        others.fold(hash_update(&self.own_update), |digest, member| {
            digest ^ member.update_hash
        })
    }

    /// Applies an event and returns the actions to perform.
    pub fn apply(&mut self, event: MembershipEvent, now: Instant) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        match event {
            MembershipEvent::Tick => self.tick(now, &mut actions),
            MembershipEvent::HeartbeatReceived { heartbeat } => {
                self.receive(heartbeat, now, &mut actions);
            }
            MembershipEvent::Unanswered { peer } => self.handle_unanswered(&peer, &mut actions),
            MembershipEvent::Observed { subject, reachable } => {
                self.handle_observation(&subject, reachable, &mut actions);
            }
            MembershipEvent::InstancesListed { records } => {
                self.handle_list(records, now, &mut actions);
            }
            MembershipEvent::Leave => {
                self.own_update.status = MemberStatus::Leaving;
                self.own_update.version += 1;
                self.send_to_neighbours(now, &mut actions);
            }
            MembershipEvent::RevisionChanged => self.send_to_neighbours(now, &mut actions),
        }
        actions
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        // A suspected member is contacted until it recovers or fails, neighbour or not.
        let suspected = self
            .members()
            .filter(|(_, state)| *state == MemberState::Suspected)
            .map(|(identity, _)| identity.clone());
        let targets: Vec<MemberIdentity> = suspected.chain(self.neighbours()).collect();
        for identity in targets {
            if self.members[&identity.id].next_send <= now {
                self.send_heartbeat(identity, now, actions);
            }
        }
        if now < self.next_failed_probe {
            return;
        }
        self.next_failed_probe = now + self.settings.interval * FAILED_PROBE_INTERVALS;
        self.failed_probe_turn += 1;
        let failed: Vec<MemberIdentity> = self
            .members()
            .filter(|(_, state)| *state == MemberState::Failed)
            .map(|(identity, _)| identity.clone())
            .collect();
        if !failed.is_empty() {
            let identity = failed[self.failed_probe_turn % failed.len()].clone();
            self.send_heartbeat(identity, now, actions);
        }
    }

    fn send_to_neighbours(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        for identity in self.neighbours() {
            self.send_heartbeat(identity, now, actions);
        }
    }

    fn send_heartbeat(
        &mut self,
        to: MemberIdentity,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(member) = self.members.get_mut(&to.id) {
            member.next_send = now + self.settings.interval;
            actions.push(MembershipAction::Send { to });
        }
    }

    /// Returns the members that this instance sends heartbeats to.
    pub fn neighbours(&self) -> Vec<MemberIdentity> {
        let others = self
            .members()
            .filter(|(_, state)| *state != MemberState::Failed)
            .map(|(identity, _)| identity);
        if self.settings.fan_out == FanOut::All {
            return others.cloned().collect();
        }
        let identities = std::iter::once(&self.own_update.identity).chain(others);
        neighbours(&self.own_update.identity, identities)
            .into_iter()
            .cloned()
            .collect()
    }

    fn receive(&mut self, heartbeat: Heartbeat, now: Instant, actions: &mut Vec<MembershipAction>) {
        let Heartbeat {
            from,
            updates,
            digest,
            ..
        } = heartbeat;
        let sender_id = Arc::clone(&from.identity.id);
        let incarnation = from.identity.incarnation;
        self.merge_update(from, now, actions);
        for update in updates {
            self.merge_update(update, now, actions);
        }
        self.digest_differs = digest != self.digest();
        let is_current = self
            .members
            .get(&sender_id)
            .is_some_and(|member| member.update.identity.incarnation == incarnation);
        if is_current {
            self.apply_to_member(&sender_id, MemberEvent::Answered, actions);
        }
    }

    fn merge_update(
        &mut self,
        update: MemberUpdate,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        if update.identity.id == self.own_update.identity.id {
            let is_own = update.identity.incarnation == self.own_update.identity.incarnation;
            if is_own && update.replaces(&self.own_update) {
                self.own_update.version = update.version + 1;
            }
            return;
        }
        let id = Arc::clone(&update.identity.id);
        if let Some(member) = self.members.get_mut(&id) {
            if !update.replaces(&member.update) {
                return;
            }
            member.update_hash = hash_update(&update);
            member.update = update;
            member.update_sends = 0;
        } else {
            let member = self.new_member(update, now);
            self.members.insert(Arc::clone(&id), member);
            actions.push(MembershipAction::Changed {
                id: Arc::clone(&id),
                state: MemberState::Alive,
            });
        }
        let event = match self.members[&id].update.status {
            MemberStatus::Alive => MemberEvent::ReportedAlive,
            MemberStatus::Leaving => MemberEvent::ReportedLeaving,
            MemberStatus::Failed => MemberEvent::ReportedFailed,
        };
        self.apply_to_member(&id, event, actions);
    }

    fn new_member(&self, update: MemberUpdate, now: Instant) -> Member {
        // Spreads the first heartbeats over the interval, by a hash so that runs are reproducible.
        let id_pair = format!("{} {}", self.own_update.identity.id, update.identity.id);
        let interval = u64::try_from(self.settings.interval.as_micros()).unwrap_or(u64::MAX);
        let offset = xxh3_64(id_pair.as_bytes()) % interval.max(1);
        Member {
            machine: ChartMachine::new(Arc::clone(&self.table)),
            next_send: now + Duration::from_micros(offset),
            update_hash: hash_update(&update),
            update,
            update_sends: 0,
            missed_listings: 0,
            observation_turn: 0,
        }
    }

    fn apply_to_member(
        &mut self,
        id: &str,
        event: MemberEvent,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        let previous = member.machine.state();
        // The membership chart refuses no event, so this cannot fail.
        let current = member.machine.apply(event).unwrap_or(previous);
        if previous != current {
            actions.push(MembershipAction::Changed {
                id: Arc::clone(&member.update.identity.id),
                state: current,
            });
        }
    }

    fn handle_unanswered(&mut self, peer: &str, actions: &mut Vec<MembershipAction>) {
        self.apply_to_member(peer, MemberEvent::Unanswered, actions);
        let Some(member) = self.members.get_mut(peer) else {
            return;
        };
        if member.machine.state() == MemberState::Failed {
            return;
        }
        member.observation_turn += 1;
        let turn = member.observation_turn;
        let subject = member.update.identity.clone();
        if let Some(observer) = self.choose_observer(&subject, turn) {
            actions.push(MembershipAction::Observe { observer, subject });
        }
    }

    /// Chooses whom to ask whether it reaches `subject`; odd turns prefer another failure domain.
    fn choose_observer(&self, subject: &MemberIdentity, turn: u64) -> Option<MemberIdentity> {
        let is_eligible = |identity: &&MemberIdentity| {
            identity.id != subject.id && identity.id != self.own_update.identity.id
        };
        let eligible: Vec<&MemberIdentity> = self
            .members()
            .filter(|(_, state)| *state == MemberState::Alive)
            .map(|(identity, _)| identity)
            .filter(is_eligible)
            .collect();
        let own_domain = &self.own_update.identity.failure_domain;
        let remote: Vec<&MemberIdentity> = eligible
            .iter()
            .filter(|identity| identity.failure_domain != *own_domain)
            .copied()
            .collect();
        let candidates = if turn % 2 == 1 && !remote.is_empty() {
            remote
        } else {
            eligible
        };
        let score = |identity: &&&MemberIdentity| {
            xxh3_64(format!("{} {} {turn}", subject.id, identity.id).as_bytes())
        };
        candidates
            .iter()
            .max_by_key(score)
            .map(|identity| (*identity).clone())
    }

    fn handle_observation(
        &mut self,
        subject: &str,
        reachable: bool,
        actions: &mut Vec<MembershipAction>,
    ) {
        let event = if reachable {
            MemberEvent::Denied
        } else {
            MemberEvent::Confirmed
        };
        self.apply_to_member(subject, event, actions);
        if let Some(member) = self.members.get_mut(subject)
            && member.machine.state() == MemberState::Failed
            && member.update.status != MemberStatus::Failed
        {
            member.update.status = MemberStatus::Failed;
            member.update_hash = hash_update(&member.update);
            member.update_sends = 0;
        }
    }

    fn handle_list(
        &mut self,
        records: Vec<InstanceRecord>,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        for member in self.members.values_mut() {
            member.missed_listings += 1;
        }
        let all_records = records.into_iter();
        for record in all_records.filter(|record| record.role == InstanceRole::Entry) {
            if let Some(member) = self.members.get_mut(&record.id) {
                member.missed_listings = 0;
            }
            // The list may be outdated, so it only adds members and later incarnations, and never
            // overrides an update on a known one.
            if self.incarnation_of(&record.id) < Some(record.incarnation) {
                self.merge_update(update_from_record(record), now, actions);
            }
        }
        self.members.retain(|_, member| {
            member.machine.state() != MemberState::Failed
                || member.missed_listings < MISSED_LISTINGS_LIMIT
        });
    }

    fn incarnation_of(&self, id: &str) -> Option<Incarnation> {
        if *id == *self.own_update.identity.id {
            return Some(self.own_update.identity.incarnation);
        }
        self.members
            .get(id)
            .map(|member| member.update.identity.incarnation)
    }
}

fn update_from_record(record: InstanceRecord) -> MemberUpdate {
    MemberUpdate {
        status: match record.state {
            InstanceState::Live => MemberStatus::Alive,
            InstanceState::Leaving => MemberStatus::Leaving,
        },
        identity: MemberIdentity {
            id: record.id,
            incarnation: record.incarnation,
            address: record.address,
            failure_domain: record.failure_domain,
            region: record.region,
        },
        version: 0,
    }
}

/// Hashes an update for the digest.
///
/// Instances compare digests, so the `Debug` text of [`MemberStatus`] has to stay the same.
fn hash_update(update: &MemberUpdate) -> u64 {
    let MemberUpdate {
        identity,
        status,
        version,
    } = update;
    let text = format!(
        "{} {} {version} {status:?}",
        identity.id, identity.incarnation
    );
    xxh3_64(text.as_bytes())
}
