//! Runs commands, with files and fake hosts to run them on.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};

use tiny_http::{Response, Server};

/// Exit code and output of a command.
pub(crate) fn run(args: &[&str]) -> (u8, String, String) {
    let args: Vec<_> = args.iter().map(Into::into).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = cornelwinch_cli::run(&args, &mut out, &mut err);
    let text = |buf| String::from_utf8(buf).expect("readable output");
    (code, text(out), text(err))
}

/// Writes a file for a command and returns its path.
pub(crate) fn file(name: &str, text: &str) -> String {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(name);
    fs::write(&path, text).expect("a writable directory");
    path.to_str().expect("a readable path").to_owned()
}

/// A host's listener for operators; it stops when dropped.
pub(crate) struct Host {
    pub(crate) addr: SocketAddr,
    pub(crate) revision: Arc<AtomicU64>,
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
}

/// Starts a listener that accepts the token `secret`.
pub(crate) fn spawn_host(name: &'static str, zone: &'static str) -> Host {
    let server = Arc::new(Server::http("127.0.0.1:0").expect("a free port"));
    let addr = server.server_addr().to_ip().expect("an IP address");
    let revision = Arc::new(AtomicU64::new(0));
    let (listener, shared) = (Arc::clone(&server), Arc::clone(&revision));
    let thread = thread::spawn(move || {
        while let Ok(req) = listener.recv() {
            let known = req
                .headers()
                .iter()
                .any(|header| header.value == "Bearer secret");
            let revision = shared.load(Ordering::Relaxed);
            let body = format!(
                r#"{{"host": "{name}", "zone": "{zone}", "revision": {revision}, "ready": true,
                "members": [{{"name": "a", "zone": "z", "state": "Alive"}},
                            {{"name": "b", "zone": "z", "state": "Dead"}}],
                "owned": [{{"upstream": "u", "limit": 2, "in_flight": 1, "queued": 4,
                            "cold": true}}]}}"#
            );
            let response =
                Response::from_string(body).with_status_code(if known { 200 } else { 401 });
            drop(req.respond(response));
        }
    });
    Host {
        addr,
        revision,
        server,
        thread: Some(thread),
    }
}

/// Starts a listener that answers each path with lines that name it.
pub(crate) fn spawn_relay() -> Host {
    let server = Arc::new(Server::http("127.0.0.1:0").expect("a free port"));
    let addr = server.server_addr().to_ip().expect("an IP address");
    let listener = Arc::clone(&server);
    let thread = thread::spawn(move || {
        while let Ok(req) = listener.recv() {
            let body = format!(
                "path={}\nupstream=i-1 lost=false\nupstream=i-2 lost=true\n",
                req.url()
            );
            drop(req.respond(Response::from_string(body)));
        }
    });
    Host {
        addr,
        revision: Arc::default(),
        server,
        thread: Some(thread),
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the host's thread panicked");
        }
    }
}
