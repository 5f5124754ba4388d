//! Stand-in of the platform's store: objects by kind and name, lists, watches and one revision
//! counter, as PROTOCOL.md describes them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, message};

#[derive(Clone)]
struct Object {
    spec: String,
    revision: u64,
    created: u64,
}

impl Object {
    fn text(&self, name: &str) -> String {
        format!(
            r#"{{"meta":{{"name":"{name}","revision":{},"create_rev":{},"finalizers":[],"deleting":false}},"spec":{},"status":null}}"#,
            self.revision, self.created, self.spec
        )
    }
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    events: Vec<Event>,
}

pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    /// True while the store is down: each call of a machine gets 503, and nothing is done.
    is_busy: AtomicBool,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            addr: listener.local_addr().expect("a bound address"),
            state: Mutex::new(State {
                revision: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            is_busy: AtomicBool::new(false),
        });
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        store
    }

    pub fn set_busy(&self, is_busy: bool) {
        self.is_busy.store(is_busy, Ordering::SeqCst);
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        let old = state
            .kinds
            .get(kind)
            .and_then(|objects| objects.get(name))
            .cloned();
        if old.as_ref().is_some_and(|object| object.spec == spec) {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        let created = old.map_or(revision, |object| object.created);
        let object = Object {
            spec: spec.to_owned(),
            revision,
            created,
        };
        let text = format!(r#"{{"deleted":false,"object":{}}}"#, object.text(name));
        state.events.push(Event {
            revision,
            kind: kind.to_owned(),
            text,
        });
        state
            .kinds
            .entry(kind.to_owned())
            .or_default()
            .insert(name.to_owned(), object);
        drop(state);
        self.changed.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        let Some(mut object) = state
            .kinds
            .get_mut(kind)
            .and_then(|objects| objects.remove(name))
        else {
            return;
        };
        state.revision += 1;
        object.revision = state.revision;
        let text = format!(r#"{{"deleted":true,"object":{}}}"#, object.text(name));
        let revision = state.revision;
        state.events.push(Event {
            revision,
            kind: kind.to_owned(),
            text,
        });
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(head)) = conn.read_head() {
            let Ok(body) = conn.read_body(&head) else {
                return;
            };
            let (status, text) = self.answer(head.word(0), head.word(1), &body);
            let start = format!("HTTP/1.1 {status} X");
            let headers = [("Content-Type", "application/json")];
            if conn
                .send(&message(&start, &headers, text.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        if self.is_busy.load(Ordering::SeqCst) {
            return (503, "{}".to_owned());
        }
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return (404, "{}".to_owned());
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields
                .find(|(n, _)| *n == name)
                .map(|(_, value)| value.to_owned())
        };
        match method {
            "GET" => match field("watch").and_then(|revision| revision.parse().ok()) {
                Some(revision) => {
                    let wait = field("wait_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                    (200, self.watch(kind, revision, Duration::from_millis(wait)))
                }
                None => (200, self.list(kind, &field("after").unwrap_or_default())),
            },
            "POST" | "PUT" => {
                let text = String::from_utf8_lossy(body).into_owned();
                let name = if name.is_empty() {
                    text_after(&text, r#""name":""#)
                } else {
                    name.to_owned()
                };
                let exists = {
                    let state = self.state.lock().unwrap();
                    state
                        .kinds
                        .get(kind)
                        .is_some_and(|objects| objects.contains_key(&name))
                };
                if method == "POST" && exists {
                    return (409, "{}".to_owned());
                }
                if method == "PUT" && !exists {
                    return (404, "{}".to_owned());
                }
                let Some(spec) = spec_of(&text) else {
                    return (400, "{}".to_owned());
                };
                self.put(kind, &name, &spec);
                (200, "{}".to_owned())
            }
            _ => (405, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let objects = state.kinds.get(kind);
        let items: Vec<String> = objects
            .into_iter()
            .flatten()
            .filter(|(name, _)| name.as_str() > after)
            .map(|(name, object)| object.text(name))
            .collect();
        format!(
            r#"{{"items":[{}],"has_more":false,"store_revision":{}}}"#,
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|event| event.kind == kind && event.revision > after)
                .map(|event| event.text.as_str())
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    r#"{{"events":[{}],"store_revision":{}}}"#,
                    events.join(","),
                    state.revision
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Returns the text between a mark and the next quote.
fn text_after(text: &str, mark: &str) -> String {
    let rest = text.split_once(mark).map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or("").to_owned()
}

/// Returns the object under `spec`. The relay writes no braces in its texts.
fn spec_of(text: &str) -> Option<String> {
    let rest = text.split_once(r#""spec":"#)?.1;
    let mut depth = 0;
    for (at, byte) in rest.bytes().enumerate() {
        match byte {
            b'{' => depth += 1,
            b'}' => {
                depth -= 1;
                if depth == 0 {
                    return Some(rest[..=at].to_owned());
                }
            }
            _ => {}
        }
    }
    None
}
