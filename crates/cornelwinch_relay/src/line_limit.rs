use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// Lines about single legs that are written in a second. While many upstreams
/// fail at once there are thousands of such legs; the first ones tell why, and
/// the counters how many.
const LINES_PER_S: u32 = 40;

/// Bounds the log lines of one kind.
#[derive(Debug, Default)]
pub(crate) struct LineLimit {
    second: Option<Instant>,
    lines: u32,
    left_out: u64,
}

impl LineLimit {
    /// Reports whether a line may be written now.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let is_over = |start: Instant| now.saturating_duration_since(start) >= SECOND;
        if self.second.is_none_or(is_over) {
            if self.left_out > 0 {
                log::info!("event=leg_lines_left_out count={}", self.left_out);
            }
            *self = Self {
                second: Some(now),
                ..Self::default()
            };
        }
        self.lines += 1;
        let has_room = self.lines <= LINES_PER_S;
        self.left_out += u64::from(!has_room);
        has_room
    }
}
