//! Callers behind a fabric that hands each packet to one of the instances in rotation.

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

use crate::ledger::Ledger;
use crate::ledger::Promise;
use crate::wire;
use crate::wire::Packet;
use hawthornshift_adapters::http_client::Call;
use hawthornshift_platform::READY_PATH;

/// When copies of a SYN are sent.
const COPIES: [Duration; 3] = [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
/// End of an attempt to open a flow.
const ATTEMPT: Duration = Duration::from_millis(1_400);
/// Time that a request may take in all.
const DEADLINE: Duration = Duration::from_secs(4);
/// Tries of a request that was not run.
const TRIES: u32 = 3;
/// Time after which a request that is not acknowledged is sent again.
const RETRANSMIT: Duration = Duration::from_millis(200);
/// Time between two looks at the instances' readiness.
const ROTATION_PERIOD: Duration = Duration::from_millis(500);
/// Refusals after which an instance is out of rotation.
const MISSES: u32 = 2;
/// Longest time of a look.
const READY_LIMIT: Duration = Duration::from_millis(400);
/// How long a packet is held back: long enough for several others to overtake it.
const LATE: Duration = Duration::from_millis(40);
/// Number of the first byte that a caller sends.
const FIRST: u32 = 100;

/// The fabric's view of one instance.
#[derive(Debug)]
struct Seat {
    packets: SocketAddr,
    ready: SocketAddr,
    misses: AtomicU32,
}

/// How callers' packets fare on their way to instances, in packets of a thousand.
#[derive(Debug, Default)]
pub struct Weather {
    /// Lost.
    pub lost: AtomicU32,
    /// Sent twice.
    pub doubled: AtomicU32,
    /// Held back, so that later ones overtake them.
    pub delayed: AtomicU32,
    /// Changed on the way, which no instance does; only to show that the check of it can fail.
    pub changed: AtomicU32,
}

impl Weather {
    /// Sets how many packets of a thousand each of the things befalls that happen on a network.
    pub fn set(&self, per_mille: u32) {
        for part in [&self.lost, &self.doubled, &self.delayed] {
            part.store(per_mille, Ordering::Relaxed);
        }
    }
}

/// All callers.
#[derive(Debug)]
pub struct Callers {
    socket: Arc<UdpSocket>,
    ip: Ipv4Addr,
    seats: Vec<Seat>,
    waiting: Mutex<HashMap<u16, mpsc::UnboundedSender<Packet>>>,
    next_port: AtomicU16,
    next_request: AtomicU64,
    /// How packets fare.
    pub weather: Weather,
    ledger: Arc<Ledger>,
}

/// How an attempt ended.
enum Attempt {
    Answered,
    NotRun,
    Unknown,
}

impl Callers {
    /// Starts the callers on an address; instances are given by where they take packets and tell their readiness.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(
        address: SocketAddrV4,
        instances: Vec<(SocketAddr, SocketAddr)>,
        ledger: Arc<Ledger>,
        stop: CancellationToken,
    ) -> io::Result<Arc<Self>> {
        let socket = Arc::new(UdpSocket::bind(SocketAddr::V4(address)).await?);
        let seat = |(packets, ready)| Seat { packets, ready, misses: AtomicU32::new(MISSES) };
        let callers = Arc::new(Self {
            socket,
            ip: *address.ip(),
            seats: instances.into_iter().map(seat).collect(),
            waiting: Mutex::default(),
            next_port: AtomicU16::new(1_000),
            next_request: AtomicU64::new(1),
            weather: Weather::default(),
            ledger,
        });
        tokio::spawn(callers.clone().receive(stop.clone()));
        for index in 0..callers.seats.len() {
            tokio::spawn(callers.clone().look(index, stop.clone()));
        }
        Ok(callers)
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<u16, mpsc::UnboundedSender<Packet>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether an instance is in rotation.
    #[must_use]
    pub fn is_in_rotation(&self, index: usize) -> bool {
        self.seats[index].misses.load(Ordering::Relaxed) < MISSES
    }

    async fn look(self: Arc<Self>, index: usize, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let seat = &self.seats[index];
            let answer = Call::get(seat.ready, READY_PATH, READY_LIMIT, 1_024).send().await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                seat.misses.store(0, Ordering::Relaxed);
            } else {
                seat.misses.fetch_add(1, Ordering::Relaxed);
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
            let Some((packet, genuine)) = Packet::decode(&buf[..len]) else { continue };
            let own_reset = packet.has(wire::RST) && packet.data.is_empty() && buf[..4] == [0; 4];
            if !genuine && !own_reset {
                self.ledger.breach(Promise::Genuine, format!("a caller got a changed packet {packet:?}"));
                continue;
            }
            if own_reset {
                self.ledger.caller_reset((packet.to, packet.from));
            }
            if let Some(tx) = self.waiting().get(&packet.to.port()) {
                // The request may just have ended.
                let _ = tx.send(packet);
            }
        }
    }

    fn send(&self, packet: &Packet) {
        let in_rotation: Vec<usize> = (0..self.seats.len()).filter(|index| self.is_in_rotation(*index)).collect();
        let all: Vec<usize> = (0..self.seats.len()).collect();
        let seats = if in_rotation.len() * 2 < all.len() { &all } else { &in_rotation };
        let hash = usize::from(packet.from.port()).wrapping_mul(2_654_435_761);
        let seat = &self.seats[seats[(hash >> 4) % seats.len()]];
        let chance = |part: &AtomicU32| rand::rng().random_range(0..1_000) < part.load(Ordering::Relaxed);
        if chance(&self.weather.lost) {
            return;
        }
        let copies = 1 + usize::from(chance(&self.weather.doubled));
        let delay = if chance(&self.weather.delayed) { LATE } else { Duration::ZERO };
        let mut bytes = packet.encode();
        if chance(&self.weather.changed) {
            bytes[wire::SEQUENCE_AT] ^= 1;
        }
        for _ in 0..copies {
            // An instance that is down refuses or takes nothing, as on a network.
            if delay.is_zero() {
                let _ = self.socket.try_send_to(&bytes, seat.packets);
                continue;
            }
            let (socket, bytes, to) = (Arc::clone(&self.socket), bytes.clone(), seat.packets);
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = socket.try_send_to(&bytes, to);
            });
        }
    }

    /// Makes one request to a route and follows it to its end.
    pub async fn request(self: Arc<Self>, route: SocketAddrV4, service: String) {
        let id = self.next_request.fetch_add(1, Ordering::Relaxed);
        self.ledger.asked();
        let deadline = Instant::now() + DEADLINE;
        for _ in 0..TRIES {
            match tokio::time::timeout_at(deadline, self.attempt(id, route, &service)).await {
                Ok(Attempt::Answered) => {
                    self.ledger.ended(true);
                    return;
                }
                Ok(Attempt::NotRun) => {}
                Ok(Attempt::Unknown) | Err(_) => break,
            }
        }
        self.ledger.ended(false);
    }

    async fn attempt(&self, id: u64, route: SocketAddrV4, service: &str) -> Attempt {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed);
        let (tx, mut rx) = mpsc::unbounded_channel();
        self.waiting().insert(port, tx);
        let ended = self.flow(id, (SocketAddrV4::new(self.ip, port), route), service, &mut rx).await;
        self.waiting().remove(&port);
        ended
    }

    async fn flow(
        &self,
        id: u64,
        (from, to): (SocketAddrV4, SocketAddrV4),
        service: &str,
        rx: &mut mpsc::UnboundedReceiver<Packet>,
    ) -> Attempt {
        let syn = Packet { from, to, flags: wire::SYN, sequence: FIRST, acknowledged: 0, cookie: 0, data: Vec::new() };
        let Some(opened) = self.open(syn.clone(), rx).await else { return Attempt::NotRun };
        let first = opened.sequence.wrapping_add(1);
        let data = format!("{id} {service}").into_bytes();
        let end = FIRST + 1 + u32::try_from(data.len()).unwrap_or(0);
        let mut request = Packet { flags: wire::ACK, sequence: FIRST + 1, acknowledged: first, data, ..syn };
        request.cookie = opened.cookie;
        let mut parts: HashMap<u32, Vec<u8>> = HashMap::new();
        let mut next = first;
        loop {
            if next == first {
                self.send(&request);
            }
            let Ok(packet) = tokio::time::timeout(RETRANSMIT, rx.recv()).await else { continue };
            let Some(packet) = packet else { return Attempt::Unknown };
            request.cookie = packet.cookie;
            if packet.has(wire::RST) {
                return Attempt::Unknown;
            }
            if !packet.data.is_empty() {
                parts.insert(packet.sequence, packet.data);
            }
            while let Some(part) = parts.get(&next) {
                next = next.wrapping_add(u32::try_from(part.len()).unwrap_or(0));
            }
            let mut answer: Vec<u8> = Vec::new();
            let mut at = first;
            while let Some(part) = parts.get(&at) {
                answer.extend(part);
                at = at.wrapping_add(u32::try_from(part.len()).unwrap_or(0));
            }
            let whole = answer.len() >= ANSWER_BYTES;
            let flags = if whole { wire::ACK | wire::FIN } else { wire::ACK };
            self.send(&Packet { flags, sequence: end, acknowledged: next, data: Vec::new(), ..request.clone() });
            if whole {
                if !answer.starts_with(format!("{id} answer ").as_bytes()) || answer.len() != ANSWER_BYTES {
                    self.ledger.breach(Promise::WholeAnswer, format!("request {id} got an answer that is not its own"));
                }
                return Attempt::Answered;
            }
        }
    }

    /// Opens a flow; the first answer to any copy of the SYN counts.
    async fn open(&self, mut syn: Packet, rx: &mut mpsc::UnboundedReceiver<Packet>) -> Option<Packet> {
        let start = Instant::now();
        for (copies, wait) in (0..).zip(COPIES) {
            tokio::time::sleep_until(start + wait).await;
            syn.acknowledged = copies;
            self.send(&syn);
            let until = COPIES.get(copies as usize + 1).copied().unwrap_or(ATTEMPT);
            while let Ok(packet) = tokio::time::timeout_at(start + until, rx.recv()).await {
                let packet = packet?;
                if packet.has(wire::RST) {
                    return None;
                }
                if packet.has(wire::SYN) {
                    return Some(packet);
                }
            }
        }
        None
    }
}

/// Bytes of a whole answer.
const ANSWER_BYTES: usize = 3_000;
