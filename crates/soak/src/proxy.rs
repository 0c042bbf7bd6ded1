//! A loopback TCP proxy between an instance and the store that can break connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use strum::Display;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// How a proxy treats its connections.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum ProxyMode {
    /// Forwards both directions.
    Through,
    /// Closes connections.
    Reset,
    /// Keeps connections open and drops the data of both directions.
    Silent,
    /// Forwards requests and drops responses.
    OneWay,
    /// Forwards both directions with a delay.
    Slow,
}

/// Delay of each read in the mode `Slow`.
const SLOW_DELAY: std::time::Duration = std::time::Duration::from_millis(150);

/// A running proxy; clones share its mode.
#[derive(Clone, Debug)]
pub struct Proxy {
    address: SocketAddr,
    mode: Arc<watch::Sender<ProxyMode>>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to the address `to`.
    ///
    /// # Errors
    ///
    /// Returns the error of the listener if no loopback port can be bound.
    pub async fn start(to: SocketAddr, stop: CancellationToken) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let (mode, _) = watch::channel(ProxyMode::Through);
        let proxy = Self { address, mode: Arc::new(mode) };
        let accepting = proxy.clone();
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    () = stop.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((client, _)) = accepted else { continue };
                let Ok(server) = TcpStream::connect(to).await else { continue };
                accepting.forward(client, server, &stop);
            }
        });
        Ok(proxy)
    }

    /// Returns the address that the proxy listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode, for open connections too.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }

    fn forward(&self, client: TcpStream, server: TcpStream, stop: &CancellationToken) {
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::spawn(copy_one_way(client_read, server_write, self.mode.subscribe(), false, stop.clone()));
        tokio::spawn(copy_one_way(server_read, client_write, self.mode.subscribe(), true, stop.clone()));
    }
}

/// Copies data in one direction until either end closes, the mode is `Reset` or `stop` is cancelled.
async fn copy_one_way(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut mode: watch::Receiver<ProxyMode>,
    from_server: bool,
    stop: CancellationToken,
) {
    let mut buf = vec![0; 16_384];
    loop {
        let current_mode = *mode.borrow_and_update();
        if current_mode == ProxyMode::Reset {
            return;
        }
        let read = tokio::select! {
            () = stop.cancelled() => return,
            changed = mode.changed() => if changed.is_ok() { continue } else { return },
            read = from.read(&mut buf) => read,
        };
        let Ok(len @ 1..) = read else { return };
        match current_mode {
            ProxyMode::Silent => continue,
            ProxyMode::OneWay if from_server => continue,
            ProxyMode::Slow => tokio::time::sleep(SLOW_DELAY).await,
            ProxyMode::Through | ProxyMode::OneWay | ProxyMode::Reset => {}
        }
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
