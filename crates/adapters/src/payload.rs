//! HTTP messages while they are held whole.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// Most bytes of a request's or an answer's body.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// Says whether a failed request may have run.
pub const VERDICT_HEADER: &str = "hawthornshift-verdict";
/// Says why a request failed.
pub const REASON_HEADER: &str = "hawthornshift-reason";
/// Carries a ticket from a caller.
pub const TICKET_HEADER: &str = "idempotency-key";
/// Brings a caller the ticket for its next request.
pub const NEXT_TICKET_HEADER: &str = "hawthornshift-ticket";
/// Carries the milliseconds that are left for a request.
pub const TIMEOUT_HEADER: &str = "hawthornshift-timeout-ms";

/// Headers that concern one connection and are not passed on.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// One header as it travels between instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    name: String,
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    value: Bytes,
}

/// A request, whole.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    method: String,
    path: String,
    headers: Vec<Header>,
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    body: Bytes,
}

impl Request {
    /// Makes a request from its parts, without the headers of the connection it came on.
    #[must_use]
    pub fn new(method: &Method, path: &str, headers: &HeaderMap, body: Bytes) -> Self {
        Self { method: method.to_string(), path: path.to_owned(), headers: end_to_end_headers(headers), body }
    }

    /// Tells whether running the request twice does no harm, by its method's definition in HTTP.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        Method::from_bytes(self.method.as_bytes()).is_ok_and(|method| method.is_idempotent())
    }

    /// Returns the method; an unusual one comes back as it was sent.
    #[must_use]
    pub fn method(&self) -> Method {
        Method::from_bytes(self.method.as_bytes()).unwrap_or(Method::GET)
    }

    /// Returns the path and query.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the headers.
    #[must_use]
    pub fn headers(&self) -> HeaderMap {
        to_header_map(&self.headers)
    }

    /// Returns the body.
    #[must_use]
    pub fn body(&self) -> &Bytes {
        &self.body
    }
}

/// An answer, whole.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    status: u16,
    headers: Vec<Header>,
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    body: Bytes,
}

impl Answer {
    /// Makes an answer from its parts, without the headers of the connection it came on.
    #[must_use]
    pub fn new(status: StatusCode, headers: &HeaderMap, body: Bytes) -> Self {
        Self { status: status.as_u16(), headers: end_to_end_headers(headers), body }
    }

    /// Returns the status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY)
    }

    /// Returns the headers.
    #[must_use]
    pub fn headers(&self) -> HeaderMap {
        to_header_map(&self.headers)
    }

    /// Returns the body.
    #[must_use]
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    /// Returns about how many bytes it takes to keep.
    #[must_use]
    pub fn approximate_bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|header| header.name.len() + header.value.len()).sum();
        self.body.len() + headers + size_of::<Self>()
    }
}

fn end_to_end_headers(headers: &HeaderMap) -> Vec<Header> {
    let kept = headers.iter().filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()));
    kept.map(|(name, value)| Header { name: name.as_str().to_owned(), value: Bytes::copy_from_slice(value.as_bytes()) })
        .collect()
}

fn to_header_map(headers: &[Header]) -> HeaderMap {
    let parse = |header: &Header| {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(&header.value).ok()?))
    };
    let mut map = HeaderMap::new();
    for (name, value) in headers.iter().filter_map(parse) {
        map.append(name, value);
    }
    map
}

fn to_base64<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(bytes))
}

fn from_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map(Bytes::from).map_err(serde::de::Error::custom)
}
