//! Buffered HTTP messages: requests and answers with their complete bodies.

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

/// Maximum size of a request's or an answer's body, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// Answer header: the verdict, which states whether the request was answered, did not run or may have run.
pub const VERDICT_HEADER: &str = "hawthornshift-verdict";
/// Answer header: the reason why a request failed.
pub const REASON_HEADER: &str = "hawthornshift-reason";
/// Request header: the ticket that the caller presents.
pub const TICKET_HEADER: &str = "idempotency-key";
/// Answer header: the ticket for the caller's next request.
pub const NEXT_TICKET_HEADER: &str = "hawthornshift-ticket";
/// Request header: the time left for the request, in milliseconds.
pub const TIMEOUT_HEADER: &str = "hawthornshift-timeout-ms";

/// Headers that apply to a single connection and are not forwarded; `host` and `content-length` are set again for each
/// connection.
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

/// One header in the encoding used between instances; the value is in base64.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    name: String,
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    value: Bytes,
}

/// A buffered request; the body is encoded in base64.
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
    /// Creates a request from its parts, without the hop-by-hop headers.
    #[must_use]
    pub fn new(method: &Method, path: &str, headers: &HeaderMap, body: Bytes) -> Self {
        Self { method: method.to_string(), path: path.to_owned(), headers: end_to_end_headers(headers), body }
    }

    /// Returns whether the method is idempotent as defined by HTTP.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        Method::from_bytes(self.method.as_bytes()).is_ok_and(|method| method.is_idempotent())
    }

    /// Returns the method; extension methods are preserved, and an invalid one is returned as `GET`.
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

/// A buffered answer; the body is encoded in base64.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    status: u16,
    headers: Vec<Header>,
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    body: Bytes,
}

impl Answer {
    /// Creates an answer from its parts, without the hop-by-hop headers.
    #[must_use]
    pub fn new(status: StatusCode, headers: &HeaderMap, body: Bytes) -> Self {
        Self { status: status.as_u16(), headers: end_to_end_headers(headers), body }
    }

    /// Returns the status; an invalid one is returned as 502.
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

    /// Returns the approximate memory that the answer takes, in bytes.
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
