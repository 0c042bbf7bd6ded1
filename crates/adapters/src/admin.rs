//! The admin service. It reads and acts on this process alone.
//!
//! | request | answer |
//! | --- | --- |
//! | `GET /healthz` | 200 while the process works |
//! | `GET /readyz` | 200 while the fabric should send new work here, else 503 |
//! | `GET /metrics` | metrics as text |
//! | `GET /v1/dump` | the state as JSON |
//! | `POST /v1/drain` | begins a planned stop |
//! | `POST /v1/log-level?level=debug` | changes the log level |
//!
//! What is under `/v1` needs the token when one is set.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use slog::Level;
use slog::info;

use crate::engine::Engine;
use crate::metrics;
use crate::web::Handler;
use crate::web::WebAnswer;
use crate::web::WebRequest;
use hawthornshift_core::Input;
use hawthornshift_core::Node;

/// Most bytes of a request's body; none is needed.
const BODY_BYTES: usize = 1_024;

/// Takes operators' requests.
pub(crate) struct AdminHandler {
    engine: Arc<Engine>,
}

impl AdminHandler {
    pub(crate) fn new(engine: Arc<Engine>) -> Self {
        Self { engine }
    }

    fn is_allowed(&self, headers: &HeaderMap) -> bool {
        let Some(token) = &self.engine.config.admin_token else { return true };
        let given = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok()).unwrap_or_default();
        let expected = format!("Bearer {token}");
        same_text(given, &expected)
    }

    fn readiness(&self) -> WebAnswer {
        if self.engine.with_node(Node::is_ready) {
            text(StatusCode::OK, "ready\n")
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    fn dump(&self) -> WebAnswer {
        let now = self.engine.now();
        let dump = self.engine.with_node(|node| node.dump(now));
        match serde_json::to_vec(&dump) {
            Ok(body) => answer(StatusCode::OK, "application/json", body),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    fn metrics(&self) -> WebAnswer {
        let now = self.engine.now();
        let dump = self.engine.with_node(|node| node.dump(now));
        let body = metrics::render(&dump, self.engine.datagrams.counts());
        answer(StatusCode::OK, "text/plain; version=0.0.4", body.into_bytes())
    }

    fn drain(&self) -> WebAnswer {
        info!(self.engine.log, "drain asked for by an operator");
        self.engine.feed(Input::Stop);
        text(StatusCode::ACCEPTED, "draining\n")
    }

    fn set_level(&self, query: &str) -> WebAnswer {
        let level = query.strip_prefix("level=").and_then(|level| level.parse::<Level>().ok());
        let Some(level) = level else {
            return text(
                StatusCode::BAD_REQUEST,
                "level must be one of trace, debug, info, warning, error, critical\n",
            );
        };
        self.engine.config.level.set(level);
        text(StatusCode::OK, "level set\n")
    }
}

impl Handler for AdminHandler {
    const BODY_LIMIT: usize = BODY_BYTES;

    async fn answer(&self, request: WebRequest) -> WebAnswer {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        if path.starts_with("/v1/") && !self.is_allowed(&request.headers) {
            return text(StatusCode::UNAUTHORIZED, "the admin token is missing or wrong\n");
        }
        match (&request.method, path) {
            (&Method::GET, "/healthz") => text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, "/v1/dump") => self.dump(),
            (&Method::POST, "/v1/drain") => self.drain(),
            (&Method::POST, "/v1/log-level") => self.set_level(query),
            (_, "/healthz" | "/readyz" | "/metrics" | "/v1/dump" | "/v1/drain" | "/v1/log-level") => {
                text(StatusCode::METHOD_NOT_ALLOWED, "not with this method\n")
            }
            _ => text(StatusCode::NOT_FOUND, "no such page\n"),
        }
    }

    fn unreadable(&self, status: StatusCode, reason: &str) -> WebAnswer {
        text(status, reason)
    }
}

/// Compares in a time that does not tell how much of a guessed token was right.
fn same_text(a: &str, b: &str) -> bool {
    let differing = a.bytes().zip(b.bytes()).fold(0, |differing, (a, b)| differing | (a ^ b));
    a.len() == b.len() && differing == 0
}

fn text(status: StatusCode, body: &str) -> WebAnswer {
    answer(status, "text/plain", body.as_bytes().to_vec())
}

fn answer(status: StatusCode, kind: &'static str, body: Vec<u8>) -> WebAnswer {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    WebAnswer { status, headers, body: Bytes::from(body) }
}
