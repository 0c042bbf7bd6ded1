//! TCP proxying between callers and targets.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::engine::CONNECT_TIMEOUT;
use crate::engine::Engine;
use hawthornshift_core::Input;
use hawthornshift_model::ServiceId;

/// A command of the core to the task of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamCommand {
    /// Connect to a target.
    Connect(SocketAddr),
    /// Close both connections.
    Close,
}

impl Engine {
    /// Accepts a service's streams until `closing` is cancelled; accepted streams continue.
    pub(crate) async fn serve_streams(
        self: Arc<Self>,
        service: ServiceId,
        listener: TcpListener,
        closing: CancellationToken,
    ) {
        loop {
            let accepted = tokio::select! {
                () = closing.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, caller)) = accepted else { continue };
            let engine = Arc::clone(&self);
            self.spawn(async move { engine.relay(service, stream, caller).await });
        }
    }

    async fn relay(self: Arc<Self>, service: ServiceId, mut caller_side: TcpStream, caller: SocketAddr) {
        let (command_sender, mut commands) = mpsc::unbounded_channel();
        let stream = self.add_stream(command_sender);
        self.handle_input(Input::StreamOpened { stream, service, caller });
        let target_side = loop {
            match commands.recv().await {
                Some(StreamCommand::Connect(address)) => match connect(address).await {
                    Ok(target_side) => break Some(target_side),
                    Err(_) => self.handle_input(Input::StreamRefused { stream }),
                },
                Some(StreamCommand::Close) | None => break None,
            }
        };
        if let Some(mut target_side) = target_side {
            tokio::select! {
                _ = tokio::io::copy_bidirectional(&mut caller_side, &mut target_side) => {}
                () = close_ordered(&mut commands) => {}
            }
        }
        self.remove_stream(stream);
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Waits for [`StreamCommand::Close`]; waits forever if the channel is closed.
async fn close_ordered(commands: &mut UnboundedReceiver<StreamCommand>) {
    while let Some(command) = commands.recv().await {
        if command == StreamCommand::Close {
            return;
        }
    }
    std::future::pending::<()>().await;
}
