//! Bounds on slow, silent, greedy and malformed callers.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

use cornelwinch_http::{HttpLimits, HttpRequest, HttpServer, bind};

/// Idle time of the tests that wait for a cut.
const SHORT: Duration = Duration::from_millis(150);

fn serve(limits: HttpLimits, handler: impl Fn(HttpRequest) + Send + Sync + 'static) -> HttpServer {
    bind(SocketAddr::from(([127, 0, 0, 1], 0)), limits, handler).unwrap()
}

fn short_idle() -> HttpLimits {
    HttpLimits {
        idle: SHORT,
        ..HttpLimits::default()
    }
}

fn connect(server: &HttpServer) -> TcpStream {
    TcpStream::connect(server.local_addr()).unwrap()
}

/// Sends a text and reads until the server closes.
fn send(server: &HttpServer, text: &str) -> String {
    let mut stream = connect(server);
    stream.write_all(text.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

#[test]
fn silent_caller_is_cut() {
    // Guards against connections that stay for ever: before a request, between
    // two requests and inside a body.
    let server = serve(short_idle(), |req| req.responder.empty(204));
    assert_eq!(send(&server, ""), "");
    let answer = send(&server, "GET / HTTP/1.1\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 204 "), "{answer}");
    assert_eq!(
        send(&server, "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"),
        ""
    );
}

#[test]
fn slow_header_is_cut() {
    // Guards against a caller that keeps a connection by sending its header
    // byte by byte, always within the idle time.
    let server = serve(short_idle(), |req| req.responder.empty(204));
    let mut stream = connect(&server);
    let pause = SHORT / 10;
    stream.set_read_timeout(Some(pause)).unwrap();
    let mut sent = 0;
    let answer = loop {
        if stream.write_all(b"a").is_err() {
            break 0;
        }
        sent += 1;
        match stream.read(&mut [0; 16]) {
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break 0,
            Ok(read) => break read,
        }
    };
    // The header size limit would answer 431 much later.
    assert_eq!(answer, 0, "answered after {sent} bytes");
}

#[test]
fn waiting_caller_is_not_cut() {
    // Guards against an idle limit that cuts a caller while its request runs,
    // as a watch does.
    let (tx, rx) = mpsc::channel();
    let server = serve(short_idle(), move |req| tx.send(req.responder).unwrap());
    let mut waiting = connect(&server);
    waiting
        .write_all(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
        .unwrap();
    let responder = rx.recv().unwrap();
    // Idle callers that come and are cut, one after the other, take the time.
    for _ in 0..3 {
        assert_eq!(send(&server, ""), "");
    }
    responder.text(200, "late");
    let mut answer = String::new();
    waiting.read_to_string(&mut answer).unwrap();
    assert!(answer.ends_with("late"), "{answer}");
}

#[test]
fn connections_are_limited() {
    // Guards against more connections than the limit, and against a limit that
    // does not recover.
    let limits = HttpLimits {
        connections: 2,
        ..HttpLimits::default()
    };
    let server = serve(limits, |req| req.responder.empty(204));
    let request = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
    let mut open: Vec<_> = (0..2).map(|_| connect(&server)).collect();
    while server.connections() < 2 {
        std::thread::yield_now();
    }
    let answer = send(&server, request);
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    open.pop();
    while server.connections() > 1 {
        std::thread::yield_now();
    }
    let answer = send(&server, request);
    assert!(answer.starts_with("HTTP/1.1 204 "), "{answer}");
}

#[test]
fn large_body_is_refused_unread() {
    // Guards against a body that fills the memory: the length alone, without
    // one byte of the body, has to suffice for the refusal.
    let limits = HttpLimits {
        body_bytes: 1000,
        ..HttpLimits::default()
    };
    let server = serve(limits, |req| req.responder.text(200, req.body));
    let lengths = ["1001", "9000000000000000000", "99999999999999999999999"];
    for length in lengths {
        let answer = send(
            &server,
            &format!("POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n"),
        );
        assert!(answer.starts_with("HTTP/1.1 413 "), "{length}: {answer}");
    }
    let body = "b".repeat(1000);
    let answer = send(
        &server,
        &format!("POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 1000\r\n\r\n{body}"),
    );
    assert!(answer.ends_with(&body), "{answer}");
}

#[test]
fn malformed_requests_are_refused() {
    // Guards against requests that two readers could frame differently, so that
    // one caller's bytes end up in another's request.
    let server = serve(HttpLimits::default(), |req| {
        req.responder.text(200, req.body);
    });
    let cases = [
        (
            "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            400,
        ),
        ("POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\na", 400),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            411,
        ),
        ("POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\na", 400),
        ("GET  / HTTP/1.1\r\n\r\n", 400),
        ("nonsense\r\n\r\n", 400),
        ("GET /\u{e9} HTTP/1.1\r\n\r\n", 400),
    ];
    for (text, status) in cases {
        let answer = send(&server, text);
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{text:?}: {answer}"
        );
    }
    let long = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(20_000));
    let answer = send(&server, &long);
    assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
}

#[test]
fn slow_reader_blocks_nobody() {
    // Guards against a thread that waits for a caller which does not read, and
    // against a caller that holds a large answer for ever.
    const LARGE: usize = 64 * 1024 * 1024;
    let server = serve(short_idle(), |req| match req.path() {
        "/large" => req.responder.text(200, "x".repeat(LARGE)),
        _ => req.responder.text(200, "small"),
    });
    let mut slow = connect(&server);
    slow.write_all(b"GET /large HTTP/1.1\r\n\r\n").unwrap();
    for _ in 0..3 {
        let answer = send(&server, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
        assert!(answer.ends_with("small"), "{answer}");
    }
    while server.connections() > 0 {
        std::thread::yield_now();
    }
    let mut buf = Vec::new();
    let _ = slow.read_to_end(&mut buf);
    assert!(buf.len() < LARGE, "{}", buf.len());
}
