//! HTTP servers on `xitca-web`: one handler for all paths; bodies are buffered up to a limit.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use tokio::task::JoinHandle;
use xitca_web::App;
use xitca_web::WebContext;
use xitca_web::body::BodyExt;
use xitca_web::body::RequestBody;
use xitca_web::body::ResponseBody;
use xitca_web::error::Error;
use xitca_web::http::WebResponse;
use xitca_web::service::fn_service;

/// Limit on the time to receive the head of a request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit on the time to receive the body of a request.
const REQUEST_BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which an idle connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_mins(1);
/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;

/// A buffered request.
#[derive(Clone, Debug)]
pub struct WebRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A buffered answer.
#[derive(Clone, Debug)]
pub struct WebAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// The request handler of one server.
pub trait Handler: Send + Sync + 'static {
    /// Maximum size of a request's body, in bytes.
    const MAX_BODY_BYTES: usize;

    /// Answers a request.
    fn answer(&self, request: WebRequest) -> impl Future<Output = WebAnswer>;

    /// Answers a request whose headers or body could not be read, with the status and the reason of the error.
    fn reject_unreadable(&self, status: StatusCode, reason: &str) -> WebAnswer;
}

/// A running server.
pub struct WebServer {
    /// Stops the server; the argument is whether to wait for open connections.
    stop: Box<dyn Fn(bool) + Send + Sync>,
    server_task: JoinHandle<()>,
}

impl WebServer {
    /// Starts a server on a listener.
    ///
    /// # Errors
    ///
    /// Fails when the listener cannot be used or the worker thread cannot be started.
    pub fn start<H: Handler>(listener: TcpListener, handler: H) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let mut server = App::new()
            .with_state(Arc::new(handler))
            .at("/", fn_service(serve::<H>))
            .at("/{*path}", fn_service(serve::<H>))
            .serve()
            .disable_signal()
            .worker_threads(1)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .request_head_timeout(REQUEST_HEAD_TIMEOUT)
            .max_read_buf_size::<MAX_HEAD_BYTES>()
            .max_request_headers::<MAX_HEADERS>()
            .listen(listener)?
            .run();
        let handle = server.handle()?;
        let server_task = tokio::task::spawn_blocking(move || {
            let _ = server.wait();
        });
        Ok(Self { stop: Box::new(move |graceful| handle.stop(graceful)), server_task })
    }

    /// Stops the server without waiting for open connections, which cuts off answers that are still being written: call
    /// this only when no request is open.
    pub async fn stop(self) {
        (self.stop)(false);
        let _ = self.server_task.await;
    }
}

async fn serve<H: Handler>(mut cx: WebContext<'_, Arc<H>>) -> Result<WebResponse, Error> {
    let handler = Arc::clone(cx.state());
    let (head, extension) = cx.take_request().into_parts();
    let (_, body) = extension.replace_body(());
    let answer = match tokio::time::timeout(REQUEST_BODY_TIMEOUT, read_body(body, H::MAX_BODY_BYTES)).await {
        Ok(Ok(body)) => {
            let path = head.uri.path_and_query().map_or_else(|| "/".to_owned(), ToString::to_string);
            handler.answer(WebRequest { method: head.method, path, headers: head.headers, body }).await
        }
        Ok(Err(ReadBodyError::TooLarge)) => {
            handler.reject_unreadable(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
        }
        Ok(Err(ReadBodyError::Broken)) => handler.reject_unreadable(StatusCode::BAD_REQUEST, "the body is malformed"),
        Err(_) => handler.reject_unreadable(StatusCode::REQUEST_TIMEOUT, "the body came too slowly"),
    };
    let mut response = WebResponse::new(ResponseBody::bytes(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    Ok(response)
}

enum ReadBodyError {
    TooLarge,
    Broken,
}

async fn read_body(body: RequestBody, limit: usize) -> Result<Bytes, ReadBodyError> {
    let mut body = std::pin::pin!(body);
    let mut buf = BytesMut::new();
    while let Some(chunk) = body.as_mut().data().await {
        let chunk = chunk.map_err(|_| ReadBodyError::Broken)?;
        if buf.len() + chunk.len() > limit {
            return Err(ReadBodyError::TooLarge);
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}
