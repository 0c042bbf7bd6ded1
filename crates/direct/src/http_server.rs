//! The process's HTTP services: readiness, metrics, state dump, handovers to peers.
//!
//! A bare `hyper` connection a caller, on the thread that does everything else: a web framework would bring worker
//! threads of its own, whose stacks and wake-ups a process of 4 MB on a quarter of a core has no room for.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::command::Command;
use crate::peers::HANDOVER_PATH;
use hawthornshift_platform::READY_PATH;

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// Path of the state dump.
pub const DUMP_PATH: &str = "/dump";
/// Time within which a client has to send its request; one that does not would hold a descriptor for good.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Whole handovers under way at the same time. Three of 200 KB take half a second over a link of 10 Mbit/s; with more,
/// none would be done before its asker gives up, and whoever asked tries somebody else.
pub const MAX_HANDOVERS: usize = 3;
/// Pause after a failed accept, which is a lack of descriptors and would else be asked for again at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What the services need.
#[derive(Clone, Debug)]
pub struct Services {
    /// Whether this instance takes new flows.
    pub ready: Arc<AtomicBool>,
    /// Where questions go.
    pub tx: mpsc::Sender<Command>,
    /// Handovers to instances that know nothing yet, which may be under way at the same time.
    pub handovers: Arc<Semaphore>,
}

/// A whole handover and its permit, which is free again once the last byte has been written.
struct HeldHandover {
    body: Vec<u8>,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for HeldHandover {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Serves on an address until cancelled.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve(address: SocketAddr, services: Services, cancel: CancellationToken) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = cancel.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(connection(stream, services.clone(), cancel.clone()));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    });
    Ok(())
}

async fn connection(stream: TcpStream, services: Services, cancel: CancellationToken) {
    let service = service_fn(move |req: Request<Incoming>| {
        let services = services.clone();
        async move { Ok::<_, Infallible>(services.answer(&req).await) }
    });
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    let serving = server.serve_connection(TokioIo::new(stream), service);
    // What goes wrong on a connection concerns its client alone, who sees it.
    tokio::select! {
        () = cancel.cancelled() => {}
        _ = serving => {}
    }
}

impl Services {
    async fn answer(&self, req: &Request<Incoming>) -> Response<Full<Bytes>> {
        match req.uri().path() {
            READY_PATH => {
                let ready = self.ready.load(Ordering::Relaxed);
                respond(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, Bytes::new())
            }
            METRICS_PATH => self.ask(Command::Metrics).await,
            DUMP_PATH => self.ask(Command::Dump).await,
            HANDOVER_PATH => self.handover(req.uri().query()).await,
            _ => respond(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    async fn ask(&self, command: impl FnOnce(oneshot::Sender<String>) -> Command) -> Response<Full<Bytes>> {
        let (tx, rx) = oneshot::channel();
        let sent = self.tx.send(command(tx)).await;
        match rx.await {
            Ok(text) if sent.is_ok() => respond(StatusCode::OK, Bytes::from(text)),
            _ => respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        }
    }

    async fn handover(&self, query: Option<&str>) -> Response<Full<Bytes>> {
        let since = query.and_then(|query| query.strip_prefix("since=")).and_then(|since| since.parse().ok());
        let Some(since) = since else {
            return respond(StatusCode::BAD_REQUEST, Bytes::from_static(b"since=REVISION is missing"));
        };
        let permit = if since == 0 { Arc::clone(&self.handovers).try_acquire_owned().ok() } else { None };
        if since == 0 && permit.is_none() {
            return respond(StatusCode::TOO_MANY_REQUESTS, Bytes::new());
        }
        let (answer, rx) = oneshot::channel();
        let sent = self.tx.send(Command::Handover { since, answer }).await;
        match rx.await.ok().filter(|_| sent.is_ok()) {
            Some(body) => respond(StatusCode::OK, held(body, permit)),
            None => respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        }
    }
}

fn held(body: Vec<u8>, permit: Option<OwnedSemaphorePermit>) -> Bytes {
    match permit {
        Some(permit) => Bytes::from_owner(HeldHandover { body, _permit: permit }),
        None => Bytes::from(body),
    }
}

fn respond(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
