//! Guards against a list that cannot be read because one object in it is odd.

use cornelwinch_platform::{Listing, PlatformClient, Timeouts};
use cornelwinch_types::Revision;

const DEPTH: usize = 100_000;

fn listing(odd: &[u8]) -> Vec<u8> {
    let zone = |name: &str| {
        format!(
            r#"{{"kind":"zone","name":"{name}","version":1,"revision":3,
                "value":{{"change":"c","spec":{{"region":"tunis","state":"out"}}}}}}"#
        )
        .into_bytes()
    };
    [
        &b"{\"revision\":9,\"objects\":["[..],
        &zone("z1"),
        b",",
        odd,
        b",",
        &zone("z2"),
        b"]}",
    ]
    .concat()
}

fn object(value: &str) -> Vec<u8> {
    format!(r#"{{"kind":"plan","name":"odd","version":1,"revision":4,"value":{value}}}"#)
        .into_bytes()
}

fn odd_objects() -> Vec<Vec<u8>> {
    let deep = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let mut bytes = object("\"?\"");
    *bytes.iter_mut().find(|b| **b == b'?').expect("a mark") = 0xff;
    vec![
        object(&deep),
        object(&format!(r#"{{"change":"c","spec":{deep}}}"#)),
        object("1e999"),
        object(r#"{"change":"c","spec":{"rate_per_s":1e999}}"#),
        object(r#""\ud800""#),
        object("\"\u{1}\""),
        bytes,
        b"null".to_vec(),
        deep.into_bytes(),
        br#"{"kind":"plan","name":7}"#.to_vec(),
        br#"{"kind":"plan","name":"odd","version":1e999,"revision":4}"#.to_vec(),
    ]
}

#[test]
fn neighbours_are_decoded() {
    for odd in odd_objects() {
        let text = String::from_utf8_lossy(&odd[..odd.len().min(80)]).into_owned();
        let listing = Listing::decode(&listing(&odd)).unwrap_or_else(|e| panic!("{text}: {e}"));
        let (entries, invalid) = listing.entries();
        let names: Vec<&str> = entries.iter().map(|entry| &*entry.name).collect();
        assert_eq!(names, ["z1", "z2"], "{text}");
        assert_eq!(invalid.len() + listing.unreadable.len(), 1, "{text}");
    }
}

/// The same over HTTP, and for the list of hosts.
#[test]
fn client_reads_lists() {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("a free port");
    let addr = server.server_addr().to_ip().expect("an IP address");
    let answers = std::thread::spawn(move || {
        for odd in odd_objects() {
            let hosts = [
                &b"{\"hosts\":["[..],
                &odd,
                br#",{"name":"h1","zone":"z","role":"host","state":"live"}]}"#,
            ]
            .concat();
            for body in [listing(&odd), hosts] {
                let req = server.recv().expect("a request");
                let response = tiny_http::Response::from_data(body);
                req.respond(response).expect("a reader");
            }
        }
    });
    let client = PlatformClient::open(addr, Timeouts::default());
    for _ in odd_objects() {
        let listing = client.list(Revision(0), &["plan", "zone"]).expect("a list");
        assert_eq!(listing.entries().0.len(), 2);
        let hosts = client.hosts().expect("a list");
        assert_eq!(hosts.len(), 1);
    }
    answers.join().expect("no panic");
}
