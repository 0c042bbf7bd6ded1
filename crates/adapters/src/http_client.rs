//! Small HTTP/1.1 exchanges: one connection, one request, one answer held whole.

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
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;

/// An exchange that failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection came about; nothing was sent.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// Where to.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// The connection broke; the request may have arrived.
    #[error("the connection broke: {0}")]
    ConnectionBroken(#[from] hyper::Error),
    /// The request cannot be written as HTTP; nothing was sent.
    #[error("the request is malformed: {0}")]
    Malformed(#[from] http::Error),
    /// The answer broke off or is larger than allowed.
    #[error("the answer is incomplete: {0}")]
    Incomplete(String),
    /// It took too long.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
}

/// An answer, whole.
#[derive(Clone, Debug)]
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Connects to an HTTP server.
///
/// # Errors
///
/// Fails when the server cannot be reached; nothing has been sent then.
pub async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, ExchangeError> {
    let connect_error = |source| ExchangeError::Connect { address, source };
    let stream = TcpStream::connect(address).await.map_err(connect_error)?;
    stream.set_nodelay(true).map_err(connect_error)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // The connection ends with its sender; an error on the way reaches whoever waits for the answer.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Sends a request on a connection and reads the whole answer, of at most `limit` bytes.
///
/// # Errors
///
/// Fails when the connection breaks or the answer is cut short or too large.
pub async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    limit: usize,
) -> Result<Response, ExchangeError> {
    let response = sender.send_request(request).await?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, limit).collect().await;
    let body = body.map_err(|error| ExchangeError::Incomplete(error.to_string()))?;
    Ok(Response { status: parts.status, headers: parts.headers, body: body.to_bytes() })
}

/// One small exchange.
#[derive(Clone, Debug)]
pub struct Call {
    /// Where to.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers besides `Host`.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Longest time it may take.
    pub timeout: Duration,
    /// Most bytes of the answer.
    pub limit: usize,
}

impl Call {
    /// Makes a `GET`.
    #[must_use]
    pub fn get(address: SocketAddr, path: impl Into<String>, timeout: Duration, limit: usize) -> Self {
        let (method, path) = (Method::GET, path.into());
        Self { address, method, path, headers: HeaderMap::new(), body: Bytes::new(), timeout, limit }
    }

    /// Connects, sends and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails as [`connect`] and [`exchange`] do, or when the time is over.
    pub async fn send(self) -> Result<Response, ExchangeError> {
        let timeout = self.timeout;
        let result = tokio::time::timeout(timeout, self.send_without_timeout()).await;
        result.unwrap_or(Err(ExchangeError::Timeout(timeout)))
    }

    async fn send_without_timeout(self) -> Result<Response, ExchangeError> {
        let request = build(self.address, self.method, &self.path, self.headers, self.body)?;
        let mut sender = connect(self.address).await?;
        exchange(&mut sender, request, self.limit).await
    }
}

/// Builds a request.
///
/// # Errors
///
/// Fails when the path is not one of HTTP.
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
