use std::time::{Duration, Instant};

use crate::{Action, Host};

/// Time that a host stays after it has handed over its upstreams, to redirect
/// legs of hosts that have not learned of it yet.
const REDIRECT_TIME: Duration = Duration::from_secs(1);

/// Progress of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Draining {
    release_at: Instant,
    end_at: Instant,
    /// Ownership has been handed over.
    pub(crate) released: bool,
    exited: bool,
}

impl Host {
    /// Starts the shutdown; a second request changes nothing.
    pub(crate) fn on_shutdown(&mut self, now: Instant) {
        if self.draining.is_some() {
            return;
        }
        log::info!("event=shutdown_started requests={}", self.work_left());
        self.draining = Some(Draining {
            release_at: now + self.cfg.balancer_delay,
            end_at: now + self.cfg.drain_limit.max(self.cfg.balancer_delay),
            released: false,
            exited: false,
        });
    }

    fn work_left(&self) -> usize {
        self.queries.len() + self.runs.len() + self.claiming.pending() + self.owners.pending()
    }

    pub(crate) fn advance_shutdown(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Some(mut draining) = self.draining else {
            return;
        };
        if now >= draining.release_at && !draining.released {
            draining.released = true;
            self.draining = Some(draining);
            let mut actions = Vec::new();
            self.membership.leave(now, &mut actions);
            self.on_membership(now, actions, out);
            self.refresh_owners(now, out);
        }
        let left = self.work_left();
        let finished = draining.released && now >= draining.release_at + REDIRECT_TIME && left == 0;
        if draining.exited || !(finished || now >= draining.end_at) {
            return;
        }
        if !finished {
            log::error!("event=drain_limit_reached requests_cut={left}");
        }
        draining.exited = true;
        self.draining = Some(draining);
        out.push(Action::Exit);
    }
}
