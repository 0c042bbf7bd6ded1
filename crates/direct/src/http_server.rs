//! HTTP server of the process: readiness, metrics, state dump, and handovers to peers.
//!
//! Each client gets a plain `hyper` connection on the thread that also runs the process loop. A web framework would start
//! worker threads, whose stacks and wake-ups cost too much for a process of 4 MB on a quarter of a core.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
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
use crate::command::HandoverRequest;
use crate::peers::HANDOVER_PATH;
use crate::peers::PART_HEADER;
use crate::peers::REQUESTER_HEADER;
use hawthornshift_core::direct::store::parts::PartPosition;
use hawthornshift_platform::READY_PATH;

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// Path of the state dump.
pub const DUMP_PATH: &str = "/dump";
/// Timeout for a client to send its request header. Without it, an idle client would hold a file descriptor forever.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum of concurrent handovers of a full snapshot. Three of 200 KB take half a second over a link of 10 Mbit/s. With
/// more, none would finish before the timeout of its requester; a refused requester asks another instance.
const MAX_CONCURRENT_HANDOVERS: usize = 3;
/// Delay after a failed accept. The usual cause is a lack of file descriptors, and an immediate retry would fail again.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Whether and to how many peers at a time an instance can hand its state over.
#[derive(Debug)]
pub struct Handovers {
    has_state: AtomicBool,
    /// Permits for concurrent handovers of a full snapshot.
    permits: Arc<Semaphore>,
}

impl Default for Handovers {
    fn default() -> Self {
        Self { has_state: AtomicBool::new(false), permits: Arc::new(Semaphore::new(MAX_CONCURRENT_HANDOVERS)) }
    }
}

impl Handovers {
    /// Records that this instance has its complete state. Returns whether it had none before.
    pub fn set_has_state(&self) -> bool {
        !self.has_state.swap(true, Ordering::Relaxed)
    }

    /// Returns the permit for a snapshot or a part of one, or `None` if too many are being sent. A peer that has the first
    /// part waits for the permit, since a refusal would make it begin again.
    async fn permit(&self, after: Option<PartPosition>) -> Option<OwnedSemaphorePermit> {
        let permits = Arc::clone(&self.permits);
        match after {
            None | Some(PartPosition::START) => permits.try_acquire_owned().ok(),
            Some(_) => permits.acquire_owned().await.ok(),
        }
    }

    /// Returns the number of peers that can be served now in addition to those that are being served.
    #[must_use]
    pub fn available(&self) -> usize {
        self.permits.available_permits()
    }
}

/// State shared by all connections.
#[derive(Clone, Debug)]
pub struct Services {
    /// Whether this instance accepts new flows.
    pub ready: Arc<AtomicBool>,
    /// Sends commands to the process loop.
    pub tx: mpsc::Sender<Command>,
    /// Whether and to how many peers this instance can hand its state over.
    pub handovers: Arc<Handovers>,
}

/// Body of a snapshot handover with its permit, which is released once the last byte has been written.
struct HandoverBody {
    body: Vec<u8>,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for HandoverBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Starts a task that serves HTTP on an address until cancelled.
///
/// # Errors
///
/// Returns the error of the operating system if the address cannot be bound.
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
                    tokio::spawn(serve_connection(stream, services.clone(), cancel.clone()));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    });
    Ok(())
}

async fn serve_connection(stream: TcpStream, services: Services, cancel: CancellationToken) {
    let service = service_fn(move |req: Request<Incoming>| {
        let services = services.clone();
        async move { Ok::<_, Infallible>(services.route(&req).await) }
    });
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    let serving = server.serve_connection(TokioIo::new(stream), service);
    // An error of a connection affects only its client, which detects it.
    tokio::select! {
        () = cancel.cancelled() => {}
        _ = serving => {}
    }
}

impl Services {
    async fn route(&self, req: &Request<Incoming>) -> Response<Full<Bytes>> {
        match req.uri().path() {
            READY_PATH => {
                let ready = self.ready.load(Ordering::Relaxed);
                respond(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, Bytes::new())
            }
            METRICS_PATH => self.query_process(Command::Metrics).await,
            DUMP_PATH => self.query_process(Command::Dump).await,
            HANDOVER_PATH => self.handover(req).await,
            _ => respond(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    async fn query_process(&self, command: impl FnOnce(oneshot::Sender<String>) -> Command) -> Response<Full<Bytes>> {
        let (tx, rx) = oneshot::channel();
        let sent = self.tx.send(command(tx)).await;
        match rx.await {
            Ok(text) if sent.is_ok() => respond(StatusCode::OK, Bytes::from(text)),
            _ => respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        }
    }

    async fn handover(&self, req: &Request<Incoming>) -> Response<Full<Bytes>> {
        let query = req.uri().query();
        let since = query.and_then(|query| query.strip_prefix("since=")).and_then(|since| since.parse().ok());
        let Some(since) = since else {
            return respond(StatusCode::BAD_REQUEST, Bytes::from_static(b"since=REVISION is missing"));
        };
        let (Ok(after), Ok(requester)) = (parse_header(req, PART_HEADER), parse_header(req, REQUESTER_HEADER)) else {
            return respond(StatusCode::BAD_REQUEST, Bytes::from_static(b"the position or the requester is invalid"));
        };
        if !self.handovers.has_state.load(Ordering::Relaxed) {
            return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        }
        let permit = if since == 0 { self.handovers.permit(after).await } else { None };
        if since == 0 && permit.is_none() {
            return respond(StatusCode::TOO_MANY_REQUESTS, Bytes::new());
        }
        let (answer, rx) = oneshot::channel();
        let request = HandoverRequest { since, after, requester };
        let sent = self.tx.send(Command::Handover { request, answer }).await;
        match rx.await.ok().filter(|_| sent.is_ok()) {
            Some(body) => respond(StatusCode::OK, handover_body(body, permit)),
            None => respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        }
    }
}

/// Parses a header, if there is one.
fn parse_header<T: FromStr>(req: &Request<Incoming>, name: HeaderName) -> Result<Option<T>, InvalidHeader> {
    let Some(value) = req.headers().get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| InvalidHeader)?;
    text.parse().map(Some).map_err(|_| InvalidHeader)
}

/// A header cannot be parsed.
#[derive(Clone, Copy, Debug)]
struct InvalidHeader;

fn handover_body(body: Vec<u8>, permit: Option<OwnedSemaphorePermit>) -> Bytes {
    match permit {
        Some(permit) => Bytes::from_owner(HandoverBody { body, _permit: permit }),
        None => Bytes::from(body),
    }
}

fn respond(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
