//! Simulated callers behind a simulated network fabric.
//!
//! The fabric polls the readiness of every instance and sends each packet to one of the ready instances, chosen by a hash
//! of the caller's port.

use std::collections::HashMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::ledger::Invariant;
use crate::ledger::Ledger;
use crate::wire;
use crate::wire::Packet;
use hawthornshift_adapters::http_client::Call;
use hawthornshift_platform::READY_PATH;

/// Times at which a SYN is sent, since the start of the attempt; the later ones are retransmissions.
const SYN_SEND_TIMES: [Duration; 3] = [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
/// Time after which an attempt to open a flow is abandoned.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Time limit of a request over all its attempts.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Largest number of attempts of a request; only a request that has not run is sent again.
const MAX_ATTEMPTS: u32 = 3;
/// Time without a packet after which a request is sent again.
const RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two readiness checks of an instance.
const ROTATION_PERIOD: Duration = Duration::from_millis(500);
/// Consecutive failed readiness checks that take an instance out of rotation.
const MAX_FAILED_CHECKS: u32 = 2;
/// Timeout of a readiness check.
const READY_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay of a packet that is to be reordered: long enough for several others to overtake it.
const REORDER_DELAY: Duration = Duration::from_millis(40);
/// Sequence number of a caller's SYN.
const INITIAL_SEQUENCE: u32 = 100;

/// Addresses of one instance and the fabric's view of its readiness.
#[derive(Debug)]
struct Seat {
    packet_address: SocketAddr,
    readiness_address: SocketAddr,
    /// Consecutive failed readiness checks.
    failed_checks: AtomicU32,
}

/// Network impairment of packets from callers to instances; each rate is in packets per thousand.
#[derive(Debug, Default)]
pub struct Impairment {
    /// Rate of lost packets.
    pub lost: AtomicU32,
    /// Rate of packets that are sent twice.
    pub duplicated: AtomicU32,
    /// Rate of packets that are delayed, so that later ones overtake them.
    pub delayed: AtomicU32,
    /// Rate of packets that are corrupted, to prove that the check for modified packets can fail; no fault uses it.
    pub corrupted: AtomicU32,
}

impl Impairment {
    /// Sets the rates of loss, duplication and delay, in packets per thousand; corruption is left as it is.
    pub fn set_rates(&self, per_mille: u32) {
        for rate in [&self.lost, &self.duplicated, &self.delayed] {
            rate.store(per_mille, Ordering::Relaxed);
        }
    }
}

/// All callers, which share one socket; a caller's port identifies its flow.
#[derive(Debug)]
pub struct Callers {
    socket: Arc<UdpSocket>,
    ip: Ipv4Addr,
    seats: Vec<Seat>,
    pending_flows: Mutex<HashMap<u16, mpsc::UnboundedSender<Packet>>>,
    next_port: AtomicU16,
    next_request: AtomicU64,
    /// Impairment of packets to instances.
    pub impairment: Impairment,
    ledger: Arc<Ledger>,
}

/// Outcome of an attempt of a request.
enum AttemptOutcome {
    /// The whole answer was received.
    Answered,
    /// No flow was opened, so the request cannot have run.
    NotRun,
    /// The flow was reset after it opened; the request may have run.
    Unknown,
}

impl Callers {
    /// Starts the callers on `address`; each instance is given by its packet address and its readiness address.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if `address` cannot be bound.
    pub async fn start(
        address: SocketAddrV4,
        instances: Vec<(SocketAddr, SocketAddr)>,
        ledger: Arc<Ledger>,
        stop: CancellationToken,
    ) -> io::Result<Arc<Self>> {
        let socket = Arc::new(UdpSocket::bind(SocketAddr::V4(address)).await?);
        let seat = |(packet_address, readiness_address)| Seat {
            packet_address,
            readiness_address,
            failed_checks: AtomicU32::new(MAX_FAILED_CHECKS),
        };
        let callers = Arc::new(Self {
            socket,
            ip: *address.ip(),
            seats: instances.into_iter().map(seat).collect(),
            pending_flows: Mutex::default(),
            next_port: AtomicU16::new(1_000),
            next_request: AtomicU64::new(1),
            impairment: Impairment::default(),
            ledger,
        });
        tokio::spawn(callers.clone().receive(stop.clone()));
        for index in 0..callers.seats.len() {
            tokio::spawn(callers.clone().poll_readiness(index, stop.clone()));
        }
        Ok(callers)
    }

    fn pending_flows(&self) -> MutexGuard<'_, HashMap<u16, mpsc::UnboundedSender<Packet>>> {
        self.pending_flows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether an instance is in rotation.
    #[must_use]
    pub fn is_in_rotation(&self, index: usize) -> bool {
        self.seats[index].failed_checks.load(Ordering::Relaxed) < MAX_FAILED_CHECKS
    }

    /// Checks the readiness of an instance periodically.
    async fn poll_readiness(self: Arc<Self>, index: usize, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let seat = &self.seats[index];
            let answer = Call::get(seat.readiness_address, READY_PATH, READY_TIMEOUT, 1_024).send().await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                seat.failed_checks.store(0, Ordering::Relaxed);
            } else {
                seat.failed_checks.fetch_add(1, Ordering::Relaxed);
            }
            tokio::time::sleep(ROTATION_PERIOD).await;
        }
    }

    async fn receive(self: Arc<Self>, stop: CancellationToken) {
        let mut buf = vec![0; 2_048];
        loop {
            let received = tokio::select! {
                () = stop.cancelled() => return,
                received = self.socket.recv_from(&mut buf) => received,
            };
            let Ok((len, _)) = received else { continue };
            let Some((packet, intact)) = Packet::decode(&buf[..len]) else { continue };
            // An instance writes a reset without data and without the checksum, whose key it does not have.
            let instance_reset = packet.has_flag(wire::RST) && packet.data.is_empty() && buf[..4] == [0; 4];
            if !intact && !instance_reset {
                self.ledger
                    .record_breach(Invariant::Genuine, format!("a caller received a modified packet {packet:?}"));
                continue;
            }
            if instance_reset {
                self.ledger.record_caller_reset((packet.to, packet.from));
            }
            if let Some(tx) = self.pending_flows().get(&packet.to.port()) {
                // Fails only if the request has just ended.
                let _ = tx.send(packet);
            }
        }
    }

    /// Sends a packet to an instance in rotation, subject to the impairment.
    ///
    /// If fewer than half of the instances are in rotation, all of them get packets.
    fn send(&self, packet: &Packet) {
        let in_rotation: Vec<usize> = (0..self.seats.len()).filter(|index| self.is_in_rotation(*index)).collect();
        let all: Vec<usize> = (0..self.seats.len()).collect();
        let seats = if in_rotation.len() * 2 < all.len() { &all } else { &in_rotation };
        let hash = usize::from(packet.from.port()).wrapping_mul(2_654_435_761);
        let seat = &self.seats[seats[(hash >> 4) % seats.len()]];
        let applies = |rate: &AtomicU32| rand::rng().random_range(0..1_000) < rate.load(Ordering::Relaxed);
        if applies(&self.impairment.lost) {
            return;
        }
        let copies = 1 + usize::from(applies(&self.impairment.duplicated));
        let delay = if applies(&self.impairment.delayed) { REORDER_DELAY } else { Duration::ZERO };
        let mut bytes = packet.encode();
        if applies(&self.impairment.corrupted) {
            bytes[wire::SEQUENCE_OFFSET] ^= 1;
        }
        for _ in 0..copies {
            // Errors are ignored: as on a network, a packet to an instance that is down is lost.
            if delay.is_zero() {
                let _ = self.socket.try_send_to(&bytes, seat.packet_address);
                continue;
            }
            let (socket, bytes, to) = (Arc::clone(&self.socket), bytes.clone(), seat.packet_address);
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = socket.try_send_to(&bytes, to);
            });
        }
    }

    /// Sends one request to a route, repeats it while it has not run, and records its outcome.
    pub async fn request(self: Arc<Self>, route: SocketAddrV4, service: String) {
        let id = self.next_request.fetch_add(1, Ordering::Relaxed);
        self.ledger.record_request();
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        for _ in 0..MAX_ATTEMPTS {
            match tokio::time::timeout_at(deadline, self.attempt(id, route, &service)).await {
                Ok(AttemptOutcome::Answered) => {
                    self.ledger.record_end(true);
                    return;
                }
                Ok(AttemptOutcome::NotRun) => {}
                Ok(AttemptOutcome::Unknown) | Err(_) => break,
            }
        }
        self.ledger.record_end(false);
    }

    async fn attempt(&self, id: u64, route: SocketAddrV4, service: &str) -> AttemptOutcome {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed);
        let (tx, mut rx) = mpsc::unbounded_channel();
        self.pending_flows().insert(port, tx);
        let ended = self.exchange(id, (SocketAddrV4::new(self.ip, port), route), service, &mut rx).await;
        self.pending_flows().remove(&port);
        ended
    }

    /// Opens a flow, sends the request until the answer begins, and receives the answer.
    async fn exchange(
        &self,
        id: u64,
        (from, to): (SocketAddrV4, SocketAddrV4),
        service: &str,
        rx: &mut mpsc::UnboundedReceiver<Packet>,
    ) -> AttemptOutcome {
        let syn = Packet {
            from,
            to,
            flags: wire::SYN,
            sequence: INITIAL_SEQUENCE,
            acknowledged: 0,
            cookie: 0,
            data: Vec::new(),
        };
        let Some(opened) = self.open_flow(syn.clone(), rx).await else { return AttemptOutcome::NotRun };
        let first_data = opened.sequence.wrapping_add(1);
        let data = format!("{id} {service}").into_bytes();
        let end = INITIAL_SEQUENCE + 1 + u32::try_from(data.len()).unwrap_or(0);
        let mut request =
            Packet { flags: wire::ACK, sequence: INITIAL_SEQUENCE + 1, acknowledged: first_data, data, ..syn };
        request.cookie = opened.cookie;
        let mut received: HashMap<u32, Vec<u8>> = HashMap::new();
        let mut expected = first_data;
        loop {
            if expected == first_data {
                self.send(&request);
            }
            let Ok(packet) = tokio::time::timeout(RETRANSMIT_TIMEOUT, rx.recv()).await else { continue };
            let Some(packet) = packet else { return AttemptOutcome::Unknown };
            request.cookie = packet.cookie;
            if packet.has_flag(wire::RST) {
                return AttemptOutcome::Unknown;
            }
            if !packet.data.is_empty() {
                received.insert(packet.sequence, packet.data);
            }
            while let Some(part) = received.get(&expected) {
                expected = expected.wrapping_add(u32::try_from(part.len()).unwrap_or(0));
            }
            let mut answer: Vec<u8> = Vec::new();
            let mut at = first_data;
            while let Some(part) = received.get(&at) {
                answer.extend(part);
                at = at.wrapping_add(u32::try_from(part.len()).unwrap_or(0));
            }
            let complete = answer.len() >= ANSWER_BYTES;
            let flags = if complete { wire::ACK | wire::FIN } else { wire::ACK };
            self.send(&Packet { flags, sequence: end, acknowledged: expected, data: Vec::new(), ..request.clone() });
            if complete {
                if !answer.starts_with(format!("{id} answer ").as_bytes()) || answer.len() != ANSWER_BYTES {
                    self.ledger.record_breach(
                        Invariant::WholeAnswer,
                        format!("request {id} received another request's answer or one of the wrong length"),
                    );
                }
                return AttemptOutcome::Answered;
            }
        }
    }

    /// Opens a flow and returns the first SYN packet received; `None` after a reset or the timeout.
    async fn open_flow(&self, mut syn: Packet, rx: &mut mpsc::UnboundedReceiver<Packet>) -> Option<Packet> {
        let start = Instant::now();
        for (retransmissions, send_time) in (0..).zip(SYN_SEND_TIMES) {
            tokio::time::sleep_until(start + send_time).await;
            syn.acknowledged = retransmissions;
            self.send(&syn);
            let until = SYN_SEND_TIMES.get(retransmissions as usize + 1).copied().unwrap_or(OPEN_TIMEOUT);
            while let Ok(packet) = tokio::time::timeout_at(start + until, rx.recv()).await {
                let packet = packet?;
                if packet.has_flag(wire::RST) {
                    return None;
                }
                if packet.has_flag(wire::SYN) {
                    return Some(packet);
                }
            }
        }
        None
    }
}

/// Length of a whole answer, in bytes.
const ANSWER_BYTES: usize = 3_000;
