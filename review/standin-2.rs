//! Stand-ins for the platform of a small deployment: store, operator, endpoints, clients, and the starting and killing of
//! instances. It uses the standard library only. `review/build-2.sh` builds it.
//!
//! Usage: `standin-2 N RECORD`, called by `review/N/run.sh` in the root of the repository. `TROUBLE=0` in the environment
//! leaves the disruption out. The exit code is 0 if the rule held, 1 if it was broken, and 2 if the case could not run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Time that the store takes for an answer.
const STORE_DELAY: Duration = Duration::from_millis(4);
/// Time for which the store keeps its history (`history-s`).
const HISTORY: Duration = Duration::from_secs(20);
/// Maximum number of items and of value bytes in one page of the store.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// `config-apply-ms` and `drain-ms`.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(3_000);
/// `connected-ms`.
const CONNECTED: Duration = Duration::from_millis(4_000);
/// `heartbeat-ms`.
const HEARTBEAT: Duration = Duration::from_millis(770);
/// Time after which the platform starts a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Times after a client's first SYN at which it sends a copy, and at which it gives up.
const SYN_COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const SYN_TIMEOUT: Duration = Duration::from_millis(1_400);
/// First interval after which a client sends data again that was not answered. It doubles.
const RETRANSMIT: Duration = Duration::from_millis(200);

/// The record of what was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
struct Log(Arc<Mutex<File>>, Instant);

impl Log {
    fn line(&self, text: &str) {
        let at = self.1.elapsed().as_secs_f64();
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }
}

// ---- Store ----------------------------------------------------------------------------------------------------------

#[derive(Clone)]
struct Event {
    key: String,
    value: Option<Arc<String>>,
    revision: u64,
    at: Instant,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (Arc<String>, u64, u64)>,
    events: Vec<Event>,
    /// Revision up to which the history was dropped.
    dropped: u64,
}

/// The platform's store with its HTTP interface.
#[derive(Clone, Default)]
struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    /// Size of the largest watch answer so far, for the record.
    largest_answer: Arc<AtomicU32>,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for part in bytes.chunks(3) {
        let group = [part[0], part.get(1).copied().unwrap_or(0), part.get(2).copied().unwrap_or(0)];
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= part.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

impl StoreState {
    /// Drops the part of the history that is too old.
    fn drop_history(&mut self) {
        let old = self.events.iter().take_while(|event| event.at.elapsed() > HISTORY).count();
        if old > 0 {
            self.dropped = self.events[old - 1].revision;
            self.events.drain(..old);
        }
    }
}

impl Store {
    /// Writes a value. Returns the revision; its return is the store's acknowledgement.
    fn put(&self, key: &str, value: &str) -> u64 {
        self.change(key, Some(Arc::new(base64(value.as_bytes()))))
    }

    fn delete(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<Arc<String>>) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => {
                let created = state.items.get(key).map_or(revision, |item| item.2);
                state.items.insert(key.to_owned(), (Arc::clone(value), revision, created));
            }
            None => {
                state.items.remove(key);
            }
        }
        state.events.push(Event { key: key.to_owned(), value, revision, at: Instant::now() });
        changed.notify_all();
        revision
    }

    fn serve(&self, address: SocketAddrV4) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        Ok(())
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            let mut request = String::new();
            if reader.read_line(&mut request).unwrap_or(0) == 0 {
                return;
            }
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            let target = request.split(' ').nth(1).unwrap_or("").to_owned();
            let (status, body) = self.answer(&target);
            thread::sleep(STORE_DELAY);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> = query.split('&').filter_map(|part| part.split_once('=')).collect();
        let text = |name: &str| query.get(name).copied().unwrap_or("").replace("%2F", "/");
        match path {
            "/api/kv-range" => (200, self.range(&text("prefix"), &text("after"))),
            "/api/kv-watch" => {
                let after = text("after").parse().unwrap_or(0);
                self.watch(&text("prefix"), after, Duration::from_millis(text("wait-ms").parse().unwrap_or(0)))
            }
            _ => (404, String::from("{}")),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (value, revision, created)) in &state.items {
            if !key.starts_with(prefix) || (!after.is_empty() && key.as_str() <= after) {
                continue;
            }
            if items.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += value.len();
            items.push(format!(
                r#"{{"key":"{key}","value":"{value}","revision":{revision},"created-rev":{created},"lease":0}}"#
            ));
        }
        format!(r#"{{"items":[{}],"has-more":{has_more},"store-revision":{}}}"#, items.join(","), state.revision)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let (state, changed) = &*self.state;
        let until = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            state.drop_history();
            if after < state.dropped {
                return (410, String::from("{}"));
            }
            let events: Vec<Event> = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .cloned()
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                drop(state);
                let events: Vec<String> = events.iter().map(event_json).collect();
                let body = format!(r#"{{"events":[{}],"store-revision":{revision}}}"#, events.join(","));
                self.largest_answer.fetch_max(u32::try_from(body.len()).unwrap_or(u32::MAX), Ordering::Relaxed);
                return (200, body);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn event_json(event: &Event) -> String {
    let Event { key, value, revision, .. } = event;
    match value {
        Some(value) => {
            format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"created-rev":1,"lease":0}}"#)
        }
        None => format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#),
    }
}

// ---- Packets --------------------------------------------------------------------------------------------------------

const FIN: u8 = 1;
const SYN: u8 = 4;
const RST: u8 = 8;
const ACK: u8 = 32;
const HEAD: usize = 36;
/// Key of the sum over a packet, known to clients and endpoints.
const SUM_KEY: u32 = 0x9e37_79b9;

/// A packet of a flow.
#[derive(Clone, Debug, Default)]
struct Packet {
    flags: u8,
    from: Option<SocketAddrV4>,
    to: Option<SocketAddrV4>,
    seq: u32,
    ack: u32,
    echo: u32,
    data: Vec<u8>,
}

fn sum_of(bytes: &[u8]) -> u32 {
    let mut sum = SUM_KEY;
    for (index, byte) in bytes.iter().enumerate().skip(4) {
        // The flag BOUNCED, the padding and the echo are left out.
        let byte = if index == 4 { byte & !16 } else { *byte };
        if !(5..10).contains(&index) && !(32..36).contains(&index) {
            sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        }
    }
    sum
}

impl Packet {
    fn encode(&self) -> Vec<u8> {
        let (from, to) = (self.from.unwrap(), self.to.unwrap());
        let mut buf = vec![0; HEAD];
        buf[4] = self.flags;
        buf[10..12].copy_from_slice(&to.port().to_le_bytes());
        buf[12..16].copy_from_slice(&u32::from(*from.ip()).to_le_bytes());
        buf[16..20].copy_from_slice(&u32::from(*to.ip()).to_le_bytes());
        buf[20..22].copy_from_slice(&from.port().to_le_bytes());
        buf[22..24].copy_from_slice(&u16::try_from(self.data.len()).unwrap().to_le_bytes());
        buf[24..28].copy_from_slice(&self.seq.to_le_bytes());
        buf[28..32].copy_from_slice(&self.ack.to_le_bytes());
        buf[32..36].copy_from_slice(&self.echo.to_le_bytes());
        buf.extend_from_slice(&self.data);
        let sum = sum_of(&buf);
        buf[..4].copy_from_slice(&sum.to_le_bytes());
        buf
    }

    /// Returns the packet and whether its sum is right.
    fn decode(buf: &[u8]) -> Option<(Self, bool)> {
        if buf.len() < HEAD {
            return None;
        }
        let u16_at = |at: usize| u16::from_le_bytes([buf[at], buf[at + 1]]);
        let u32_at = |at: usize| u32::from_le_bytes([buf[at], buf[at + 1], buf[at + 2], buf[at + 3]]);
        let packet = Self {
            flags: buf[4],
            from: Some(SocketAddrV4::new(Ipv4Addr::from(u32_at(12)), u16_at(20))),
            to: Some(SocketAddrV4::new(Ipv4Addr::from(u32_at(16)), u16_at(10))),
            seq: u32_at(24),
            ack: u32_at(28),
            echo: u32_at(32),
            data: buf[HEAD..].to_vec(),
        };
        Some((packet, sum_of(buf) == u32_at(0)))
    }
}

// ---- Endpoints ------------------------------------------------------------------------------------------------------

/// The two ends of a flow: the client's and the route's.
type FlowKey = (SocketAddrV4, SocketAddrV4);

/// What an endpoint saw or did.
#[derive(Clone, Debug, Eq, PartialEq)]
enum What {
    /// It took the opening packet of a flow.
    Syn,
    /// It got the end of a flow's handshake: the flow is open here.
    Open,
    /// It began to work on a request.
    Run(String),
    /// It reset a flow that it does not hold.
    Reset,
    /// The flow was closed.
    Closed,
}

#[derive(Clone, Debug)]
struct Seen {
    at: Instant,
    endpoint: usize,
    flow: FlowKey,
    what: What,
}

/// A packet that was not acknowledged yet, and when it is sent again.
struct Unacknowledged {
    packet: Packet,
    due: Instant,
    interval: Duration,
    tries: u32,
}

impl Unacknowledged {
    fn new(packet: Packet) -> Self {
        Self { packet, due: Instant::now() + RETRANSMIT, interval: RETRANSMIT, tries: 0 }
    }
}

struct EndpointFlow {
    own_seq: u32,
    is_open: bool,
    is_closed: bool,
    /// Sequence number of the client's next byte, and of the endpoint's.
    next_in: u32,
    next_out: u32,
    echo: u32,
    is_running: bool,
    unacknowledged: Option<Unacknowledged>,
}

type EndpointFlows = Arc<Mutex<HashMap<FlowKey, EndpointFlow>>>;

/// An endpoint that runs requests, answers its clients directly and registers itself in the store.
#[derive(Clone)]
struct Endpoint {
    index: usize,
    id: u64,
    service: &'static str,
    zone: &'static str,
    address: SocketAddrV4,
    client_port: u16,
    /// Fraction of the endpoint's packets that are lost on their way.
    loss: f64,
    random: Arc<AtomicU32>,
    work: Duration,
    draining: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
    born: u128,
}

impl Endpoint {
    fn key(&self) -> String {
        format!("servers/i-{:010x}", self.id)
    }

    fn entry(&self, sequence: u64) -> String {
        let state = if self.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":2,"state":"{state}","sequence":{sequence},"warmup-left-ms":0,"born":{}}}"#,
            self.service, self.address, self.zone, self.born
        )
    }

    fn start(&self, seen: mpsc::Sender<Seen>) -> io::Result<()> {
        let socket = Arc::new(UdpSocket::bind(self.address)?);
        socket.set_read_timeout(Some(Duration::from_millis(100)))?;
        let health = TcpListener::bind(self.address)?;
        let this = self.clone();
        thread::spawn(move || {
            for stream in health.incoming().flatten() {
                if this.stopped.load(Ordering::Relaxed) {
                    return;
                }
                let draining = this.draining.load(Ordering::Relaxed);
                thread::spawn(move || answer_health(stream, draining));
            }
        });
        let flows = EndpointFlows::default();
        let (this, again, again_flows) = (self.clone(), self.clone(), Arc::clone(&flows));
        let again_socket = Arc::clone(&socket);
        thread::spawn(move || again.retransmit(&again_socket, &again_flows));
        thread::spawn(move || this.run(&socket, &seen, &flows));
        Ok(())
    }

    fn run(&self, socket: &Arc<UdpSocket>, seen: &mpsc::Sender<Seen>, flows: &EndpointFlows) {
        let mut buf = [0; 2_048];
        while !self.stopped.load(Ordering::Relaxed) {
            let Ok((len, _)) = socket.recv_from(&mut buf) else { continue };
            if len < 8 {
                continue;
            }
            let wanted = u64::from_be_bytes(buf[..8].try_into().unwrap());
            if wanted != 0 && wanted != self.id {
                continue;
            }
            let Some((packet, true)) = Packet::decode(&buf[8..len]) else { continue };
            self.handle(socket, seen, flows, &packet);
        }
    }

    /// Sends a packet to a client, unless it is lost on the way.
    fn send(&self, socket: &UdpSocket, packet: &Packet) {
        let random = self.random.fetch_add(0x9e37_79b9, Ordering::Relaxed);
        let random = (random ^ random >> 15).wrapping_mul(0x2c1b_3c6d);
        let random = (random ^ random >> 12).wrapping_mul(0x297a_2d39);
        let random = f64::from(random ^ random >> 15) / f64::from(u32::MAX);
        if random >= self.loss {
            let to = SocketAddrV4::new(*packet.to.unwrap().ip(), self.client_port);
            let _ = socket.send_to(&packet.encode(), to);
        }
    }

    /// Sends packets again that were not acknowledged: after 200 ms, then after doubled intervals of up to 1.6 s, 8 times.
    fn retransmit(&self, socket: &UdpSocket, flows: &EndpointFlows) {
        while !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
            let now = Instant::now();
            let mut table = flows.lock().unwrap();
            table.retain(|_, flow| flow.unacknowledged.as_ref().is_none_or(|it| it.tries < 8 || it.due > now));
            for flow in table.values_mut() {
                let echo = flow.echo;
                let Some(it) = flow.unacknowledged.as_mut().filter(|it| it.due <= now) else { continue };
                it.packet.echo = echo;
                it.tries += 1;
                it.interval = (it.interval * 2).min(Duration::from_millis(1_600));
                it.due = now + it.interval;
                self.send(socket, &it.packet);
            }
        }
    }

    fn handle(&self, socket: &Arc<UdpSocket>, seen: &mpsc::Sender<Seen>, flows: &EndpointFlows, packet: &Packet) {
        let key = (packet.from.unwrap(), packet.to.unwrap());
        let report = |what: What| drop(seen.send(Seen { at: Instant::now(), endpoint: self.index, flow: key, what }));
        let mut table = flows.lock().unwrap();
        if packet.flags & SYN != 0 {
            if packet.flags & ACK != 0 {
                return;
            }
            let flow = table.entry(key).or_insert_with(|| {
                report(What::Syn);
                let own_seq = packet.seq.wrapping_mul(31).wrapping_add(self.index as u32 * 0x0101_0101 + 7);
                let next_in = packet.seq.wrapping_add(1);
                let answer = reply(key, SYN | ACK, own_seq, next_in, packet.echo, Vec::new());
                let unacknowledged = Some(Unacknowledged::new(answer));
                let (next_out, echo) = (own_seq.wrapping_add(1), packet.echo);
                let (is_open, is_closed, is_running) = (false, false, false);
                EndpointFlow { own_seq, is_open, is_closed, next_in, next_out, echo, is_running, unacknowledged }
            });
            flow.echo = packet.echo;
            let answer = reply(key, SYN | ACK, flow.own_seq, flow.next_in, packet.echo, Vec::new());
            self.send(socket, &answer);
            return;
        }
        if packet.flags & RST != 0 {
            table.remove(&key);
            return;
        }
        let known = table.get_mut(&key).filter(|flow| flow.is_open || packet.ack == flow.own_seq.wrapping_add(1));
        let is_fin = packet.flags & FIN != 0;
        let Some(flow) = known.filter(|flow| !flow.is_closed || is_fin || packet.data.is_empty()) else {
            report(What::Reset);
            self.send(socket, &reply(key, RST | ACK, packet.ack, packet.seq, packet.echo, Vec::new()));
            return;
        };
        flow.echo = packet.echo;
        if !flow.is_open {
            flow.is_open = true;
            report(What::Open);
        }
        if packet.ack == flow.next_out {
            flow.unacknowledged = None;
        }
        if is_fin {
            if !flow.is_closed {
                report(What::Closed);
            }
            flow.is_closed = true;
            flow.unacknowledged = None;
            let fin = reply(key, FIN | ACK, flow.next_out, packet.seq.wrapping_add(1), packet.echo, Vec::new());
            self.send(socket, &fin);
            return;
        }
        if packet.data.is_empty() || flow.is_running || packet.seq != flow.next_in {
            return;
        }
        flow.next_in = packet.seq.wrapping_add(u32::try_from(packet.data.len()).unwrap());
        flow.is_running = true;
        let request = String::from_utf8_lossy(&packet.data).into_owned();
        let id = request.lines().find_map(|line| line.strip_prefix("Request-Id: ")).unwrap_or("").to_owned();
        report(What::Run(id));
        let (this, socket, flows) = (self.clone(), Arc::clone(socket), Arc::clone(flows));
        thread::spawn(move || {
            thread::sleep(this.work);
            this.answer(&socket, &flows, key);
        });
    }

    /// Answers the request of a flow whose work is done.
    fn answer(&self, socket: &UdpSocket, flows: &EndpointFlows, key: FlowKey) {
        let body = format!("HTTP/1.1 200 OK\r\nResponse-Stamp: {}\r\nContent-Length: 2\r\n\r\nok", self.index);
        let mut table = flows.lock().unwrap();
        let Some(flow) = table.get_mut(&key) else { return };
        let answer = reply(key, ACK, flow.next_out, flow.next_in, flow.echo, body.into_bytes());
        flow.next_out = flow.next_out.wrapping_add(u32::try_from(answer.data.len()).unwrap());
        flow.is_running = false;
        flow.unacknowledged = Some(Unacknowledged::new(answer.clone()));
        self.send(socket, &answer);
    }

    /// Writes the entry at the start and then at each heartbeat, as the pages say, until the endpoint has left.
    fn register(&self, store: Store) {
        let this = self.clone();
        thread::spawn(move || {
            let mut last = String::new();
            let mut sequence = 0;
            while !this.stopped.load(Ordering::Relaxed) {
                sequence += 1;
                // An entry changes when more than its sequence changes.
                let entry = this.entry(0);
                if entry != last {
                    store.put(&this.key(), &this.entry(sequence));
                    last = entry;
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }
}

/// Returns a packet of an endpoint to a client.
fn reply(key: FlowKey, flags: u8, seq: u32, ack: u32, echo: u32, data: Vec<u8>) -> Packet {
    let (client, route) = key;
    Packet { flags, from: Some(route), to: Some(client), seq, ack, echo, data }
}

fn answer_health(mut stream: TcpStream, draining: bool) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut buf = [0; 1_024];
    if stream.read(&mut buf).unwrap_or(0) > 0 {
        let status = if draining { "503 X" } else { "200 OK" };
        let _ = stream.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes());
    }
}

// ---- Clients --------------------------------------------------------------------------------------------------------

/// How a client's attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Answered,
    /// Reset before the flow was open.
    Reset,
    /// Reset while the flow was open.
    ResetOpen,
    Silent,
}

/// The clients behind one address: a socket and the attempts that wait for packets, by port.
#[derive(Clone)]
struct Clients {
    socket: Arc<UdpSocket>,
    ip: Ipv4Addr,
    next_port: Arc<AtomicU16>,
    waiting: Arc<Mutex<HashMap<u16, mpsc::Sender<(Packet, bool)>>>>,
}

impl Clients {
    fn bind(ip: Ipv4Addr, port: u16) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(SocketAddrV4::new(ip, port))?);
        let clients = Self { socket, ip, next_port: Arc::new(AtomicU16::new(10_000)), waiting: Arc::default() };
        let this = clients.clone();
        thread::spawn(move || {
            let mut buf = [0; 2_048];
            while let Ok((len, _)) = this.socket.recv_from(&mut buf) {
                let Some((packet, sum_is_right)) = Packet::decode(&buf[..len]) else { continue };
                let waiting = this.waiting.lock().unwrap();
                if let Some(tx) = packet.to.and_then(|to| waiting.get(&to.port())) {
                    let _ = tx.send((packet, sum_is_right));
                }
            }
        });
        Ok(clients)
    }

    /// Sends one request on a new flow through an instance.
    fn request(&self, instance: SocketAddrV4, route: SocketAddrV4, id: &str, deadline: Duration) -> Outcome {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed).max(1_024);
        let (tx, rx) = mpsc::channel();
        self.waiting.lock().unwrap().insert(port, tx);
        let outcome = self.exchange(instance, route, id, port, &rx, deadline);
        self.waiting.lock().unwrap().remove(&port);
        outcome
    }

    fn exchange(
        &self,
        instance: SocketAddrV4,
        route: SocketAddrV4,
        id: &str,
        port: u16,
        rx: &mpsc::Receiver<(Packet, bool)>,
        deadline: Duration,
    ) -> Outcome {
        let from = Some(SocketAddrV4::new(self.ip, port));
        let isn = u32::from(port).wrapping_mul(2_654_435_761);
        let send = |packet: &Packet| {
            let _ = self.socket.send_to(&packet.encode(), instance);
        };
        let syn =
            |copies: u32| Packet { flags: SYN, from, to: Some(route), seq: isn, ack: copies, ..Packet::default() };
        let started = Instant::now();
        send(&syn(0));
        let mut copies = 0;
        let opened = loop {
            let due = SYN_COPIES.get(copies).copied().unwrap_or(SYN_TIMEOUT);
            match rx.recv_timeout(due.saturating_sub(started.elapsed())) {
                Ok((packet, _)) if packet.flags & RST != 0 => return Outcome::Reset,
                Ok((packet, _)) if packet.flags & SYN != 0 => break packet,
                Ok(_) => {}
                Err(_) if copies < SYN_COPIES.len() => {
                    copies += 1;
                    send(&syn(u32::try_from(copies).unwrap()));
                }
                Err(_) => return Outcome::Silent,
            }
        };
        let request = format!("GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\n\r\n").into_bytes();
        let end = isn.wrapping_add(1 + u32::try_from(request.len()).unwrap());
        let data = Packet {
            flags: ACK,
            from,
            to: Some(route),
            seq: isn.wrapping_add(1),
            ack: opened.seq.wrapping_add(1),
            echo: opened.echo,
            data: request,
        };
        send(&data);
        let (mut next, mut interval) = (Instant::now() + RETRANSMIT, RETRANSMIT);
        let until = started + deadline;
        loop {
            let wait = next.min(until).saturating_duration_since(Instant::now());
            match rx.recv_timeout(wait) {
                Ok((packet, _)) if packet.flags & RST != 0 => return Outcome::ResetOpen,
                Ok((packet, _)) if !packet.data.is_empty() => {
                    let ack = packet.seq.wrapping_add(u32::try_from(packet.data.len()).unwrap());
                    let fin = Packet {
                        flags: FIN | ACK,
                        from,
                        to: Some(route),
                        seq: end,
                        ack,
                        echo: packet.echo,
                        data: Vec::new(),
                    };
                    send(&fin);
                    return Outcome::Answered;
                }
                Ok(_) => {}
                Err(_) if Instant::now() >= until => return Outcome::Silent,
                Err(_) => {
                    send(&data);
                    interval *= 2;
                    next = Instant::now() + interval;
                }
            }
        }
    }
}

// ---- Instances ------------------------------------------------------------------------------------------------------

/// Ports of a run, the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    base: u16,
}

impl Ports {
    fn datagram(self) -> u16 {
        self.base
    }
    fn ready(self) -> u16 {
        self.base + 1
    }
    fn control(self) -> u16 {
        self.base + 2
    }
    fn store(self) -> u16 {
        self.base + 3
    }
    fn endpoint(self) -> u16 {
        self.base + 4
    }
    fn internal(self) -> u16 {
        self.base + 10
    }
}

/// A machine with one process of the project.
struct Instance {
    name: String,
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Instance {
    fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/hawthornshift")
            .arg("direct")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HAWTHORNSHIFT_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process reported in its log that it watches the store, and has not reported since that it
    /// stopped.
    fn watches_store(&self) -> bool {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let last = text.lines().rev().find(|line| line.contains("\"store duty\""));
        last.is_some_and(|line| line.contains("\"watching\":true"))
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A small deployment: instances, store, endpoints and clients.
struct Deployment {
    log: Log,
    ports: Ports,
    net: (u8, u8),
    folder: PathBuf,
    store: Store,
    instances: Vec<Instance>,
    endpoints: Vec<Endpoint>,
    clients: Clients,
    seen: mpsc::Receiver<Seen>,
}

const ZONES: [&str; 4] = ["ub-a", "ub-b", "ub-c", "ub-d"];
/// Zones of the seven machines.
const MACHINES: [usize; 7] = [0, 0, 1, 1, 2, 2, 3];
const SERVICE: &str = "huvo11a";

impl Deployment {
    fn ip(net: (u8, u8), host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, net.0, net.1, host)
    }

    fn packet_address(&self, instance: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.instances[instance].ip, self.ports.datagram())
    }

    /// Starts everything but the instances, whose settings are written.
    fn new(record: &str, endpoint_count: usize, work: Duration, loss: f64) -> io::Result<Self> {
        let log = Log(Arc::new(Mutex::new(File::create(record)?)), Instant::now());
        let random = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64
            ^ u64::from(std::process::id()) << 20;
        let net = ((random >> 8) as u8 | 64, (random >> 17) as u8);
        let ports = Ports { base: 12_000 + (random >> 27) as u16 % 15_000 };
        let folder = std::env::temp_dir().join(format!("review-2-{}-{random:x}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::default();
        store.serve(SocketAddrV4::new(Self::ip(net, 2), ports.store()))?;
        let (tx, seen) = mpsc::channel();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let mut endpoints = Vec::new();
        for index in 0..endpoint_count {
            let endpoint = Endpoint {
                index,
                id: 0xa1_0000_0000 + (random & 0xffff) * 0x1_0000 + 0x1111 * (index as u64 + 1),
                service: SERVICE,
                zone: ZONES[index % ZONES.len()],
                address: SocketAddrV4::new(Self::ip(net, 100 + index as u8), ports.endpoint()),
                client_port: ports.datagram(),
                loss,
                random: Arc::new(AtomicU32::new(random as u32 ^ index as u32 * 0x0123_4567)),
                work,
                draining: Arc::default(),
                stopped: Arc::default(),
                born: born + index as u128,
            };
            endpoint.start(tx.clone())?;
            endpoints.push(endpoint);
        }
        let clients = Clients::bind(Self::ip(net, 200), ports.datagram())?;
        let mut instances = Vec::new();
        for (index, zone) in MACHINES.iter().enumerate() {
            let ip = Self::ip(net, 10 + index as u8);
            let name = format!("frontend-{}-{}", ZONES[*zone], index);
            let settings = folder.join(format!("{name}.json"));
            let log = folder.join(format!("{name}.log"));
            let seeds = [10, 12, 14].map(|host| Self::ip(net, host));
            fs::write(&settings, settings_json(&name, ip, ZONES[*zone], net, ports, &seeds, true))?;
            instances.push(Instance { name, ip, settings, log, child: None });
        }
        Ok(Self { log, ports, net, folder, store, instances, endpoints, clients, seen })
    }

    fn start_all(&mut self) -> io::Result<()> {
        for instance in &mut self.instances {
            instance.start()?;
            self.log.line(&format!("start {} at {}", instance.name, instance.ip));
        }
        Ok(())
    }

    /// Writes the settings of an instance for its next start, which is not the first of the whole system. The seeds are one
    /// machine of each other zone, none of which watches the store.
    fn write_settings(&self, index: usize) -> io::Result<()> {
        let mut seeds = Vec::new();
        for zone in (0..ZONES.len()).filter(|zone| *zone != MACHINES[index]) {
            let of_zone = self.instances.iter().zip(MACHINES).filter(|(_, other)| *other == zone);
            seeds.extend(
                of_zone.map(|(instance, _)| instance).find(|instance| !instance.watches_store()).map(|it| it.ip),
            );
        }
        let instance = &self.instances[index];
        let zone = ZONES[MACHINES[index]];
        let text = settings_json(&instance.name, instance.ip, zone, self.net, self.ports, &seeds, false);
        fs::write(&instance.settings, text)
    }

    fn is_ready(&self, instance: usize) -> bool {
        is_ready(SocketAddrV4::new(self.instances[instance].ip, self.ports.ready()))
    }

    fn wait_all_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if (0..self.instances.len()).all(|index| self.is_ready(index)) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            instance.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn settings_json(
    name: &str,
    ip: Ipv4Addr,
    zone: &str,
    net: (u8, u8),
    ports: Ports,
    seeds: &[Ipv4Addr],
    bootstrap: bool,
) -> String {
    let seeds: Vec<String> = seeds.iter().map(|ip| format!(r#""{ip}:{}""#, ports.control())).collect();
    let (datagram, ready, control, internal) = (ports.datagram(), ports.ready(), ports.control(), ports.internal());
    format!(
        r#"{{"node-name":"{name}","role":"balancer","machine-class":"frontend","serves":["frontend","control_plane"],
"ip":"{ip}","zone":"{zone}","region":"ulaanbaatar",
"zones":{{"ub-a":"ulaanbaatar","ub-b":"ulaanbaatar","ub-c":"ulaanbaatar","ub-d":"ulaanbaatar"}},
"listen-addrs":{{"datagram-addr":"{ip}:{datagram}","ready":"{ip}:{ready}","control":"{ip}:{control}"}},
"internal-ports":[{internal},{}],"seeds":[{}],"bootstrap":{bootstrap},
"limits":{{"cpu-share":0.25,"cores":1,"memory-mb":260,"max-fds":4100,"link-mbps":1000.0,"disk-mb":0}},
"data-dir":null,"discovery":"platform","entry":"announce","heartbeat-ms":770,
"bounds":{{"seed-lag-s":3,"reuse-after-s":2,"connected-ms":4000,"ack-ms":5000,"catch-up-s":4,"drain-ms":3000,"grace-s":6,
"loss-slack-ms":200,"config-apply-ms":3000,"rollback-slack-ms":250,"max-stretch-ms":12000,"cold-over":1.5,"cold-slack":5,
"evac-ms":5000,"recover-s":12,"reorder-window-ms":2000,"flow-lifetime-s":60}},
"hash":"mod","forwarding-mode":"echo",
"platform":{{"address":"{}:{}","forwarding-mode":"read","writes-per-s":400,"reads-per-s":2000,"history-s":20,
"value-bytes":1048576,"ttl-min-ms":1000}}}}"#,
        internal + 15,
        seeds.join(","),
        Deployment::ip(net, 2),
        ports.store(),
    )
}

// ---- Configuration --------------------------------------------------------------------------------------------------

/// The route of the usual traffic.
const TRAFFIC: Route = Route(0, 1, 443);

/// A route of the configuration: the last two bytes of its address, and its port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Route(u8, u8, u16);

impl Route {
    fn address(self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(198, 18, self.0, self.1), self.2)
    }

    fn json(self) -> String {
        let name = format!("r-{:07x}", u32::from(self.0) << 20 | u32::from(self.1) << 12 | u32::from(self.2) & 0xfff);
        format!(
            r#"{{"name":"{name}","hostname":"198.18.{}.{}","prefix":"/{}/","type":"safe","timeout-ms":1000,"target-latency-ms":1000,"priority":0,"service":"{SERVICE}","attempts":2}}"#,
            self.0, self.1, self.2
        )
    }
}

fn config_json(version: u64, routes: &[Route], idle_ms: u64) -> String {
    let routes: Vec<String> = routes.iter().map(|route| route.json()).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{SERVICE}","health-path":"/health","max-connections":2000,"protocol":"h1","tls":false,"warmup-s":2.0,"warmup-per-s":0.0}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":{idle_ms}}}}}"#,
        routes.join(",")
    )
}

fn idle_routes(first: usize, count: usize) -> impl Iterator<Item = Route> {
    (first..first + count).map(|index| Route(1 + (index / 250) as u8, (index % 250) as u8, 443))
}

// ---- Rolling restarts while flows are open ----------------------------------------------------------------------------

/// The platform's routers: which machines are in rotation, and the machine that gets a packet.
#[derive(Clone)]
struct Router {
    /// Packet addresses of the machines by zone, each with whether it is in rotation and its failed probes in a row.
    machines: Arc<Mutex<Vec<(usize, SocketAddrV4, bool, u32)>>>,
}

impl Router {
    fn start(deployment: &Deployment) -> Self {
        let machines = (0..deployment.instances.len())
            .map(|index| (MACHINES[index], deployment.packet_address(index), true, 0))
            .collect();
        let router = Self { machines: Arc::new(Mutex::new(machines)) };
        for index in 0..deployment.instances.len() {
            let (this, ip, port) = (router.clone(), deployment.instances[index].ip, deployment.ports.ready());
            thread::spawn(move || {
                loop {
                    let is_ready = is_ready(SocketAddrV4::new(ip, port));
                    let mut machines = this.machines.lock().unwrap();
                    let machine = &mut machines[index];
                    machine.3 = if is_ready { 0 } else { machine.3 + 1 };
                    // After two misses a machine is out of rotation until it answers again.
                    machine.2 = if is_ready { true } else { machine.2 && machine.3 < 2 };
                    drop(machines);
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
        router
    }

    /// Returns the machine that gets a packet of a client in a zone: by a hash of the flow modulo the machines in rotation.
    /// If fewer than half of a zone's are in rotation, all of them are used; if none is, those of the other zones are.
    fn pick(&self, zone: usize, flow: FlowKey) -> SocketAddrV4 {
        let machines = self.machines.lock().unwrap();
        let of_zone: Vec<_> = machines.iter().filter(|machine| machine.0 == zone).collect();
        let ready: Vec<_> = of_zone.iter().copied().filter(|machine| machine.2).collect();
        let elsewhere: Vec<_> = machines.iter().filter(|machine| machine.2).collect();
        let used = match ready.len() {
            0 if !elsewhere.is_empty() => elsewhere,
            count if count * 2 < of_zone.len() => of_zone,
            _ => ready,
        };
        let (client, route) = flow;
        let hash = (u64::from(u32::from(*client.ip())) << 16 | u64::from(client.port()))
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .wrapping_add(u64::from(u32::from(*route.ip())) ^ u64::from(route.port()));
        used[(hash >> 40) as usize % used.len()].1
    }
}

fn is_ready(address: SocketAddrV4) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address.into(), Duration::from_millis(200)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(300)));
    let _ = stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text.starts_with("HTTP/1.1 200")
}

/// A reset that a client got, with whether its sum is that of a reset of the system.
#[derive(Clone, Copy, Debug)]
struct GotReset {
    at: Instant,
    flow: FlowKey,
    by_system: bool,
}

/// Clients of one zone that hold their flows open for several requests.
#[derive(Clone)]
struct LongFlows {
    clients: Clients,
    router: Router,
    zone: usize,
    requests: u32,
    pause: Duration,
    resets: mpsc::Sender<GotReset>,
    /// The flows that have ended, each with the number of its answered requests.
    ended: Arc<Mutex<Vec<(FlowKey, u32)>>>,
}

impl LongFlows {
    /// Opens a flow, sends its requests one after the other with pauses, and closes it.
    fn play(&self, number: u32, route: SocketAddrV4) {
        let port = self.clients.next_port.fetch_add(1, Ordering::Relaxed).max(1_024);
        let (tx, rx) = mpsc::channel();
        self.clients.waiting.lock().unwrap().insert(port, tx);
        let flow = (SocketAddrV4::new(self.clients.ip, port), route);
        let answered = self.exchange(flow, number, &rx);
        self.ended.lock().unwrap().push((flow, answered));
        self.clients.waiting.lock().unwrap().remove(&port);
    }

    fn send(&self, packet: &Packet) {
        let flow = (packet.from.unwrap(), packet.to.unwrap());
        let _ = self.clients.socket.send_to(&packet.encode(), self.router.pick(self.zone, flow));
    }

    /// Returns the number of answered requests.
    fn exchange(&self, flow: FlowKey, number: u32, rx: &mpsc::Receiver<(Packet, bool)>) -> u32 {
        let isn = number.wrapping_mul(2_654_435_761);
        let packet = |flags: u8, seq: u32, ack: u32, echo: u32, data: Vec<u8>| Packet {
            flags,
            from: Some(flow.0),
            to: Some(flow.1),
            seq,
            ack,
            echo,
            data,
        };
        let got_reset = |sum_is_right: bool| {
            let _ = self.resets.send(GotReset { at: Instant::now(), flow, by_system: !sum_is_right });
        };
        let started = Instant::now();
        let mut copies = 0;
        self.send(&packet(SYN, isn, 0, 0, Vec::new()));
        let opened = loop {
            let due = SYN_COPIES.get(copies).copied().unwrap_or(SYN_TIMEOUT);
            match rx.recv_timeout(due.saturating_sub(started.elapsed())) {
                Ok((it, _)) if it.flags & RST != 0 => return 0,
                Ok((it, _)) if it.flags & SYN != 0 => break it,
                Ok(_) => {}
                Err(_) if copies < SYN_COPIES.len() => {
                    copies += 1;
                    self.send(&packet(SYN, isn, u32::try_from(copies).unwrap(), 0, Vec::new()));
                }
                Err(_) => return 0,
            }
        };
        let (mut seq, mut ack, mut echo) = (isn.wrapping_add(1), opened.seq.wrapping_add(1), opened.echo);
        for index in 0..self.requests {
            let text = format!("GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: f{number}-{index}\r\n\r\n").into_bytes();
            let len = u32::try_from(text.len()).unwrap();
            let until = Instant::now() + Duration::from_millis(2_500);
            let mut interval = RETRANSMIT;
            self.send(&packet(ACK, seq, ack, echo, text.clone()));
            let mut next = Instant::now() + interval;
            loop {
                match rx.recv_timeout(next.min(until).saturating_duration_since(Instant::now())) {
                    Ok((it, sum_is_right)) if it.flags & RST != 0 => {
                        got_reset(sum_is_right);
                        return index;
                    }
                    Ok((it, _)) => {
                        // Each end repeats the echo that it received last.
                        echo = it.echo;
                        if !it.data.is_empty() && it.seq == ack {
                            ack = ack.wrapping_add(u32::try_from(it.data.len()).unwrap());
                            break;
                        }
                    }
                    Err(_) if Instant::now() >= until => return index,
                    Err(_) => {
                        self.send(&packet(ACK, seq, ack, echo, text.clone()));
                        interval = (interval * 2).min(Duration::from_millis(1_600));
                        next = Instant::now() + interval;
                    }
                }
            }
            seq = seq.wrapping_add(len);
            self.send(&packet(ACK, seq, ack, echo, Vec::new()));
            let resume = Instant::now() + self.pause;
            while let Ok((it, sum_is_right)) = rx.recv_timeout(resume.saturating_duration_since(Instant::now())) {
                if it.flags & RST != 0 {
                    got_reset(sum_is_right);
                    return index + 1;
                }
                echo = it.echo;
                if !it.data.is_empty() {
                    // The acknowledgement was lost.
                    self.send(&packet(ACK, seq, ack, echo, Vec::new()));
                }
            }
        }
        self.send(&packet(FIN | ACK, seq, ack, echo, Vec::new()));
        self.requests
    }
}

/// Interval between two steps of the rolling restart, and its duration.
const ROLL_GAP: Duration = Duration::from_millis(1_200);
const ROLLED: Duration = Duration::from_secs(95);

/// Planned stops of processes that are under way: each gets SIGTERM, and SIGKILL after `grace-s`, and is started again.
#[derive(Default)]
struct Restarts {
    /// The instances with the time of the SIGTERM, and that of the end once it has ended.
    under_way: Vec<(usize, Instant, Option<Instant>)>,
}

impl Restarts {
    fn begin(&mut self, deployment: &mut Deployment, index: usize) {
        let instance = &deployment.instances[index];
        let Some(child) = instance.child.as_ref().filter(|_| self.under_way.iter().all(|it| it.0 != index)) else {
            return;
        };
        let _ = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status();
        deployment.log.line(&format!("SIGTERM {}", instance.name));
        self.under_way.push((index, Instant::now(), None));
    }

    fn proceed(&mut self, deployment: &mut Deployment) -> io::Result<()> {
        for (index, stopped_at, ended_at) in &mut self.under_way {
            let instance = &mut deployment.instances[*index];
            if let Some(child) = instance.child.as_mut().filter(|_| ended_at.is_none()) {
                if stopped_at.elapsed() >= Duration::from_secs(6) {
                    let _ = child.kill();
                }
                if child.try_wait()?.is_some() {
                    *ended_at = Some(Instant::now());
                    deployment.log.line(&format!("ended {}", instance.name));
                }
            }
        }
        let now = Instant::now();
        let is_due = |ended_at: Option<Instant>| ended_at.is_some_and(|at| now - at >= RESTART_DELAY);
        for (index, _, _) in self.under_way.iter().filter(|it| is_due(it.2)) {
            deployment.write_settings(*index)?;
            let instance = &mut deployment.instances[*index];
            instance.start()?;
            deployment.log.line(&format!("start {} again", instance.name));
        }
        self.under_way.retain(|it| !is_due(it.2));
        Ok(())
    }
}

/// Starts a deployment for the cases with rolling restarts. Returns `None` if its instances do not become ready.
fn start_deployment(record: &str, loss: f64, routes: &[Route]) -> io::Result<Option<Deployment>> {
    let mut deployment = Deployment::new(record, 14, Duration::from_millis(5), loss)?;
    for endpoint in &deployment.endpoints {
        endpoint.register(deployment.store.clone());
    }
    deployment.store.put("op/config", &config_json(3, routes, 15_000));
    deployment.start_all()?;
    if !deployment.wait_all_ready(Duration::from_secs(10)) {
        deployment.log.line("cannot run: not all instances became ready");
        return Ok(None);
    }
    Ok(Some(deployment))
}

/// What the clients of all zones do while the machines are restarted.
struct Load {
    flows_per_second: u32,
    requests: u32,
    pause: Duration,
    /// The route of new flows.
    route: Arc<Mutex<SocketAddrV4>>,
}

/// Lets clients open flows while all machines are stopped and started in turn, again and again, or while nothing happens
/// if there is no `trouble`. Sets `stop` at the end. Returns the exit code.
fn play_restarts(deployment: &mut Deployment, load: &Load, stop: &Arc<AtomicBool>, trouble: bool) -> io::Result<i32> {
    let log = deployment.log.clone();
    let router = Router::start(deployment);
    let (resets_tx, resets) = mpsc::channel();
    let ended = Arc::new(Mutex::new(Vec::new()));
    let number = Arc::new(AtomicU32::new(1));
    for zone in 0..ZONES.len() {
        let clients = Clients::bind(Deployment::ip(deployment.net, 201 + zone as u8), deployment.ports.datagram())?;
        let flows = LongFlows {
            clients,
            router: router.clone(),
            zone,
            requests: load.requests,
            pause: load.pause,
            resets: resets_tx.clone(),
            ended: Arc::clone(&ended),
        };
        let (stop, number, route) = (Arc::clone(stop), Arc::clone(&number), Arc::clone(&load.route));
        let interval = Duration::from_secs(1) / load.flows_per_second;
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let (flows, number, route) =
                    (flows.clone(), number.fetch_add(1, Ordering::Relaxed), *route.lock().unwrap());
                thread::spawn(move || flows.play(number, route));
                thread::sleep(interval);
            }
        });
    }
    thread::sleep(CONNECTED);
    let started = Instant::now();
    let mut steps = 0;
    let mut restarts = Restarts::default();
    while started.elapsed() < ROLLED {
        if trouble && started.elapsed() >= ROLL_GAP * steps {
            restarts.begin(deployment, steps as usize % MACHINES.len());
            steps += 1;
        }
        restarts.proceed(deployment)?;
        thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(4));
    log.line(&format!("machines stopped and started: {steps}"));
    let ended = ended.lock().unwrap();
    Ok(judge_flow(deployment, &resets, &ended, load.requests))
}

/// Returns what endpoints saw and did, with the time since the start of the case.
fn describe(all: &[Seen], started: Instant) -> String {
    let at = |seen: &Seen| seen.at.duration_since(started).as_secs_f64();
    let what: Vec<String> =
        all.iter().map(|seen| format!("{:.3} endpoint {} {:?}", at(seen), seen.endpoint, seen.what)).collect();
    what.join("; ")
}

/// Checks FLOW (a): a client gets a reset that the flow's endpoint did not send, while the flow is open.
fn judge_flow(
    deployment: &Deployment,
    resets: &mpsc::Receiver<GotReset>,
    ended: &[(FlowKey, u32)],
    requests: u32,
) -> i32 {
    let log = &deployment.log;
    let mut flows: HashMap<FlowKey, Vec<Seen>> = HashMap::new();
    for seen in deployment.seen.try_iter() {
        flows.entry(seen.flow).or_default().push(seen);
    }
    let second = |at: Instant| at.duration_since(log.1).as_secs_f64();
    for (flow, answered) in ended {
        let what = flows.get(flow).map(|all| describe(all, log.1)).unwrap_or_default();
        log.line(&format!("flow from {} to {}: {answered} of {requests} requests answered; {what}", flow.0, flow.1));
    }
    let answered: u32 = ended.iter().map(|(_, answered)| answered).sum();
    log.line(&format!("flows: {}, requests answered: {answered}", ended.len()));
    let several = flows.values().filter(|all| all.iter().filter(|seen| seen.what == What::Syn).count() > 1).count();
    log.line(&format!("flows whose opening packet several endpoints took: {several}"));
    let mut broken = 0;
    for reset in resets.try_iter() {
        let all = flows.get(&reset.flow).map(Vec::as_slice).unwrap_or_default();
        let open = all.iter().find(|seen| seen.what == What::Open && seen.at <= reset.at);
        let Some(open) = open else {
            log.line(&format!("reset of {} at {:.3}, which was not open", reset.flow.0, second(reset.at)));
            continue;
        };
        let closed =
            all.iter().any(|seen| seen.endpoint == open.endpoint && seen.what == What::Closed && seen.at <= reset.at);
        let own = all.iter().any(|seen| seen.endpoint == open.endpoint && seen.what == What::Reset);
        let by = all.iter().find(|seen| seen.what == What::Reset).map(|seen| seen.endpoint);
        if closed || (own && !reset.by_system) {
            continue;
        }
        broken += 1;
        log.line(&format!(
            "FLOW: client {} got a reset at {:.3}, by {}, though its flow is open at endpoint {}: {}",
            reset.flow.0,
            second(reset.at),
            if reset.by_system { "the system".to_owned() } else { format!("endpoint {by:?}") },
            open.endpoint,
            describe(all, log.1)
        ));
    }
    log.line(&format!("FLOW: {broken} open flows reset"));
    i32::from(broken > 0)
}

// ---- Case 4: rolling restarts while routes are added ------------------------------------------------------------------

/// Interval between two changes that add a route, the duration of a series of them, and the pause after it.
const ADD_GAP: Duration = Duration::from_millis(330);
const ADD_SERIES: Duration = Duration::from_secs(4);
const ADD_PAUSE: Duration = Duration::from_secs(1);
/// Flows that are opened per second in each zone on the newest route, requests of each, and the pause after each request.
const ADDED_FLOWS_PER_SECOND: u32 = 60;
const ADDED_REQUESTS: u32 = 6;
const ADDED_PAUSE: Duration = Duration::from_millis(60);

/// Adds routes while `stop` is not set. The newest acknowledged one is stored in `newest`.
fn add_routes(store: &Store, log: &Log, routes: Vec<Route>, newest: &Mutex<SocketAddrV4>, stop: &AtomicBool) {
    let mut routes = routes;
    let mut version = 7;
    let started = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        let since = Duration::from_nanos((started.elapsed().as_nanos() % (ADD_SERIES + ADD_PAUSE).as_nanos()) as u64);
        if since < ADD_SERIES {
            version += 3;
            let count = routes.len();
            let route = Route(20 + (count / 250) as u8, (count % 250) as u8, 8443);
            routes.push(route);
            store.put("op/config", &config_json(version, &routes, 15_000));
            *newest.lock().unwrap() = route.address();
            log.line(&format!("operator: version {version} acknowledged, adds {}", route.address()));
        }
        thread::sleep(ADD_GAP);
    }
}

fn case_4(record: &str, trouble: bool) -> io::Result<i32> {
    let mut routes = vec![TRAFFIC];
    routes.extend(idle_routes(0, 8));
    let Some(mut deployment) = start_deployment(record, 0.0, &routes)? else { return Ok(2) };
    let newest = Arc::new(Mutex::new(TRAFFIC.address()));
    let stop = Arc::new(AtomicBool::new(false));
    let (store, log) = (deployment.store.clone(), deployment.log.clone());
    let (operator_newest, operator_stop) = (Arc::clone(&newest), Arc::clone(&stop));
    thread::spawn(move || add_routes(&store, &log, routes, &operator_newest, &operator_stop));
    let load =
        Load { flows_per_second: ADDED_FLOWS_PER_SECOND, requests: ADDED_REQUESTS, pause: ADDED_PAUSE, route: newest };
    play_restarts(&mut deployment, &load, &stop, trouble)
}

// ---- Cases 5, 6 and 8: a change of the configuration after entries of another writer, or with an unusual route --------

/// The routes that the change drops and adds, and the number of idle ones at the start.
const DROPPED: Route = Route(0, 2, 443);
const ADDED: Route = Route(0, 3, 443);
const IDLE_ROUTES: usize = 8;
/// Routes that the change adds besides (`big_config`).
const GROWTH: usize = 350;
/// Time from the trouble to the change.
const CHANGE_DELAY: Duration = Duration::from_millis(400);
/// Time for which routes are probed after the change.
const PROBED: Duration = Duration::from_secs(24);
/// Entries of another writer, the interval between two of them, and their sizes in bytes (at most `value-bytes`).
const FOREIGN_ENTRIES: usize = 6;
const FOREIGN_GAP: Duration = Duration::from_millis(10);
const UNREADABLE_BYTES: usize = 1_000_000;
const LONG_NAMES: usize = 4;
const NAME_BYTES: usize = 720_000;

/// What is unusual about the change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Unusual {
    /// Another writer has written entries with a long name of a service that is not named in the configuration.
    LongNames,
    /// Another writer has written entries with bytes that cannot be read.
    UnreadableEntries,
    /// A route of the new version has priority 1,000.
    Priority,
}

struct Sent {
    at: Instant,
    instance: usize,
    route: Route,
    outcome: Outcome,
}

/// Sends requests to a route through an instance in the background, and records what became of them.
struct Sender {
    clients: Clients,
    log: Log,
    next: Arc<AtomicU32>,
    sent: Arc<Mutex<HashMap<String, Sent>>>,
}

impl Sender {
    fn send(&self, address: SocketAddrV4, instance: usize, route: Route) {
        let id = format!("q{}", self.next.fetch_add(1, Ordering::Relaxed));
        let (clients, log, sent) = (self.clients.clone(), self.log.clone(), Arc::clone(&self.sent));
        thread::spawn(move || {
            let at = Instant::now();
            let outcome = clients.request(address, route.address(), &id, Duration::from_millis(2_500));
            let sent_at = at.duration_since(log.1).as_secs_f64();
            log.line(&format!(
                "request {id} to {} through {instance} sent at {sent_at:.3}: {outcome:?}",
                route.address()
            ));
            sent.lock().unwrap().insert(id, Sent { at, instance, route, outcome });
        });
    }
}

/// Writes the entries of another writer.
fn write_foreign_entries(store: &Store, log: &Log, unusual: Unusual) {
    let (count, key) = match unusual {
        Unusual::LongNames => (LONG_NAMES, "servers/batch-f0"),
        Unusual::UnreadableEntries => (FOREIGN_ENTRIES, "servers/blob-f0"),
        Unusual::Priority => return,
    };
    for index in 0..count {
        let value = if unusual == Unusual::LongNames {
            let name = format!("batch-{index}-{}", "n".repeat(NAME_BYTES));
            format!(
                r#"{{"service":"{name}","address":"127.0.0.1:9","zone":"ub-a","version":"v1","slots":2,"state":"ready","sequence":1,"warmup-left-ms":0,"born":1769247349930}}"#
            )
        } else {
            "\u{1}".repeat(UNREADABLE_BYTES)
        };
        let revision = store.put(&format!("{key}{index}"), &value);
        log.line(&format!("another writer: entry {key}{index} of {} bytes at revision {revision}", value.len()));
        thread::sleep(FOREIGN_GAP);
    }
}

fn case_change(record: &str, unusual: Unusual, trouble: bool) -> io::Result<i32> {
    let mut routes = vec![TRAFFIC, DROPPED];
    routes.extend(idle_routes(0, IDLE_ROUTES));
    let Some(deployment) = start_deployment(record, 0.0, &routes)? else { return Ok(2) };
    let (log, store) = (deployment.log.clone(), deployment.store.clone());
    thread::sleep(CONNECTED + Duration::from_secs(1));
    for index in 0..deployment.instances.len() {
        for route in [TRAFFIC, DROPPED] {
            let address = deployment.packet_address(index);
            let outcome = deployment.clients.request(address, route.address(), "check", Duration::from_secs(1));
            if outcome != Outcome::Answered {
                log.line(&format!(
                    "cannot run: before the trouble, {} through {index} is {outcome:?}",
                    route.address()
                ));
                return Ok(2);
            }
        }
    }
    let watcher = (0..deployment.instances.len()).find(|index| deployment.instances[*index].watches_store());
    log.line(&format!("instance {watcher:?} watches the store"));
    if trouble {
        write_foreign_entries(&store, &log, unusual);
    }
    thread::sleep(CHANGE_DELAY);
    routes.retain(|route| *route != DROPPED);
    routes.push(ADDED);
    routes.extend(idle_routes(IDLE_ROUTES, GROWTH));
    let mut text = config_json(7, &routes, 15_000);
    if trouble && unusual == Unusual::Priority {
        let last = text.rfind(r#""priority":0"#).unwrap();
        text.replace_range(last..last + r#""priority":0"#.len(), r#""priority":1000"#);
    }
    let revision = store.put("op/config", &text);
    let changed_at = Instant::now();
    log.line(&format!(
        "operator: version 7 acknowledged at revision {revision}: drops {}, adds {} and {GROWTH} idle routes",
        DROPPED.address(),
        ADDED.address()
    ));
    let leaving = deployment.endpoints.last().unwrap().clone();
    leaving.draining.store(true, Ordering::Relaxed);
    store.put(&leaving.key(), &leaving.entry(1_000));
    let draining_at = Instant::now();
    log.line(&format!("endpoint {} is draining, acknowledged", leaving.index));

    let (clients, sender_log) = (deployment.clients.clone(), log.clone());
    let sender = Sender { clients, log: sender_log, next: Arc::default(), sent: Arc::default() };
    let mut has_left = false;
    while changed_at.elapsed() < PROBED {
        for index in 0..deployment.instances.len() {
            for route in [DROPPED, ADDED, TRAFFIC, TRAFFIC] {
                sender.send(deployment.packet_address(index), index, route);
            }
        }
        thread::sleep(Duration::from_millis(500));
        if !has_left && draining_at.elapsed() >= DRAIN + Duration::from_secs(4) {
            has_left = true;
            leaving.stopped.store(true, Ordering::Relaxed);
            store.delete(&leaving.key());
            log.line(&format!("endpoint {} has left", leaving.index));
        }
    }
    thread::sleep(Duration::from_secs(3));
    log.line(&format!("largest answer to a watch: {} bytes", store.largest_answer.load(Ordering::Relaxed)));
    Ok(judge_change(&deployment, &sender, changed_at, draining_at, leaving.index))
}

/// Checks CONFIG and DRAIN. All machines are in touch: nothing is done to them, their links or the store.
fn judge_change(
    deployment: &Deployment,
    sender: &Sender,
    changed_at: Instant,
    draining_at: Instant,
    leaving: usize,
) -> i32 {
    let log = &deployment.log;
    let sent = sender.sent.lock().unwrap();
    let seconds = |at: Instant, since: Instant| at.duration_since(since).as_secs_f64();
    let (mut old, mut missing, mut drained) = (0, 0, 0);
    let mut machines = vec![false; deployment.instances.len()];
    let mut last = 0.0_f64;
    for seen in deployment.seen.try_iter() {
        if seen.what == What::Syn && seen.endpoint == leaving && seen.at > draining_at + DRAIN {
            drained += 1;
            log.line(&format!(
                "DRAIN: an opening packet to {} reached endpoint {leaving} {:.3} s after its draining was acknowledged",
                seen.flow.1,
                seconds(seen.at, draining_at)
            ));
        }
        let What::Run(id) = seen.what else { continue };
        let Some(request) = sent.get(&id) else { continue };
        log.line(&format!("ran {id} at endpoint {}", seen.endpoint));
        if request.route == DROPPED && request.at > changed_at + CONFIG_APPLY {
            old += 1;
            machines[request.instance] = true;
            last = last.max(seconds(request.at, changed_at));
            log.line(&format!(
                "CONFIG: {id} ran with the dropped route, sent through instance {} {:.3} s after the change was acknowledged",
                request.instance,
                seconds(request.at, changed_at)
            ));
        }
    }
    for (id, request) in sent.iter() {
        let late = request.at > changed_at + CONFIG_APPLY;
        if request.route == ADDED && late && request.outcome == Outcome::Reset {
            missing += 1;
            machines[request.instance] = true;
            last = last.max(seconds(request.at, changed_at));
            log.line(&format!(
                "CONFIG: {id} to the added route was reset, sent through instance {} {:.3} s after the change was acknowledged",
                request.instance,
                seconds(request.at, changed_at)
            ));
        }
    }
    log.line(&format!("requests: {}", sent.len()));
    log.line(&format!(
        "CONFIG: {old} ran with the dropped route, {missing} reset though the route was there, through {} machines, the last \
         {last:.1} s after the change; DRAIN: {drained} opening packets too late",
        machines.iter().filter(|broken| **broken).count()
    ));
    i32::from(old + missing + drained > 0)
}

// ---- Case 7: rolling restarts while single datagrams are lost ---------------------------------------------------------

/// Flows that are opened per second in each zone, requests of each, and the pause after each request.
const FLOWS_PER_SECOND: u32 = 100;
const REQUESTS: u32 = 4;
const PAUSE: Duration = Duration::from_millis(450);
/// Fraction of the packets from endpoints to clients that are lost.
const LOSS: f64 = 0.02;

fn case_7(record: &str, trouble: bool) -> io::Result<i32> {
    let mut routes = vec![TRAFFIC];
    routes.extend(idle_routes(0, 8));
    let Some(mut deployment) = start_deployment(record, LOSS, &routes)? else { return Ok(2) };
    let route = Arc::new(Mutex::new(TRAFFIC.address()));
    let load = Load { flows_per_second: FLOWS_PER_SECOND, requests: REQUESTS, pause: PAUSE, route };
    play_restarts(&mut deployment, &load, &Arc::new(AtomicBool::new(false)), trouble)
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match (args.get(1).map(String::as_str), args.get(2)) {
        (Some("4"), Some(record)) => case_4(record, trouble),
        (Some("5"), Some(record)) => case_change(record, Unusual::LongNames, trouble),
        (Some("6"), Some(record)) => case_change(record, Unusual::UnreadableEntries, trouble),
        (Some("7"), Some(record)) => case_7(record, trouble),
        (Some("8"), Some(record)) => case_change(record, Unusual::Priority, trouble),
        _ => {
            eprintln!("usage: standin-2 CASE RECORD");
            Ok(2)
        }
    };
    let code = code.unwrap_or_else(|error| {
        eprintln!("cannot run: {error}");
        2
    });
    std::process::exit(code);
}
