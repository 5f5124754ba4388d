//! Hosts whose entries are removed because they are gone for good.

use std::time::{Duration, Instant};

use cornelwinch_routing::{AbsentHosts, HostEntry};
use cornelwinch_types::Name;

const GONE: Duration = Duration::from_secs(100);

/// Guards against a host that no source asks, and against work of a source that grows with the
/// number of hosts.
#[test]
fn sources_share_all_hosts() {
    for count in [3, 33, 300] {
        let host = |n: usize| HostEntry {
            name: format!("h{n}").into(),
            zone: format!("z{}", n % 3).into(),
            peer: "127.0.0.1:9000".parse().unwrap(),
        };
        let hosts: Vec<HostEntry> = (0..count).map(host).collect();
        let mut asked: Vec<Name> = Vec::new();
        for host in &hosts {
            let to_ask = AbsentHosts::hosts_to_ask(&hosts, &host.name);
            assert!(to_ask.len() <= 52, "{} hosts asked", to_ask.len());
            assert!(to_ask.iter().all(|asked| asked.name != host.name));
            asked.extend(to_ask.into_iter().map(|host| host.name));
        }
        asked.sort();
        asked.dedup();
        assert_eq!(asked.len(), count);
    }
}

/// Guards against the removal of hosts that answered once in a while, and of all the others by a
/// host that is cut off itself.
#[test]
fn only_long_silence_counts() {
    let start = Instant::now();
    let mut absent = AbsentHosts::default();
    for (s, answers) in [
        (0, [false, false, true, true]),
        (60, [true, false, true, true]),
        (110, [false, false, false, false]),
        (120, [false, false, true, true]),
        (219, [false, false, true, true]),
    ] {
        let now = start + Duration::from_secs(s);
        let named: Vec<(Name, bool)> = (0..).map(|n| format!("h{n}").into()).zip(answers).collect();
        absent.record_round(now, &named);
        assert_eq!(absent.gone(now, GONE), None, "after {s} s");
    }
    let end = start + Duration::from_secs(220);
    assert_eq!(absent.gone(end, GONE), Some(&"h0".into()));
}
