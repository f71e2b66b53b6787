//! Reading a trace.

use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{EndpointId, InstanceId, Layer, ModelId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{TraceError, TraceEvent, TraceOutcome};

/// Version of the format that this crate reads.
pub const TRACE_VERSION: u32 = 1;

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
}

/// An event or a stated outcome.
#[derive(Clone, Debug)]
pub enum TraceStep {
    /// It happens.
    Event(TraceEvent),
    /// It is stated.
    Outcome(TraceOutcome),
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
        let step = if fields.contains_key("event") {
            TraceStep::Event(convert(number, fields)?)
        } else {
            TraceStep::Outcome(convert(number, fields)?)
        };
        self.lines.push(TraceLine { number, at, step });
        Ok(())
    }
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
