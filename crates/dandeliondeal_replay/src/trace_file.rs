//! Reading a trace.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_pipeline::session_record::{RecordedActions, RecordedEvent};
use dandeliondeal_types::{EndpointId, InstanceId, Layer, ModelId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{TraceError, TraceEvent, TraceOutcome};

/// Version of the format that this crate reads.
pub const TRACE_VERSION: u32 = 1;
/// Start of the names of recorded events and outcomes.
const RECORDED_PREFIX: &str = "session-";
/// Target of recorded lines in a daemon's log.
const RECORDED_TARGET: &str = "dandeliondeal_trace";

/// The first line of a trace.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Name of the trace.
    pub trace: Arc<str>,
    /// Version of the format.
    pub version: u32,
    /// Seed of every choice that is left to chance.
    pub seed: u64,
    /// What the trace takes place among.
    #[serde(default)]
    pub settings: TraceSettings,
}

/// What a trace takes place among.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TraceSettings {
    /// The model.
    pub model: ModelId,
    /// Its layers.
    pub layers: Layer,
    /// The engines.
    pub engines: Vec<EngineSpec>,
    /// Services; those named here tell whether a call ran.
    pub settling_services: Vec<EndpointId>,
    /// Instances of the system.
    pub instances: Vec<InstanceId>,
    /// Time of one way between an instance and an endpoint or the platform.
    pub link_milliseconds: u64,
    /// Time of one layer.
    pub layer_microseconds: u64,
    /// Time after which the instance list shows that an endpoint leaves.
    pub list_lag_milliseconds: u64,
    /// Time after which the balancer sends no more callers to an instance that stops.
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

/// An engine of a trace.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Its name.
    pub id: EndpointId,
    /// First layer that it holds.
    pub start: Layer,
    /// One past the last layer that it holds.
    pub end: Layer,
    /// Whether it takes orders whatever their fencing number.
    #[serde(default)]
    pub ignores_fencing: bool,
}

/// An event or a stated outcome.
#[derive(Clone, Debug)]
pub enum TraceStep {
    /// It happens.
    Event(TraceEvent),
    /// It is stated.
    Outcome(TraceOutcome),
    /// A recorded session was told something.
    Recorded(RecordedEvent),
    /// A recorded session asked for something.
    RecordedActions(RecordedActions),
}

/// One line after the header.
#[derive(Clone, Debug)]
pub struct TraceLine {
    /// Number of the line, from 1.
    pub number: usize,
    /// Time since the start.
    pub at: Duration,
    /// What happens or is stated.
    pub step: TraceStep,
}

/// A trace as read.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The header.
    pub header: TraceHeader,
    /// The lines in order of time.
    pub lines: Vec<TraceLine>,
}

impl Trace {
    /// Reads a trace from JSON lines; empty lines and those that start with `#` are left out.
    ///
    /// # Errors
    ///
    /// The line and what is wrong with it.
    pub fn parse(text: &str) -> Result<Self, TraceError> {
        let mut lines = text
            .lines()
            .enumerate()
            .map(|(index, line)| (index + 1, line.trim()))
            .filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        let (number, first) = lines
            .next()
            .ok_or_else(|| TraceError::new(1, "the header is missing"))?;
        let header: TraceHeader = read(number, first)?;
        if header.version != TRACE_VERSION {
            let reason = format!("version {} is not {TRACE_VERSION}", header.version);
            return Err(TraceError::new(number, reason));
        }
        let mut trace = Self {
            header,
            lines: Vec::new(),
        };
        for (number, line) in lines {
            trace.add(number, line)?;
        }
        Ok(trace)
    }

    /// Reads the sessions that a daemon recorded in its log.
    ///
    /// # Errors
    ///
    /// A recorded line makes no sense, or there is none.
    pub fn from_log(name: &str, log: &str) -> Result<Self, TraceError> {
        let mut lines: Vec<(u64, Arc<str>)> = log.lines().filter_map(recorded_line).collect();
        if lines.is_empty() {
            return Err(TraceError::new(1, "the log has no recorded session"));
        }
        // Each session counts from its own start; the order within one stays.
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
            trace.add(index + 1, line)?;
        }
        Ok(trace)
    }

    fn add(&mut self, number: usize, line: &str) -> Result<(), TraceError> {
        let mut fields: Map<String, Value> = read(number, line)?;
        let at = fields
            .remove("at")
            .and_then(|at| at.as_u64())
            .map(Duration::from_millis)
            .ok_or_else(|| TraceError::new(number, "`at` is not a time in milliseconds"))?;
        if self.lines.last().is_some_and(|last| last.at > at) {
            return Err(TraceError::new(number, "`at` is before the line above"));
        }
        let name = |key: &str| fields.get(key).and_then(Value::as_str);
        let is_recorded = |name: &str| name.starts_with(RECORDED_PREFIX);
        let step = match (name("event"), name("expect")) {
            (Some(event), _) if is_recorded(event) => TraceStep::Recorded(convert(number, fields)?),
            (Some(_), _) => TraceStep::Event(convert(number, fields)?),
            (None, Some(expect)) if is_recorded(expect) => {
                TraceStep::RecordedActions(convert(number, fields)?)
            }
            _ => TraceStep::Outcome(convert(number, fields)?),
        };
        self.lines.push(TraceLine { number, at, step });
        Ok(())
    }
}

/// The recorded line that a line of the log holds, with its time.
fn recorded_line(line: &str) -> Option<(u64, Arc<str>)> {
    let entry: Value = serde_json::from_str(line).ok()?;
    if entry["target"] != RECORDED_TARGET {
        return None;
    }
    let recorded = entry["fields"]["line"].as_str()?;
    let fields: Value = serde_json::from_str(recorded).ok()?;
    Some((fields["at"].as_u64()?, recorded.into()))
}

fn read<Value>(number: usize, line: &str) -> Result<Value, TraceError>
where
    Value: DeserializeOwned,
{
    serde_json::from_str(line).map_err(|error| TraceError::new(number, error.to_string()))
}

fn convert<Step>(number: usize, fields: Map<String, Value>) -> Result<Step, TraceError>
where
    Step: DeserializeOwned,
{
    serde_json::from_value(Value::Object(fields))
        .map_err(|error| TraceError::new(number, error.to_string()))
}
