//! The state of one session on a stand-in engine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::{
    LayerRange, Lineage, ModelId, Position, RequestId, SessionStatus, StepCall,
};
use serde::{Deserialize, Serialize};

use crate::token_model::{LayerCache, token_from_activation};

/// The most recent step of a session and its outputs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct LastStep {
    position: Position,
    outputs: Arc<[u64]>,
}

/// The state of one session.
#[derive(Clone, Debug)]
pub(crate) struct EngineSession {
    /// Distinguishes this session from earlier and later sessions of the same request.
    pub(crate) serial: u64,
    pub(crate) lineage: Lineage,
    pub(crate) range: LayerRange,
    pub(crate) next_position: Position,
    pub(crate) expires_at: Instant,
    pub(crate) is_running: bool,
    /// Excess duration of the previous step, which is subtracted from the next one.
    pub(crate) time_credit: Duration,
    cache: LayerCache,
    last: Option<LastStep>,
}

/// The serialised form of a session that is transferred between engines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ExportedCache {
    pub(crate) model: ModelId,
    pub(crate) start: u32,
    pub(crate) end: u32,
    next_position: Position,
    cells: Vec<u64>,
    last: Option<LastStep>,
}

impl EngineSession {
    pub(crate) fn new(call: &StepCall, serial: u64, now: Instant) -> Self {
        Self {
            serial,
            lineage: call.name.lineage,
            range: call.name.range,
            next_position: 0,
            expires_at: now,
            is_running: false,
            time_credit: Duration::ZERO,
            cache: LayerCache::new(&call.model, call.name.range),
            last: None,
        }
    }

    /// Restores an exported session; `None` if the number of cells differs from the layer count.
    pub(crate) fn import(
        exported: ExportedCache,
        lineage: Lineage,
        serial: u64,
        expires_at: Instant,
    ) -> Option<Self> {
        let range = LayerRange::new(exported.start, exported.end);
        Some(Self {
            serial,
            lineage,
            range,
            next_position: exported.next_position,
            expires_at,
            is_running: false,
            time_credit: Duration::ZERO,
            cache: LayerCache::restore(range, exported.cells)?,
            last: exported.last,
        })
    }

    pub(crate) fn export(&self, model: &ModelId) -> ExportedCache {
        ExportedCache {
            model: Arc::clone(model),
            start: self.range.start,
            end: self.range.end,
            next_position: self.next_position,
            cells: self.cache.cells().to_vec(),
            last: self.last.clone(),
        }
    }

    /// Returns the stored outputs if `call` repeats the most recent step.
    pub(crate) fn repeated_outputs(&self, call: &StepCall) -> Option<Arc<[u64]>> {
        self.last
            .as_ref()
            .filter(|last| last.position == call.name.position)
            .filter(|last| last.outputs.len() == call.inputs.len())
            .map(|last| Arc::clone(&last.outputs))
    }

    /// Processes the positions of `call`; `layer_count` is the number of layers of the whole model.
    pub(crate) fn run(&mut self, call: &StepCall, layer_count: u32) -> Arc<[u64]> {
        let is_last_stage = self.range.end == layer_count;
        let cache = &mut self.cache;
        let outputs: Arc<[u64]> = call
            .inputs
            .iter()
            .map(|&input| cache.run(input))
            .map(|output| {
                if is_last_stage {
                    token_from_activation(output)
                } else {
                    output
                }
            })
            .collect();
        self.next_position += outputs.len() as u64;
        self.last = Some(LastStep {
            position: call.name.position,
            outputs: Arc::clone(&outputs),
        });
        outputs
    }

    pub(crate) fn status(&self, request: &RequestId) -> SessionStatus {
        SessionStatus {
            request: Arc::clone(request),
            lineage: self.lineage,
            range: self.range,
            next_position: self.next_position,
        }
    }
}
