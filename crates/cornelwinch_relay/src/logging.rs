use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::settings::LogLevel;
use crate::{RelayError, RelaySettings};

/// Lines that are kept until they are written, in bytes; beyond it they are
/// dropped and counted.
const BUFFER_BYTES: usize = 256 * 1024;

/// Blocks of lines that wait for the writing thread.
const BLOCKS: usize = 4;

/// Longest time that the end of the process waits for its last lines.
const LAST_WRITE: Duration = Duration::from_millis(50);

/// Time between two writes.
pub(crate) const FLUSH_EVERY: Duration = Duration::from_millis(250);

/// Lines of the log on their way to standard output. A reader that does not
/// read stops only the writing thread.
#[derive(Debug, Clone)]
pub(crate) struct LogBuffer {
    lines: Arc<Mutex<Vec<u8>>>,
    dropped: Arc<AtomicU64>,
    blocks: SyncSender<Block>,
}

/// What the writing thread is asked to do.
#[derive(Debug)]
enum Block {
    Write(Vec<u8>),
    /// Says that all blocks before it are written.
    Report(SyncSender<()>),
}

impl LogBuffer {
    fn push(&self, line: &str) {
        let mut lines = self.lines.lock().expect("no holder of the lock panics");
        if lines.len() + line.len() < BUFFER_BYTES {
            lines.extend_from_slice(line.as_bytes());
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Hands the lines to the writing thread.
    pub(crate) fn flush(&self) {
        let mut lines = self.lines.lock().expect("no holder of the lock panics");
        if lines.is_empty() {
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            lines.extend_from_slice(format!("event=log_dropped lines={dropped}\n").as_bytes());
        }
        let block = Block::Write(std::mem::take(&mut *lines));
        if let Err(TrySendError::Full(block) | TrySendError::Disconnected(block)) =
            self.blocks.try_send(block)
            && let Block::Write(block) = block
        {
            *lines = block;
        }
    }

    /// Hands the lines to the writing thread and waits until they are written, at
    /// most for a short time.
    pub(crate) fn finish(&self) {
        self.flush();
        let (tx, rx) = sync_channel(1);
        // A thread that is behind or gone loses the last lines.
        if self.blocks.try_send(Block::Report(tx)).is_ok() {
            let _ = rx.recv_timeout(LAST_WRITE);
        }
    }
}

/// Installs the logger of the process: one line of key=value pairs an event, on
/// standard output.
///
/// # Errors
///
/// Fails if a logger is installed already or the writing thread cannot start.
pub fn open_log(settings: &RelaySettings) -> Result<LogHandle, RelayError> {
    let (blocks, written) = sync_channel::<Block>(BLOCKS);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            for block in written {
                // There is nowhere left to report a failure.
                match block {
                    Block::Write(lines) => drop(std::io::stdout().write_all(&lines)),
                    Block::Report(done) => drop(done.send(())),
                }
            }
        })
        .map_err(|source| RelayError::Process {
            step: "spawn_log_thread",
            source,
        })?;
    let buffer = LogBuffer {
        lines: Arc::default(),
        dropped: Arc::default(),
        blocks,
    };
    let host = settings.host.clone();
    let level = match settings.log {
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
    };
    let sink = buffer.clone();
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("cornelwinch_relay", level)
        .level_for("cornelwinch_qalam", level)
        .format(move |out, message, record| {
            let at = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            out.finish(format_args!(
                "ts={}.{:03} level={} host={host} {message}\n",
                at.as_secs(),
                at.subsec_millis(),
                record.level().as_str().to_ascii_lowercase(),
            ));
        })
        .chain(fern::Output::call(move |record| {
            sink.push(&record.args().to_string());
        }))
        .apply()
        .map_err(|error| RelayError::Log {
            reason: error.to_string(),
        })?;
    Ok(LogHandle(buffer))
}

/// Access to the log's buffer for the task that flushes it.
#[derive(Debug, Clone)]
pub struct LogHandle(pub(crate) LogBuffer);
