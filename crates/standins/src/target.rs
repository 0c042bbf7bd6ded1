//! Targets: an HTTP service with slots and a cold start, a datagram echo and a stream echo.

use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

/// Names the order that a request makes; each order may run once.
pub const ORDER_HEADER: &str = "x-order";
/// Requests that a cold target must have answered before it is warm.
const ANSWERS_TO_WARM: u32 = 10;
/// How much slower a cold target answers.
const COLD_FACTOR: u32 = 4;
/// Time after which a failure domain that was taken out must be silent.
const OUT_GRACE: Duration = Duration::from_secs(3);

/// What a target speaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetKind {
    /// HTTP, with slots.
    Http,
    /// UDP packets, echoed with the target's name.
    Datagram,
    /// Lines over TCP, echoed with the target's name.
    Stream,
}

/// What has happened to a target, by its own count.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// How often each order ran.
    pub runs: HashMap<String, u32>,
    /// Requests beyond what the target bears while cold.
    pub cold_overloads: u64,
    /// Requests beyond its slots while warm.
    pub slot_overruns: u64,
    /// Packets, lines and requests that were meant for another service.
    pub wrong_service: u64,
    /// Packets, lines and requests that came although its failure domain was out for longer than allowed.
    pub late_after_out: u64,
    /// All packets, lines and requests.
    pub arrived: u64,
}

#[derive(Debug)]
struct Inner {
    counts: Counts,
    running: u32,
    answered: u32,
    cold: bool,
    leaving: bool,
    out_since: Option<Instant>,
}

/// A running target.
#[derive(Clone, Debug)]
pub struct Target {
    name: String,
    service: String,
    slots: u32,
    work: Duration,
    address: SocketAddr,
    health: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    stop: CancellationToken,
}

impl Target {
    /// Starts a cold target on ports chosen by the system; each request takes it `work` when it is warm.
    ///
    /// # Errors
    ///
    /// Fails when it cannot listen on `ip`.
    pub async fn start(
        kind: TargetKind,
        name: &str,
        service: &str,
        ip: IpAddr,
        slots: u32,
        work: Duration,
    ) -> io::Result<Self> {
        let health = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
        let mut target = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            slots,
            work,
            address: health.local_addr()?,
            health: health.local_addr()?,
            inner: Arc::new(Mutex::new(Inner {
                counts: Counts::default(),
                running: 0,
                answered: 0,
                cold: kind == TargetKind::Http,
                leaving: false,
                out_since: None,
            })),
            stop: CancellationToken::new(),
        };
        match kind {
            TargetKind::Http => {}
            TargetKind::Datagram => {
                let socket = UdpSocket::bind(SocketAddr::new(ip, 0)).await?;
                target.address = socket.local_addr()?;
                target.spawn(target.clone().echo_packets(socket));
            }
            TargetKind::Stream => {
                let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
                target.address = listener.local_addr()?;
                target.spawn(target.clone().accept_streams(listener));
            }
        }
        target.spawn(target.clone().accept_http(health));
        Ok(target)
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task => {}
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns where it serves.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns where it answers health checks.
    #[must_use]
    pub fn health(&self) -> SocketAddr {
        self.health
    }

    /// Returns what has happened to it.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.lock().counts.clone()
    }

    /// Makes it cold again.
    pub fn chill(&self) {
        let mut inner = self.lock();
        inner.cold = true;
        inner.answered = 0;
    }

    /// Has its health endpoint say that it is leaving.
    pub fn leave(&self) {
        self.lock().leaving = true;
    }

    /// Notes that its failure domain was taken out, or is back.
    pub fn set_out(&self, out: bool) {
        self.lock().out_since = out.then(Instant::now);
    }

    /// Ends it at once.
    pub fn kill(&self) {
        self.stop.cancel();
    }

    fn note_arrival(&self, service: &str) {
        let mut inner = self.lock();
        inner.counts.arrived += 1;
        if service != self.service {
            inner.counts.wrong_service += 1;
        }
        if inner.out_since.is_some_and(|since| since.elapsed() > OUT_GRACE) {
            inner.counts.late_after_out += 1;
        }
    }

    /// Echoes packets of the form `service text`.
    async fn echo_packets(self, socket: UdpSocket) {
        let mut buf = vec![0; 65_536];
        loop {
            let Ok((len, from)) = socket.recv_from(&mut buf).await else { continue };
            let text = String::from_utf8_lossy(&buf[..len]).into_owned();
            self.note_arrival(text.split(' ').next().unwrap_or_default());
            let _ = socket.send_to(format!("{text} {}", self.name).as_bytes(), from).await;
        }
    }

    async fn accept_streams(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            self.spawn(self.clone().echo_lines(stream));
        }
    }

    /// Echoes lines of the form `service text`.
    async fn echo_lines(self, mut stream: TcpStream) {
        let (reader, mut writer) = stream.split();
        let mut lines = BufReader::new(reader).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            self.note_arrival(line.split(' ').next().unwrap_or_default());
            if writer.write_all(format!("{line} {}\n", self.name).as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn accept_http(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let target = self.clone();
            let service = service_fn(move |request| {
                let target = target.clone();
                async move { Ok::<_, Infallible>(target.answer(request).await) }
            });
            self.spawn(async move {
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() == "/health" {
            return respond(StatusCode::OK, self.health_text());
        }
        let order = request.headers().get(ORDER_HEADER).and_then(|value| value.to_str().ok()).map(str::to_owned);
        let service = request.uri().path().trim_matches('/').to_owned();
        self.note_arrival(&service);
        let Ok(body) = request.into_body().collect().await else {
            return respond(StatusCode::BAD_REQUEST, String::new());
        };
        let Some(running) = self.start_work() else {
            let mut refusal = respond(StatusCode::SERVICE_UNAVAILABLE, "shed".to_owned());
            refusal.headers_mut().insert("hawthornshift-verdict", hyper::header::HeaderValue::from_static("not-run"));
            return refusal;
        };
        if let Some(order) = &order {
            *self.lock().counts.runs.entry(order.clone()).or_default() += 1;
        }
        tokio::time::sleep(running.work).await;
        running.finish();
        respond(StatusCode::OK, format!("{} {} {}", self.name, order.unwrap_or_default(), body.to_bytes().len()))
    }

    fn health_text(&self) -> String {
        let inner = self.lock();
        let state = match (inner.leaving, inner.cold) {
            (true, _) => "leaving",
            (false, true) => "cold",
            (false, false) => "warm",
        };
        format!("{{\"state\":\"{state}\",\"running\":{}}}", inner.running)
    }

    /// Takes a slot, or sheds when there is none.
    fn start_work(&self) -> Option<Running<'_>> {
        let mut inner = self.lock();
        let limit = if inner.cold { 1 } else { self.slots };
        if inner.running >= limit {
            if inner.cold {
                inner.counts.cold_overloads += 1;
            } else {
                inner.counts.slot_overruns += 1;
            }
            return None;
        }
        inner.running += 1;
        let work = if inner.cold { self.work * COLD_FACTOR } else { self.work };
        Some(Running { target: self, work })
    }
}

/// A slot in use; it is free again when this is dropped, also when the caller hangs up.
struct Running<'a> {
    target: &'a Target,
    work: Duration,
}

impl Running<'_> {
    fn finish(&self) {
        let mut inner = self.target.lock();
        inner.answered += 1;
        inner.cold &= inner.answered < ANSWERS_TO_WARM;
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.target.lock().running -= 1;
    }
}

fn respond(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
