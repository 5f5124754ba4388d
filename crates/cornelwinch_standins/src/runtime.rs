use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::Instant;

use cornelwinch_http::{HttpError, HttpThread};

static SHARED: Mutex<Weak<Runtime>> = Mutex::new(Weak::new());

/// Locks a mutex; state is consistent after each statement, so a panic in
/// another holder does not matter.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Threads shared by the stand-ins of a process.
pub(crate) struct Runtime {
    pub(crate) http: Arc<HttpThread>,
    timer: Arc<Timer>,
}

impl Runtime {
    /// Returns the process's runtime, started when there is none.
    pub(crate) fn shared() -> Result<Arc<Self>, HttpError> {
        let mut shared = lock(&SHARED);
        if let Some(runtime) = shared.upgrade() {
            return Ok(runtime);
        }
        let timer = Arc::new(Timer::default());
        let runtime = Arc::new(Self {
            http: HttpThread::open()?,
            timer: timer.clone(),
        });
        thread::spawn(move || timer.run());
        *shared = Arc::downgrade(&runtime);
        Ok(runtime)
    }

    /// Runs `f` in the timer thread at `due`; it must not block.
    pub(crate) fn at(&self, due: Instant, f: impl FnOnce() + Send + 'static) {
        self.timer.push(due, Box::new(f));
    }
}

impl Drop for Runtime {
    fn drop(&mut self) {
        lock(&self.timer.queue).stopped = true;
        self.timer.changed.notify_one();
    }
}

type Job = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct Timer {
    queue: Mutex<TimerQueue>,
    changed: Condvar,
}

#[derive(Default)]
struct TimerQueue {
    /// Due times with the position of the job in `jobs`.
    due: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    jobs: Vec<Option<Job>>,
    free: Vec<usize>,
    serial: u64,
    stopped: bool,
}

impl Timer {
    fn push(&self, due: Instant, job: Job) {
        let mut queue = lock(&self.queue);
        let slot = queue.free.pop().unwrap_or_else(|| {
            queue.jobs.push(None);
            queue.jobs.len() - 1
        });
        queue.jobs[slot] = Some(job);
        // The serial number keeps jobs with equal due times in order.
        queue.serial += 1;
        let serial = queue.serial;
        queue.due.push(Reverse((due, serial, slot)));
        let is_first = queue.due.peek().is_some_and(|first| first.0.1 == serial);
        drop(queue);
        if is_first {
            self.changed.notify_one();
        }
    }

    fn run(&self) {
        let mut queue = lock(&self.queue);
        while !queue.stopped {
            let Some(&Reverse((due, _, slot))) = queue.due.peek() else {
                queue = self
                    .changed
                    .wait(queue)
                    .unwrap_or_else(PoisonError::into_inner);
                continue;
            };
            let now = Instant::now();
            if due > now {
                queue = self
                    .changed
                    .wait_timeout(queue, due - now)
                    .unwrap_or_else(PoisonError::into_inner)
                    .0;
                continue;
            }
            queue.due.pop();
            queue.free.push(slot);
            let job = queue.jobs[slot].take();
            drop(queue);
            if let Some(job) = job {
                job();
            }
            queue = lock(&self.queue);
        }
    }
}
