//! The platform's configuration service: serves a published set and a list of instances by read and long poll.

use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// A published value and its version.
#[derive(Clone, Debug, Default)]
struct VersionedEntry {
    version: u64,
    text: String,
}

#[derive(Debug, Default)]
struct State {
    values: Mutex<HashMap<String, VersionedEntry>>,
    changed: Notify,
    unavailable: AtomicBool,
    request_count: AtomicU64,
}

/// A running platform service; clones share its state.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    state: Arc<State>,
}

impl Platform {
    /// Starts a platform without published values; it serves until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns the error of the listener if `address` cannot be bound.
    pub async fn start(address: SocketAddr, stop: CancellationToken) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let state = Arc::new(State::default());
        let platform = Self { address: listener.local_addr()?, state: Arc::clone(&state) };
        tokio::spawn(accept_connections(listener, state, stop));
        Ok(platform)
    }

    /// Returns the address that the platform listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes a value under `resource`, which is `set` or `instances`, and wakes waiting reads.
    pub fn publish(&self, resource: &str, version: u64, text: String) {
        let mut values = self.state.values.lock().unwrap_or_else(PoisonError::into_inner);
        values.insert(resource.to_owned(), VersionedEntry { version, text });
        self.state.changed.notify_waiters();
    }

    /// Sets whether the platform answers every request with status 503.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.state.unavailable.store(unavailable, Ordering::Relaxed);
        self.state.changed.notify_waiters();
    }

    /// Returns the number of requests received so far, refused ones included.
    #[must_use]
    pub fn request_count(&self) -> u64 {
        self.state.request_count.load(Ordering::Relaxed)
    }
}

async fn accept_connections(listener: TcpListener, state: Arc<State>, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else { continue };
        let state = Arc::clone(&state);
        let service = service_fn(move |request| {
            let state = Arc::clone(&state);
            async move { Ok::<_, Infallible>(handle_request(&state, request).await) }
        });
        tokio::spawn(async move {
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn handle_request(state: &State, request: Request<Incoming>) -> Response<Full<Bytes>> {
    state.request_count.fetch_add(1, Ordering::Relaxed);
    let resource = request.uri().path().trim_start_matches("/v1/").to_owned();
    let query = request.uri().query().unwrap_or_default();
    let after = query_number(query, "after");
    let wait = Duration::from_millis(query_number(query, "wait_ms"));
    let newer = tokio::time::timeout(wait, wait_for_newer(state, &resource, after)).await;
    // A read without `wait_ms` checks the value once.
    let value = newer.ok().or_else(|| newer_value(state, &resource, after));
    if state.unavailable.load(Ordering::Relaxed) {
        return respond(StatusCode::SERVICE_UNAVAILABLE, String::new());
    }
    match value {
        Some(value) => respond(StatusCode::OK, value.text),
        None => respond(StatusCode::NOT_MODIFIED, String::new()),
    }
}

async fn wait_for_newer(state: &State, resource: &str, after: u64) -> VersionedEntry {
    loop {
        let changed = state.changed.notified();
        if let Some(value) = newer_value(state, resource, after) {
            return value;
        }
        changed.await;
    }
}

fn newer_value(state: &State, resource: &str, after: u64) -> Option<VersionedEntry> {
    let values = state.values.lock().unwrap_or_else(PoisonError::into_inner);
    values.get(resource).filter(|value| value.version != after).cloned()
}

fn query_number(query: &str, name: &str) -> u64 {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok()).unwrap_or(0)
}

fn respond(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
