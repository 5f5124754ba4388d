use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::settings::LogLevel;
use crate::{RelayError, RelaySettings};

/// Size of the buffer of unwritten lines. When it is full, further lines are dropped and counted.
const MAX_BUFFER_BYTES: usize = 256 * 1024;

/// Number of commands that may wait for the writer thread.
const QUEUED_COMMANDS: usize = 4;

/// Longest time for which the exit of the process is delayed to write the last lines.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(50);

/// Interval between two flushes.
pub(crate) const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Buffer of log lines that a separate thread writes to standard output. If nothing reads standard
/// output, only the writer thread blocks.
#[derive(Debug, Clone)]
pub(crate) struct LogBuffer {
    lines: Arc<Mutex<Vec<u8>>>,
    dropped: Arc<AtomicU64>,
    commands: SyncSender<WriterCommand>,
}

/// Command to the writer thread.
#[derive(Debug)]
enum WriterCommand {
    Write(Vec<u8>),
    /// Confirms that all earlier commands have been processed.
    Confirm(SyncSender<()>),
}

impl LogBuffer {
    fn push(&self, line: &str) {
        let mut lines = self.lines.lock().expect("no holder of the lock panics");
        if lines.len() + line.len() < MAX_BUFFER_BYTES {
            lines.extend_from_slice(line.as_bytes());
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends the buffered lines to the writer thread.
    pub(crate) fn flush(&self) {
        let mut lines = self.lines.lock().expect("no holder of the lock panics");
        if lines.is_empty() {
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            lines.extend_from_slice(format!("event=log_dropped lines={dropped}\n").as_bytes());
        }
        let command = WriterCommand::Write(std::mem::take(&mut *lines));
        if let Err(TrySendError::Full(command) | TrySendError::Disconnected(command)) =
            self.commands.try_send(command)
            && let WriterCommand::Write(unwritten) = command
        {
            *lines = unwritten;
        }
    }

    /// Sends the buffered lines to the writer thread and waits until they are written, at most for
    /// [`FINAL_WRITE_TIMEOUT`].
    pub(crate) fn finish(&self) {
        self.flush();
        let (tx, rx) = sync_channel(1);
        // The last lines are lost if the writer thread is blocked or has ended.
        if self.commands.try_send(WriterCommand::Confirm(tx)).is_ok() {
            let _ = rx.recv_timeout(FINAL_WRITE_TIMEOUT);
        }
    }
}

/// Installs the logger of the process, which writes each event to standard output as a line of
/// key=value pairs.
///
/// # Errors
///
/// Fails if a logger is already installed or the writer thread cannot be started.
pub fn open_log(settings: &RelaySettings) -> Result<LogHandle, RelayError> {
    let (commands, received) = sync_channel::<WriterCommand>(QUEUED_COMMANDS);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            for command in received {
                // A failure to write to standard output cannot be reported anywhere.
                match command {
                    WriterCommand::Write(lines) => drop(std::io::stdout().write_all(&lines)),
                    WriterCommand::Confirm(done) => drop(done.send(())),
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
        commands,
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

/// Handle of the log buffer, with which it is flushed.
#[derive(Debug, Clone)]
pub struct LogHandle(pub(crate) LogBuffer);
