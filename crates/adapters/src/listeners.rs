//! Listeners for callers, one for each service of the active configuration set.

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

/// Time between attempts to open a listener that could not be opened.
const RETRY_PERIOD: Duration = Duration::from_secs(2);

/// The listener of one service, with what stops it.
enum Listener {
    Datagrams(AbortHandle),
    Streams(CancellationToken),
    Requests(WebServer),
}

/// The open listeners of one instance.
#[derive(Default)]
pub(crate) struct Listeners {
    open: HashMap<ServiceId, Listener>,
}

impl Listeners {
    /// Opens and closes listeners as the active configuration set changes; closes all once `closing` is cancelled.
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

    /// Closes the listeners of removed services and opens missing ones; returns whether every service has a listener.
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
                    // A port in use must not prevent the other services from being served.
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
