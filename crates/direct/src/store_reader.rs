//! The task that calls the store while this instance has the duty to watch it.

use std::time::Duration;

use rand::Rng;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::command::Command;
use crate::command::Order;
use hawthornshift_core::direct::store_entries::Delta;
use hawthornshift_core::direct::watch::WATCH_WAIT;
use hawthornshift_model::Revision;
use hawthornshift_platform::store::Answer;
use hawthornshift_platform::store::StoreClient;
use hawthornshift_platform::store::StoreError;

/// Time that an answer may take beyond the wait asked for: the store answers in 4 ms, and in 250 ms when it is slow.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);
/// Time that reading everything may take, a page at a time.
const READ_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause after news, so that changes which come in quick succession cost one call and not one each. Short against the
/// three seconds within which a change must be in force.
const COLLECT: Duration = Duration::from_millis(200);
/// First pause after a failed call; doubled by each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after a failed call: an outage of the store must not be prolonged for long.
const LONGEST_BACKOFF: Duration = Duration::from_secs(1);

/// Reads the store as ordered until cancelled.
pub async fn run(
    mut client: StoreClient,
    mut orders: watch::Receiver<Order>,
    tx: mpsc::Sender<Command>,
    cancel: CancellationToken,
) {
    loop {
        let order = *orders.borrow_and_update();
        let work = async {
            match order {
                Order::Rest => std::future::pending().await,
                Order::Watch { after } => follow(&mut client, after, &tx).await,
            }
        };
        tokio::select! {
            () = cancel.cancelled() => return,
            () = work => return,
            changed = orders.changed() => if changed.is_err() { return },
        }
    }
}

/// Follows the store from a revision on; ends only when nobody listens any more.
async fn follow(client: &mut StoreClient, mut after: Revision, tx: &mpsc::Sender<Command>) {
    let mut backoff = FIRST_BACKOFF;
    loop {
        let whole = after == 0;
        let answer = if whole {
            client.read_all(READ_LIMIT).await
        } else {
            client.watch(after, WATCH_WAIT, WATCH_WAIT + ANSWER_TIMEOUT).await
        };
        let (command, pause) = match answer {
            Ok(answer) => {
                backoff = FIRST_BACKOFF;
                let news = !whole && !answer.decoded.facts.is_empty();
                let command = said(after, whole, answer, &mut after);
                (command, if news { COLLECT } else { Duration::ZERO })
            }
            Err(StoreError::HistoryGone) => {
                after = 0;
                (Command::StoreFailed { reason: StoreError::HistoryGone.to_string() }, Duration::ZERO)
            }
            Err(error) => {
                // Instances that lose the store at the same moment must not come back in step.
                let pause = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
                backoff = (backoff * 2).min(LONGEST_BACKOFF);
                (Command::StoreFailed { reason: error.to_string() }, pause)
            }
        };
        if tx.send(command).await.is_err() {
            return;
        }
        tokio::time::sleep(pause).await;
    }
}

fn said(since: Revision, whole: bool, answer: Answer, after: &mut Revision) -> Command {
    *after = answer.revision.max(since);
    let refused = answer.decoded.refused.len();
    let delta = Delta { since, revision: *after, is_snapshot: whole, entries: answer.decoded.facts };
    Command::StoreSaid { delta, refused }
}
