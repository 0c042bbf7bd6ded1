//! Checks whether a target accepts a connection.

use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::command::Command;
use hawthornshift_core::direct::reachability::CHECK_LIMIT;
use hawthornshift_core::direct::reachability::CheckOutcome;
use hawthornshift_model::TargetId;

/// Asks a target for a connection, in a task of its own that hands the outcome to the process.
pub(crate) fn check(target: TargetId, to: SocketAddrV4, tx: &mpsc::Sender<Command>) {
    let tx = tx.clone();
    tokio::spawn(async move {
        let outcome = connect(to).await;
        // The loop that would receive it has ended if this fails.
        let _ = tx.send(Command::Checked { target, outcome }).await;
    });
}

async fn connect(to: SocketAddrV4) -> CheckOutcome {
    let connecting = TcpStream::connect(SocketAddr::V4(to));
    // The connection is looked at before the clock, so that one which was accepted while this process was paused counts.
    match tokio::time::timeout(CHECK_LIMIT, connecting).await {
        Ok(Ok(_)) => CheckOutcome::Accepted,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => CheckOutcome::Refused,
        // No route, or a reset in the middle: as little a sign of life as silence.
        Ok(Err(_)) | Err(_) => CheckOutcome::TimedOut,
    }
}
