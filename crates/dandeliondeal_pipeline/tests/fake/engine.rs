//! An engine without sockets, as docs/PROTOCOLS.md describes it.

use dandeliondeal_types::{
    EndpointId, ErrorKind, LayerRange, Lineage, Outcome, Position, RequestStep, RouteError,
    SessionStatus, StepAnswer, StepCall,
};

use super::LAYERS;

fn mix(left: u64, right: u64) -> u64 {
    (left ^ right.rotate_left(23)).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (left >> 31)
}

#[derive(Clone, Debug)]
pub struct FakeSession {
    pub lineage: Lineage,
    pub range: LayerRange,
    pub next: Position,
    /// One running hash a layer.
    pub cache: Vec<u64>,
    pub last: Option<StepAnswer>,
}

#[derive(Debug, Default)]
pub struct FakeEngine {
    pub session: Option<FakeSession>,
    pub is_dead: bool,
    /// Counts the restarts of all engines, so that each process has its own number.
    pub process: u32,
}

/// What ran: process of the engine, lineage, position, layer.
///
/// A process that is restarted has lost all that it ran, so its repeats count apart.
pub type LedgerLine = (u32, Lineage, Position, u32);

pub fn error(kind: ErrorKind, endpoint: &EndpointId) -> RouteError {
    RouteError::new(kind, RequestStep::Decode, "fake").at(endpoint.clone())
}

impl FakeEngine {
    pub fn step(
        &mut self,
        endpoint: &EndpointId,
        call: &StepCall,
        ledger: &mut Vec<LedgerLine>,
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
                next: 0,
                cache: vec![0; name.range.len() as usize],
                last: None,
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
        if let Some(last) = session.last.as_ref().filter(is_repeat) {
            return Ok(last.clone());
        }
        if session.next != name.position {
            return not_run(ErrorKind::NoAnswer);
        }
        let mut outputs = Vec::new();
        for input in call.inputs.iter() {
            let mut value = *input;
            for layer in name.range.start..name.range.end {
                let slot = &mut session.cache[(layer - name.range.start) as usize];
                *slot = mix(*slot, mix(value, u64::from(layer)));
                value = *slot;
                ledger.push((self.process, name.lineage, session.next, layer));
            }
            let is_last = name.range.end == LAYERS;
            outputs.push(if is_last { value % 50_000 } else { value });
            session.next += 1;
        }
        let answer = StepAnswer {
            name: name.clone(),
            outputs: outputs.into(),
        };
        session.last = Some(answer.clone());
        Ok(answer)
    }

    pub fn status(&self) -> Option<SessionStatus> {
        self.session.as_ref().map(|session| SessionStatus {
            request: "r".into(),
            lineage: session.lineage,
            range: session.range,
            next_position: session.next,
        })
    }
}
