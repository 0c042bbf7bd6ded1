//! Reachability checks: whether a target accepts a TCP connection.

use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::command::Command;
use hawthornshift_core::direct::targets::reachability::CHECK_LIMIT;
use hawthornshift_core::direct::targets::reachability::CheckOutcome;
use hawthornshift_model::TargetId;

/// Starts a task that connects to a target and sends the outcome to the process loop as [`Command::CheckFinished`].
pub(crate) fn check(target: TargetId, to: SocketAddrV4, tx: &mpsc::Sender<Command>) {
    let tx = tx.clone();
    tokio::spawn(async move {
        let outcome = connect(to).await;
        // Sending fails only after the process loop has ended.
        let _ = tx.send(Command::CheckFinished { target, outcome }).await;
    });
}

async fn connect(to: SocketAddrV4) -> CheckOutcome {
    let connecting = TcpStream::connect(SocketAddr::V4(to));
    // `timeout` polls the connection before the timer, so a connection accepted while this process was paused counts.
    match tokio::time::timeout(CHECK_LIMIT, connecting).await {
        Ok(Ok(_)) => CheckOutcome::Accepted,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => CheckOutcome::Refused,
        // Other errors, such as a missing route or a reset during the handshake, prove no more than a timeout.
        Ok(Err(_)) | Err(_) => CheckOutcome::TimedOut,
    }
}
