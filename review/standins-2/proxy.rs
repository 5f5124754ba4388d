//! A proxy between a relay and the store, which stands for the store's end of the connections: it
//! tells which calls wait, and can cut them off.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

struct Link {
    /// The next answer on the connection is cut off.
    is_cut: AtomicBool,
    /// First line of the last request on the connection, and when it came.
    last: Mutex<(String, Instant)>,
}

pub struct Proxy {
    pub addr: SocketAddr,
    links: Mutex<Vec<Arc<Link>>>,
}

impl Proxy {
    pub fn start(listener: TcpListener, target: SocketAddr) -> Arc<Self> {
        let proxy = Arc::new(Self {
            addr: listener.local_addr().expect("bound"),
            links: Mutex::default(),
        });
        let accepting = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(client) = stream else { continue };
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let link = Arc::new(Link {
                    is_cut: AtomicBool::new(false),
                    last: Mutex::new((String::new(), Instant::now())),
                });
                let mut links = accepting.links.lock().expect("not poisoned");
                links.push(link.clone());
                drop(links);
                let (Ok(client_in), Ok(server_in)) = (client.try_clone(), server.try_clone())
                else {
                    continue;
                };
                let there = link.clone();
                thread::spawn(move || copy(client_in, server, &there, true));
                thread::spawn(move || copy(server_in, client, &link, false));
            }
        });
        proxy
    }

    /// Returns when the last request with these words was sent.
    pub fn last_request(&self, words: &str) -> Option<Instant> {
        let links = self.links.lock().expect("not poisoned");
        let last = links.iter().filter_map(|link| {
            let last = link.last.lock().expect("not poisoned");
            last.0.contains(words).then_some(last.1)
        });
        last.max()
    }

    /// Cuts off the next answer on the connections on which the last request had these words: the
    /// connection is closed instead. Returns their number.
    pub fn cut_next(&self, words: &str) -> usize {
        let links = self.links.lock().expect("not poisoned");
        let chosen = links
            .iter()
            .filter(|link| link.last.lock().expect("not poisoned").0.contains(words));
        let cut = chosen.map(|link| link.is_cut.store(true, Ordering::SeqCst));
        cut.count()
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, link: &Link, is_request: bool) {
    let mut bytes = vec![0; 64 * 1024];
    loop {
        let count = match from.read(&mut bytes) {
            Ok(count) if count > 0 => count,
            _ => break,
        };
        if is_request {
            let text = String::from_utf8_lossy(&bytes[..count]);
            let line = text.lines().next().unwrap_or("").to_owned();
            *link.last.lock().expect("not poisoned") = (line, Instant::now());
        } else if link.is_cut.load(Ordering::SeqCst) {
            break;
        }
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
