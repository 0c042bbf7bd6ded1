//! Targets: an HTTP service with a concurrency limit and a cold phase, a UDP echo and a TCP line echo.

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

/// Request header with the id of an order; each order may run at most once.
pub const ORDER_HEADER: &str = "x-order";
/// Number of requests that a cold target answers before it is warm.
const WARM_UP_ANSWERS: u32 = 10;
/// Factor by which a cold target's service time is longer.
const COLD_SERVICE_TIME_FACTOR: u32 = 4;
/// Time after the evacuation of a failure domain from which on its targets may receive nothing.
const EVACUATION_GRACE: Duration = Duration::from_secs(3);

/// Protocol of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetKind {
    /// HTTP, with a limited number of concurrent requests (slots).
    Http,
    /// UDP packets, echoed with the target's name appended.
    Datagram,
    /// Lines over TCP, echoed with the target's name appended.
    Stream,
}

/// Counters that a target keeps itself.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Number of runs of each order.
    pub runs: HashMap<String, u32>,
    /// Requests refused because a cold target, which takes one at a time, was busy.
    pub cold_overloads: u64,
    /// Requests refused because all slots of a warm target were in use.
    pub slot_overruns: u64,
    /// Packets, lines and requests addressed to another service.
    pub wrong_service: u64,
    /// Packets, lines and requests that arrived more than 3 s after the evacuation of its failure domain.
    pub arrived_after_evacuation: u64,
    /// All packets, lines and requests that arrived.
    pub arrived: u64,
}

#[derive(Debug)]
struct Inner {
    counts: Counts,
    running: u32,
    answered: u32,
    cold: bool,
    leaving: bool,
    domain_out_since: Option<Instant>,
}

/// A running target; clones share its state.
#[derive(Clone, Debug)]
pub struct Target {
    name: String,
    service: String,
    slots: u32,
    service_time: Duration,
    address: SocketAddr,
    health: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    stop: CancellationToken,
}

impl Target {
    /// Starts a target on ports chosen by the operating system; an HTTP target starts cold.
    ///
    /// An HTTP target processes up to `slots` requests at a time when warm, each for `service_time`.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if a port of `ip` cannot be bound.
    pub async fn start(
        kind: TargetKind,
        name: &str,
        service: &str,
        ip: IpAddr,
        slots: u32,
        service_time: Duration,
    ) -> io::Result<Self> {
        let health = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
        let mut target = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            slots,
            service_time,
            address: health.local_addr()?,
            health: health.local_addr()?,
            inner: Arc::new(Mutex::new(Inner {
                counts: Counts::default(),
                running: 0,
                answered: 0,
                cold: kind == TargetKind::Http,
                leaving: false,
                domain_out_since: None,
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

    /// Returns the target's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address that the target serves on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that answers health checks.
    #[must_use]
    pub fn health(&self) -> SocketAddr {
        self.health
    }

    /// Returns a copy of the target's counters.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.lock().counts.clone()
    }

    /// Makes the target cold again.
    pub fn make_cold(&self) {
        let mut inner = self.lock();
        inner.cold = true;
        inner.answered = 0;
    }

    /// Makes the health endpoint report the state `leaving`.
    pub fn start_leaving(&self) {
        self.lock().leaving = true;
    }

    /// Records whether the target's failure domain is out of service from now on.
    pub fn set_domain_out(&self, out: bool) {
        self.lock().domain_out_since = out.then(Instant::now);
    }

    /// Stops the target immediately and drops its connections.
    pub fn kill(&self) {
        self.stop.cancel();
    }

    fn record_arrival(&self, service: &str) {
        let mut inner = self.lock();
        inner.counts.arrived += 1;
        if service != self.service {
            inner.counts.wrong_service += 1;
        }
        if inner.domain_out_since.is_some_and(|since| since.elapsed() > EVACUATION_GRACE) {
            inner.counts.arrived_after_evacuation += 1;
        }
    }

    /// Echoes packets of the form `service text`.
    async fn echo_packets(self, socket: UdpSocket) {
        let mut buf = vec![0; 65_536];
        loop {
            let Ok((len, from)) = socket.recv_from(&mut buf).await else { continue };
            let text = String::from_utf8_lossy(&buf[..len]).into_owned();
            self.record_arrival(text.split(' ').next().unwrap_or_default());
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
            self.record_arrival(line.split(' ').next().unwrap_or_default());
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
                async move { Ok::<_, Infallible>(target.handle_request(request).await) }
            });
            self.spawn(async move {
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    async fn handle_request(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() == "/health" {
            return respond(StatusCode::OK, self.health_body());
        }
        let order = request.headers().get(ORDER_HEADER).and_then(|value| value.to_str().ok()).map(str::to_owned);
        let service = request.uri().path().trim_matches('/').to_owned();
        self.record_arrival(&service);
        let Ok(body) = request.into_body().collect().await else {
            return respond(StatusCode::BAD_REQUEST, String::new());
        };
        let Some(slot) = self.acquire_slot() else {
            let mut refusal = respond(StatusCode::SERVICE_UNAVAILABLE, "shed".to_owned());
            refusal.headers_mut().insert("hawthornshift-verdict", hyper::header::HeaderValue::from_static("not-run"));
            return refusal;
        };
        if let Some(order) = &order {
            *self.lock().counts.runs.entry(order.clone()).or_default() += 1;
        }
        tokio::time::sleep(slot.service_time).await;
        slot.record_answer();
        respond(StatusCode::OK, format!("{} {} {}", self.name, order.unwrap_or_default(), body.to_bytes().len()))
    }

    fn health_body(&self) -> String {
        let inner = self.lock();
        let state = match (inner.leaving, inner.cold) {
            (true, _) => "leaving",
            (false, true) => "cold",
            (false, false) => "warm",
        };
        format!("{{\"state\":\"{state}\",\"running\":{}}}", inner.running)
    }

    /// Acquires a slot, or counts a refusal and returns `None` when all are in use; a cold target has one slot.
    fn acquire_slot(&self) -> Option<SlotGuard<'_>> {
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
        let service_time = if inner.cold { self.service_time * COLD_SERVICE_TIME_FACTOR } else { self.service_time };
        Some(SlotGuard { target: self, service_time })
    }
}

/// A slot in use; dropping it releases the slot, also when the caller closes the connection early.
struct SlotGuard<'a> {
    target: &'a Target,
    service_time: Duration,
}

impl SlotGuard<'_> {
    fn record_answer(&self) {
        let mut inner = self.target.lock();
        inner.answered += 1;
        inner.cold &= inner.answered < WARM_UP_ANSWERS;
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.target.lock().running -= 1;
    }
}

fn respond(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
