use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use crate::pool::Handler;

type GoneHook = Box<dyn FnOnce() + Send>;

/// Whether the caller still waits for the answer.
enum CallerState {
    Waiting(Option<GoneHook>),
    Gone,
    Answered,
}

/// One request between the relay and the handler.
pub(crate) struct Exchange {
    pub(crate) peer: SocketAddr,
    pub(crate) local: SocketAddr,
    pub(crate) connection: u64,
    pub(crate) first: bool,
    pub(crate) handler: Arc<Handler>,
    state: Mutex<CallerState>,
    reset: AtomicBool,
}

impl Exchange {
    pub(crate) fn new(
        peer: SocketAddr,
        local: SocketAddr,
        connection: u64,
        first: bool,
        handler: Arc<Handler>,
    ) -> Self {
        Self {
            peer,
            local,
            connection,
            first,
            handler,
            state: Mutex::new(CallerState::Waiting(None)),
            reset: AtomicBool::new(false),
        }
    }

    /// Marks the caller as gone and runs the hook, unless it was answered.
    pub(crate) fn mark_gone(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let CallerState::Waiting(hook) = &mut *state {
            let hook = hook.take();
            *state = CallerState::Gone;
            drop(state);
            if let Some(hook) = hook {
                hook();
            }
        }
    }

    pub(crate) fn mark_answered(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if matches!(*state, CallerState::Waiting(_)) {
            *state = CallerState::Answered;
        }
    }

    pub(crate) fn is_gone(&self) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        matches!(*state, CallerState::Gone)
    }

    /// Sets the hook, or runs it at once when the caller has already gone.
    pub(crate) fn set_hook(&self, f: GoneHook) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        match &mut *state {
            CallerState::Waiting(hook) => *hook = Some(f),
            CallerState::Gone => {
                drop(state);
                f();
            }
            CallerState::Answered => {}
        }
    }

    /// Asks the relay to reset the caller's connection in place of an answer.
    pub(crate) fn ask_reset(&self) {
        self.reset.store(true, Ordering::Release);
    }

    pub(crate) fn reset_asked(&self) -> bool {
        self.reset.load(Ordering::Acquire)
    }
}

/// Exchanges in progress by ascending number.
#[derive(Default)]
pub(crate) struct ExchangeTable {
    next: AtomicU64,
    rows: Mutex<Vec<(u64, Arc<Exchange>)>>,
}

impl ExchangeTable {
    pub(crate) fn insert(&self, exchange: Arc<Exchange>) -> u64 {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        // Numbers are taken under the lock, so that pushing keeps the order.
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        rows.push((id, exchange));
        id
    }

    /// Takes an exchange out, so that each number is served at most once.
    pub(crate) fn remove(&self, id: u64) -> Option<Arc<Exchange>> {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let i = rows.binary_search_by_key(&id, |row| row.0).ok()?;
        Some(rows.remove(i).1)
    }
}
