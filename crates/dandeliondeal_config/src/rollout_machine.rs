//! State machine that brings the highest accepted revision into force at one instance.
//!
//! The machine performs no input or output: it receives offers and fetched bodies as events and
//! returns the next action. The revision in force never decreases, and only content that matches
//! its hash is applied.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use dandeliondeal_types::{InstanceId, Revision, SheetModel};

use crate::content_hash::{ContentHash, content_hash};
use crate::sheet_chunk::join_chunk;
use crate::{RevisionStamp, SheetManifest, SheetRows, compile_sheet};

/// Sequence number of a fetch, which distinguishes a late response from the current one.
pub type FetchNumber = u64;

/// Source from which a revision can be fetched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RevisionSource {
    /// The platform's store.
    Platform,
    /// Another instance.
    Peer(InstanceId),
}

/// Event that the machine processes.
#[derive(Clone, Debug)]
pub enum RolloutEvent {
    /// A source offers a revision.
    Offered {
        /// Offered revision.
        stamp: RevisionStamp,
        /// Source of the offer.
        source: RevisionSource,
    },
    /// A fetch ended; bodies may be missing.
    FetchEnded {
        /// Number of the fetch.
        number: FetchNumber,
        /// Bodies that were received.
        bodies: Vec<Arc<str>>,
    },
    /// The retry timer fired.
    Retry,
}

/// Action that the caller of the machine has to perform.
#[derive(Clone, Debug)]
pub enum RolloutAction {
    /// Fetch bodies; the caller has to report [`RolloutEvent::FetchEnded`] even if the fetch fails.
    Fetch {
        /// Number of the fetch.
        number: FetchNumber,
        /// Hashes of the bodies to fetch.
        hashes: Vec<ContentHash>,
        /// Source to fetch from.
        source: RevisionSource,
    },
    /// Replace the model in force in one step.
    Apply {
        /// Model to bring into force.
        model: Arc<SheetModel>,
    },
}

/// Revision that the machine tries to fetch.
#[derive(Debug)]
struct RolloutTarget {
    stamp: RevisionStamp,
    /// Sources of the revision; the next fetch uses the first one.
    sources: VecDeque<RevisionSource>,
    /// Number of fetches in a row that returned nothing useful.
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

    /// Ranks a revision that the platform offers above one that only peers offer.
    fn precedence(&self) -> (bool, Revision) {
        let is_confirmed = self.sources.contains(&RevisionSource::Platform);
        (is_confirmed, self.stamp.revision)
    }

    fn add_source(&mut self, source: RevisionSource) {
        if !self.sources.contains(&source) {
            self.sources.push_back(source);
        }
    }
}

/// State of the rollout at one instance: the revision in force and the one being fetched.
#[derive(Debug, Default)]
pub struct RolloutMachine {
    in_force: RevisionStamp,
    /// Manifests and chunks of the revision in force and of those being fetched.
    bodies: HashMap<ContentHash, Arc<str>>,
    target: Option<RolloutTarget>,
    /// Revision to fetch if the target cannot be fetched or is invalid.
    fallback: Option<RolloutTarget>,
    /// Last revision whose content could not be compiled.
    invalid_stamp: Option<RevisionStamp>,
    /// Number of the current fetch.
    pending_fetch: Option<FetchNumber>,
    last_fetch: FetchNumber,
    rejected_bodies: u64,
}

impl RolloutMachine {
    /// Returns the revision in force.
    pub fn in_force(&self) -> &RevisionStamp {
        &self.in_force
    }

    /// Returns a manifest or chunk of the revision in force or being fetched, to serve to a peer.
    pub fn content(&self, hash: &str) -> Option<Arc<str>> {
        self.bodies.get(hash).cloned()
    }

    /// Returns the number of received bodies that match no requested hash.
    pub fn rejected_bodies(&self) -> u64 {
        self.rejected_bodies
    }

    /// Processes an event and returns the next action, if any.
    pub fn apply(&mut self, event: RolloutEvent) -> Option<RolloutAction> {
        match event {
            RolloutEvent::Offered { stamp, source } => self.handle_offer(stamp, source),
            RolloutEvent::FetchEnded { number, bodies } => self.handle_fetch_end(number, bodies),
            RolloutEvent::Retry => self.retry(),
        }
    }

    fn handle_offer(
        &mut self,
        stamp: RevisionStamp,
        source: RevisionSource,
    ) -> Option<RolloutAction> {
        if stamp.revision <= self.in_force.revision || self.invalid_stamp.as_ref() == Some(&stamp) {
            return None;
        }
        if self.supersedes(&stamp, &source) {
            let previous = self.target.replace(RolloutTarget::new(stamp, source));
            self.store_fallback(previous);
            self.pending_fetch = None;
            return self.continue_rollout();
        }
        let target = self.target.as_mut()?;
        if target.stamp == stamp {
            target.add_source(source);
        } else {
            self.store_fallback(Some(RolloutTarget::new(stamp, source)));
        }
        if self.pending_fetch.is_some() {
            return None;
        }
        self.continue_or_switch()
    }

    /// Stores the best revision below the target, in case the target cannot be fetched.
    fn store_fallback(&mut self, candidate: Option<RolloutTarget>) {
        let target = self
            .target
            .as_ref()
            .map_or(0, |target| target.stamp.revision);
        let Some(candidate) = candidate.filter(|candidate| candidate.stamp.revision < target)
        else {
            return;
        };
        match &mut self.fallback {
            Some(fallback) if fallback.stamp == candidate.stamp => {
                candidate
                    .sources
                    .into_iter()
                    .for_each(|source| fallback.add_source(source));
            }
            Some(fallback) if fallback.precedence() > candidate.precedence() => {}
            fallback => *fallback = Some(candidate),
        }
    }

    /// Continues to fetch the target, or switches to the fallback once all its sources failed.
    fn continue_or_switch(&mut self) -> Option<RolloutAction> {
        let target = self.target.as_ref()?;
        if target.failures < target.sources.len() {
            return self.continue_rollout();
        }
        self.target = Some(self.fallback.take()?);
        self.continue_rollout()
    }

    fn supersedes(&self, stamp: &RevisionStamp, source: &RevisionSource) -> bool {
        let Some(target) = &self.target else {
            return true;
        };
        // If two manifests are offered for one revision, the one from the platform wins.
        let is_correction = stamp.revision == target.stamp.revision
            && stamp.manifest != target.stamp.manifest
            && *source == RevisionSource::Platform;
        stamp.revision > target.stamp.revision || is_correction
    }

    fn retry(&mut self) -> Option<RolloutAction> {
        if self.pending_fetch.is_some() {
            return None;
        }
        self.target.as_mut()?.failures = 0;
        self.continue_rollout()
    }

    fn handle_fetch_end(
        &mut self,
        number: FetchNumber,
        bodies: Vec<Arc<str>>,
    ) -> Option<RolloutAction> {
        let missing_hashes = self.missing_hashes();
        let mut has_progress = false;
        for body in bodies {
            let hash = content_hash(&body);
            if missing_hashes.contains(&hash) {
                self.bodies.insert(hash, body);
                has_progress = true;
            } else {
                self.rejected_bodies += 1;
            }
        }
        if self.pending_fetch != Some(number) {
            return None;
        }
        self.pending_fetch = None;
        let target = self.target.as_mut()?;
        if has_progress {
            target.failures = 0;
        } else {
            target.failures += 1;
            target.sources.rotate_left(1);
        }
        // If all sources failed and there is no fallback, the next attempt waits for `Retry`.
        self.continue_or_switch()
    }

    fn continue_rollout(&mut self) -> Option<RolloutAction> {
        let hashes = self.missing_hashes();
        if hashes.is_empty() {
            return self.apply_target();
        }
        let source = self.target.as_ref()?.sources.front()?.clone();
        self.last_fetch += 1;
        self.pending_fetch = Some(self.last_fetch);
        Some(RolloutAction::Fetch {
            number: self.last_fetch,
            hashes,
            source,
        })
    }

    /// Returns the hashes that the target still needs: its manifest, or chunks of it.
    fn missing_hashes(&self) -> Vec<ContentHash> {
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

    fn apply_target(&mut self) -> Option<RolloutAction> {
        let target = self.target.take()?;
        let compiled = self.compile_target(&target.stamp);
        let Some((model, manifest)) = compiled else {
            self.invalid_stamp = Some(target.stamp);
            self.target = self.fallback.take();
            return self
                .target
                .is_some()
                .then(|| self.continue_rollout())
                .flatten();
        };
        self.bodies
            .retain(|hash, _| *hash == target.stamp.manifest || manifest.chunks.contains(hash));
        self.in_force = target.stamp;
        self.invalid_stamp = None;
        self.fallback = None;
        Some(RolloutAction::Apply {
            model: Arc::new(model),
        })
    }

    fn compile_target(&self, stamp: &RevisionStamp) -> Option<(SheetModel, SheetManifest)> {
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

    /// Returns the higher of the target revision and the revision in force.
    pub fn offered_revision(&self) -> Revision {
        let target = self.target.as_ref().map(|target| target.stamp.revision);
        target.unwrap_or(0).max(self.in_force.revision)
    }
}
