//! Answers, connection reuse and what a handler may do with its responder.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;

use cornelwinch_http::{HttpLimits, HttpRequest, HttpServer, Responder, bind};

fn serve(handler: impl Fn(HttpRequest) + Send + Sync + 'static) -> HttpServer {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    bind(addr, HttpLimits::default(), handler).unwrap()
}

/// Reads one answer: head and body.
fn read_answer(stream: &mut BufReader<TcpStream>) -> (String, String) {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert_ne!(
            stream.read_line(&mut head).unwrap(),
            0,
            "closed in {head:?}"
        );
    }
    let length = head
        .lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map_or(0, |(_, value)| value.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).unwrap();
    (head, String::from_utf8(body).unwrap())
}

fn connect(server: &HttpServer) -> BufReader<TcpStream> {
    BufReader::new(TcpStream::connect(server.local_addr()).unwrap())
}

#[test]
fn request_reaches_the_handler_whole() {
    // Guards against lost fields and a body cut at a read boundary.
    let server = serve(|req| {
        let text = format!(
            "{} {} {:?} {:?} {} {} {}",
            req.method,
            req.path(),
            req.query("after"),
            req.bearer(),
            req.body.len(),
            req.first,
            req.peer.port(),
        );
        req.responder.header("X-Extra", "yes").json(200, text);
    });
    let mut stream = connect(&server);
    let port = stream.get_ref().local_addr().unwrap().port();
    for first in [true, false] {
        let body = "b".repeat(100_000);
        let head = format!(
            "POST /v1/x?after=7 HTTP/1.1\r\nAuthorization: Bearer abc\r\nX-Cornelwinch-Exchange: 0\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.get_mut().write_all(head.as_bytes()).unwrap();
        stream.get_mut().write_all(body.as_bytes()).unwrap();
        let (head, body) = read_answer(&mut stream);
        assert!(head.starts_with("HTTP/1.1 200 OK\r\n"), "{head}");
        assert!(head.contains("X-Extra: yes\r\n"), "{head}");
        let want = format!("POST /v1/x Some(\"7\") Some(\"abc\") 100000 {first} {port}");
        assert_eq!(body, want);
    }
    assert_eq!(server.connections(), 1);
}

#[test]
fn lost_responder_answers_500() {
    // Guards against callers that wait for ever after a fault in a handler.
    let server = serve(|req| assert_ne!(req.path(), "/panic", "planned panic"));
    let mut stream = connect(&server);
    for path in ["/drop", "/panic", "/drop"] {
        let text = format!("GET {path} HTTP/1.1\r\n\r\n");
        stream.get_mut().write_all(text.as_bytes()).unwrap();
        let (head, _) = read_answer(&mut stream);
        assert!(head.starts_with("HTTP/1.1 500 "), "{head}");
    }
}

#[test]
fn many_wait_at_once() {
    // Guards against a request that is held up by another caller's.
    const CALLERS: usize = 40;
    let (tx, rx) = mpsc::channel::<Responder>();
    let server = serve(move |req| tx.send(req.responder).unwrap());
    let mut streams: Vec<_> = (0..CALLERS).map(|_| connect(&server)).collect();
    for stream in &mut streams {
        stream
            .get_mut()
            .write_all(b"GET / HTTP/1.1\r\n\r\n")
            .unwrap();
    }
    let waiting: Vec<_> = rx.iter().take(CALLERS).collect();
    for (i, responder) in waiting.into_iter().enumerate().rev() {
        responder.text(200, i.to_string());
    }
    let mut seen: Vec<usize> = streams
        .iter_mut()
        .map(|stream| read_answer(stream).1.parse().unwrap())
        .collect();
    seen.sort_unstable();
    assert_eq!(seen, (0..CALLERS).collect::<Vec<_>>());
}

#[test]
fn keep_alive_stops() {
    // Guards against callers that stay on a host that is leaving.
    let server = serve(|req| req.responder.empty(204));
    let mut stream = connect(&server);
    let request = b"GET / HTTP/1.1\r\n\r\n";
    stream.get_mut().write_all(request).unwrap();
    let (head, _) = read_answer(&mut stream);
    assert!(!head.contains("Connection: close"), "{head}");
    server.stop_keep_alive();
    stream.get_mut().write_all(request).unwrap();
    let (head, _) = read_answer(&mut stream);
    assert!(head.contains("Connection: close"), "{head}");
    assert_eq!(stream.read(&mut [0; 1]).unwrap(), 0);
}

#[test]
fn caller_that_leaves_is_reported() {
    // Guards against work that goes on for a caller that has disconnected.
    let (tx, rx) = mpsc::channel();
    let (gone_tx, gone_rx) = mpsc::channel();
    let server = serve(move |req| tx.send(req.responder).unwrap());
    let mut stream = connect(&server);
    stream
        .get_mut()
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .unwrap();
    let responder = rx.recv().unwrap();
    responder.on_caller_gone(move || gone_tx.send(()).unwrap());
    assert!(!responder.is_caller_gone());
    drop(stream);
    gone_rx.recv().unwrap();
    assert!(responder.is_caller_gone());
}

#[test]
fn drop_frees_the_port() {
    // Guards against a restart that fails because the port is still bound.
    let server = serve(|req| req.responder.empty(204));
    let addr = server.local_addr();
    let mut stream = connect(&server);
    drop(server);
    assert_eq!(stream.read(&mut [0; 1]).unwrap_or(0), 0);
    bind(addr, HttpLimits::default(), |_| {}).unwrap();
}

#[test]
fn server_dropped_by_its_handler_answers_nothing() {
    // Guards against answers to other callers between the drop of a server in its
    // own thread and the end of its connections.
    let (tx, rx) = mpsc::channel::<Responder>();
    let (server_tx, server_rx) = mpsc::channel::<HttpServer>();
    let waiting = std::sync::Mutex::new((rx, server_rx));
    let server = serve(move |req| {
        if req.path() == "/wait" {
            tx.send(req.responder).unwrap();
            return;
        }
        let waiting = waiting.lock().unwrap();
        drop(waiting.1.recv().unwrap());
        drop(waiting.0.recv().unwrap());
        req.responder.empty(204);
    });
    let (mut other, mut last) = (connect(&server), connect(&server));
    other
        .get_mut()
        .write_all(b"GET /wait HTTP/1.1\r\n\r\n")
        .unwrap();
    while server.requests() == 0 {
        std::thread::yield_now();
    }
    server_tx.send(server).unwrap();
    last.get_mut()
        .write_all(b"GET /drop HTTP/1.1\r\n\r\n")
        .unwrap();
    for stream in [&mut other, &mut last] {
        assert_eq!(stream.read(&mut [0; 1]).unwrap_or(0), 0);
    }
}

#[test]
fn older_and_eager_callers_are_served() {
    // Guards against an HTTP/1.0 caller that waits for a close, a caller that
    // waits for leave to send its body, and requests sent ahead of answers.
    let server = serve(|req| req.responder.text(200, req.body));
    let mut answer = String::new();
    let mut old = connect(&server);
    old.get_mut().write_all(b"GET / HTTP/1.0\r\n\r\n").unwrap();
    old.read_to_string(&mut answer).unwrap();
    assert!(answer.contains("Connection: close\r\n"), "{answer}");
    let mut stream = connect(&server);
    let head = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    stream.get_mut().write_all(head).unwrap();
    let (head, _) = read_answer(&mut stream);
    assert!(head.starts_with("HTTP/1.1 100 "), "{head}");
    stream.get_mut().write_all(b"ab").unwrap();
    assert_eq!(read_answer(&mut stream).1, "ab");
    let two = b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\ncPOST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nd";
    stream.get_mut().write_all(two).unwrap();
    assert_eq!(read_answer(&mut stream).1, "c");
    assert_eq!(read_answer(&mut stream).1, "d");
}

#[test]
fn requests_in_progress_are_counted() {
    // Guards against a shutdown that takes a half-read request for an idle
    // connection.
    let (tx, rx) = mpsc::channel();
    let server = serve(move |req| tx.send(req.responder).unwrap());
    let mut stream = connect(&server);
    stream.get_mut().write_all(b"G").unwrap();
    while server.requests() == 0 {
        std::thread::yield_now();
    }
    stream
        .get_mut()
        .write_all(b"ET / HTTP/1.1\r\n\r\n")
        .unwrap();
    let responder: Responder = rx.recv().unwrap();
    assert_eq!(server.requests(), 1);
    responder.empty(204);
    read_answer(&mut stream);
    while server.requests() > 0 {
        std::thread::yield_now();
    }
    assert_eq!(server.connections(), 1);
}
