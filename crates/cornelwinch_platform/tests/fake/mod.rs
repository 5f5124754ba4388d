//! A small in-memory platform with faults, on a loopback port.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde_json::{Value, json};
use tiny_http::{Method, Request, Response, Server};

/// What happens to one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// Refused, nothing done.
    OverRate,
    /// Answered with an outage, without being applied.
    OutageBefore,
    /// Applied and answered with an outage.
    OutageAfter,
    /// Applied; the answer arrives after the client's time is over.
    Late,
    /// Applied and replaced by another writer at once; answered with an outage.
    Overtaken,
    /// Another writer is first; answered with an outage.
    Beaten,
    /// Not applied, and from now on all reads meet an outage.
    Down,
}

#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) objects: Vec<Value>,
    pub(crate) revision: u64,
    /// Faults of the next writes; without one, a write succeeds.
    pub(crate) faults: Vec<Fault>,
    /// Number of the next reads that meet an outage.
    pub(crate) failing_reads: usize,
    /// Writes that took effect, by change identifier.
    pub(crate) applied: Vec<String>,
}

impl Store {
    pub(crate) fn find(&self, kind: &str, name: &str) -> Option<&Value> {
        self.objects
            .iter()
            .find(|object| object["kind"] == kind && object["name"] == name)
    }

    pub(crate) fn set(&mut self, kind: &str, name: &str, value: &Value) -> Value {
        self.revision += 1;
        let version = self
            .find(kind, name)
            .map_or(0, |held| held["version"].as_u64().unwrap_or(0));
        let object = json!({"kind": kind, "name": name, "version": version + 1,
            "revision": self.revision, "deleted": value.is_null(), "value": value});
        self.objects
            .retain(|held| held["kind"] != kind || held["name"] != name);
        self.objects.push(object.clone());
        object
    }

    fn write(&mut self, kind: &str, name: &str, version: u64, value: &Value) -> (u16, Value) {
        let held = self
            .find(kind, name)
            .filter(|held| held["deleted"] == false)
            .cloned();
        let held_version = held
            .as_ref()
            .map_or(0, |held| held["version"].as_u64().unwrap_or(0));
        if held_version != version {
            return (409, held.unwrap_or(Value::Null));
        }
        self.applied
            .push(value["change"].as_str().unwrap_or("").to_owned());
        (200, self.set(kind, name, value))
    }

    fn page(&self, after: u64, limit: usize) -> Value {
        let mut objects: Vec<&Value> = self
            .objects
            .iter()
            .filter(|o| o["revision"].as_u64() > Some(after))
            .collect();
        let more = objects.len() > limit;
        objects.truncate(limit);
        let last = objects
            .last()
            .map_or(0, |o| o["revision"].as_u64().unwrap_or(0));
        let revision = if more { last } else { self.revision };
        json!({"revision": revision, "objects": objects, "more": more})
    }
}

/// A running platform; it stops when dropped.
pub(crate) struct Platform {
    pub(crate) addr: SocketAddr,
    pub(crate) store: Arc<Mutex<Store>>,
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
}

pub(crate) fn spawn(late_by: Duration) -> Platform {
    let server = Arc::new(Server::http("127.0.0.1:0").expect("a free port"));
    let addr = server.server_addr().to_ip().expect("an IP address");
    let store = Arc::new(Mutex::new(Store::default()));
    let (shared, listener) = (Arc::clone(&store), Arc::clone(&server));
    let thread = thread::spawn(move || {
        while let Ok(req) = listener.recv() {
            serve(req, &shared, late_by);
        }
    });
    Platform {
        addr,
        store,
        server,
        thread: Some(thread),
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the platform's thread panicked");
        }
    }
}

fn serve(mut req: Request, store: &Mutex<Store>, late_by: Duration) {
    let url = req.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let number = |key: &str| {
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('=')?.parse().ok())
    };
    let parts: Vec<&str> = path.split('/').skip(3).collect();
    let mut body = String::new();
    req.as_reader()
        .read_to_string(&mut body)
        .expect("a readable body");
    let is_read = *req.method() == Method::Get;
    let mut store = store.lock().expect("no panic in the store");
    let mut late = false;
    let (status, answer) = match *parts.as_slice() {
        _ if is_read && store.failing_reads > 0 => {
            store.failing_reads -= 1;
            (503, Value::Null)
        }
        [] => (
            200,
            store.page(
                number("after").unwrap_or(0),
                number("limit").unwrap_or(100) as usize,
            ),
        ),
        [kind, name] if is_read => match store
            .find(kind, name)
            .filter(|held| held["deleted"] == false)
        {
            Some(object) => (200, object.clone()),
            None => (404, Value::Null),
        },
        [kind, name] => {
            let version = number("version").unwrap_or(0);
            let value = serde_json::from_str(&body).unwrap_or(Value::Null);
            let other = json!({"change": "other", "spec": {"rate_per_s": 1.0}});
            let fault = store.faults.pop().unwrap_or(Fault::None);
            if fault == Fault::Beaten {
                store.set(kind, name, &other);
            }
            let (status, object) = match fault {
                Fault::OverRate | Fault::OutageBefore | Fault::Down => (0, Value::Null),
                _ => store.write(kind, name, version, &value),
            };
            if fault == Fault::Down {
                store.failing_reads = usize::MAX;
            }
            if fault == Fault::Overtaken {
                store.set(kind, name, &other);
            }
            late = fault == Fault::Late;
            match fault {
                Fault::None | Fault::Late => (status, object),
                Fault::OverRate => (429, Value::Null),
                _ => (503, Value::Null),
            }
        }
        _ => (404, Value::Null),
    };
    drop(store);
    let respond = move || {
        // A client that gave up has closed the connection.
        drop(req.respond(Response::from_string(answer.to_string()).with_status_code(status)));
    };
    if late {
        thread::spawn(move || {
            thread::sleep(late_by);
            respond();
        });
    } else {
        respond();
    }
}
