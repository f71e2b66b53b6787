//! Brings the highest accepted revision into force at one instance.
//!
//! The machine performs no input or output: it is told of offers and of fetched bodies, and answers
//! with what to do next. It never goes back, and it applies only what the hashes confirm.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use dandeliondeal_types::{InstanceId, Revision, SheetModel};

use crate::content_hash::{ContentHash, content_hash};
use crate::sheet_chunk::join_chunk;
use crate::{RevisionStamp, SheetManifest, SheetRows, compile_sheet};

/// Number of a fetch, so that a late answer is told from the present one.
pub type FetchNumber = u64;

/// Where a revision can be had.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RevisionSource {
    /// The platform.
    Platform,
    /// Another instance.
    Peer(InstanceId),
}

/// What happens to the machine.
#[derive(Clone, Debug)]
pub enum RolloutEvent {
    /// A source has a revision.
    Offered {
        /// The revision.
        stamp: RevisionStamp,
        /// The source.
        source: RevisionSource,
    },
    /// A fetch ended; the bodies may be too few, or none.
    FetchEnded {
        /// Number of the fetch.
        number: FetchNumber,
        /// What came.
        bodies: Vec<Arc<str>>,
    },
    /// Time to try again what failed.
    Retry,
}

/// What the shell has to do.
#[derive(Clone, Debug)]
pub enum RolloutAction {
    /// Fetch bodies, and end the fetch in any case.
    Fetch {
        /// Number of the fetch.
        number: FetchNumber,
        /// What to fetch.
        hashes: Vec<ContentHash>,
        /// From where.
        source: RevisionSource,
    },
    /// Put a model in force, as one swap.
    Apply {
        /// The model.
        model: Arc<SheetModel>,
    },
}

#[derive(Debug)]
struct RolloutTarget {
    stamp: RevisionStamp,
    sources: VecDeque<RevisionSource>,
    failures: usize,
}

impl RolloutTarget {
    fn new(stamp: RevisionStamp, source: RevisionSource) -> Self {
        Self {
            stamp,
            sources: VecDeque::from([source]),
            failures: 0,
        }
    }

    /// What the platform offers goes before what only peers offer.
    fn rank(&self) -> (bool, Revision) {
        let is_confirmed = self.sources.contains(&RevisionSource::Platform);
        (is_confirmed, self.stamp.revision)
    }

    fn add_source(&mut self, source: RevisionSource) {
        if !self.sources.contains(&source) {
            self.sources.push_back(source);
        }
    }
}

/// The revision in force at one instance and the one on its way.
#[derive(Debug, Default)]
pub struct RolloutMachine {
    in_force: RevisionStamp,
    bodies: HashMap<ContentHash, Arc<str>>,
    target: Option<RolloutTarget>,
    spare: Option<RolloutTarget>,
    unusable: Option<RevisionStamp>,
    open_fetch: Option<FetchNumber>,
    next_fetch: FetchNumber,
    rejected_bodies: u64,
}

impl RolloutMachine {
    /// The revision in force.
    pub fn in_force(&self) -> &RevisionStamp {
        &self.in_force
    }

    /// A manifest or chunk of the revision in force or on its way, for a peer that asks.
    pub fn content(&self, hash: &str) -> Option<Arc<str>> {
        self.bodies.get(hash).cloned()
    }

    /// Bodies that no hash asked for.
    pub fn rejected_bodies(&self) -> u64 {
        self.rejected_bodies
    }

    /// Applies an event and returns what to do.
    pub fn apply(&mut self, event: RolloutEvent) -> Option<RolloutAction> {
        match event {
            RolloutEvent::Offered { stamp, source } => self.offered(stamp, source),
            RolloutEvent::FetchEnded { number, bodies } => self.fetch_ended(number, bodies),
            RolloutEvent::Retry => self.retry(),
        }
    }

    fn offered(&mut self, stamp: RevisionStamp, source: RevisionSource) -> Option<RolloutAction> {
        if stamp.revision <= self.in_force.revision || self.unusable.as_ref() == Some(&stamp) {
            return None;
        }
        if self.supersedes(&stamp, &source) {
            let older = self.target.replace(RolloutTarget::new(stamp, source));
            self.keep_spare(older);
            self.open_fetch = None;
            return self.proceed();
        }
        let target = self.target.as_mut()?;
        if target.stamp == stamp {
            target.add_source(source);
        } else {
            self.keep_spare(Some(RolloutTarget::new(stamp, source)));
        }
        if self.open_fetch.is_some() {
            return None;
        }
        self.proceed_or_switch()
    }

    /// Keeps the best revision beside the target, should the target turn out not to be had.
    fn keep_spare(&mut self, offered: Option<RolloutTarget>) {
        let target = self
            .target
            .as_ref()
            .map_or(0, |target| target.stamp.revision);
        let Some(offered) = offered.filter(|offered| offered.stamp.revision < target) else {
            return;
        };
        match &mut self.spare {
            Some(spare) if spare.stamp == offered.stamp => {
                offered
                    .sources
                    .into_iter()
                    .for_each(|source| spare.add_source(source));
            }
            Some(spare) if spare.rank() > offered.rank() => {}
            spare => *spare = Some(offered),
        }
    }

    /// Fetches on, or turns to the spare revision once every source of the target failed.
    fn proceed_or_switch(&mut self) -> Option<RolloutAction> {
        let target = self.target.as_ref()?;
        if target.failures < target.sources.len() {
            return self.proceed();
        }
        self.target = Some(self.spare.take()?);
        self.proceed()
    }

    fn supersedes(&self, stamp: &RevisionStamp, source: &RevisionSource) -> bool {
        let Some(target) = &self.target else {
            return true;
        };
        // Of two forms of one revision that of the platform counts.
        let corrects = stamp.revision == target.stamp.revision
            && stamp.manifest != target.stamp.manifest
            && *source == RevisionSource::Platform;
        stamp.revision > target.stamp.revision || corrects
    }

    fn retry(&mut self) -> Option<RolloutAction> {
        if self.open_fetch.is_some() {
            return None;
        }
        self.target.as_mut()?.failures = 0;
        self.proceed()
    }

    fn fetch_ended(&mut self, number: FetchNumber, bodies: Vec<Arc<str>>) -> Option<RolloutAction> {
        let wanted = self.wanted();
        let mut gained = false;
        for body in bodies {
            let hash = content_hash(&body);
            if wanted.contains(&hash) {
                self.bodies.insert(hash, body);
                gained = true;
            } else {
                self.rejected_bodies += 1;
            }
        }
        if self.open_fetch != Some(number) {
            return None;
        }
        self.open_fetch = None;
        let target = self.target.as_mut()?;
        if gained {
            target.failures = 0;
        } else {
            target.failures += 1;
            target.sources.rotate_left(1);
        }
        // Once every source failed and there is no spare, the next try waits for `Retry`.
        self.proceed_or_switch()
    }

    fn proceed(&mut self) -> Option<RolloutAction> {
        let hashes = self.wanted();
        if hashes.is_empty() {
            return self.complete();
        }
        let source = self.target.as_ref()?.sources.front()?.clone();
        self.next_fetch += 1;
        self.open_fetch = Some(self.next_fetch);
        Some(RolloutAction::Fetch {
            number: self.next_fetch,
            hashes,
            source,
        })
    }

    /// What the target lacks: its manifest, or chunks of it.
    fn wanted(&self) -> Vec<ContentHash> {
        let Some(target) = &self.target else {
            return Vec::new();
        };
        let Some(body) = self.bodies.get(&target.stamp.manifest) else {
            return vec![Arc::clone(&target.stamp.manifest)];
        };
        let manifest = serde_json::from_str::<SheetManifest>(body);
        let mut chunks = manifest.map_or_else(|_| Vec::new(), |manifest| manifest.chunks);
        chunks.retain(|hash| !self.bodies.contains_key(hash));
        chunks
    }

    fn complete(&mut self) -> Option<RolloutAction> {
        let target = self.target.take()?;
        let built = self.build(&target.stamp);
        let Some((model, manifest)) = built else {
            self.unusable = Some(target.stamp);
            self.target = self.spare.take();
            return self.target.is_some().then(|| self.proceed()).flatten();
        };
        self.bodies
            .retain(|hash, _| *hash == target.stamp.manifest || manifest.chunks.contains(hash));
        self.in_force = target.stamp;
        self.unusable = None;
        self.spare = None;
        Some(RolloutAction::Apply {
            model: Arc::new(model),
        })
    }

    fn build(&self, stamp: &RevisionStamp) -> Option<(SheetModel, SheetManifest)> {
        let body = self.bodies.get(&stamp.manifest)?;
        let manifest: SheetManifest = serde_json::from_str(body).ok()?;
        if manifest.revision != stamp.revision {
            return None;
        }
        let mut rows = SheetRows::default();
        for hash in &manifest.chunks {
            join_chunk(&mut rows, self.bodies.get(hash)?).ok()?;
        }
        let model = compile_sheet(stamp.revision, &rows).ok()?;
        Some((model, manifest))
    }

    /// Highest revision that was offered, whether in force or not.
    pub fn offered_revision(&self) -> Revision {
        let target = self.target.as_ref().map(|target| target.stamp.revision);
        target.unwrap_or(0).max(self.in_force.revision)
    }
}
