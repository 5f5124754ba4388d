use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// Lines about individual legs that are logged per second. Thousands of legs may fail per second
/// while many upstreams are down: the first lines show the reasons, the counters the amount.
const LINES_PER_S: u32 = 40;

/// Limits the rate of log lines of one kind.
#[derive(Debug, Default)]
pub(crate) struct LineLimit {
    second_start: Option<Instant>,
    lines: u32,
    dropped: u64,
}

impl LineLimit {
    /// Counts a line and returns true if it may be logged now.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let is_over = |start: Instant| now.saturating_duration_since(start) >= SECOND;
        if self.second_start.is_none_or(is_over) {
            if self.dropped > 0 {
                log::info!("event=leg_lines_left_out count={}", self.dropped);
            }
            *self = Self {
                second_start: Some(now),
                ..Self::default()
            };
        }
        self.lines += 1;
        let has_room = self.lines <= LINES_PER_S;
        self.dropped += u64::from(!has_room);
        has_room
    }
}
