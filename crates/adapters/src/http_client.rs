//! An HTTP/1.1 client for single exchanges: one connection, one request, one buffered answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;

/// Error of an exchange; each variant states whether the request may have been sent.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection was not established; nothing was sent.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The connection failed, or the server did not speak HTTP; the request may have arrived.
    #[error("connection failed: {0}")]
    ConnectionBroken(#[from] hyper::Error),
    /// The request is not valid HTTP; nothing was sent.
    #[error("invalid request: {0}")]
    Malformed(#[from] http::Error),
    /// The body of the answer was cut short; the request has arrived.
    #[error("incomplete answer: {0}")]
    Incomplete(String),
    /// The body of the answer exceeds the size limit; the request has arrived.
    #[error("the answer has more than {0} bytes")]
    TooLarge(usize),
    /// The exchange exceeded its timeout; the request may have arrived.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
}

/// A buffered answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Connects to an HTTP server and spawns a task that drives the connection.
///
/// # Errors
///
/// Fails when the server cannot be reached; no request has been sent then.
pub async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, ExchangeError> {
    let connect_error = |source| ExchangeError::Connect { address, source };
    let stream = TcpStream::connect(address).await.map_err(connect_error)?;
    stream.set_nodelay(true).map_err(connect_error)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // The task ends when the sender is dropped; a connection error is returned to the caller that waits for the answer.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Sends a request on a connection and reads the complete answer, whose body may have at most `max_answer_bytes`
/// bytes.
///
/// # Errors
///
/// Fails when the connection fails, or when the body of the answer is cut short or too large.
pub async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    max_answer_bytes: usize,
) -> Result<Response, ExchangeError> {
    let response = sender.send_request(request).await?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, max_answer_bytes).collect().await;
    let body = body.map_err(|error| {
        if error.is::<LengthLimitError>() {
            ExchangeError::TooLarge(max_answer_bytes)
        } else {
            ExchangeError::Incomplete(error.to_string())
        }
    })?;
    Ok(Response { status: parts.status, headers: parts.headers, body: body.to_bytes() })
}

/// One exchange on a connection of its own.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the server.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers besides `Host`.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Limit on the time of the whole exchange, including the connect.
    pub timeout: Duration,
    /// Maximum size of the answer's body, in bytes.
    pub max_answer_bytes: usize,
}

impl Call {
    /// Creates a `GET` request without headers and body.
    #[must_use]
    pub fn get(address: SocketAddr, path: impl Into<String>, timeout: Duration, max_answer_bytes: usize) -> Self {
        let (method, path) = (Method::GET, path.into());
        Self { address, method, path, headers: HeaderMap::new(), body: Bytes::new(), timeout, max_answer_bytes }
    }

    /// Connects, sends the request and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Fails as [`build`], [`connect`] and [`exchange`] do, or with [`ExchangeError::Timeout`].
    pub async fn send(self) -> Result<Response, ExchangeError> {
        let timeout = self.timeout;
        let result = tokio::time::timeout(timeout, self.send_without_timeout()).await;
        result.unwrap_or(Err(ExchangeError::Timeout(timeout)))
    }

    async fn send_without_timeout(self) -> Result<Response, ExchangeError> {
        let request = build(self.address, self.method, &self.path, self.headers, self.body)?;
        let mut sender = connect(self.address).await?;
        exchange(&mut sender, request, self.max_answer_bytes).await
    }
}

/// Builds a request with a `Host` header for `address`.
///
/// # Errors
///
/// Fails when `path` is not a valid HTTP request target.
pub fn build(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder().method(method).uri(path).body(Full::new(body))?;
    *request.headers_mut() = headers;
    let host = address.to_string().parse().map_err(http::Error::from)?;
    request.headers_mut().insert(HOST, host);
    Ok(request)
}
