//! Stand-in for the platform's store: objects by kind and name, revisions, lists and watches.
//!
//! Each router reaches it through a door of its own, which can be cut: a cut door answers nothing.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Wire, encode};
use crate::json;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

#[derive(Clone, Default)]
struct State {
    revision: u64,
    /// Rises by one each time the store comes back from a copy.
    era: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, object as text, and whether it was deleted.
    events: Vec<(u64, String, String, bool)>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

/// State of the store at an earlier time.
pub struct Copy(State);

/// Address of the store for one router.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    /// Number of connections so far.
    connections: Arc<AtomicU64>,
    /// Connections with a lower number have gone silent for good.
    first_sound: Arc<AtomicU64>,
    is_away: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Door {
    /// Lets all open connections go silent for good; new ones work.
    pub fn silence_connections(&self) {
        let first_sound = self.connections.load(Ordering::SeqCst);
        self.first_sound.store(first_sound, Ordering::SeqCst);
    }

    /// Lets the store be away: open connections are reset, and new ones are closed at once.
    pub fn set_away(&self, is_away: bool) {
        self.is_away.store(is_away, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"meta\":{{\"name\":{},\"revision\":{},\"create-revision\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":null}}",
        json::quote(name),
        object.revision,
        object.created,
        object.spec
    )
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        let earlier = self.objects.get(&key);
        if let Some(earlier) = earlier.filter(|earlier| earlier.spec == spec) {
            return object_text(name, earlier);
        }
        let created = earlier.map(|earlier| earlier.created);
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            created: created.unwrap_or(self.revision),
            spec: spec.to_owned(),
        };
        let text = object_text(name, &object);
        self.objects.insert(key, object);
        self.events
            .push((self.revision, kind.to_owned(), text.clone(), false));
        text
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

    fn find(&self, kind: &str, name: &str) -> Option<Object> {
        self.objects
            .get(&(kind.to_owned(), name.to_owned()))
            .cloned()
    }
}

impl Store {
    pub fn new() -> Self {
        let state = State {
            revision: 400,
            ..State::default()
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Writes as an operator or a replica does; returns once the store has accepted it.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        self.state.lock().unwrap().write(kind, name, spec);
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.state.lock().unwrap().delete(kind, name);
    }

    /// Copies the store.
    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().unwrap().clone())
    }

    /// Comes back from a copy: what was written since is gone, and revisions go back.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state.lock().unwrap();
        let era = state.era + 1;
        *state = State { era, ..copy.0 };
    }

    pub fn open_door(&self) -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let door = Door {
            address: listener.local_addr().expect("an address"),
            is_cut: Arc::default(),
            connections: Arc::default(),
            first_sound: Arc::default(),
            is_away: Arc::default(),
            streams: Arc::default(),
        };
        let (store, opened) = (self.clone(), door.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if opened.is_away.load(Ordering::SeqCst) {
                    continue;
                }
                if let Ok(stream) = stream.try_clone() {
                    opened.streams.lock().unwrap().push(stream);
                }
                let number = opened.connections.fetch_add(1, Ordering::SeqCst);
                let (store, opened) = (store.clone(), opened.clone());
                thread::spawn(move || store.serve(stream, &opened, number));
            }
        });
        door
    }

    fn serve(&self, stream: TcpStream, door: &Door, number: u64) {
        let is_cut = &door.is_cut;
        let mut wire = Wire::new(stream);
        while let Ok(Some(request)) = wire.read() {
            let (method, target) = request.target();
            let (status, body) = self.answer(method, target, &request.body);
            if number < door.first_sound.load(Ordering::SeqCst) {
                // Nothing comes back on this connection any more; the caller has to close it.
                while let Ok(Some(_)) = wire.read() {}
                return;
            }
            if is_cut.load(Ordering::SeqCst) {
                // A connection on which an answer was lost returns nothing further.
                while is_cut.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(20));
                }
                return;
            }
            thread::sleep(Duration::from_millis(4));
            let era = self.state.lock().unwrap().era.to_string();
            let headers = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", era),
            ];
            let start = format!("HTTP/1.1 {status} X");
            if wire
                .send(&encode(&start, &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.trim_start_matches("/objects/");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let parameter = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(name, _)| *name == key)
                .map(|(_, value)| value.to_owned())
        };
        let body = String::from_utf8_lossy(body).into_owned();
        let meta = json::field(&body, "meta").unwrap_or_default();
        let revision = json::field(&meta, "revision").and_then(|text| text.parse::<u64>().ok());
        let spec = json::field(&body, "spec").unwrap_or_else(|| "null".to_owned());
        if method == "GET" && name.is_empty() {
            if let Some(seen) = parameter("watch").and_then(|text| text.parse().ok()) {
                let wait = parameter("wait-ms")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                return self.watch(kind, seen, Duration::from_millis(wait));
            }
        }
        let mut state = self.state.lock().unwrap();
        match (method, name.is_empty()) {
            ("GET", true) => {
                let items = state.objects.iter().filter(|((of, _), _)| of == kind);
                let items: Vec<String> = items
                    .map(|((_, name), object)| object_text(name, object))
                    .collect();
                let text = format!(
                    "{{\"items\":[{}],\"more-pages\":false,\"store-revision\":{}}}",
                    items.join(","),
                    state.revision
                );
                (200, text)
            }
            ("GET", false) => match state.find(kind, name) {
                Some(object) => (200, object_text(name, &object)),
                None => (404, "{}".to_owned()),
            },
            ("POST", true) => {
                let name = json::unquote(&json::field(&meta, "name").unwrap_or_default());
                match state.find(kind, &name) {
                    Some(object) => (409, object_text(&name, &object)),
                    None => (200, state.write(kind, &name, &spec)),
                }
            }
            ("PUT", false) => match state.find(kind, name) {
                None => (404, "{}".to_owned()),
                Some(object) if revision.is_some_and(|revision| revision != object.revision) => {
                    (409, object_text(name, &object))
                }
                Some(_) => (200, state.write(kind, name, &spec)),
            },
            ("DELETE", false) => {
                state.delete(kind, name);
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn watch(&self, kind: &str, seen: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        loop {
            {
                let state = self.state.lock().unwrap();
                if seen > state.revision {
                    return (410, "{}".to_owned());
                }
                let events = state.events.iter();
                let events: Vec<String> = events
                    .filter(|(revision, of, _, _)| *revision > seen && of == kind)
                    .map(|(_, _, object, is_deleted)| {
                        format!("{{\"deleted\":{is_deleted},\"object\":{object}}}")
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    let text = format!(
                        "{{\"events\":[{}],\"store-revision\":{}}}",
                        events.join(","),
                        state.revision
                    );
                    return (200, text);
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}
