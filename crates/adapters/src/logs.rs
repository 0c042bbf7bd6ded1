//! Logging as JSON lines.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::OwnedKVList;
use slog::Record;

/// Maximum number of records queued while the log's reader is slow; further records are dropped and counted.
const MAX_QUEUED_RECORDS: usize = 4_096;

/// The minimum level of logged records; it can be changed at run time, and clones share it.
#[derive(Clone, Debug)]
pub struct LogLevelHandle(Arc<AtomicUsize>);

impl Default for LogLevelHandle {
    fn default() -> Self {
        Self::new(Level::Info)
    }
}

impl LogLevelHandle {
    /// Creates a handle with an initial level.
    #[must_use]
    pub fn new(level: Level) -> Self {
        Self(Arc::new(AtomicUsize::new(level.as_usize())))
    }

    /// Sets the level.
    pub fn set(&self, level: Level) {
        self.0.store(level.as_usize(), Ordering::Relaxed);
    }

    fn allows(&self, level: Level) -> bool {
        level.as_usize() <= self.0.load(Ordering::Relaxed)
    }
}

/// A drain that forwards the records whose level the handle allows.
struct LevelFiltered<D> {
    inner: D,
    handle: LogLevelHandle,
}

impl<D: Drain> Drain for LevelFiltered<D> {
    type Ok = Option<D::Ok>;
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<Self::Ok, Self::Err> {
        if self.handle.allows(record.level()) { self.inner.log(record, values).map(Some) } else { Ok(None) }
    }
}

/// Creates a logger that writes JSON lines to standard error.
pub fn logger(handle: LogLevelHandle) -> Logger {
    logger_to(io::stderr(), handle)
}

/// Creates a logger that writes JSON lines on a separate thread, so that logging never blocks on a slow reader.
pub fn logger_to(writer: impl io::Write + Send + 'static, handle: LogLevelHandle) -> Logger {
    let json = slog_json::Json::default(writer).fuse();
    let queue = slog_async::Async::new(json).chan_size(MAX_QUEUED_RECORDS).build().fuse();
    Logger::root(LevelFiltered { inner: queue, handle }.fuse(), slog::o!())
}

/// Creates a logger that discards all records.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}
