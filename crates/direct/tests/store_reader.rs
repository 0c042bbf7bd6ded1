//! The task that reads the store, against a stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use hawthornshift_direct::command::Command;
use hawthornshift_direct::command::StoreReaderMode;
use hawthornshift_direct::store_reader;
use hawthornshift_platform::store::StoreClient;
use hawthornshift_standins::Store;

/// Time for which an instance that ranks after another one waits for its first announcement.
const RANK_DELAY: Duration = Duration::from_millis(150);

/// Guards against several instances that watch the store although one is enough: the one that takes over cannot announce it
/// before the store has answered, which a watch of a store without changes does only at the end of its wait.
#[tokio::test]
async fn a_new_watcher_gets_its_first_answer_at_once() {
    let store = Store::start(SocketAddr::from(([127, 0, 0, 1], 0)), CancellationToken::new()).await.unwrap();
    store.put("op/evacuate/a", &json!({}));
    let cancel = CancellationToken::new();
    let (tx, mut rx) = mpsc::channel(4);
    let (_modes, modes_rx) = watch::channel(StoreReaderMode::Watch { after: 2 });
    tokio::spawn(store_reader::run(StoreClient::new(store.address()), modes_rx, tx, cancel.clone()));
    for _ in 0..2 {
        assert!(matches!(rx.recv().await, Some(Command::StoreAnswered { .. })));
    }
    let waits = store.watch_waits();
    assert!(waits[0] < RANK_DELAY / 2 && waits[1] > RANK_DELAY, "{waits:?}");
    cancel.cancel();
}
