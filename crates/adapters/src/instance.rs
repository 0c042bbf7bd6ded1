//! The life cycle of an instance, as types: configured, serving, stopped.

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

/// Time that answers just given may take to leave the process.
const FLUSH_DELAY: Duration = Duration::from_millis(300);

/// An instance that cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener cannot be opened.
    #[error("cannot listen for {what} on {address}: {source}")]
    Listen {
        /// What it is for.
        what: &'static str,
        /// Where.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
}

/// An instance that has its settings and nothing else.
#[derive(Debug)]
pub struct Configured {
    config: Config,
}

/// An instance that serves.
pub struct Serving {
    engine: Arc<Engine>,
    admin: WebServer,
    admin_address: SocketAddr,
    peers: ServerHandle,
    listeners: JoinHandle<()>,
    closing: CancellationToken,
}

/// An instance that has ended.
#[derive(Debug)]
pub struct Stopped {
    dump: Dump,
}

/// An instance in one of the states of its life.
#[derive(Debug)]
pub struct Instance<State> {
    state: State,
}

impl Instance<Configured> {
    /// Takes the settings.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self { state: Configured { config } }
    }

    /// Opens the listeners and starts to serve.
    ///
    /// An unreachable platform does not keep an instance from starting: it asks its peers, and tries again.
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
    /// Returns where peers reach the instance.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.state.engine.config.control
    }

    /// Returns where forwarded packets reach the instance.
    #[must_use]
    pub fn forward_address(&self) -> SocketAddr {
        self.state.engine.config.forward
    }

    /// Returns where operators reach the instance.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.state.admin_address
    }

    /// Returns the state.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let now = self.state.engine.now();
        self.state.engine.with_node(|node| node.dump(now))
    }

    /// Waits until the instance has stopped by itself: an operator had it drain, or a newer life of it exists.
    pub async fn finished(&self) {
        self.state.engine.finished.cancelled().await;
    }

    /// Stops as planned: serves what it has to the end, then closes everything.
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

    /// Ends at once, as a crash would: nothing is finished and nobody is told.
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
    /// Returns the last state.
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
