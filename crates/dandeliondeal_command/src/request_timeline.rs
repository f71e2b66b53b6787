//! Timeline of one request, built from the log lines of all instances.

use std::collections::BTreeSet;
use std::fmt::{self, Display, Formatter};

use serde_json::{Map, Value};

/// Seconds before the first line of a request whose engine and instance events are included.
const CONTEXT_SECONDS: f64 = 5.0;
/// Messages about an instance itself that may explain the outcome of a request.
const INSTANCE_MESSAGES: [&str; 10] = [
    "started",
    "stopping",
    "stopped",
    "store lost",
    "store regained",
    "configuration read",
    "layout lease",
    "hub does not answer; another is taken",
    "instances counted",
    "admission share changed",
];
/// Message about the loss of an engine, logged by the request that detected it.
const ENGINE_LOSS_MESSAGE: &str = "engine does not answer; taken out of use";
/// Fields that name an engine, in order of preference.
const ENGINE_FIELDS: [&str; 4] = ["engine", "lost", "endpoint", "faulty"];
/// Common fields, which are left out of [`TimelineEntry::fields`].
const COMMON_FIELDS: [&str; 5] = ["timestamp", "level", "message", "request", "target"];

/// Log of one instance.
#[derive(Clone, Debug)]
pub struct InstanceLog {
    /// Name of the instance in the timeline.
    pub name: String,
    /// JSON lines; any text before the first brace of a line is ignored.
    pub text: String,
}

/// Relation of a log line to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineRole {
    /// The line names the request.
    Request,
    /// The line names an engine of the request.
    Engine,
    /// The line is about an instance that served the request.
    Instance,
}

/// One log line of a timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEntry {
    /// Date and time as the instance logged it.
    pub timestamp: String,
    /// Name of the instance that logged the line.
    pub instance: String,
    /// Relation of the line to the request.
    pub role: LineRole,
    /// Log message.
    pub message: String,
    /// Engine that the line names, or empty.
    pub engine: String,
    /// Other fields as `name=value`, separated by spaces.
    pub fields: String,
}

impl Display for TimelineEntry {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let mark = match self.role {
            LineRole::Request => '>',
            LineRole::Engine => 'e',
            LineRole::Instance => 'i',
        };
        let Self {
            timestamp,
            instance,
            message,
            fields,
            ..
        } = self;
        write!(
            formatter,
            "{mark} {timestamp}  {instance}  {message}  {fields}"
        )
    }
}

/// Log line with its fields.
struct ParsedLine<'log> {
    instance: &'log str,
    fields: Map<String, Value>,
}

impl ParsedLine<'_> {
    /// Returns the text of a field, or an empty string.
    fn field_text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    /// Returns the time of day in seconds. The date is left out, since the lines of one request
    /// lie within minutes.
    fn second_of_day(&self) -> Option<f64> {
        let (_, time) = self.field_text("timestamp").split_once('T')?;
        let mut parts = time.trim_end_matches('Z').splitn(3, ':');
        let hours: f64 = parts.next()?.parse().ok()?;
        let minutes: f64 = parts.next()?.parse().ok()?;
        let seconds: f64 = parts.next()?.parse().ok()?;
        Some(hours * 3_600.0 + minutes * 60.0 + seconds)
    }

    /// Returns the engine that the line names first, or an empty string.
    fn engine(&self) -> &str {
        let named = ENGINE_FIELDS.iter().map(|name| self.field_text(name));
        named
            .into_iter()
            .find(|name| !name.is_empty())
            .unwrap_or("")
    }

    /// Returns all engines that the line names, including those of its pipeline.
    fn engines(&self) -> impl Iterator<Item = &str> {
        let named = ENGINE_FIELDS.iter().map(|name| self.field_text(name));
        let chain = self.field_text("chain").split(',');
        let chain = chain.filter_map(|hop| hop.split_once(':').map(|(engine, _)| engine));
        named.filter(|name| !name.is_empty()).chain(chain)
    }

    /// Converts the line to an entry of a timeline.
    fn to_entry(&self, role: LineRole) -> TimelineEntry {
        let fields = self.fields.iter();
        let fields = fields.filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        let fields: Vec<String> = fields
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                value => format!("{name}={value}"),
            })
            .collect();
        TimelineEntry {
            timestamp: self.field_text("timestamp").to_owned(),
            instance: self.instance.to_owned(),
            role,
            message: self.field_text("message").to_owned(),
            engine: self.engine().to_owned(),
            fields: fields.join(" "),
        }
    }
}

/// Returns the lines that name a request and those that may explain them, in order of time.
pub fn request_timeline(request: &str, logs: &[InstanceLog]) -> Vec<TimelineEntry> {
    let lines: Vec<ParsedLine<'_>> = logs.iter().flat_map(parse_log).collect();
    let request_lines: Vec<&ParsedLine<'_>> = lines
        .iter()
        .filter(|line| line.field_text("request") == request)
        .collect();
    let times = || request_lines.iter().filter_map(|line| line.second_of_day());
    let from = times().fold(f64::MAX, f64::min) - CONTEXT_SECONDS;
    let to = times().fold(f64::MIN, f64::max);
    let engines: BTreeSet<&str> = request_lines
        .iter()
        .flat_map(|line| line.engines())
        .collect();
    let instances: BTreeSet<&str> = request_lines.iter().map(|line| line.instance).collect();
    let mut timeline: Vec<TimelineEntry> = lines
        .iter()
        .filter_map(|line| {
            let role = if line.field_text("request") == request {
                LineRole::Request
            } else if is_engine_event(line, &engines) {
                LineRole::Engine
            } else if instances.contains(line.instance)
                && INSTANCE_MESSAGES.contains(&line.field_text("message"))
            {
                LineRole::Instance
            } else {
                return None;
            };
            let is_in_window = line
                .second_of_day()
                .is_some_and(|at| at >= from && at <= to);
            (role == LineRole::Request || is_in_window).then(|| line.to_entry(role))
        })
        .collect();
    timeline.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    // Many instances report the same event of an engine. Of the instances that did not serve the
    // request, only the first report is kept.
    let mut reported = BTreeSet::new();
    timeline.retain(|entry| {
        let is_serving_instance = instances.contains(&*entry.instance);
        let is_new = reported.insert((entry.message.clone(), entry.engine.clone()));
        entry.role != LineRole::Engine || is_serving_instance || is_new
    });
    timeline
}

/// Returns whether a line is about one of the engines itself, not about another request on it.
fn is_engine_event(line: &ParsedLine<'_>, engines: &BTreeSet<&str>) -> bool {
    let is_loss = line.field_text("message") == ENGINE_LOSS_MESSAGE;
    (line.field_text("request").is_empty() || is_loss) && engines.contains(line.engine())
}

/// Parses the lines of a log, and skips those that are not JSON objects.
fn parse_log(log: &InstanceLog) -> impl Iterator<Item = ParsedLine<'_>> {
    log.text.lines().filter_map(|line| {
        let start = line.find('{')?;
        let fields = serde_json::from_str(&line[start..]).ok()?;
        Some(ParsedLine {
            instance: &log.name,
            fields,
        })
    })
}
