//! Admission control for flows of many bytes, and detection of queueing delay, on the instance's own link.
//!
//! The expected load: many uploads are open at once on a narrow link. Each caller keeps up to a window of packets in
//! flight, and every byte that the instance receives is sent again to a target, so that each byte loads the link
//! twice. Once the link's queue takes as long to drain as the callers' retransmission timeout, callers retransmit all
//! packets in flight, which lengthens the queue further. SYNs, small requests, heartbeats and health checks wait in
//! the same queue. A SYN of a route with large requests is therefore refused if the link could not carry its request
//! in time. A SYN that was refused was sent nowhere, so the caller may try another instance at once.
//!
//! The delay of the instance's own link must not be taken for a target that does not answer. The link counts as
//! congested while it is almost fully used, or while even the fastest handshake is delayed. A single slow target does
//! not delay the fastest handshake.
//!
//! The capacity is taken from the settings and corrected by measurements: it is raised while the link carries more
//! than expected without a delay, and lowered to what passes while handshakes are delayed.

use std::net::SocketAddrV4;
use std::time::Duration;

use serde::Serialize;
use strum::IntoStaticStr;

use crate::Timestamp;
use crate::direct::limits::pending::ATTEMPT_DURATION;
use crate::direct::segment::FlowHash;
use crate::direct::segment::Segment;
use crate::direct::segment::SegmentKind;
use crate::maps::FixedHashMap;
use crate::maps::FixedHashSet;

/// Bandwidth in Mbit/s of a link that is not narrow, for configurations without one.
pub const WIDE_LINK_MBPS: f64 = 1_000.0;
/// Bytes of a packet besides its payload: the header of the platform (36), UDP (8) and IPv4 (20).
pub const OVERHEAD_BYTES: usize = 64;
/// [`OVERHEAD_BYTES`] for rates.
const OVERHEAD: f64 = 64.0;
/// Bytes of payload that a caller may have in flight: 16 packets of 1,200 bytes.
const WINDOW_BYTES: f64 = 16.0 * 1_200.0;
/// Bytes on the link for each byte of a caller's payload. It is received and sent again, with the packet overhead.
const LINK_BYTES_PER_BYTE: f64 = 2.0 * (1_200.0 + OVERHEAD) / 1_200.0;
/// Time after which callers retransmit. A queue that takes as long to drain grows without more load.
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of full windows that a narrow link carries in [`RETRANSMISSION_TIMEOUT`]. A wider link has no budget.
const MAX_WINDOWS: f64 = 64.0;
/// Fraction of the link that is kept free for control traffic and small requests.
const RESERVED_FRACTION: f64 = 0.25;
/// Fraction of the link that is kept free beside the measured traffic of other routes, for its variation.
const HEADROOM_FRACTION: f64 = 0.1;
/// Minimum fraction of the link for heavy routes, so that other routes cannot stop them altogether.
const MIN_HEAVY_FRACTION: f64 = 0.05;
/// Weight of a new interval in the rate of the traffic that is not of heavy routes.
const LIGHT_RATE_WEIGHT: f64 = 0.3;
/// Fraction of the latency objective within which the bytes still to come must pass. The rest is for the handshake,
/// the work and the answer.
const OBJECTIVE_FRACTION: f64 = 0.5;
/// Interval over which bytes are counted.
const INTERVAL: Duration = Duration::from_millis(100);
/// Weight of a new sample in the bytes of a route's requests and in their mean deviation.
const BYTES_WEIGHT: f64 = 0.1;
/// Number of requests of a route before it may count as heavy, so that a single large one does not decide.
const MIN_SAMPLES: u32 = 2;
/// Maximum number of tracked requests. Further ones are forwarded but not counted.
const MAX_TRACKED: usize = 4_096;
/// Time without a packet after which a request is no longer tracked: the duration of a caller's attempt.
const SILENT_TIMEOUT: Duration = ATTEMPT_DURATION;
/// Time since its last packet for which a request that exceeds its expected bytes is assumed to send more.
const LONG_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// Fraction of the capacity from which a link cannot be used without delay.
const CONGESTED_FRACTION: f64 = 0.9;
/// Delay of the fastest handshake from which the link counts as congested: the minimum handshake timeout.
const CONGESTED_DELAY: Duration = Duration::from_millis(40);
/// Duration up to which a handshake counts as not delayed by the link. A longer one counts only while less than
/// [`LOW_UTILIZATION`] of the capacity is used, since an instance may start on a link that is full.
const SHORT_HANDSHAKE: Duration = Duration::from_millis(20);
/// Fraction of the capacity up to which a link causes no delay.
const LOW_UTILIZATION: f64 = 0.3;
/// Delay of the fastest handshake up to which the link counts as free of queueing.
const NO_DELAY: Duration = Duration::from_millis(10);
/// Number of handshakes that show a delay: a single one may be late since a packet was lost.
const MIN_HANDSHAKES: u32 = 2;
/// Age up to which a delay counts while no handshake is completed, which a long delay itself prevents.
const MAX_DELAY_AGE: Duration = Duration::from_secs(1);
/// Time for which the link stays congested after the last sign of it, in which late packets still arrive.
const CONGESTED_HOLD: Duration = Duration::from_millis(300);
/// Time between two recorded changes of state, which bounds the number of log lines.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time since the last refusal for which the link counts as limiting.
const LIMITING_HOLD: Duration = Duration::from_secs(2);
/// Fraction of the capacity that passes without delay from which the capacity is raised.
const RAISE_FRACTION: f64 = 0.7;
/// Factor by which the capacity rises and falls at most in an interval.
const RAISE_FACTOR: f64 = 1.05;
const LOWER_FACTOR: f64 = 0.5;
/// Maximum ratio of the estimated capacity to that in the settings, and its inverse.
const MAX_CORRECTION: f64 = 10.0;

/// State of the link, for the log.
#[derive(Clone, Copy, Debug, Default, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LinkState {
    /// All flows are admitted.
    #[default]
    Free,
    /// Flows of heavy routes have been refused in the last seconds.
    Limiting,
    /// Packets are delayed by the link.
    Congested,
}

/// State of the link with the measurements that it is based on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LinkStatus {
    /// Current state.
    pub state: LinkState,
    /// Estimated capacity, in Mbit/s.
    pub capacity_mbps: f64,
    /// Traffic in both directions in the last interval, in Mbit/s.
    pub used_mbps: f64,
    /// Delay of the fastest handshake in the last interval with a handshake, in milliseconds.
    pub delay_ms: f64,
    /// Age of the delay, in milliseconds.
    pub delay_age_ms: f64,
    /// Number of open requests of heavy routes.
    pub heavy_flows: usize,
    /// Number of flows refused since the start.
    pub refused: u64,
}

/// Bytes of a route's requests, smoothed, with their mean deviation.
#[derive(Clone, Copy, Debug)]
struct RouteBytes {
    smoothed: f64,
    deviation: f64,
    samples: u32,
}

impl RouteBytes {
    fn sample(&mut self, bytes: f64) {
        self.deviation += ((self.smoothed - bytes).abs() - self.deviation) * BYTES_WEIGHT;
        self.smoothed += (bytes - self.smoothed) * BYTES_WEIGHT;
        self.samples = self.samples.saturating_add(1);
    }

    fn is_heavy(&self) -> bool {
        self.samples >= MIN_SAMPLES && self.smoothed > WINDOW_BYTES
    }

    fn expected(&self) -> f64 {
        self.smoothed + self.deviation
    }
}

/// A request that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenUpload {
    route: SocketAddrV4,
    /// Sequence number of its first byte, once a packet with data has arrived.
    first_byte: Option<u32>,
    /// Bytes received, without retransmitted ones.
    received: f64,
    last_packet: Timestamp,
}

/// Handshakes of one interval, or of several until there are enough.
#[derive(Clone, Copy, Debug)]
struct Handshakes {
    since: Timestamp,
    count: u32,
    fastest: Duration,
}

/// Bytes that open requests of heavy routes are expected to send.
#[derive(Clone, Copy, Debug, Default)]
struct Outstanding {
    flows: usize,
    /// Bytes that may be in flight at once.
    in_flight: f64,
    /// All bytes still to come.
    remaining: f64,
}

/// Estimates of the instance's own link.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    /// Capacity in the settings, in bytes per second.
    nominal: f64,
    /// Estimated capacity, in bytes per second.
    capacity: f64,
    enabled: bool,
    routes: FixedHashMap<SocketAddrV4, RouteBytes>,
    uploads: FixedHashMap<FlowHash, OpenUpload>,
    /// Those of `uploads` whose route is heavy. Their number is limited by admission, so that a decision is quick.
    heavy: FixedHashSet<FlowHash>,
    interval_start: Timestamp,
    interval_bytes: f64,
    /// The part of `interval_bytes` that belongs to heavy routes.
    interval_heavy_bytes: f64,
    /// Smoothed rate of the other traffic, in bytes per second.
    light_rate: f64,
    /// Handshakes that have not been evaluated yet.
    handshakes: Option<Handshakes>,
    /// Bytes per second in the last completed interval.
    used: f64,
    /// Shortest handshake since the start, if it was not delayed by the link. Handshakes through other failure domains
    /// take at most a few ms longer.
    baseline: Option<Duration>,
    /// Delay of the fastest handshake, and when it was measured.
    delay: (Duration, Timestamp),
    congested_until: Timestamp,
    limiting_until: Timestamp,
    refused: u64,
    last_state: LinkState,
    /// Earliest time at which a change of state is recorded.
    next_change: Timestamp,
    changes: Vec<LinkStatus>,
}

impl LinkBudget {
    /// Creates the budget of a link with `mbps` Mbit/s. It is active if the link is narrow and `enabled` is set.
    #[must_use]
    pub fn new(mbps: f64, enabled: bool) -> Self {
        let nominal = mbps * 1e6 / 8.0;
        let windows = nominal * RETRANSMISSION_TIMEOUT.as_secs_f64() / (WINDOW_BYTES * LINK_BYTES_PER_BYTE);
        Self {
            nominal,
            capacity: nominal,
            enabled: enabled && nominal > 0.0 && windows <= MAX_WINDOWS,
            routes: FixedHashMap::default(),
            uploads: FixedHashMap::default(),
            heavy: FixedHashSet::default(),
            interval_start: Timestamp::ZERO,
            interval_bytes: 0.0,
            interval_heavy_bytes: 0.0,
            light_rate: 0.0,
            handshakes: None,
            used: 0.0,
            baseline: None,
            delay: (Duration::ZERO, Timestamp::ZERO),
            congested_until: Timestamp::ZERO,
            limiting_until: Timestamp::ZERO,
            refused: 0,
            last_state: LinkState::Free,
            next_change: Timestamp::ZERO,
            changes: Vec::new(),
        }
    }

    /// Returns whether the link is narrow, so that its budget is in use.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.enabled
    }

    /// Returns whether flows of many bytes may be open on a narrow link.
    #[must_use]
    pub fn has_heavy_flows(&self) -> bool {
        !self.heavy.is_empty()
    }

    /// Records a packet of a caller.
    pub fn received(&mut self, now: Timestamp, segment: &Segment) {
        if !self.enabled {
            return;
        }
        self.count_bytes(now, OVERHEAD_BYTES + usize::from(segment.payload_bytes));
        if self.is_heavy(segment.flow.service) {
            let payload = f64::from(segment.payload_bytes);
            // The packet is received and sent again.
            self.interval_heavy_bytes += 2.0 * (payload + OVERHEAD);
        }
        match segment.kind {
            SegmentKind::Ack if segment.payload_bytes > 0 => self.received_data(now, segment),
            SegmentKind::Syn { .. } | SegmentKind::Ack => {}
            SegmentKind::Fin | SegmentKind::Rst => self.closed(segment.flow.flow_hash()),
        }
    }

    /// Records bytes that this instance has sent.
    pub fn sent(&mut self, now: Timestamp, bytes: usize) {
        if self.enabled {
            self.count_bytes(now, bytes);
        }
    }

    fn received_data(&mut self, now: Timestamp, segment: &Segment) {
        let hash = segment.flow.flow_hash();
        if self.uploads.len() >= MAX_TRACKED && !self.uploads.contains_key(&hash) {
            return;
        }
        let route = segment.flow.service;
        let new = OpenUpload { route, first_byte: None, received: 0.0, last_packet: now };
        let upload = self.uploads.entry(hash).or_insert(new);
        upload.last_packet = now;
        let first_byte = *upload.first_byte.get_or_insert(segment.sequence);
        // Sequence numbers wrap around; a packet from before the first one that arrived counts as nothing.
        let offset = segment.sequence.wrapping_sub(first_byte).cast_signed().max(0);
        let before = upload.received;
        let after = before.max(f64::from(offset) + f64::from(segment.payload_bytes));
        upload.received = after;
        // A first burst of large requests must be known before the answers to it arrive.
        let known = self.routes.get(&route).filter(|bytes| bytes.samples >= MIN_SAMPLES);
        if known.is_some_and(RouteBytes::is_heavy) {
            self.heavy.insert(hash);
        } else if before <= WINDOW_BYTES && after > WINDOW_BYTES && known.is_none() {
            self.sample(route, after);
        }
    }

    fn sample(&mut self, route: SocketAddrV4, bytes: f64) {
        let first = RouteBytes { smoothed: bytes, deviation: 0.0, samples: 0 };
        self.routes.entry(route).or_insert(first).sample(bytes);
    }

    /// Records that the answer to a flow's request has started: all bytes of the request have been received.
    pub fn answered(&mut self, flow: FlowHash) {
        self.heavy.remove(&flow);
        if let Some(upload) = self.uploads.remove(&flow)
            && upload.received > 0.0
        {
            self.sample(upload.route, upload.received);
        }
    }

    /// Records that a flow has ended or was rejected.
    pub fn closed(&mut self, flow: FlowHash) {
        self.heavy.remove(&flow);
        self.uploads.remove(&flow);
    }

    /// Records the duration of a handshake.
    pub fn handshake(&mut self, now: Timestamp, took: Duration) {
        if self.enabled {
            let recent = self.handshakes.filter(|all| now.saturating_sub(all.since) < MAX_DELAY_AGE);
            let Handshakes { since, count, fastest } =
                recent.unwrap_or(Handshakes { since: now, count: 0, fastest: took });
            self.handshakes = Some(Handshakes { since, count: count + 1, fastest: fastest.min(took) });
        }
    }

    /// Decides about a new flow, and reserves the link for it. Returns whether the flow may be placed. `objective` is
    /// the latency objective of its route.
    pub fn admit(&mut self, now: Timestamp, segment: &Segment, objective: Duration) -> bool {
        let route = segment.flow.service;
        let Some(bytes) = self.routes.get(&route).copied().filter(|bytes| self.enabled && bytes.is_heavy()) else {
            return true;
        };
        self.close_interval(now);
        let open = self.outstanding(now);
        let usable = self.heavy_capacity() / LINK_BYTES_PER_BYTE;
        let queue = (open.in_flight + WINDOW_BYTES) / usable;
        let transfer = (open.remaining + bytes.expected()) / usable;
        let fits =
            queue <= RETRANSMISSION_TIMEOUT.as_secs_f64() && transfer <= objective.as_secs_f64() * OBJECTIVE_FRACTION;
        // One flow at a time is admitted while packets are not delayed, so that a capacity that is set too low can be
        // corrected. No flow is admitted while the link delays packets until callers retransmit them.
        let delay = self.handshake_delay(now);
        let admitted = fits && delay < RETRANSMISSION_TIMEOUT || open.flows == 0 && delay < CONGESTED_DELAY;
        if admitted {
            let upload = OpenUpload { route, first_byte: None, received: 0.0, last_packet: now };
            self.uploads.insert(segment.flow.flow_hash(), upload);
            self.heavy.insert(segment.flow.flow_hash());
        } else {
            self.refused += 1;
            self.limiting_until = now + LIMITING_HOLD;
            self.record_state(now);
        }
        admitted
    }

    /// Returns whether a route's requests exceed what one window carries.
    fn is_heavy(&self, route: SocketAddrV4) -> bool {
        self.routes.get(&route).is_some_and(RouteBytes::is_heavy)
    }

    /// Returns the bytes per second that heavy routes may use: what the other traffic leaves.
    fn heavy_capacity(&self) -> f64 {
        let left = self.capacity * (1.0 - HEADROOM_FRACTION) - self.light_rate;
        left.clamp(self.capacity * MIN_HEAVY_FRACTION, self.capacity * (1.0 - RESERVED_FRACTION))
    }

    /// Returns whether packets are probably delayed by this instance's own link.
    #[must_use]
    pub fn is_congested(&self, now: Timestamp) -> bool {
        self.enabled && now < self.congested_until
    }

    /// Returns the time by which a handshake is delayed by the link, up to the callers' retransmission timeout. Zero
    /// while the link is not congested.
    #[must_use]
    pub fn handshake_delay(&self, now: Timestamp) -> Duration {
        if self.is_congested(now) { self.delay.0.min(RETRANSMISSION_TIMEOUT) } else { Duration::ZERO }
    }

    /// Runs the periodic part: completes the interval and drops requests that have ended unobserved.
    pub fn tick(&mut self, now: Timestamp) {
        if self.enabled {
            self.close_interval(now);
            self.record_state(now);
        }
    }

    /// Removes the routes for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(SocketAddrV4) -> bool) {
        self.routes.retain(|address, _| known(*address));
    }

    /// Returns the current state, or `None` if the link is not narrow.
    #[must_use]
    pub fn status(&self, now: Timestamp) -> Option<LinkStatus> {
        let mbps = |bytes_per_second: f64| bytes_per_second * 8.0 / 1e6;
        let (delay, measured_at) = self.delay;
        self.enabled.then(|| LinkStatus {
            state: self.state(now),
            capacity_mbps: mbps(self.capacity),
            used_mbps: mbps(self.used),
            delay_ms: delay.as_secs_f64() * 1e3,
            delay_age_ms: now.saturating_sub(measured_at).as_secs_f64() * 1e3,
            heavy_flows: self.outstanding(now).flows,
            refused: self.refused,
        })
    }

    /// Takes the changes of state since the last call, for the log.
    pub fn take_changes(&mut self) -> Vec<LinkStatus> {
        std::mem::take(&mut self.changes)
    }

    fn state(&self, now: Timestamp) -> LinkState {
        if self.is_congested(now) {
            LinkState::Congested
        } else if now < self.limiting_until {
            LinkState::Limiting
        } else {
            LinkState::Free
        }
    }

    fn record_state(&mut self, now: Timestamp) {
        let state = self.state(now);
        if state != self.last_state && now >= self.next_change {
            self.last_state = state;
            self.next_change = now + MIN_CHANGE_INTERVAL;
            self.changes.extend(self.status(now));
        }
    }

    fn outstanding(&self, now: Timestamp) -> Outstanding {
        let mut all = Outstanding::default();
        for upload in self.heavy.iter().filter_map(|flow| self.uploads.get(flow)) {
            let Some(bytes) = self.routes.get(&upload.route).filter(|bytes| bytes.is_heavy()) else { continue };
            let silence = now.saturating_sub(upload.last_packet);
            if silence >= SILENT_TIMEOUT {
                continue;
            }
            let expected = (bytes.expected() - upload.received).max(0.0);
            let is_longer = upload.received > bytes.expected() && silence < LONG_REQUEST_TIMEOUT;
            let remaining = if is_longer { WINDOW_BYTES } else { expected };
            all.flows += 1;
            all.in_flight += remaining.min(WINDOW_BYTES);
            all.remaining += remaining;
        }
        all
    }

    #[expect(clippy::cast_precision_loss, reason = "packets have at most a few thousand bytes")]
    fn count_bytes(&mut self, now: Timestamp, bytes: usize) {
        self.close_interval(now);
        self.interval_bytes += bytes as f64;
    }

    /// Evaluates the current interval if it is over, and starts the next one.
    fn close_interval(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.interval_start);
        if elapsed < INTERVAL {
            return;
        }
        self.used = self.interval_bytes / elapsed.as_secs_f64();
        let light = (self.interval_bytes - self.interval_heavy_bytes).max(0.0) / elapsed.as_secs_f64();
        self.light_rate += (light - self.light_rate) * LIGHT_RATE_WEIGHT;
        let fastest = self.handshakes.take_if(|all| all.count >= MIN_HANDSHAKES).map(|all| all.fastest);
        if let Some(min) = fastest
            && (min <= SHORT_HANDSHAKE || self.used < self.capacity * LOW_UTILIZATION)
        {
            self.baseline = Some(self.baseline.map_or(min, |baseline| baseline.min(min)));
        }
        let delay = fastest.zip(self.baseline).map(|(min, baseline)| min.saturating_sub(baseline));
        self.interval_start = now;
        self.interval_bytes = 0.0;
        self.interval_heavy_bytes = 0.0;
        if let Some(delay) = delay {
            self.delay = (delay, now);
            self.correct_capacity(delay);
        }
        // Without traffic of any volume, a delay has another cause than the link. A link that is fully used according to
        // the estimate and does not delay handshakes has a higher capacity.
        let (known, measured_at) = self.delay;
        let is_delayed =
            known >= CONGESTED_DELAY && now.saturating_sub(measured_at) < MAX_DELAY_AGE && self.carries_traffic();
        let is_full = self.used >= self.capacity * CONGESTED_FRACTION && delay.is_none_or(|delay| delay > NO_DELAY);
        if is_delayed || is_full {
            self.congested_until = now + CONGESTED_HOLD;
        }
        let uploads = &mut self.uploads;
        uploads.retain(|_, upload| now.saturating_sub(upload.last_packet) < SILENT_TIMEOUT);
        self.heavy.retain(|flow| uploads.contains_key(flow));
    }

    /// Returns whether the traffic is enough to cause a delay even if the capacity in the settings is wrong by
    /// [`MAX_CORRECTION`].
    fn carries_traffic(&self) -> bool {
        self.used >= self.nominal / MAX_CORRECTION * RAISE_FRACTION
    }

    /// Corrects the capacity by the delay of the fastest handshake in an interval.
    fn correct_capacity(&mut self, delay: Duration) {
        if delay <= NO_DELAY && self.used >= self.capacity * RAISE_FRACTION {
            self.capacity *= RAISE_FACTOR;
        } else if delay <= NO_DELAY && self.capacity < self.nominal {
            self.capacity += (self.nominal - self.capacity) * (RAISE_FACTOR - 1.0);
        } else if delay >= CONGESTED_DELAY && self.carries_traffic() {
            self.capacity = self.used.max(self.capacity * LOWER_FACTOR).min(self.capacity);
        }
        self.capacity = self.capacity.clamp(self.nominal / MAX_CORRECTION, self.nominal * MAX_CORRECTION);
    }
}
