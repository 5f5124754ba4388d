//! Stand-in of the platform's metadata store: kinds of objects, revisions, lists and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, serve};

const FIRST_REVISION: u64 = 100;

struct Object {
    revision: u64,
    create_rev: u64,
    spec: String,
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"create_rev\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
            self.revision, self.create_rev, self.spec
        )
    }
}

struct Event {
    at: Instant,
    revision: u64,
    kind: String,
    name: String,
    /// `None` if the object was removed.
    object: Option<String>,
    json: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    events: Vec<Event>,
}

/// The store. It keeps its whole history.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Age of the data that serializable reads return.
    stale_by: Duration,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start(listener: TcpListener) -> Arc<Self> {
        Self::start_stale(listener, Duration::ZERO)
    }

    /// Starts a store whose serializable reads return data of this age.
    pub fn start_stale(listener: TcpListener, stale_by: Duration) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::new(State {
                revision: FIRST_REVISION,
                ..State::default()
            }),
            changed: Condvar::new(),
            stale_by,
            addr: listener.local_addr().expect("bound"),
        });
        let served = store.clone();
        serve(listener, move |request, _| Some(served.answer(request)));
        store
    }

    /// Creates or replaces an object. Returns once the store has confirmed it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().expect("not poisoned");
        state.put(kind, name, spec);
        self.changed.notify_all();
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().expect("not poisoned");
        state.delete(kind, name);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Answer {
        let mut parts = request.path().trim_start_matches("/v1/objects/").split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        match (request.method.as_str(), name) {
            ("GET", None) => match request.query("watch").and_then(|text| text.parse().ok()) {
                Some(from) => {
                    let wait = request.query("wait_ms").and_then(|text| text.parse().ok());
                    self.watch(&kind, from, Duration::from_millis(wait.unwrap_or(0)))
                }
                None if request.query("serializable") == Some("1") && !self.stale_by.is_zero() => {
                    self.stale_list(&kind, request.query("after"))
                }
                None => self.list(&kind, request.query("after")),
            },
            ("GET", Some(name)) => {
                let state = self.state.lock().expect("not poisoned");
                match state.object(&kind, &name) {
                    Some(object) => json(200, object.json(&name)),
                    None => json(404, "{}"),
                }
            }
            ("POST", None) => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let name = name_of(&body);
                let spec = raw_field(&body, "spec").unwrap_or("null");
                let mut state = self.state.lock().expect("not poisoned");
                if let Some(object) = state.object(&kind, &name) {
                    return json(409, object.json(&name));
                }
                state.put(&kind, &name, spec);
                self.changed.notify_all();
                let object = state.object(&kind, &name).expect("just put");
                json(200, object.json(&name))
            }
            ("PUT", Some(name)) => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let spec = raw_field(&body, "spec").unwrap_or("null");
                let mut state = self.state.lock().expect("not poisoned");
                if state.object(&kind, &name).is_none() {
                    return json(404, "{}");
                }
                state.put(&kind, &name, spec);
                self.changed.notify_all();
                let object = state.object(&kind, &name).expect("just put");
                json(200, object.json(&name))
            }
            ("DELETE", Some(name)) => {
                let mut state = self.state.lock().expect("not poisoned");
                state.delete(&kind, &name);
                self.changed.notify_all();
                json(200, "{}")
            }
            _ => json(405, "{}"),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Answer {
        let state = self.state.lock().expect("not poisoned");
        let objects = state.kinds.get(kind).into_iter().flatten();
        let items: Vec<String> = objects
            .filter(|(name, _)| after.is_none_or(|after| name.as_str() > after))
            .map(|(name, object)| object.json(name))
            .collect();
        let items = items.join(",");
        let revision = state.revision;
        json(
            200,
            format!("{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{revision}}}"),
        )
    }

    /// Lists a kind as it was some time ago, with the revision of that time.
    fn stale_list(&self, kind: &str, after: Option<&str>) -> Answer {
        let state = self.state.lock().expect("not poisoned");
        let mut objects = BTreeMap::new();
        let mut revision = FIRST_REVISION;
        for event in state
            .events
            .iter()
            .filter(|e| e.at.elapsed() >= self.stale_by)
        {
            revision = event.revision;
            if event.kind == kind {
                objects.insert(event.name.as_str(), event.object.as_deref());
            }
        }
        let items: Vec<&str> = objects
            .iter()
            .filter(|(name, _)| after.is_none_or(|after| **name > after))
            .filter_map(|(_, object)| *object)
            .collect();
        let items = items.join(",");
        json(
            200,
            format!("{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{revision}}}"),
        )
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> Answer {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().expect("not poisoned");
        loop {
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|event| event.revision > from && event.kind == kind)
                .map(|event| event.json.as_str())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let events = events.join(",");
                let revision = state.revision;
                return json(
                    200,
                    format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"),
                );
            }
            state = self
                .changed
                .wait_timeout(state, end - now)
                .expect("not poisoned")
                .0;
        }
    }
}

impl State {
    fn object(&self, kind: &str, name: &str) -> Option<&Object> {
        self.kinds.get(kind)?.get(name)
    }

    fn put(&mut self, kind: &str, name: &str, spec: &str) {
        if self.object(kind, name).is_some_and(|old| old.spec == spec) {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let create_rev = self.object(kind, name).map_or(revision, |o| o.create_rev);
        let object = Object {
            revision,
            create_rev,
            spec: spec.to_owned(),
        };
        self.events.push(Event {
            at: Instant::now(),
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object: Some(object.json(name)),
            json: format!("{{\"deleted\":false,\"object\":{}}}", object.json(name)),
        });
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        objects.insert(name.to_owned(), object);
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let Some(object) = self.kinds.get_mut(kind).and_then(|kind| kind.remove(name)) else {
            return;
        };
        self.revision += 1;
        self.events.push(Event {
            at: Instant::now(),
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object: None,
            json: format!("{{\"deleted\":true,\"object\":{}}}", object.json(name)),
        });
    }
}

fn json(status: u16, body: impl Into<Vec<u8>>) -> Answer {
    Answer::new(status, body).with("Content-Type", "application/json")
}

fn name_of(body: &str) -> String {
    let meta = raw_field(body, "meta").unwrap_or("{}");
    let name = raw_field(meta, "name").unwrap_or("\"\"");
    name.trim_matches('"').to_owned()
}

/// Returns the value of a field at the top level of a JSON object as it is written.
fn raw_field<'a>(object: &'a str, key: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let wanted = format!("\"{key}\"");
    let (mut depth, mut is_text, mut at) = (0, false, 0);
    while at < bytes.len() {
        match bytes[at] {
            b'\\' if is_text => at += 1,
            b'"' => {
                if !is_text && depth == 1 && object[at..].starts_with(&wanted) {
                    let rest = object[at + wanted.len()..].trim_start();
                    if let Some(value) = rest.strip_prefix(':') {
                        let value = value.trim_start();
                        return Some(&value[..value_length(value)]);
                    }
                }
                is_text = !is_text;
            }
            b'{' | b'[' if !is_text => depth += 1,
            b'}' | b']' if !is_text => depth -= 1,
            _ => {}
        }
        at += 1;
    }
    None
}

fn value_length(value: &str) -> usize {
    let bytes = value.as_bytes();
    let (mut depth, mut is_text, mut at) = (0_i32, false, 0);
    while at < bytes.len() {
        match bytes[at] {
            b'\\' if is_text => at += 1,
            b'"' => is_text = !is_text,
            b'{' | b'[' if !is_text => depth += 1,
            b'}' | b']' if !is_text && depth == 0 => return at,
            b'}' | b']' if !is_text => depth -= 1,
            b',' if !is_text && depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    at
}
