//! Parsing of trace files and recorded logs.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_pipeline::session_record::{RecordedActions, RecordedEvent};
use dandeliondeal_types::{EndpointId, InstanceId, Layer, ModelId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{TraceError, TraceEvent, TraceExpectation};

/// Trace format version supported by this crate.
pub const TRACE_VERSION: u32 = 1;
/// Prefix of the names of recorded events and actions.
const RECORDED_PREFIX: &str = "session-";
/// Log target of recorded lines in a daemon's log.
const RECORDED_TARGET: &str = "dandeliondeal_trace";

/// The first line of a trace.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Name of the trace.
    pub trace: Arc<str>,
    /// Version of the format.
    pub version: u32,
    /// Seed of all random choices.
    pub seed: u64,
    /// Settings of the simulated system.
    #[serde(default)]
    pub settings: TraceSettings,
}

/// Settings of the simulated system.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TraceSettings {
    /// The model that the engines serve.
    pub model: ModelId,
    /// Number of layers of the model.
    pub layers: Layer,
    /// Engines that exist from the start.
    pub engines: Vec<EngineSpec>,
    /// Services that support settlement, which reports whether a call ran.
    pub settling_services: Vec<EndpointId>,
    /// Instances that run from the start.
    pub instances: Vec<InstanceId>,
    /// One-way latency between an instance and an endpoint or the platform, in milliseconds.
    pub link_milliseconds: u64,
    /// Computation time of one layer, in microseconds.
    pub layer_microseconds: u64,
    /// Time after which the instance list shows an endpoint as leaving, in milliseconds.
    pub list_lag_milliseconds: u64,
    /// Time after which the load balancer stops routing to a stopping instance, in milliseconds.
    pub balancer_lag_milliseconds: u64,
}

impl Default for TraceSettings {
    fn default() -> Self {
        Self {
            model: "model-a".into(),
            layers: 6,
            engines: Vec::new(),
            settling_services: Vec::new(),
            instances: vec!["entry-1".into(), "entry-2".into()],
            link_milliseconds: 1,
            layer_microseconds: 500,
            list_lag_milliseconds: 500,
            balancer_lag_milliseconds: 500,
        }
    }
}

/// Specification of a simulated engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Name of the engine.
    pub id: EndpointId,
    /// First layer of the engine.
    pub start: Layer,
    /// One past the last layer of the engine.
    pub end: Layer,
    /// Whether the engine accepts orders regardless of their fencing numbers.
    #[serde(default)]
    pub ignores_fencing: bool,
}

/// An event or an expected outcome.
#[derive(Clone, Debug)]
pub enum TraceStep {
    /// An event to apply.
    Event(TraceEvent),
    /// An expected outcome to check.
    Expectation(TraceExpectation),
    /// An event of a recorded session.
    RecordedEvent(RecordedEvent),
    /// The actions of a recorded session after its latest event.
    RecordedActions(RecordedActions),
}

/// One line after the header.
#[derive(Clone, Debug)]
pub struct TraceLine {
    /// Line number, from 1.
    pub number: usize,
    /// Time since the start of the trace.
    pub at: Duration,
    /// The event or expected outcome.
    pub step: TraceStep,
}

/// A parsed trace.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The header.
    pub header: TraceHeader,
    /// The lines in order of time.
    pub lines: Vec<TraceLine>,
}

impl Trace {
    /// Parses a trace from JSON lines, ignoring empty lines and lines that start with `#`.
    ///
    /// # Errors
    ///
    /// Returns the first line that is not valid, and the reason.
    pub fn parse(text: &str) -> Result<Self, TraceError> {
        let mut lines = text
            .lines()
            .enumerate()
            .map(|(index, line)| (index + 1, line.trim()))
            .filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        let (number, first) = lines
            .next()
            .ok_or_else(|| TraceError::new(1, "the trace has no header"))?;
        let header: TraceHeader = parse_json(number, first)?;
        if header.version != TRACE_VERSION {
            let reason = format!(
                "format version {} is not supported; expected {TRACE_VERSION}",
                header.version
            );
            return Err(TraceError::new(number, reason));
        }
        let mut trace = Self {
            header,
            lines: Vec::new(),
        };
        for (number, line) in lines {
            trace.push_line(number, line)?;
        }
        Ok(trace)
    }

    /// Extracts the sessions that a daemon recorded in its log.
    ///
    /// # Errors
    ///
    /// Returns an error if a recorded line is not valid or the log has none.
    pub fn from_log(name: &str, log: &str) -> Result<Self, TraceError> {
        let mut lines: Vec<(u64, Arc<str>)> = log.lines().filter_map(recorded_line).collect();
        if lines.is_empty() {
            return Err(TraceError::new(1, "the log has no recorded session"));
        }
        // Times are relative to the start of each session, so lines of different sessions may be
        // out of order. The sort is stable and keeps the order within a session.
        lines.sort_by_key(|(at, _)| *at);
        let mut trace = Self {
            header: TraceHeader {
                trace: name.into(),
                version: TRACE_VERSION,
                seed: 0,
                settings: TraceSettings::default(),
            },
            lines: Vec::new(),
        };
        for (index, (_, line)) in lines.iter().enumerate() {
            trace.push_line(index + 1, line)?;
        }
        Ok(trace)
    }

    fn push_line(&mut self, number: usize, line: &str) -> Result<(), TraceError> {
        let mut fields: Map<String, Value> = parse_json(number, line)?;
        let at = fields
            .remove("at")
            .and_then(|at| at.as_u64())
            .map(Duration::from_millis)
            .ok_or_else(|| TraceError::new(number, "`at` is not a time in milliseconds"))?;
        if self.lines.last().is_some_and(|last| last.at > at) {
            return Err(TraceError::new(
                number,
                "`at` is earlier than on the line above",
            ));
        }
        let text_field = |key: &str| fields.get(key).and_then(Value::as_str);
        let is_recorded = |name: &str| name.starts_with(RECORDED_PREFIX);
        let step = match (text_field("event"), text_field("expect")) {
            (Some(event), _) if is_recorded(event) => {
                TraceStep::RecordedEvent(parse_step(number, fields)?)
            }
            (Some(_), _) => TraceStep::Event(parse_step(number, fields)?),
            (None, Some(expect)) if is_recorded(expect) => {
                TraceStep::RecordedActions(parse_step(number, fields)?)
            }
            _ => TraceStep::Expectation(parse_step(number, fields)?),
        };
        self.lines.push(TraceLine { number, at, step });
        Ok(())
    }
}

/// Returns the recorded line in a line of the log, with its time in milliseconds.
fn recorded_line(line: &str) -> Option<(u64, Arc<str>)> {
    let entry: Value = serde_json::from_str(line).ok()?;
    if entry["target"] != RECORDED_TARGET {
        return None;
    }
    let recorded = entry["fields"]["line"].as_str()?;
    let fields: Value = serde_json::from_str(recorded).ok()?;
    Some((fields["at"].as_u64()?, recorded.into()))
}

fn parse_json<Value>(number: usize, line: &str) -> Result<Value, TraceError>
where
    Value: DeserializeOwned,
{
    serde_json::from_str(line).map_err(|error| TraceError::new(number, error.to_string()))
}

/// Converts the fields of a line to an event or an expected outcome.
fn parse_step<Step>(number: usize, fields: Map<String, Value>) -> Result<Step, TraceError>
where
    Step: DeserializeOwned,
{
    serde_json::from_value(Value::Object(fields))
        .map_err(|error| TraceError::new(number, error.to_string()))
}
