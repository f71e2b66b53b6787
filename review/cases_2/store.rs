//! Stand-in for the platform's store: objects by kind and name, one revision, watches.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server};
use crate::json;

#[derive(Clone, Debug)]
struct Object {
    created: u64,
    revision: u64,
    spec: String,
}

/// One change: revision, kind, object as text, and whether it was deleted.
type Event = (u64, String, String, bool);

/// What a copy of the store holds.
#[derive(Clone, Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

#[derive(Default)]
struct StoreState {
    content: Content,
    /// Value of `Store-Era`; watches that began in an earlier era get 410.
    era: u64,
}

/// Store on loopback.
pub struct Store {
    shared: Arc<(Mutex<StoreState>, Condvar)>,
    server: Server,
}

/// Copy of a store's content.
pub struct StoreCopy(Content);

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let state = StoreState {
            content: Content {
                revision: 100,
                ..Content::default()
            },
            era: 1,
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let handler = Arc::clone(&shared);
        let server = Server::start(address, move |request| Some(answer(&handler, request)));
        Self {
            shared,
            server: server.expect("a free port for the store"),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub fn revision(&self) -> u64 {
        self.shared.0.lock().unwrap().content.revision
    }

    /// Writes an object without a condition, as an operator or a replica does; returns the revision.
    pub fn write(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.shared.0.lock().unwrap();
        let revision = state.content.write(kind, name, spec);
        self.shared.1.notify_all();
        revision
    }

    pub fn count(&self, kind: &str) -> usize {
        let state = self.shared.0.lock().unwrap();
        state
            .content
            .objects
            .keys()
            .filter(|(other, _)| other == kind)
            .count()
    }

    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.shared.0.lock().unwrap().content.clone())
    }

    /// Is away for `time`, and comes back with the content of a copy and the next `Store-Era`.
    pub fn restore(&self, copy: StoreCopy, time: Duration) {
        self.server.set_away(true);
        {
            let mut state = self.shared.0.lock().unwrap();
            state.content = copy.0;
            state.era += 1;
            self.shared.1.notify_all();
        }
        std::thread::sleep(time);
        self.server.set_away(false);
    }
}

impl Content {
    fn write(&mut self, kind: &str, name: &str, spec: &str) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        let previous = self.objects.get(&key);
        if let Some(previous) = previous.filter(|previous| previous.spec == spec) {
            return previous.revision;
        }
        self.revision += 1;
        let object = Object {
            created: previous.map_or(self.revision, |previous| previous.created),
            revision: self.revision,
            spec: spec.to_owned(),
        };
        let text = object_text(name, &object);
        self.objects.insert(key, object);
        self.events
            .push((self.revision, kind.to_owned(), text, false));
        self.revision
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            let text = object_text(name, &object);
            self.events
                .push((self.revision, kind.to_owned(), text, true));
        }
    }
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"create-revision\":{},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}

fn answer(shared: &(Mutex<StoreState>, Condvar), request: &Request) -> Response {
    let (status, body) = answer_call(shared, request);
    let era = shared.0.lock().unwrap().era;
    Response::new(status, &body).with_header("Store-Era", &era.to_string())
}

fn answer_call(shared: &(Mutex<StoreState>, Condvar), request: &Request) -> (u16, String) {
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let query: HashMap<&str, &str> = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .collect();
    let Some(path) = path.strip_prefix("/objects/") else {
        return (400, "{}".to_owned());
    };
    let (kind, name) = match path.split_once('/') {
        Some((kind, name)) => (kind, Some(name)),
        None => (path, None),
    };
    match (request.method.as_str(), name) {
        ("GET", None) if query.contains_key("watch") => watch(shared, kind, &query),
        ("GET", None) => list(&shared.0.lock().unwrap().content, kind),
        ("GET", Some(name)) => read(&shared.0.lock().unwrap().content, kind, name),
        ("POST", None) => {
            let name = json::field(&request.body, "meta").and_then(|meta| json::text(meta, "name"));
            put(shared, kind, name.unwrap_or(""), &request.body, true)
        }
        ("PUT", Some(name)) => put(shared, kind, name, &request.body, false),
        ("DELETE", Some(name)) => {
            let mut state = shared.0.lock().unwrap();
            let found = read(&state.content, kind, name);
            let key = (kind.to_owned(), name.to_owned());
            let held = state
                .content
                .objects
                .get(&key)
                .map(|object| object.revision);
            let asked = query
                .get("revision")
                .and_then(|revision| revision.parse().ok());
            if held.is_some() && asked.is_some() && held != asked {
                return (409, found.1);
            }
            state.content.delete(kind, name);
            shared.1.notify_all();
            found
        }
        _ => (400, "{}".to_owned()),
    }
}

fn put(
    shared: &(Mutex<StoreState>, Condvar),
    kind: &str,
    name: &str,
    body: &str,
    is_create: bool,
) -> (u16, String) {
    let mut state = shared.0.lock().unwrap();
    let found = read(&state.content, kind, name);
    let key = (kind.to_owned(), name.to_owned());
    let held = state
        .content
        .objects
        .get(&key)
        .map(|object| object.revision);
    let asked = json::field(body, "meta").and_then(|meta| json::field(meta, "revision"));
    let asked: Option<u64> = asked.and_then(|revision| revision.parse().ok());
    match held {
        Some(_) if is_create => return (409, found.1),
        None if !is_create => return found,
        Some(held) if asked.is_some_and(|asked| asked != held) => return (409, found.1),
        _ => {}
    }
    let spec = json::field(body, "spec").unwrap_or("null").to_owned();
    state.content.write(kind, name, &spec);
    shared.1.notify_all();
    let status = if is_create { 201 } else { 200 };
    (status, read(&state.content, kind, name).1)
}

fn read(content: &Content, kind: &str, name: &str) -> (u16, String) {
    let key = (kind.to_owned(), name.to_owned());
    match content.objects.get(&key) {
        Some(object) => (200, object_text(name, object)),
        None => (404, "{}".to_owned()),
    }
}

fn list(content: &Content, kind: &str) -> (u16, String) {
    let items: Vec<String> = content
        .objects
        .iter()
        .filter(|((other, _), _)| other == kind)
        .map(|((_, name), object)| object_text(name, object))
        .collect();
    let text = format!(
        "{{\"items\":[{}],\"more-pages\":false,\"store-revision\":{}}}",
        items.join(","),
        content.revision
    );
    (200, text)
}

fn watch(
    shared: &(Mutex<StoreState>, Condvar),
    kind: &str,
    query: &HashMap<&str, &str>,
) -> (u16, String) {
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    let (since, wait_ms) = (number("watch").unwrap_or(0), number("wait-ms").unwrap_or(0));
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let mut state = shared.0.lock().unwrap();
    let era = state.era;
    loop {
        if state.era != era || since > state.content.revision {
            return (410, "{\"error\":\"gone\"}".to_owned());
        }
        let events: Vec<String> = state
            .content
            .events
            .iter()
            .filter(|(revision, other, _, _)| *revision > since && other == kind)
            .map(|(_, _, object, deleted)| format!("{{\"object\":{object},\"deleted\":{deleted}}}"))
            .collect();
        let left = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let text = format!(
                "{{\"events\":[{}],\"store-revision\":{}}}",
                events.join(","),
                state.content.revision
            );
            return (200, text);
        }
        state = shared.1.wait_timeout(state, left).unwrap().0;
    }
}
