//! The task that reads and watches the store while this instance has the watcher role.

use std::time::Duration;

use rand::Rng;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::command::Command;
use crate::command::RefusedEntries;
use crate::command::StoreReaderMode;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_core::direct::store::watch::WATCH_WAIT;
use hawthornshift_model::Revision;
use hawthornshift_platform::entries::EntryError;
use hawthornshift_platform::store::Answer;
use hawthornshift_platform::store::StoreClient;

/// Time allowed for an answer beyond the requested wait. The store answers in 4 ms, and in 250 ms when it is slow.
const ANSWER_MARGIN: Duration = Duration::from_millis(450);
/// Timeout for each page of a full read.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Wait of the first watch. Until the store has answered, an instance that takes over the watcher role cannot announce it, and
/// the instances that rank after it take over as well.
const FIRST_WATCH_WAIT: Duration = Duration::from_millis(1);
/// Delay after a watch that returned changes, so that changes in quick succession cost one call instead of one each.
/// Short compared with the 3 s within which a change must take effect.
const COALESCE_DELAY: Duration = Duration::from_millis(200);
/// Delay after the first failed call; each further failure doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum delay after a failed call, so that the instance is synced soon after an outage of the store ends.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum length of a logged reason for refusing an entry, in characters.
const MAX_REASON_CHARS: usize = 200;

/// Runs the store reader in the mode received from `modes` until cancelled.
pub async fn run(
    mut client: StoreClient,
    mut modes: watch::Receiver<StoreReaderMode>,
    tx: mpsc::Sender<Command>,
    cancel: CancellationToken,
) {
    loop {
        let mode = *modes.borrow_and_update();
        let read_store = async {
            match mode {
                StoreReaderMode::Idle => std::future::pending().await,
                StoreReaderMode::Watch { after } => follow_store(&mut client, after, &tx).await,
            }
        };
        tokio::select! {
            () = cancel.cancelled() => return,
            () = read_store => return,
            changed = modes.changed() => if changed.is_err() { return },
        }
    }
}

/// Pauses after failed calls.
#[derive(Debug)]
struct Retry {
    /// Upper bound of the next pause.
    backoff: Duration,
    /// Whether a watch was replaced by a full read and none has succeeded since.
    fell_back: bool,
}

impl Default for Retry {
    fn default() -> Self {
        Self { backoff: INITIAL_BACKOFF, fell_back: false }
    }
}

impl Retry {
    /// Records a successful call. A full read in place of a watch does not count, since the watch after it may fail as the
    /// one before.
    fn record_success(&mut self, full_read: bool) {
        if !full_read || !self.fell_back {
            *self = Self::default();
        }
    }

    /// Returns the pause after a failed call, given whether a full read follows it in place of a watch. There is no pause
    /// before the first of those. `jitter` is a random fraction, so that instances that lost the store at the same time do not
    /// retry in lockstep.
    fn pause(&mut self, falls_back: bool, jitter: f64) -> Duration {
        if falls_back && !std::mem::replace(&mut self.fell_back, true) {
            return Duration::ZERO;
        }
        let pause = self.backoff.mul_f64(jitter);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        pause
    }
}

/// Watches the store from a revision on, or reads it in full first if that is 0. Returns only after the process loop has ended.
async fn follow_store(client: &mut StoreClient, mut after: Revision, tx: &mpsc::Sender<Command>) {
    let mut retry = Retry::default();
    let mut wait = FIRST_WATCH_WAIT;
    loop {
        let full_read = after == 0;
        let answer = if full_read {
            client.read_all(PAGE_TIMEOUT).await
        } else {
            client.watch(after, wait, wait + ANSWER_MARGIN).await
        };
        let (command, pause) = match answer {
            Ok(answer) => {
                retry.record_success(full_read);
                wait = WATCH_WAIT;
                let has_changes = !full_read && !answer.decoded.entries.is_empty();
                let command = answer_command(after, full_read, answer, &mut after);
                (command, if has_changes { COALESCE_DELAY } else { Duration::ZERO })
            }
            Err(error) => {
                let falls_back = !full_read && error.requires_full_read();
                if falls_back {
                    after = 0;
                }
                let reason = error.to_string();
                (Command::StoreFailed { reason }, retry.pause(falls_back, rand::rng().random_range(0.5..1.0)))
            }
        };
        if tx.send(command).await.is_err() {
            return;
        }
        tokio::time::sleep(pause).await;
    }
}

fn refused_entries(refused: &[(String, EntryError)]) -> RefusedEntries {
    let Some((key, reason)) = refused.first() else { return RefusedEntries::default() };
    // The reason quotes values, which may be as long as the store permits.
    let first_reason = reason.to_string().chars().take(MAX_REASON_CHARS).collect();
    RefusedEntries { count: refused.len(), first_key: key.clone(), first_reason }
}

fn answer_command(since: Revision, full_read: bool, answer: Answer, after: &mut Revision) -> Command {
    *after = answer.revision.max(since);
    let refused = refused_entries(&answer.decoded.refused);
    let delta = Delta { since, revision: *after, is_snapshot: full_read, entries: answer.decoded.entries };
    Command::StoreAnswered { delta, refused }
}
