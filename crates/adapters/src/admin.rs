//! The admin service: an HTTP API that reads and controls this process only.
//!
//! | request | effect |
//! | --- | --- |
//! | `GET /healthz` | 200 while the process runs |
//! | `GET /readyz` | 200 while new traffic should be routed to this instance, else 503 |
//! | `GET /metrics` | metrics in the Prometheus text format |
//! | `GET /v1/dump` | the state in JSON |
//! | `POST /v1/drain` | starts a graceful stop |
//! | `POST /v1/log-level?level=debug` | sets the log level |
//!
//! Paths under `/v1/` require the admin token as a bearer token, if one is configured.

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

/// Maximum size of a request's body, in bytes; no request needs a body.
const MAX_BODY_BYTES: usize = 1_024;

/// Handles the requests of operators.
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
        constant_time_eq(given, &expected)
    }

    fn readiness(&self) -> WebAnswer {
        if self.engine.with_node(Node::is_ready) {
            text_answer(StatusCode::OK, "ready\n")
        } else {
            text_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    fn dump(&self) -> WebAnswer {
        let now = self.engine.now();
        let dump = self.engine.with_node(|node| node.dump(now));
        match serde_json::to_vec(&dump) {
            Ok(body) => typed_answer(StatusCode::OK, "application/json", body),
            Err(error) => text_answer(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    fn metrics(&self) -> WebAnswer {
        let now = self.engine.now();
        let dump = self.engine.with_node(|node| node.dump(now));
        let body = metrics::render(&dump, self.engine.datagrams.counts());
        typed_answer(StatusCode::OK, "text/plain; version=0.0.4", body.into_bytes())
    }

    fn drain(&self) -> WebAnswer {
        info!(self.engine.log, "drain requested through the admin service");
        self.engine.handle_input(Input::Stop);
        text_answer(StatusCode::ACCEPTED, "draining\n")
    }

    fn set_log_level(&self, query: &str) -> WebAnswer {
        let level = query.strip_prefix("level=").and_then(|level| level.parse::<Level>().ok());
        let Some(level) = level else {
            return text_answer(
                StatusCode::BAD_REQUEST,
                "level must be one of trace, debug, info, warning, error, critical\n",
            );
        };
        self.engine.config.level.set(level);
        text_answer(StatusCode::OK, "level set\n")
    }
}

impl Handler for AdminHandler {
    const MAX_BODY_BYTES: usize = MAX_BODY_BYTES;

    async fn answer(&self, request: WebRequest) -> WebAnswer {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        if path.starts_with("/v1/") && !self.is_allowed(&request.headers) {
            return text_answer(StatusCode::UNAUTHORIZED, "the admin token is missing or wrong\n");
        }
        match (&request.method, path) {
            (&Method::GET, "/healthz") => text_answer(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, "/v1/dump") => self.dump(),
            (&Method::POST, "/v1/drain") => self.drain(),
            (&Method::POST, "/v1/log-level") => self.set_log_level(query),
            (_, "/healthz" | "/readyz" | "/metrics" | "/v1/dump" | "/v1/drain" | "/v1/log-level") => {
                text_answer(StatusCode::METHOD_NOT_ALLOWED, "not with this method\n")
            }
            _ => text_answer(StatusCode::NOT_FOUND, "no such page\n"),
        }
    }

    fn reject_unreadable(&self, status: StatusCode, reason: &str) -> WebAnswer {
        text_answer(status, reason)
    }
}

/// Returns whether two texts are equal, in a time that does not depend on the position of the first difference, so that
/// a token cannot be guessed byte by byte.
fn constant_time_eq(a: &str, b: &str) -> bool {
    let differing = a.bytes().zip(b.bytes()).fold(0, |differing, (a, b)| differing | (a ^ b));
    a.len() == b.len() && differing == 0
}

fn text_answer(status: StatusCode, body: &str) -> WebAnswer {
    typed_answer(status, "text/plain", body.as_bytes().to_vec())
}

fn typed_answer(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> WebAnswer {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    WebAnswer { status, headers, body: Bytes::from(body) }
}
