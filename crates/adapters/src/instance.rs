//! The life cycle of an instance as a type state: configured, serving, stopped.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::server::ServerHandle;
use rand::Rng;
use slog::info;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::admin::AdminHandler;
use crate::config::Config;
use crate::datagrams::Datagrams;
use crate::engine::Engine;
use crate::listeners::Listeners;
use crate::peers;
use crate::web::WebServer;
use hawthornshift_core::Input;
use hawthornshift_core::Node;
use hawthornshift_core::dump::Dump;
use hawthornshift_core::membership::Identity;

/// Delay before a stop closes connections, so that the last answers are written.
const FLUSH_DELAY: Duration = Duration::from_millis(300);

/// An error that prevents an instance from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener cannot be opened.
    #[error("cannot listen for {what} on {address}: {source}")]
    Listen {
        /// Purpose of the listener, for the message.
        what: &'static str,
        /// Address that could not be opened.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// State of an instance that has its configuration and has not opened any socket.
#[derive(Debug)]
pub struct Configured {
    config: Config,
}

/// State of an instance that serves.
pub struct Serving {
    engine: Arc<Engine>,
    admin: WebServer,
    admin_address: SocketAddr,
    peers: ServerHandle,
    listeners: JoinHandle<()>,
    closing: CancellationToken,
}

/// State of an instance that has stopped.
#[derive(Debug)]
pub struct Stopped {
    dump: Dump,
}

/// An instance in one of the states [`Configured`], [`Serving`] and [`Stopped`].
#[derive(Debug)]
pub struct Instance<State> {
    state: State,
}

impl Instance<Configured> {
    /// Creates an instance from its configuration.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self { state: Configured { config } }
    }

    /// Opens the listeners and starts to serve.
    ///
    /// An instance starts even if the platform is unreachable: it queries its configured peers and retries the
    /// platform.
    ///
    /// # Errors
    ///
    /// Fails when the control, forwarding or admin address cannot be listened on.
    pub async fn start(self) -> Result<Instance<Serving>, StartError> {
        let mut config = self.state.config;
        let control = listen("peers", config.control).await?;
        let admin = listen("operators", config.admin).await?;
        let listen_error = |address| move |source| StartError::Listen { what: "forwarded packets", address, source };
        let datagrams = Datagrams::bind(config.forward, config.listen).await.map_err(listen_error(config.forward))?;
        config.forward = datagrams.forward_address().map_err(listen_error(config.forward))?;
        config.control = control.local_addr().map_err(listen_error(config.control))?;
        let admin_address = admin.local_addr().map_err(listen_error(config.admin))?;

        let engine = Engine::new(config.clone(), |now| make_node(now, &config), datagrams);
        let listen_error = |what, address| move |source| StartError::Listen { what, address, source };
        let peers = peers::serve(Arc::clone(&engine), control).map_err(listen_error("peers", config.control))?;
        let admin =
            admin.into_std().and_then(|listener| WebServer::start(listener, AdminHandler::new(Arc::clone(&engine))));
        let admin = admin.map_err(listen_error("operators", config.admin))?;
        engine.spawn(Arc::clone(&engine).serve_forwarded());
        engine.spawn(Arc::clone(&engine).tick());
        engine.spawn(Arc::clone(&engine).discover_peers());
        let closing = CancellationToken::new();
        let listeners = tokio::spawn(Listeners::default().run(Arc::clone(&engine), closing.clone()));
        info!(engine.log, "started"; "control" => %config.control, "admin" => %admin_address);
        Ok(Instance { state: Serving { engine, admin, admin_address, peers, listeners, closing } })
    }
}

impl Instance<Serving> {
    /// Returns the TCP address for peers.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.state.engine.config.control
    }

    /// Returns the UDP address for forwarded packets.
    #[must_use]
    pub fn forward_address(&self) -> SocketAddr {
        self.state.engine.config.forward
    }

    /// Returns the TCP address of the admin service.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.state.admin_address
    }

    /// Returns a snapshot of the state.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let now = self.state.engine.now();
        self.state.engine.with_node(|node| node.dump(now))
    }

    /// Waits until the instance has finished: a requested drain is complete, or a newer process uses its id.
    pub async fn finished(&self) {
        self.state.engine.finished.cancelled().await;
    }

    /// Stops gracefully: waits until the core has completed its open work, then closes all listeners and tasks.
    pub async fn stop(self) -> Instance<Stopped> {
        self.state.engine.handle_input(Input::Stop);
        self.finished().await;
        tokio::time::sleep(FLUSH_DELAY).await;
        let dump = self.dump();
        let Serving { engine, admin, peers, listeners, closing, .. } = self.state;
        closing.cancel();
        let _ = listeners.await;
        admin.stop().await;
        let _ = peers.stop();
        engine.shutdown.cancel();
        info!(engine.log, "stopped");
        Instance { state: Stopped { dump } }
    }

    /// Stops immediately, as a crash would: open work is dropped and no peer or caller is notified.
    pub async fn kill(self) {
        let Serving { engine, admin, peers, listeners, closing, .. } = self.state;
        engine.shutdown.cancel();
        closing.cancel();
        let _ = peers.stop();
        let _ = listeners.await;
        admin.stop().await;
    }
}

impl Instance<Stopped> {
    /// Returns the state at the end of the stop.
    #[must_use]
    pub fn dump(&self) -> &Dump {
        &self.state.dump
    }
}

fn make_node(now: hawthornshift_core::Timestamp, config: &Config) -> Node {
    let identity = Identity {
        id: config.id,
        incarnation: config.incarnation,
        failure_domain: config.failure_domain.clone(),
        control: config.control,
        forward: config.forward,
    };
    let mut rng = rand::rng();
    Node::new(now, identity, config.tuning.clone(), rng.random(), rng.random())
}

async fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Listen { what, address, source })
}
