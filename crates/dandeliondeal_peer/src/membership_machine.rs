//! Decides to whom heartbeats go, who is suspected and who has failed.

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
use crate::peer_message::{Heartbeat, MemberCard, MemberNews, MemberStatus};

/// News in one message.
const NEWS_LIMIT: usize = 8;
/// Messages that carry one piece of news, for each doubling of the fleet.
const NEWS_REPEATS: u32 = 3;
/// Heartbeat intervals between two tries to reach a failed member.
const HEAL_FACTOR: u32 = 10;
/// Reads of the list without a member after which a failed one is forgotten.
const UNLISTED_LIMIT: u32 = 2;

#[derive(Debug)]
struct Member {
    news: MemberNews,
    hash: u64,
    machine: ChartMachine<MemberState, MemberEvent>,
    next_send: Instant,
    news_sent: u32,
    unlisted: u32,
    observations: u64,
}

/// The members as one instance sees them.
#[derive(Debug)]
pub struct MembershipMachine {
    settings: MembershipSettings,
    table: MemberTable,
    own: MemberNews,
    members: BTreeMap<InstanceId, Member>,
    next_heal: Instant,
    heal_turn: usize,
    differs: bool,
    repair_turn: usize,
}

impl MembershipMachine {
    /// Starts with this instance alone.
    ///
    /// # Errors
    ///
    /// What is wrong with the chart.
    pub fn new(
        settings: MembershipSettings,
        own: MemberCard,
        now: Instant,
    ) -> Result<Self, ChartError> {
        Ok(Self {
            next_heal: now + settings.interval * HEAL_FACTOR,
            settings,
            table: member_table()?,
            own: MemberNews {
                card: own,
                status: MemberStatus::Alive,
                version: 0,
            },
            members: BTreeMap::new(),
            heal_turn: 0,
            differs: false,
            repair_turn: 0,
        })
    }

    /// This instance's word of itself.
    pub fn own(&self) -> &MemberNews {
        &self.own
    }

    /// State and card of each other member.
    pub fn members(&self) -> impl Iterator<Item = (&MemberCard, MemberState)> {
        let members = self.members.values();
        members.map(|member| (&member.news.card, member.machine.state()))
    }

    /// The card of a member.
    pub fn card(&self, id: &str) -> Option<&MemberCard> {
        self.members.get(id).map(|member| &member.news.card)
    }

    /// Members that run, this instance included; suspected ones count, leaving ones do not.
    pub fn live(&self) -> Vec<&MemberCard> {
        let is_live = |state| matches!(state, MemberState::Alive | MemberState::Suspected);
        let others = self.members().filter(|(_, state)| is_live(*state));
        let own = (self.own.status == MemberStatus::Alive).then_some(&self.own.card);
        own.into_iter()
            .chain(others.map(|(card, _)| card))
            .collect()
    }

    /// Rank of this instance among the live ones of its failure domain, from 0.
    pub fn domain_rank(&self) -> usize {
        let order = |card: &MemberCard| (xxh3_64(card.id.as_bytes()), card.id.clone());
        let own = order(&self.own.card);
        self.live()
            .into_iter()
            .filter(|card| card.failure_domain == self.own.card.failure_domain)
            .filter(|card| order(card) < own)
            .count()
    }

    /// The heartbeat, or answer, to one member.
    pub fn heartbeat(&mut self, to: &str, stamp: RevisionStamp) -> Heartbeat {
        let fleet = u32::try_from(self.members.len() + 2).unwrap_or(u32::MAX);
        let repeats = NEWS_REPEATS * fleet.ilog2().max(1);
        let mut news = Vec::new();
        // Whoever was given up has to hear it, so that it can raise its version.
        if let Some(member) = self.members.get(to)
            && member.news.status == MemberStatus::Failed
        {
            news.push(member.news.clone());
        }
        let mut fresh: Vec<&mut Member> = self
            .members
            .values_mut()
            .filter(|member| member.news_sent < repeats && &*member.news.card.id != to)
            .collect();
        fresh.sort_by_key(|member| member.news_sent);
        for member in fresh.into_iter().take(NEWS_LIMIT) {
            member.news_sent += 1;
            news.push(member.news.clone());
        }
        if self.differs {
            self.add_repairs(&mut news);
        }
        Heartbeat {
            from: self.own.clone(),
            stamp,
            digest: self.digest(),
            news,
        }
    }

    /// Fills a message with members in turn, for a neighbour that missed news of some.
    fn add_repairs(&mut self, news: &mut Vec<MemberNews>) {
        let room = NEWS_LIMIT
            .saturating_sub(news.len())
            .min(self.members.len());
        let members = self.members.values().cycle().skip(self.repair_turn);
        news.extend(members.take(room).map(|member| member.news.clone()));
        self.repair_turn = (self.repair_turn + room) % self.members.len().max(1);
    }

    /// Digest over what is held of every member, the same on all that hold the same.
    fn digest(&self) -> u64 {
        let others = self.members.values();
        others.fold(news_hash(&self.own), |digest, member| digest ^ member.hash)
    }

    /// Applies an event and returns what to do.
    pub fn apply(&mut self, event: MembershipEvent, now: Instant) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        match event {
            MembershipEvent::Tick => self.tick(now, &mut actions),
            MembershipEvent::Heard { heartbeat } => self.heard(heartbeat, now, &mut actions),
            MembershipEvent::Unanswered { peer } => self.unanswered(&peer, &mut actions),
            MembershipEvent::Observed { subject, reachable } => {
                self.observed(&subject, reachable, &mut actions);
            }
            MembershipEvent::Listed { records } => self.listed(records, now, &mut actions),
            MembershipEvent::Leave => {
                self.own.status = MemberStatus::Leaving;
                self.own.version += 1;
                self.send_all(now, &mut actions);
            }
            MembershipEvent::RevisionChanged => self.send_all(now, &mut actions),
        }
        actions
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        // Whoever is suspected is asked until that is settled, also if it is no neighbour any more.
        let suspected = self
            .members()
            .filter(|(_, state)| *state == MemberState::Suspected)
            .map(|(card, _)| card.clone());
        let targets: Vec<MemberCard> = suspected.chain(self.neighbours()).collect();
        for card in targets {
            if self.members[&card.id].next_send <= now {
                self.send(card, now, actions);
            }
        }
        if now < self.next_heal {
            return;
        }
        self.next_heal = now + self.settings.interval * HEAL_FACTOR;
        self.heal_turn += 1;
        let failed: Vec<MemberCard> = self
            .members()
            .filter(|(_, state)| *state == MemberState::Failed)
            .map(|(card, _)| card.clone())
            .collect();
        if !failed.is_empty() {
            let card = failed[self.heal_turn % failed.len()].clone();
            self.send(card, now, actions);
        }
    }

    fn send_all(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        for card in self.neighbours() {
            self.send(card, now, actions);
        }
    }

    fn send(&mut self, to: MemberCard, now: Instant, actions: &mut Vec<MembershipAction>) {
        if let Some(member) = self.members.get_mut(&to.id) {
            member.next_send = now + self.settings.interval;
            actions.push(MembershipAction::Send { to });
        }
    }

    /// The members that this instance sends heartbeats to.
    pub fn neighbours(&self) -> Vec<MemberCard> {
        let others = self
            .members()
            .filter(|(_, state)| *state != MemberState::Failed)
            .map(|(card, _)| card);
        if self.settings.fan_out == FanOut::All {
            return others.cloned().collect();
        }
        let cards = std::iter::once(&self.own.card).chain(others);
        neighbours(&self.own.card, cards)
            .into_iter()
            .cloned()
            .collect()
    }

    fn heard(&mut self, heartbeat: Heartbeat, now: Instant, actions: &mut Vec<MembershipAction>) {
        let Heartbeat {
            from, news, digest, ..
        } = heartbeat;
        let sender = Arc::clone(&from.card.id);
        let incarnation = from.card.incarnation;
        self.learn(from, now, actions);
        for item in news {
            self.learn(item, now, actions);
        }
        self.differs = digest != self.digest();
        let is_present = self
            .members
            .get(&sender)
            .is_some_and(|member| member.news.card.incarnation == incarnation);
        if is_present {
            self.note(&sender, MemberEvent::Answered, actions);
        }
    }

    fn learn(&mut self, news: MemberNews, now: Instant, actions: &mut Vec<MembershipAction>) {
        if news.card.id == self.own.card.id {
            let is_own = news.card.incarnation == self.own.card.incarnation;
            if is_own && news.replaces(&self.own) {
                self.own.version = news.version + 1;
            }
            return;
        }
        let id = Arc::clone(&news.card.id);
        if let Some(member) = self.members.get_mut(&id) {
            if !news.replaces(&member.news) {
                return;
            }
            member.hash = news_hash(&news);
            member.news = news;
            member.news_sent = 0;
        } else {
            let member = self.new_member(news, now);
            self.members.insert(Arc::clone(&id), member);
            actions.push(MembershipAction::Changed {
                id: Arc::clone(&id),
                state: MemberState::Alive,
            });
        }
        let event = match self.members[&id].news.status {
            MemberStatus::Alive => MemberEvent::ToldAlive,
            MemberStatus::Leaving => MemberEvent::ToldLeaving,
            MemberStatus::Failed => MemberEvent::ToldFailed,
        };
        self.note(&id, event, actions);
    }

    fn new_member(&self, news: MemberNews, now: Instant) -> Member {
        // Spreads first heartbeats over the interval, the same way on every run.
        let pair = format!("{} {}", self.own.card.id, news.card.id);
        let interval = u64::try_from(self.settings.interval.as_micros()).unwrap_or(u64::MAX);
        let offset = xxh3_64(pair.as_bytes()) % interval.max(1);
        Member {
            machine: ChartMachine::new(Arc::clone(&self.table)),
            next_send: now + Duration::from_micros(offset),
            hash: news_hash(&news),
            news,
            news_sent: 0,
            unlisted: 0,
            observations: 0,
        }
    }

    fn note(&mut self, id: &str, event: MemberEvent, actions: &mut Vec<MembershipAction>) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        let before = member.machine.state();
        // The chart refuses no event, so an error cannot arise.
        let after = member.machine.apply(event).unwrap_or(before);
        if before != after {
            actions.push(MembershipAction::Changed {
                id: Arc::clone(&member.news.card.id),
                state: after,
            });
        }
    }

    fn unanswered(&mut self, peer: &str, actions: &mut Vec<MembershipAction>) {
        self.note(peer, MemberEvent::Unanswered, actions);
        let Some(member) = self.members.get_mut(peer) else {
            return;
        };
        if member.machine.state() == MemberState::Failed {
            return;
        }
        member.observations += 1;
        let turn = member.observations;
        let subject = member.news.card.clone();
        if let Some(observer) = self.observer(&subject, turn) {
            actions.push(MembershipAction::Observe { observer, subject });
        }
    }

    /// Another member to ask; one of another failure domain in the odd turns, if there is one.
    fn observer(&self, subject: &MemberCard, turn: u64) -> Option<MemberCard> {
        let is_fit = |card: &&MemberCard| card.id != subject.id && card.id != self.own.card.id;
        let all: Vec<&MemberCard> = self
            .members()
            .filter(|(_, state)| *state == MemberState::Alive)
            .map(|(card, _)| card)
            .filter(is_fit)
            .collect();
        let own_domain = &self.own.card.failure_domain;
        let foreign: Vec<&MemberCard> = all
            .iter()
            .filter(|card| card.failure_domain != *own_domain)
            .copied()
            .collect();
        let chosen = if turn % 2 == 1 && !foreign.is_empty() {
            foreign
        } else {
            all
        };
        let score =
            |card: &&&MemberCard| xxh3_64(format!("{} {} {turn}", subject.id, card.id).as_bytes());
        chosen.iter().max_by_key(score).map(|card| (*card).clone())
    }

    fn observed(&mut self, subject: &str, reachable: bool, actions: &mut Vec<MembershipAction>) {
        let event = if reachable {
            MemberEvent::Denied
        } else {
            MemberEvent::Confirmed
        };
        self.note(subject, event, actions);
        if let Some(member) = self.members.get_mut(subject)
            && member.machine.state() == MemberState::Failed
            && member.news.status != MemberStatus::Failed
        {
            member.news.status = MemberStatus::Failed;
            member.hash = news_hash(&member.news);
            member.news_sent = 0;
        }
    }

    fn listed(
        &mut self,
        records: Vec<InstanceRecord>,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        for member in self.members.values_mut() {
            member.unlisted += 1;
        }
        let entries = records.into_iter();
        for record in entries.filter(|record| record.role == InstanceRole::Entry) {
            if let Some(member) = self.members.get_mut(&record.id) {
                member.unlisted = 0;
            }
            // The list lags, so it adds members and later incarnations but contradicts nobody.
            if self.incarnation_of(&record.id) < Some(record.incarnation) {
                self.learn(listed_news(record), now, actions);
            }
        }
        self.members.retain(|_, member| {
            member.machine.state() != MemberState::Failed || member.unlisted < UNLISTED_LIMIT
        });
    }

    fn incarnation_of(&self, id: &str) -> Option<Incarnation> {
        if *id == *self.own.card.id {
            return Some(self.own.card.incarnation);
        }
        self.members
            .get(id)
            .map(|member| member.news.card.incarnation)
    }
}

fn listed_news(record: InstanceRecord) -> MemberNews {
    MemberNews {
        status: match record.state {
            InstanceState::Live => MemberStatus::Alive,
            InstanceState::Leaving => MemberStatus::Leaving,
        },
        card: MemberCard {
            id: record.id,
            incarnation: record.incarnation,
            address: record.address,
            failure_domain: record.failure_domain,
            region: record.region,
        },
        version: 0,
    }
}

fn news_hash(news: &MemberNews) -> u64 {
    let MemberNews {
        card,
        status,
        version,
    } = news;
    let text = format!("{} {} {version} {status:?}", card.id, card.incarnation);
    xxh3_64(text.as_bytes())
}
