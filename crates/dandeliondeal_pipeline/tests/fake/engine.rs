//! In-memory engine that follows the protocol in docs/PROTOCOLS.md.

use dandeliondeal_types::{
    EndpointId, ErrorKind, LayerRange, Lineage, Outcome, Position, RequestStep, RouteError,
    SessionStatus, StepAnswer, StepCall,
};

use super::LAYERS;

/// Hashes two values into one.
fn mix(left: u64, right: u64) -> u64 {
    (left ^ right.rotate_left(23)).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (left >> 31)
}

#[derive(Clone, Debug)]
pub struct FakeSession {
    pub lineage: Lineage,
    pub range: LayerRange,
    pub next_position: Position,
    /// One running hash per layer.
    pub cache: Vec<u64>,
    /// Answer to the latest step, returned again if that step is repeated.
    pub last_answer: Option<StepAnswer>,
}

#[derive(Debug, Default)]
pub struct FakeEngine {
    pub session: Option<FakeSession>,
    pub is_dead: bool,
    /// Number of the engine's process, unique among the restarts of all engines.
    pub process: u32,
}

/// One computed layer: process of the engine, lineage, position and layer.
///
/// A restarted process has lost its state, so it may repeat what an earlier process computed.
pub type LedgerEntry = (u32, Lineage, Position, u32);

pub fn error(kind: ErrorKind, endpoint: &EndpointId) -> RouteError {
    RouteError::new(kind, RequestStep::Decode, "fake").at(endpoint.clone())
}

impl FakeEngine {
    pub fn step(
        &mut self,
        endpoint: &EndpointId,
        call: &StepCall,
        ledger: &mut Vec<LedgerEntry>,
    ) -> Result<StepAnswer, RouteError> {
        let name = &call.name;
        let is_newer = self
            .session
            .as_ref()
            .is_none_or(|session| session.lineage < name.lineage);
        if is_newer && name.position == 0 {
            self.session = Some(FakeSession {
                lineage: name.lineage,
                range: name.range,
                next_position: 0,
                cache: vec![0; name.range.len() as usize],
                last_answer: None,
            });
        }
        let not_run = |kind| Err(error(kind, endpoint).with_outcome(Outcome::NotRun));
        let Some(session) = &mut self.session else {
            return not_run(ErrorKind::Gone);
        };
        if session.lineage != name.lineage {
            return not_run(ErrorKind::Gone);
        }
        let is_repeat =
            |last: &&StepAnswer| last.name == *name && last.outputs.len() == call.inputs.len();
        if let Some(last) = session.last_answer.as_ref().filter(is_repeat) {
            return Ok(last.clone());
        }
        if session.next_position != name.position {
            return not_run(ErrorKind::NoAnswer);
        }
        let mut outputs = Vec::new();
        for input in call.inputs.iter() {
            let mut value = *input;
            for layer in name.range.start..name.range.end {
                let slot = &mut session.cache[(layer - name.range.start) as usize];
                *slot = mix(*slot, mix(value, u64::from(layer)));
                value = *slot;
                ledger.push((self.process, name.lineage, session.next_position, layer));
            }
            let is_last = name.range.end == LAYERS;
            outputs.push(if is_last { value % 50_000 } else { value });
            session.next_position += 1;
        }
        let answer = StepAnswer {
            name: name.clone(),
            outputs: outputs.into(),
        };
        session.last_answer = Some(answer.clone());
        Ok(answer)
    }

    pub fn status(&self) -> Option<SessionStatus> {
        self.session.as_ref().map(|session| SessionStatus {
            request: "r".into(),
            lineage: session.lineage,
            range: session.range,
            next_position: session.next_position,
        })
    }
}
