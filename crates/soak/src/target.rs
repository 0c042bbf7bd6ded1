//! A simulated target: answers callers directly, has slots and a queue, and can crash, drain, slow down and be cold.

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

use crate::ledger::Invariant;
use crate::ledger::Ledger;
use crate::ledger::PROPAGATION_LIMIT;
use crate::wire;
use crate::wire::Packet;
use hawthornshift_standins::Store;

/// Number of requests that a target processes at the same time.
const SLOTS: usize = 2;
/// Time to process a request, without a slowdown.
const SERVICE_TIME: Duration = Duration::from_millis(15);
/// Length of an answer in bytes; it needs three packets.
const ANSWER_BYTES: usize = 3_000;
/// Largest length of the data in one packet, in bytes.
const MAX_PACKET_DATA: usize = 1_200;
/// Time after which unacknowledged data is sent again.
const RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of times that an answer is sent, the first time included, before it is abandoned.
const MAX_ANSWER_SENDS: u32 = 6;
/// Range of a target's initial sequence number, which is random for each flow. A delayed duplicate of a SYN can reopen a
/// flow that has ended; only the sequence number then shows that late data belongs to the former flow.
const INITIAL_SEQUENCES: std::ops::Range<u32> = 1_000..1_000_000_000;
/// Time between two writes of a target's store entry.
pub const HEARTBEAT: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Flow {
    initial_sequence: u32,
    open: bool,
    /// Whether the request has arrived; a retransmission of it is not processed again.
    request_received: bool,
    answer: Vec<u8>,
    /// Sequence number of the next answer byte that the caller expects.
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
    /// Times at which SYNs arrived since the last restart, while the target was cold.
    cold_flow_times: Vec<Instant>,
    /// Factor by which the processing of a request takes longer.
    slowdown: u32,
    sequence: u64,
}

/// A running target; clones share its state.
#[derive(Clone, Debug)]
pub struct Target {
    /// Id of the target.
    pub id: u64,
    /// Name of the target's service.
    pub service: String,
    /// Failure domain of the target.
    pub domain: String,
    address: SocketAddrV4,
    /// Port on which callers receive packets.
    caller_port: u16,
    socket: Arc<UdpSocket>,
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
    ledger: Arc<Ledger>,
    /// Invariant that the target violates, to prove that its check can fail.
    sabotage: Option<Invariant>,
}

impl Target {
    /// Starts a warm target that serves until `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns the error if `address` cannot be bound or is not IPv4.
    pub async fn start(
        (id, service, domain): (u64, &str, &str),
        address: SocketAddr,
        caller_port: u16,
        (ledger, sabotage): (Arc<Ledger>, Option<Invariant>),
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
            cold_flow_times: Vec::new(),
            slowdown: 1,
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

    /// Returns the key of the target's store entry.
    #[must_use]
    pub fn key(&self) -> String {
        format!("servers/i-{:08x}", self.id)
    }

    /// Writes the target's store entry, as a target does at its start, at each heartbeat and at each change of state.
    ///
    /// Does nothing while the target is crashed.
    pub fn register(&self, store: &Store) {
        let entry = {
            let mut state = self.state();
            if !state.alive {
                return;
            }
            state.sequence += 1;
            let cold = state.cold_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()));
            let advertises_draining = state.draining_since.is_some() && self.sabotage != Some(Invariant::Drain);
            json!({
                "service": self.service, "address": self.address.to_string(), "zone": self.domain, "version": "v1",
                "slots": SLOTS, "state": if advertises_draining { "draining" } else { "ready" },
                "warmup-left-ms": u64::try_from(cold.as_millis()).unwrap_or(u64::MAX), "sequence": state.sequence,
            })
        };
        store.put(&self.key(), &entry);
    }

    /// Crashes the target: it drops its flows and answers nothing; its store entry is left in place.
    pub fn crash(&self) {
        let flows: Vec<_> = {
            let mut state = self.state();
            state.alive = false;
            state.flows.drain().map(|(flow, _)| flow).collect()
        };
        for flow in flows {
            self.ledger.set_flow_open(flow, false);
        }
    }

    /// Restarts the target under the same id, without its former flows, and cold for the given time.
    pub fn restart(&self, cold: Duration) {
        let mut state = self.state();
        state.alive = true;
        state.draining_since = None;
        state.cold_until = Some(Instant::now() + cold);
        state.cold_flow_times.clear();
    }

    /// Returns whether the target is running, that is, not crashed.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        self.state().alive
    }

    /// Sets whether the target is draining; [`Target::register`] writes it to the store.
    pub fn set_draining(&self, draining: bool) {
        self.state().draining_since = draining.then(Instant::now);
    }

    /// Records whether the target's failure domain is evacuated, for the check of new flows.
    pub fn set_evacuated(&self, out: bool) {
        self.state().evacuated_since = out.then(Instant::now);
    }

    /// Sets the factor by which the processing of a request takes longer.
    pub fn set_slowdown(&self, factor: u32) {
        self.state().slowdown = factor;
    }

    async fn serve(self, stop: CancellationToken) {
        let mut buf = vec![0; 2_048];
        loop {
            let received = tokio::select! {
                () = stop.cancelled() => return,
                received = self.socket.recv_from(&mut buf) => received,
            };
            // The error of an earlier send (ICMP port unreachable) is returned here; the socket stays usable.
            let Ok((len, _)) = received else { continue };
            if len < 8 || buf[..8] != self.id.to_be_bytes() || !self.is_alive() {
                continue;
            }
            let Some((packet, intact)) = Packet::decode(&buf[8..len]) else { continue };
            if intact {
                self.handle_packet(packet);
            } else {
                self.ledger
                    .record_breach(Invariant::Genuine, format!("target {:x} received a modified packet", self.id));
            }
        }
    }

    fn handle_packet(&self, packet: Packet) {
        let key = (packet.from, packet.to);
        if packet.has_flag(wire::SYN) {
            self.handle_syn(key, &packet);
            return;
        }
        let starts_request = {
            let mut state = self.state();
            let acknowledges_flow = |flow: &&mut Flow| {
                let received = packet.acknowledged.wrapping_sub(flow.initial_sequence + 1);
                usize::try_from(received).is_ok_and(|received| received <= ANSWER_BYTES)
            };
            let Some(flow) = state.flows.get_mut(&key).filter(acknowledges_flow) else {
                drop(state);
                self.ledger.record_target_reset(key);
                self.reply(&packet, wire::RST, packet.acknowledged, Vec::new());
                return;
            };
            flow.cookie = packet.cookie;
            if !flow.open {
                flow.open = true;
                self.ledger.set_flow_open(key, true);
                self.ledger.record_flow_opened(key.1.port());
            }
            flow.acknowledged = flow.acknowledged.max(packet.acknowledged);
            if packet.has_flag(wire::FIN) || packet.has_flag(wire::RST) {
                state.flows.remove(&key);
                self.ledger.set_flow_open(key, false);
                return;
            }
            !packet.data.is_empty() && !std::mem::replace(&mut flow.request_received, true)
        };
        if starts_request {
            tokio::spawn(self.clone().process_request(key, packet));
        }
    }

    /// Opens a flow, or repeats the SYN packet of one that exists, and checks that the target may receive new flows.
    fn handle_syn(&self, key: (SocketAddrV4, SocketAddrV4), packet: &Packet) {
        let now = Instant::now();
        let (late_drain, late_evacuation, initial_sequence) = {
            let mut state = self.state();
            let new_flow = || Flow { initial_sequence: rand::rng().random_range(INITIAL_SEQUENCES), ..Flow::default() };
            let flow = state.flows.entry(key).or_insert_with(new_flow);
            flow.cookie = packet.cookie;
            let initial_sequence = flow.initial_sequence;
            if state.cold_until.is_some_and(|until| now < until) {
                state.cold_flow_times.push(now);
                self.ledger.check_cold(&self.key(), &state.cold_flow_times);
            }
            let is_overdue = |since: Option<Instant>| since.is_some_and(|since| now - since > PROPAGATION_LIMIT);
            (is_overdue(state.draining_since), is_overdue(state.evacuated_since), initial_sequence)
        };
        if late_drain {
            self.ledger.record_breach(Invariant::Drain, format!("target {:x} received a SYN while draining", self.id));
        }
        if late_evacuation {
            self.ledger.record_breach(
                Invariant::Evacuation,
                format!("target {:x} received a SYN while its failure domain was evacuated", self.id),
            );
        }
        self.reply(packet, wire::SYN | wire::ACK, initial_sequence, Vec::new());
    }

    /// Sends a packet directly to the caller, in response to the packet `to`.
    fn reply(&self, to: &Packet, flags: u8, sequence: u32, data: Vec<u8>) {
        let length = u32::try_from(to.data.len()).unwrap_or(0) + u32::from(to.has_flag(wire::SYN));
        let (sequence, acknowledged) = (sequence, to.sequence.wrapping_add(length));
        let packet = Packet { from: to.to, to: to.from, flags, sequence, acknowledged, cookie: to.cookie, data };
        // Errors are ignored: a caller may have abandoned the flow.
        let _ = self.socket.try_send_to(&packet.encode(), SocketAddr::from((*to.from.ip(), self.caller_port)));
    }

    /// Waits for a slot, processes the request and sends the answer.
    async fn process_request(self, key: (SocketAddrV4, SocketAddrV4), packet: Packet) {
        let Ok(permit) = self.slots.clone().acquire_owned().await else { return };
        let (alive, slowdown) = {
            let state = self.state();
            (state.alive && state.flows.contains_key(&key), state.slowdown)
        };
        if !alive {
            return;
        }
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let mut words = text.split(' ');
        let (id, service) = (words.next().and_then(|id| id.parse().ok()), words.next());
        let (Some(id), Some(service)) = (id, service) else { return };
        if service != self.service {
            self.ledger
                .record_breach(Invariant::RightService, format!("request {id} for {service} ran at {}", self.service));
        }
        self.ledger.record_run(id, false);
        tokio::time::sleep(SERVICE_TIME * slowdown).await;
        drop(permit);
        let answered = id + u64::from(self.sabotage == Some(Invariant::WholeAnswer));
        let mut answer = format!("{answered} answer ").into_bytes();
        answer.resize(ANSWER_BYTES, b'.');
        if let Some(flow) = self.state().flows.get_mut(&key) {
            flow.answer = answer;
        }
        self.send_answer(key, &packet).await;
    }

    /// Sends the unacknowledged part of the answer repeatedly, until all of it is acknowledged or the sends are used up.
    async fn send_answer(&self, key: (SocketAddrV4, SocketAddrV4), request: &Packet) {
        for _ in 0..MAX_ANSWER_SENDS {
            let parts: Vec<(u32, Vec<u8>, u32)> = {
                let state = self.state();
                let Some(flow) = state.flows.get(&key).filter(|_| state.alive) else { return };
                let from = usize::try_from(flow.acknowledged.saturating_sub(flow.initial_sequence + 1)).unwrap_or(0);
                let rest = flow.answer.get(from..).unwrap_or_default();
                let numbered = rest.chunks(MAX_PACKET_DATA).enumerate();
                let first_data = flow.initial_sequence + 1;
                let number = |index: usize| u32::try_from(from + index * MAX_PACKET_DATA).unwrap_or(0) + first_data;
                numbered.map(|(index, part)| (number(index), part.to_vec(), flow.cookie)).collect()
            };
            if parts.is_empty() {
                return;
            }
            for (sequence, data, cookie) in parts {
                let to = Packet { cookie, ..request.clone() };
                self.reply(&to, wire::ACK, sequence, data);
            }
            tokio::time::sleep(RETRANSMIT_TIMEOUT).await;
        }
    }
}
