//! Stand-in for the platform's store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Value, quote};

/// Time for which changes are kept (`history-s`).
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Arc<str>,
}

struct Change {
    at: Instant,
    revision: u64,
    kind: String,
    event: Arc<str>,
}

#[derive(Default)]
struct Content {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    changes: Vec<Change>,
    /// Revision up to which the history is gone.
    forgotten: u64,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
    pub address: SocketAddr,
}

fn write_object(name: &str, object: &Object) -> String {
    format!(
        "{{\"meta\":{{\"name\":{},\"revision\":{},\"create-revision\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        quote(name),
        object.revision,
        object.created,
        object.spec
    )
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        self.revision += 1;
        let revision = self.revision;
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        let created = objects.get(name).map_or(revision, |object| object.created);
        let object = Object {
            revision,
            created,
            spec: spec.into(),
        };
        let text = write_object(name, &object);
        objects.insert(name.to_owned(), object);
        self.add_change(kind, &text, false);
        text
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let object = self
            .kinds
            .get_mut(kind)
            .and_then(|objects| objects.remove(name));
        if let Some(object) = object {
            self.revision += 1;
            self.add_change(kind, &write_object(name, &object), true);
        }
    }

    fn add_change(&mut self, kind: &str, object: &str, is_deleted: bool) {
        let event = format!("{{\"deleted\":{is_deleted},\"object\":{object}}}");
        let (at, revision) = (Instant::now(), self.revision);
        self.changes.push(Change {
            at,
            revision,
            kind: kind.to_owned(),
            event: event.into(),
        });
        let old = self
            .changes
            .iter()
            .take_while(|change| change.at.elapsed() > HISTORY)
            .count();
        if let Some(last) = self.changes.drain(..old).next_back() {
            self.forgotten = last.revision;
        }
    }
}

impl Store {
    /// Starts a store whose revisions begin above 0.
    pub fn start() -> Self {
        let content = Content {
            revision: 100,
            ..Content::default()
        };
        let content = Arc::new((Mutex::new(content), Condvar::new()));
        let shared = Arc::clone(&content);
        let address = http::listen(move |message, stream| {
            let (status, body) = answer(&shared, message);
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            http::respond(stream, status, headers, body.as_bytes())
        });
        Self { content, address }
    }

    /// Writes an object, as the operator and the replicas do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (content, changed) = &*self.content;
        content.lock().expect("content").put(kind, name, spec);
        changed.notify_all();
    }
}

fn answer(shared: &(Mutex<Content>, Condvar), message: &Message) -> (u16, String) {
    let (method, target) = message.request();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.to_owned())
    };
    let number = |name: &str| parameter(name).and_then(|value| value.parse::<u64>().ok());
    let mut parts = path.trim_matches('/').split('/').skip(1);
    let (Some(kind), name) = (parts.next(), parts.next()) else {
        return (400, "{}".to_owned());
    };
    let (content, changed) = shared;
    let mut content = content.lock().expect("content");
    if let (None, "GET", Some(since)) = (name, method, number("watch")) {
        let until =
            Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0).min(30_000));
        loop {
            if since < content.forgotten || since > content.revision {
                return (410, "{}".to_owned());
            }
            let changes = content.changes.iter();
            let new = changes.filter(|change| change.revision > since && change.kind == kind);
            let events: Vec<&str> = new.map(|change| &*change.event).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), content.revision);
                return (
                    200,
                    format!("{{\"events\":[{events}],\"store-revision\":{revision}}}"),
                );
            }
            content = changed.wait_timeout(content, left).expect("content").0;
        }
    }
    let objects = content.kinds.entry(kind.to_owned()).or_default();
    let (Some(name), true) = (name, method != "POST") else {
        if method == "POST" {
            return create(&mut content, changed, kind, message);
        }
        let items: Vec<String> = objects
            .iter()
            .map(|(name, object)| write_object(name, object))
            .collect();
        let (items, revision) = (items.join(","), content.revision);
        let text =
            format!("{{\"items\":[{items}],\"more-pages\":false,\"store-revision\":{revision}}}");
        return (200, text);
    };
    let Some(object) = objects.get(name).cloned() else {
        return (404, "{}".to_owned());
    };
    let body = Value::parse(&String::from_utf8_lossy(&message.body));
    let meta = body.as_ref().and_then(|body| body.get("meta"));
    let expected = meta
        .and_then(|meta| meta.get("revision")?.number())
        .or(number("revision"));
    match method {
        "GET" => (200, write_object(name, &object)),
        _ if expected.is_some_and(|expected| expected != object.revision) => {
            (409, write_object(name, &object))
        }
        "PUT" => {
            let spec = body.as_ref().and_then(|body| body.get("spec"));
            let spec = spec.map_or_else(|| "null".to_owned(), Value::write);
            if *spec == *object.spec {
                return (200, write_object(name, &object));
            }
            let text = content.put(kind, name, &spec);
            changed.notify_all();
            (200, text)
        }
        "DELETE" => {
            content.delete(kind, name);
            changed.notify_all();
            (200, write_object(name, &object))
        }
        _ => (400, "{}".to_owned()),
    }
}

fn create(
    content: &mut Content,
    changed: &Condvar,
    kind: &str,
    message: &Message,
) -> (u16, String) {
    let body = Value::parse(&String::from_utf8_lossy(&message.body));
    let meta = body.as_ref().and_then(|body| body.get("meta"));
    let Some(name) = meta.and_then(|meta| meta.get("name")?.text()) else {
        return (400, "{}".to_owned());
    };
    if let Some(object) = content
        .kinds
        .get(kind)
        .and_then(|objects| objects.get(name))
    {
        return (409, write_object(name, object));
    }
    let spec = body.as_ref().and_then(|body| body.get("spec"));
    let text = content.put(
        kind,
        name,
        &spec.map_or_else(|| "null".to_owned(), Value::write),
    );
    changed.notify_all();
    (200, text)
}
