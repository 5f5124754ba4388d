use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

type GoneHook = Box<dyn FnOnce() + Send>;

/// Whether the caller still waits for the answer.
enum CallerState {
    Waiting(Option<GoneHook>),
    Gone,
    Answered,
}

/// One request between its connection and the handler.
pub(crate) struct Exchange {
    pub(crate) peer: SocketAddr,
    state: Mutex<CallerState>,
}

impl Exchange {
    pub(crate) fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            state: Mutex::new(CallerState::Waiting(None)),
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
}
