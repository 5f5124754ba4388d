//! Requests that crash upstreams, told apart from upstreams that lose answers.

use std::time::{Duration, Instant};

use cornelwinch_routing::{CrashMarks, RequestPrint};

/// Guards against proper requests that are refused because many upstreams lose
/// answers at the same time.
#[test]
fn answered_request_is_not_marked() {
    let now = Instant::now();
    let print = RequestPrint::of("/titles/2f", "");
    let mut marks = CrashMarks::default();
    marks.record_answer(now, print);
    for upstream in 0..20 {
        assert!(!marks.record_disconnect(now, print, upstream, upstream));
    }
    assert!(!marks.is_marked(now, print));
}

/// Guards against a request that is sent on after it crashed three upstreams,
/// and against one upstream that counts twice.
#[test]
fn third_upstream_marks_the_request() {
    let now = Instant::now();
    let print = RequestPrint::of("/titles/2f", "");
    let mut marks = CrashMarks::default();
    for upstream in [1, 1, 2, 2] {
        assert!(!marks.record_disconnect(now, print, upstream, upstream));
    }
    assert!(marks.record_disconnect(now, print, 3, 3));
    assert!(marks.is_marked(now, print));
    assert!(!marks.is_marked(now, RequestPrint::of("/titles/30", "")));
    assert!(!marks.is_marked(now + Duration::from_secs(60), print));
}

/// Guards against a proper request that is refused because several legs of its
/// first attempt met upstreams that lose answers.
#[test]
fn one_attempt_does_not_mark() {
    let now = Instant::now();
    let print = RequestPrint::of("/titles/2f", "");
    let mut marks = CrashMarks::default();
    for upstream in 0..10 {
        assert!(!marks.record_disconnect(now, print, 1, upstream));
    }
    assert!(!marks.is_marked(now, print));
    assert!(marks.record_disconnect(now, print, 2, 1));
}
