//! An in-memory key-value store with paged range reads and long-poll watches, as the direct path reads it.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// How the store responds to requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ResponseMode {
    /// Serves requests.
    #[default]
    Normal,
    /// Answers every request with this HTTP status.
    Refusing(u16),
    /// Accepts requests and never answers them.
    Silent,
}

#[derive(Debug)]
struct Entry {
    /// `None` for a removed key, whose tombstone stays until the history is compacted.
    value: Option<Vec<u8>>,
    revision: u64,
}

#[derive(Debug)]
struct State {
    entries: BTreeMap<String, Entry>,
    revision: u64,
    /// Revision up to which the history is compacted; a watch from an older revision gets status 410.
    compacted_revision: u64,
    /// Items in one page of a range read.
    page_size: usize,
    response_mode: ResponseMode,
    request_count: u64,
    /// Time that each watch so far has requested to wait for a change.
    watch_waits: Vec<Duration>,
}

/// A running store; clones share its state.
#[derive(Clone, Debug)]
pub struct Store {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

impl Store {
    /// Starts an empty store; it serves until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns the error of the listener if `address` cannot be bound.
    pub async fn start(address: SocketAddr, stop: CancellationToken) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let state = State {
            entries: BTreeMap::new(),
            revision: 1,
            compacted_revision: 0,
            page_size: 500,
            response_mode: ResponseMode::Normal,
            request_count: 0,
            watch_waits: Vec::new(),
        };
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(state)),
            changed: Arc::new(Notify::new()),
        };
        tokio::spawn(accept_connections(listener, store.clone(), stop));
        Ok(store)
    }

    /// Returns the address that the store listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        state.entries.insert(key.to_owned(), Entry { value, revision });
        drop(state);
        self.changed.notify_waiters();
    }

    /// Writes a JSON value at the next revision.
    pub fn put(&self, key: &str, value: &Value) {
        self.write(key, Some(value.to_string().into_bytes()));
    }

    /// Writes raw bytes, which need not be valid JSON or UTF-8.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.write(key, Some(value.to_vec()));
    }

    /// Removes a key and leaves a tombstone at the next revision.
    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    /// Compacts the history: drops tombstones, and watches from an older revision get status 410.
    pub fn compact(&self) {
        let mut state = self.state();
        state.compacted_revision = state.revision;
        state.entries.retain(|_, entry| entry.value.is_some());
    }

    /// Sets the number of items in a page of a range read.
    pub fn set_page_size(&self, items: usize) {
        self.state().page_size = items;
    }

    /// Sets how requests are answered from now on; a request that is being processed keeps the former behaviour.
    pub fn set_response_mode(&self, response_mode: ResponseMode) {
        self.state().response_mode = response_mode;
        self.changed.notify_waiters();
    }

    /// Returns the number of requests received so far, whatever the [`ResponseMode`].
    #[must_use]
    pub fn request_count(&self) -> u64 {
        self.state().request_count
    }

    /// Returns the time that each watch so far has requested to wait for a change.
    #[must_use]
    pub fn watch_waits(&self) -> Vec<Duration> {
        self.state().watch_waits.clone()
    }

    async fn handle_request(&self, req: &Request<Incoming>) -> Response<Full<Bytes>> {
        let response_mode = {
            let mut state = self.state();
            state.request_count += 1;
            state.response_mode
        };
        match response_mode {
            ResponseMode::Normal => {}
            ResponseMode::Refusing(status) => return respond(status, &json!({})),
            ResponseMode::Silent => std::future::pending().await,
        }
        let query = parse_query(req.uri().query().unwrap_or_default());
        match req.uri().path() {
            "/api/kv-range" => self.range(&query),
            "/api/kv-watch" => self.watch(&query).await,
            _ => respond(404, &json!({})),
        }
    }

    fn range(&self, query: &BTreeMap<String, String>) -> Response<Full<Bytes>> {
        let state = self.state();
        let (prefix, after) = (parameter(query, "prefix"), parameter(query, "after"));
        let matches_query = |key: &str| key.starts_with(prefix) && (after.is_empty() || key > after);
        let mut items = state.entries.iter().filter(|(key, entry)| entry.value.is_some() && matches_query(key));
        let page: Vec<Value> = items.by_ref().take(state.page_size).map(|(key, entry)| item(key, entry)).collect();
        let more = items.next().is_some();
        respond(200, &json!({ "items": page, "has-more": more, "store-revision": state.revision }))
    }

    async fn watch(&self, query: &BTreeMap<String, String>) -> Response<Full<Bytes>> {
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait = Duration::from_millis(parameter(query, "wait-ms").parse().unwrap_or(0));
        self.state().watch_waits.push(wait);
        let end = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state();
                if after < state.compacted_revision {
                    return respond(410, &json!({}));
                }
                let mut newer: Vec<_> = state.entries.iter().filter(|(_, entry)| entry.revision > after).collect();
                newer.sort_by_key(|(_, entry)| entry.revision);
                if !newer.is_empty() || tokio::time::Instant::now() >= end {
                    let events: Vec<Value> = newer.into_iter().map(|(key, entry)| item(key, entry)).collect();
                    return respond(200, &json!({ "events": events, "store-revision": state.revision }));
                }
            }
            // A change and the end of the wait are handled alike: the loop checks for newer entries again.
            let _ = tokio::time::timeout_at(end, changed).await;
        }
    }
}

fn item(key: &str, entry: &Entry) -> Value {
    match &entry.value {
        Some(value) => json!({ "key": key, "value": STANDARD.encode(value), "revision": entry.revision, "lease": 0 }),
        None => json!({ "key": key, "revision": entry.revision, "tombstone": true }),
    }
}

fn parameter<'a>(query: &'a BTreeMap<String, String>, name: &str) -> &'a str {
    query.get(name).map(String::as_str).unwrap_or_default()
}

fn parse_query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

fn respond(status: u16, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

async fn accept_connections(listener: TcpListener, store: Store, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else { continue };
        let (store, stop) = (store.clone(), stop.clone());
        tokio::spawn(async move {
            let service = service_fn(move |req: Request<Incoming>| {
                let store = store.clone();
                async move { Ok::<_, Infallible>(store.handle_request(&req).await) }
            });
            // The error of a connection is ignored here, since its client sees it too.
            tokio::select! {
                () = stop.cancelled() => {}
                _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
            }
        });
    }
}
