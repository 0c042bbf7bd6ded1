//! Listeners towards callers, which follow the set in force.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::error;
use slog::info;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::AbortHandle;
use tokio_util::sync::CancellationToken;

use crate::engine::Engine;
use crate::requests::RequestHandler;
use crate::web::WebServer;
use hawthornshift_core::catalog::ServiceEntry;
use hawthornshift_model::Protocol;
use hawthornshift_model::ServiceId;

/// Time after which a listener that could not be opened is tried again.
const RETRY_PERIOD: Duration = Duration::from_secs(2);

/// What serves the callers of one service.
enum Listener {
    Datagrams(AbortHandle),
    Streams(CancellationToken),
    Requests(WebServer),
}

/// The listeners of one instance.
#[derive(Default)]
pub(crate) struct Listeners {
    open: HashMap<ServiceId, Listener>,
}

impl Listeners {
    /// Opens and closes listeners until `closing`, as the set in force changes; then closes all.
    pub(crate) async fn run(mut self, engine: Arc<Engine>, closing: CancellationToken) {
        loop {
            let complete = self.reconcile(&engine).await;
            let retry = async {
                if complete {
                    std::future::pending::<()>().await;
                }
                tokio::time::sleep(RETRY_PERIOD).await;
            };
            tokio::select! {
                () = closing.cancelled() => break,
                () = engine.catalog_changed.notified() => {}
                () = retry => {}
            }
        }
        for (service, listener) in self.open.drain() {
            close(&engine, service, listener).await;
        }
    }

    /// Returns whether every service has its listener.
    async fn reconcile(&mut self, engine: &Arc<Engine>) -> bool {
        let catalog = engine.with_node(|node| Arc::clone(node.catalog()));
        let removed: Vec<ServiceId> =
            self.open.keys().copied().filter(|service| catalog.service(*service).is_none()).collect();
        for service in removed {
            if let Some(listener) = self.open.remove(&service) {
                close(engine, service, listener).await;
            }
        }
        let mut complete = true;
        for service in catalog.services() {
            if self.open.contains_key(&service.id) {
                continue;
            }
            match open(engine, service).await {
                Ok(listener) => {
                    info!(engine.log, "listening"; "service" => &service.name);
                    self.open.insert(service.id, listener);
                }
                Err(error) => {
                    // An occupied port must not keep the other services from being served.
                    let address = listen_address(engine, service);
                    error!(engine.log, "cannot listen"; "service" => &service.name, "address" => %address, "error" => %error);
                    complete = false;
                }
            }
        }
        complete
    }
}

fn listen_address(engine: &Engine, service: &ServiceEntry) -> SocketAddr {
    let ip = engine.config.listen.unwrap_or(service.address.ip());
    SocketAddr::new(ip, service.address.port())
}

async fn open(engine: &Arc<Engine>, service: &ServiceEntry) -> io::Result<Listener> {
    let address = listen_address(engine, service);
    let shared_engine = Arc::clone(engine);
    match service.protocol {
        Protocol::Datagram => {
            let socket = Arc::new(UdpSocket::bind(address).await?);
            engine.datagrams.add_service(service.id, Arc::clone(&socket));
            Ok(Listener::Datagrams(engine.spawn(shared_engine.serve_datagrams(service.id, socket))))
        }
        Protocol::Stream => {
            let listener = TcpListener::bind(address).await?;
            let closing = engine.shutdown.child_token();
            engine.spawn(shared_engine.serve_streams(service.id, listener, closing.clone()));
            Ok(Listener::Streams(closing))
        }
        Protocol::Http => {
            let listener = TcpListener::bind(address).await?.into_std()?;
            Ok(Listener::Requests(WebServer::start(listener, RequestHandler::new(shared_engine, service.id))?))
        }
    }
}

async fn close(engine: &Engine, service: ServiceId, listener: Listener) {
    match listener {
        Listener::Datagrams(task) => {
            engine.datagrams.remove_service(service);
            task.abort();
        }
        Listener::Streams(closing) => closing.cancel(),
        Listener::Requests(server) => server.stop().await,
    }
}
