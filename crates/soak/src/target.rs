//! A target: answers callers itself, with slots, a queue, and all the ways in which targets fail.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::ledger::IN_FORCE;
use crate::ledger::Ledger;
use crate::ledger::Promise;
use crate::wire;
use crate::wire::Packet;
use hawthornshift_standins::Store;

/// Requests that a target works on at the same time.
const SLOTS: usize = 2;
/// Work of a request.
const WORK: Duration = Duration::from_millis(15);
/// Bytes of an answer; more than two packets.
const ANSWER_BYTES: usize = 3_000;
/// Data in one packet.
const PACKET_DATA: usize = 1_200;
/// Time after which what is not acknowledged is sent again.
const RETRANSMIT: Duration = Duration::from_millis(200);
/// Times that an answer is sent again.
const MAX_RETRANSMITS: u32 = 6;
/// Numbers that a target's first byte may have. Drawn anew for each flow: a late copy of a SYN may open a flow that has
/// long ended once more, and only the number tells that the data behind it were meant for the former one.
const FIRST: std::ops::Range<u32> = 1_000..1_000_000_000;
/// Time between two writes of the entry.
pub const HEARTBEAT: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Flow {
    first: u32,
    open: bool,
    taken: bool,
    answer: Vec<u8>,
    acknowledged: u32,
    cookie: u32,
}

#[derive(Debug)]
struct State {
    flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
    alive: bool,
    draining_since: Option<Instant>,
    evacuated_since: Option<Instant>,
    cold_until: Option<Instant>,
    cold_opened: Vec<Instant>,
    slow: u32,
    sequence: u64,
}

/// A running target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its id.
    pub id: u64,
    /// Name of its service.
    pub service: String,
    /// Its failure domain.
    pub domain: String,
    address: SocketAddrV4,
    /// Port on which callers take packets.
    caller_port: u16,
    socket: Arc<UdpSocket>,
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
    ledger: Arc<Ledger>,
    /// A promise that it breaks, to show that the check of it can fail.
    sabotage: Option<Promise>,
}

impl Target {
    /// Starts a target.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(
        (id, service, domain): (u64, &str, &str),
        address: SocketAddr,
        caller_port: u16,
        (ledger, sabotage): (Arc<Ledger>, Option<Promise>),
        stop: CancellationToken,
    ) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(address).await?);
        let SocketAddr::V4(address) = socket.local_addr()? else { return Err(io::ErrorKind::Unsupported.into()) };
        let state = State {
            flows: HashMap::new(),
            alive: true,
            draining_since: None,
            evacuated_since: None,
            cold_until: None,
            cold_opened: Vec::new(),
            slow: 1,
            sequence: 0,
        };
        let target = Self {
            id,
            service: service.to_owned(),
            domain: domain.to_owned(),
            address,
            caller_port,
            socket,
            state: Arc::new(Mutex::new(state)),
            slots: Arc::new(Semaphore::new(SLOTS)),
            ledger,
            sabotage,
        };
        tokio::spawn(target.clone().serve(stop));
        Ok(target)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Key of the target's entry.
    #[must_use]
    pub fn key(&self) -> String {
        format!("servers/i-{:08x}", self.id)
    }

    /// Writes the target's entry, as it does when it starts and whenever something changes.
    pub fn register(&self, store: &Store) {
        let entry = {
            let mut state = self.state();
            if !state.alive {
                return;
            }
            state.sequence += 1;
            let cold = state.cold_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()));
            let told_to_drain = state.draining_since.is_some() && self.sabotage != Some(Promise::Drain);
            json!({
                "service": self.service, "address": self.address.to_string(), "zone": self.domain, "version": "v1",
                "slots": SLOTS, "state": if told_to_drain { "draining" } else { "ready" },
                "warmup-left-ms": u64::try_from(cold.as_millis()).unwrap_or(u64::MAX), "sequence": state.sequence,
            })
        };
        store.put(&self.key(), &entry);
    }

    /// Falls silent: what it holds is gone, and its entry stays until its heartbeats are missed.
    pub fn die(&self) {
        let flows: Vec<_> = {
            let mut state = self.state();
            state.alive = false;
            state.flows.drain().map(|(flow, _)| flow).collect()
        };
        for flow in flows {
            self.ledger.set_open(flow, false);
        }
    }

    /// Comes back under the same id, knowing nothing of before, and cold.
    pub fn restart(&self, cold: Duration) {
        let mut state = self.state();
        state.alive = true;
        state.draining_since = None;
        state.cold_until = Some(Instant::now() + cold);
        state.cold_opened.clear();
    }

    /// Tells whether it lives.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        self.state().alive
    }

    /// Says that it is about to leave, or no longer.
    pub fn drain(&self, draining: bool) {
        self.state().draining_since = draining.then(Instant::now);
    }

    /// Notes that its failure domain is taken out or back.
    pub fn evacuate(&self, out: bool) {
        self.state().evacuated_since = out.then(Instant::now);
    }

    /// Sets how many times longer its work takes.
    pub fn slow(&self, times: u32) {
        self.state().slow = times;
    }

    async fn serve(self, stop: CancellationToken) {
        let mut buf = vec![0; 2_048];
        loop {
            let received = tokio::select! {
                () = stop.cancelled() => return,
                received = self.socket.recv_from(&mut buf) => received,
            };
            // A refused earlier send shows here; the socket goes on working.
            let Ok((len, _)) = received else { continue };
            if len < 8 || buf[..8] != self.id.to_be_bytes() || !self.is_alive() {
                continue;
            }
            let Some((packet, genuine)) = Packet::decode(&buf[8..len]) else { continue };
            if genuine {
                self.packet(packet);
            } else {
                self.ledger.breach(Promise::Genuine, format!("target {:x} got a changed packet", self.id));
            }
        }
    }

    fn packet(&self, packet: Packet) {
        let key = (packet.from, packet.to);
        if packet.has(wire::SYN) {
            self.syn(key, &packet);
            return;
        }
        let work = {
            let mut state = self.state();
            let meant = |flow: &&mut Flow| {
                let received = packet.acknowledged.wrapping_sub(flow.first + 1);
                usize::try_from(received).is_ok_and(|received| received <= ANSWER_BYTES)
            };
            let Some(flow) = state.flows.get_mut(&key).filter(meant) else {
                drop(state);
                self.ledger.target_reset(key);
                self.reply(&packet, wire::RST, packet.acknowledged, Vec::new());
                return;
            };
            flow.cookie = packet.cookie;
            if !flow.open {
                flow.open = true;
                self.ledger.set_open(key, true);
                self.ledger.opened(key.1.port());
            }
            flow.acknowledged = flow.acknowledged.max(packet.acknowledged);
            if packet.has(wire::FIN) || packet.has(wire::RST) {
                state.flows.remove(&key);
                self.ledger.set_open(key, false);
                return;
            }
            !packet.data.is_empty() && !std::mem::replace(&mut flow.taken, true)
        };
        if work {
            tokio::spawn(self.clone().work(key, packet));
        }
    }

    fn syn(&self, key: (SocketAddrV4, SocketAddrV4), packet: &Packet) {
        let now = Instant::now();
        let (late_drain, late_evacuation, first) = {
            let mut state = self.state();
            let fresh = || Flow { first: rand::rng().random_range(FIRST), ..Flow::default() };
            let flow = state.flows.entry(key).or_insert_with(fresh);
            flow.cookie = packet.cookie;
            let first = flow.first;
            if state.cold_until.is_some_and(|until| now < until) {
                state.cold_opened.push(now);
                self.ledger.check_cold(&self.key(), &state.cold_opened);
            }
            let late = |since: Option<Instant>| since.is_some_and(|since| now - since > IN_FORCE);
            (late(state.draining_since), late(state.evacuated_since), first)
        };
        if late_drain {
            self.ledger.breach(Promise::Drain, format!("target {:x} got a SYN while draining", self.id));
        }
        if late_evacuation {
            self.ledger.breach(Promise::Evacuation, format!("target {:x} got a SYN while taken out", self.id));
        }
        self.reply(packet, wire::SYN | wire::ACK, first, Vec::new());
    }

    fn reply(&self, to: &Packet, flags: u8, sequence: u32, data: Vec<u8>) {
        let length = u32::try_from(to.data.len()).unwrap_or(0) + u32::from(to.has(wire::SYN));
        let (sequence, acknowledged) = (sequence, to.sequence.wrapping_add(length));
        let packet = Packet { from: to.to, to: to.from, flags, sequence, acknowledged, cookie: to.cookie, data };
        // A caller that has gone refuses; that is its own affair.
        let _ = self.socket.try_send_to(&packet.encode(), SocketAddr::from((*to.from.ip(), self.caller_port)));
    }

    async fn work(self, key: (SocketAddrV4, SocketAddrV4), packet: Packet) {
        let Ok(permit) = self.slots.clone().acquire_owned().await else { return };
        let (alive, slow) = {
            let state = self.state();
            (state.alive && state.flows.contains_key(&key), state.slow)
        };
        if !alive {
            return;
        }
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let mut words = text.split(' ');
        let (id, service) = (words.next().and_then(|id| id.parse().ok()), words.next());
        let (Some(id), Some(service)) = (id, service) else { return };
        if service != self.service {
            self.ledger.breach(Promise::RightService, format!("request {id} for {service} ran at {}", self.service));
        }
        self.ledger.ran(id, false);
        tokio::time::sleep(WORK * slow).await;
        drop(permit);
        let answered = id + u64::from(self.sabotage == Some(Promise::WholeAnswer));
        let mut answer = format!("{answered} answer ").into_bytes();
        answer.resize(ANSWER_BYTES, b'.');
        if let Some(flow) = self.state().flows.get_mut(&key) {
            flow.answer = answer;
        }
        self.send_answer(key, &packet).await;
    }

    /// Sends the answer until it is acknowledged whole.
    async fn send_answer(&self, key: (SocketAddrV4, SocketAddrV4), request: &Packet) {
        for _ in 0..MAX_RETRANSMITS {
            let parts: Vec<(u32, Vec<u8>, u32)> = {
                let state = self.state();
                let Some(flow) = state.flows.get(&key).filter(|_| state.alive) else { return };
                let from = usize::try_from(flow.acknowledged.saturating_sub(flow.first + 1)).unwrap_or(0);
                let rest = flow.answer.get(from..).unwrap_or_default();
                let numbered = rest.chunks(PACKET_DATA).enumerate();
                let first = flow.first + 1;
                let number = |index: usize| u32::try_from(from + index * PACKET_DATA).unwrap_or(0) + first;
                numbered.map(|(index, part)| (number(index), part.to_vec(), flow.cookie)).collect()
            };
            if parts.is_empty() {
                return;
            }
            for (sequence, data, cookie) in parts {
                let to = Packet { cookie, ..request.clone() };
                self.reply(&to, wire::ACK, sequence, data);
            }
            tokio::time::sleep(RETRANSMIT).await;
        }
    }
}
