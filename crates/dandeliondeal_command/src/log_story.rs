//! What the log lines of all instances tell of one request.

use std::collections::BTreeSet;
use std::fmt::{self, Display, Formatter};

use serde_json::{Map, Value};

/// Seconds before a request within which what befell its engines or its instance may explain it.
const CONTEXT_SECONDS: f64 = 5.0;
/// Messages about an instance itself that may explain a request.
const INSTANCE_MESSAGES: [&str; 9] = [
    "started",
    "stopping",
    "stopped",
    "store lost",
    "store regained",
    "configuration read",
    "layout lease",
    "hub does not answer; another is taken",
    "instances counted",
];
/// Said of an engine by the request that met its loss.
const LOSS_MESSAGE: &str = "engine does not answer; taken out of use";
/// Fields that name an engine.
const ENGINE_FIELDS: [&str; 4] = ["engine", "lost", "endpoint", "faulty"];
/// Fields that each line has and the story shows otherwise.
const SHOWN_FIELDS: [&str; 5] = ["timestamp", "level", "message", "request", "target"];

/// Log lines of one instance.
#[derive(Clone, Debug)]
pub struct InstanceLog {
    /// Name under which the story shows it.
    pub name: String,
    /// JSON lines; what stands before the first brace of a line is left out.
    pub text: String,
}

/// How a line belongs to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineRole {
    /// It names the request.
    Request,
    /// It names an engine that the request met.
    Engine,
    /// It is about the instance that served the request.
    Instance,
}

/// One line of the story.
#[derive(Clone, Debug, PartialEq)]
pub struct StoryLine {
    /// Time of day as the instance wrote it.
    pub timestamp: String,
    /// The instance.
    pub instance: String,
    /// How it belongs to the request.
    pub role: LineRole,
    /// The message.
    pub message: String,
    /// The engine that the line is about, if it names one.
    pub subject: String,
    /// The other fields as `name=value`.
    pub fields: String,
}

impl Display for StoryLine {
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

struct ParsedLine<'log> {
    instance: &'log str,
    fields: Map<String, Value>,
}

impl ParsedLine<'_> {
    fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    /// Seconds of the day; lines of one story lie within minutes.
    fn seconds(&self) -> Option<f64> {
        let (_, time) = self.text("timestamp").split_once('T')?;
        let mut parts = time.trim_end_matches('Z').splitn(3, ':');
        let hours: f64 = parts.next()?.parse().ok()?;
        let minutes: f64 = parts.next()?.parse().ok()?;
        let seconds: f64 = parts.next()?.parse().ok()?;
        Some(hours * 3_600.0 + minutes * 60.0 + seconds)
    }

    /// The engine that the line is about.
    fn engine(&self) -> &str {
        let named = ENGINE_FIELDS.iter().map(|name| self.text(name));
        named
            .into_iter()
            .find(|name| !name.is_empty())
            .unwrap_or("")
    }

    fn engines(&self) -> impl Iterator<Item = &str> {
        let named = ENGINE_FIELDS.iter().map(|name| self.text(name));
        let chain = self.text("chain").split(',');
        let chain = chain.filter_map(|hop| hop.split_once(':').map(|(engine, _)| engine));
        named.filter(|name| !name.is_empty()).chain(chain)
    }

    fn story(&self, role: LineRole) -> StoryLine {
        let fields = self.fields.iter();
        let fields = fields.filter(|(name, _)| !SHOWN_FIELDS.contains(&name.as_str()));
        let fields: Vec<String> = fields
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                value => format!("{name}={value}"),
            })
            .collect();
        StoryLine {
            timestamp: self.text("timestamp").to_owned(),
            instance: self.instance.to_owned(),
            role,
            message: self.text("message").to_owned(),
            subject: self.engine().to_owned(),
            fields: fields.join(" "),
        }
    }
}

/// The lines about a request, in order, with those that may explain them.
pub fn request_story(request: &str, logs: &[InstanceLog]) -> Vec<StoryLine> {
    let lines: Vec<ParsedLine<'_>> = logs.iter().flat_map(parse).collect();
    let own: Vec<&ParsedLine<'_>> = lines
        .iter()
        .filter(|line| line.text("request") == request)
        .collect();
    let times = || own.iter().filter_map(|line| line.seconds());
    let from = times().fold(f64::MAX, f64::min) - CONTEXT_SECONDS;
    let to = times().fold(f64::MIN, f64::max);
    let engines: BTreeSet<&str> = own.iter().flat_map(|line| line.engines()).collect();
    let instances: BTreeSet<&str> = own.iter().map(|line| line.instance).collect();
    let mut story: Vec<StoryLine> = lines
        .iter()
        .filter_map(|line| {
            let role = if line.text("request") == request {
                LineRole::Request
            } else if is_engine_news(line, &engines) {
                LineRole::Engine
            } else if instances.contains(line.instance)
                && INSTANCE_MESSAGES.contains(&line.text("message"))
            {
                LineRole::Instance
            } else {
                return None;
            };
            let is_near = line.seconds().is_some_and(|at| at >= from && at <= to);
            (role == LineRole::Request || is_near).then(|| line.story(role))
        })
        .collect();
    story.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    // Of what many instances say of an engine, the first to say it is enough.
    let mut told = BTreeSet::new();
    story.retain(|line| {
        let is_own = instances.contains(&*line.instance);
        let is_new = told.insert((line.message.clone(), line.subject.clone()));
        line.role != LineRole::Engine || is_own || is_new
    });
    story
}

/// Whether a line tells how one of the engines fares, rather than of another request over it.
fn is_engine_news(line: &ParsedLine<'_>, engines: &BTreeSet<&str>) -> bool {
    let is_verdict = line.text("message") == LOSS_MESSAGE;
    (line.text("request").is_empty() || is_verdict) && engines.contains(line.engine())
}

fn parse(log: &InstanceLog) -> impl Iterator<Item = ParsedLine<'_>> {
    log.text.lines().filter_map(|line| {
        let start = line.find('{')?;
        let fields = serde_json::from_str(&line[start..]).ok()?;
        Some(ParsedLine {
            instance: &log.name,
            fields,
        })
    })
}
