//! Sans-I/O state machine that decides what happens to each packet of a caller.
//!
//! [`Dispatcher::handle_packet`] takes a packet's header and the current time and appends [`Effect`]s for the caller
//! of the function to execute. [`Dispatcher::tick`] runs the timers. The module opens no socket and reads no clock.

mod binding;
mod established;
mod quotas;
mod reporting;
mod resetting;
mod sharing;
mod syn;
mod timers;

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::time::Duration;

use hdrhistogram::Histogram;

use self::syn::FullSearch;
use crate::Timestamp;
use crate::direct::decision::Decision;
use crate::direct::decision::Outcome;
use crate::direct::decision::OutcomeCounts;
use crate::direct::flow_bindings::FlowBindings;
use crate::direct::flows::FlowRecords;
use crate::direct::lifecycle::readiness::Readiness;
use crate::direct::lifecycle::readiness::ReadinessInputs;
use crate::direct::lifecycle::readiness::UnreadyLimit;
use crate::direct::limits::adaptive_limit::AdaptiveLimits;
use crate::direct::limits::admission::ServiceRates;
use crate::direct::limits::concurrency_limit::ConcurrencyLimit;
use crate::direct::limits::fair_share::FairShares;
use crate::direct::limits::link_budget::LinkBudget;
use crate::direct::limits::link_budget::LinkStatus;
use crate::direct::limits::link_budget::OVERHEAD_BYTES;
use crate::direct::limits::pending::PendingQueue;
use crate::direct::limits::slot_quota::SlotQuotas;
use crate::direct::mechanisms::Mechanism;
use crate::direct::mechanisms::Mechanisms;
use crate::direct::placement::Limit;
use crate::direct::placement::SlowStart;
use crate::direct::reports::load_report::LoadReport;
use crate::direct::reports::message::Handover;
use crate::direct::segment::Cookie;
use crate::direct::segment::Segment;
use crate::direct::segment::SegmentKind;
use crate::direct::store::directory::Directory;
use crate::direct::store::directory_lag::MissingRevision;
use crate::direct::store::directory_lag::PlacementGate;
use crate::direct::store::parts::PartRequest;
use crate::direct::store::store_entries::Delta;
use crate::direct::targets::answer_times::AnswerTimes;
use crate::direct::targets::domain_reach::DomainReach;
use crate::direct::targets::failures::Failures;
use crate::direct::targets::handshake_timeout::HandshakeTimeout;
use crate::direct::targets::open_requests::OpenRequests;
use crate::direct::targets::outlier::Outliers;
use crate::direct::targets::reachability::ReachabilityChange;
use crate::direct::targets::reachability::ReachabilityChecks;
use crate::direct::targets::target_speed::TargetSpeeds;
use crate::maps::FixedHashSet;
use hawthornshift_model::InstanceId;
use hawthornshift_model::Revision;
use hawthornshift_model::TargetId;

/// Maximum number of SYNs buffered until new flows may be placed: what an instance receives in the 100 ms that a
/// start takes.
const MAX_EARLY_SYNS: usize = 64;
/// Time after a pause of the process during which new flows are held until a peer or the store confirms that the
/// state is up to date. Peers announce every 300 ms; if none does, no instance has newer state.
const STALE_AFTER_PAUSE: Duration = Duration::from_millis(400);
/// Time after a change of the group, or a pause of this process, during which packets of callers may bypass this
/// instance. The fabric polls an instance's readiness twice a second and removes it after two failed polls.
const MISSED_PACKETS_WINDOW: Duration = Duration::from_millis(1_500);
/// Age at which a buffered SYN is dropped: its caller retransmits it soon (200 ms after the first).
const MAX_EARLY_SYN_AGE: Duration = Duration::from_millis(180);
/// Upper bound of the latency histograms, in milliseconds.
const HISTOGRAM_MAX_MS: u64 = 60_000;
/// Significant decimal digits of the latency histograms. One digit up to one minute takes 2 KB.
const HISTOGRAM_SIGNIFICANT_DIGITS: u8 = 1;

/// The packet that an [`Effect::Forward`] sends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Packet {
    /// The packet passed to the current call.
    Current,
    /// A copy of a packet that the dispatcher has stored.
    Buffered(Box<[u8]>),
}

/// An action for the I/O layer to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Forward a packet to a target.
    Forward {
        /// The packet.
        packet: Packet,
        /// Address of the target.
        to: SocketAddrV4,
        /// The target.
        target: TargetId,
        /// The cookie to write into the packet, if it differs from the one that the packet carries.
        cookie: Option<Cookie>,
    },
    /// Try to connect to a target, and pass the outcome to [`Dispatcher::check_finished`].
    Check {
        /// The target.
        target: TargetId,
        /// Address of the target.
        to: SocketAddrV4,
    },
    /// Send a reset (RST) to the caller in reply to this segment.
    Reset(Segment),
}

/// A received SYN.
#[derive(Clone, Copy, Debug)]
struct Syn<'a> {
    segment: &'a Segment,
    /// Copies of the SYN that the caller had sent before this one.
    retransmissions: u32,
    packet: &'a [u8],
    /// When the SYN arrived; earlier than now if it was buffered.
    received_at: Timestamp,
}

/// Configuration of a [`Dispatcher`].
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    /// Identifier of this instance.
    pub id: InstanceId,
    /// Failure domain of this instance.
    pub domain: String,
    /// Time after the start of a failure domain's evacuation from which no packet is forwarded to its targets.
    pub evacuation_grace: Duration,
    /// Bandwidth of this instance's own link, in Mbit/s;
    /// [`WIDE_LINK_MBPS`](crate::direct::limits::link_budget::WIDE_LINK_MBPS) if it is unknown.
    pub link_mbps: f64,
    /// Mechanisms that are enabled; a trial disables single ones.
    pub mechanisms: Mechanisms,
}

/// State machine of the packet path of one instance.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    config: DispatcherConfig,
    directory: Directory,
    open_requests: OpenRequests,
    outliers: Outliers,
    domains: DomainReach,
    checks: ReachabilityChecks,
    failures: Failures,
    answer_times: AnswerTimes,
    unready_limit: UnreadyLimit,
    flows: FlowRecords,
    flow_bindings: FlowBindings,
    pending: PendingQueue,
    handshake_timeout: HandshakeTimeout,
    slow_start: SlowStart,
    concurrency_limit: ConcurrencyLimit,
    adaptive_limits: AdaptiveLimits,
    service_rates: ServiceRates,
    link: LinkBudget,
    placement_gate: PlacementGate,
    fair_shares: FairShares,
    guaranteed_count: u64,
    slot_quotas: SlotQuotas,
    target_speeds: TargetSpeeds,
    examined_targets: Cell<u64>,
    /// End of the period in which the state may be stale because this process was paused.
    stale_until: Timestamp,
    /// SYNs buffered before the directory was synced, or while it may be stale.
    early_syns: Vec<(Timestamp, Segment, Box<[u8]>)>,
    /// The last search for free slots, if it left flows waiting.
    full_search: Option<FullSearch>,
    instances: Vec<InstanceId>,
    group: Vec<InstanceId>,
    all_domains_reported: bool,
    /// End of the period in which callers' packets may bypass this instance; `None` before the first review.
    packets_missed_until: Option<Timestamp>,
    next_sweep: Timestamp,
    next_review: Timestamp,
    report: LoadReport,
    decisions: Vec<Decision>,
    counts: OutcomeCounts,
    handshake_latencies: Histogram<u32>,
    answer_latencies: Histogram<u32>,
}

/// Returns an empty latency histogram.
fn histogram() -> Histogram<u32> {
    Histogram::new_with_max(HISTOGRAM_MAX_MS, HISTOGRAM_SIGNIFICANT_DIGITS)
        .expect("the bounds are constants within the library's range")
}

/// Records a duration, rounded down to milliseconds and at least 1 ms.
fn record(histogram: &mut Histogram<u32>, took: Duration) {
    let millis = u64::try_from(took.as_millis()).unwrap_or(HISTOGRAM_MAX_MS);
    histogram.saturating_record(millis.max(1));
}

/// Makes an effect that forwards the current packet forward a buffered one instead.
fn use_buffered(effect: &mut Effect, buffered: &[u8]) {
    if let Effect::Forward { packet, .. } = effect
        && *packet == Packet::Current
    {
        *packet = Packet::Buffered(buffered.into());
    }
}

impl Dispatcher {
    /// Returns a dispatcher that knows no other instance and has an empty directory.
    #[must_use]
    pub fn new(config: DispatcherConfig) -> Self {
        Self {
            instances: vec![config.id],
            group: vec![config.id],
            link: LinkBudget::new(config.link_mbps, config.mechanisms.has(Mechanism::LinkBudget)),
            directory: Directory::default(),
            open_requests: OpenRequests::default(),
            outliers: Outliers::default(),
            domains: DomainReach::default(),
            checks: ReachabilityChecks::new(config.mechanisms.has(Mechanism::FindingAge)),
            failures: Failures::default(),
            answer_times: AnswerTimes::default(),
            unready_limit: UnreadyLimit::default(),
            flows: FlowRecords::default(),
            flow_bindings: FlowBindings::default(),
            pending: PendingQueue::default(),
            handshake_timeout: HandshakeTimeout::default(),
            slow_start: SlowStart::default(),
            concurrency_limit: ConcurrencyLimit::default(),
            adaptive_limits: AdaptiveLimits::default(),
            service_rates: ServiceRates::default(),
            placement_gate: PlacementGate::default(),
            fair_shares: FairShares::default(),
            guaranteed_count: 0,
            slot_quotas: SlotQuotas::default(),
            target_speeds: TargetSpeeds::default(),
            examined_targets: Cell::new(0),
            stale_until: Timestamp::ZERO,
            next_review: Timestamp::ZERO,
            early_syns: Vec::new(),
            full_search: None,
            all_domains_reported: true,
            packets_missed_until: None,
            next_sweep: Timestamp::ZERO,
            report: LoadReport::default(),
            decisions: Vec::new(),
            counts: OutcomeCounts::default(),
            handshake_latencies: histogram(),
            answer_latencies: histogram(),
            config,
        }
    }

    fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.config.mechanisms.has(mechanism)
    }

    /// Returns the limit up to which a target may be filled by a flow, by whether the flow is late.
    fn limit(&self, late: bool) -> Limit {
        if late || !self.is_enabled(Mechanism::TargetReserve) { Limit::Slots } else { Limit::Reserve }
    }

    /// Returns the local copy of the store.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the open requests of all targets.
    #[must_use]
    pub fn open_requests(&self) -> &OpenRequests {
        &self.open_requests
    }

    /// Returns the outlier detection of targets that do not answer.
    #[must_use]
    pub fn outliers(&self) -> &Outliers {
        &self.outliers
    }

    /// Returns the number of targets that are out of reach or gone and may still have open flows.
    #[must_use]
    pub fn unreachable_count(&self, now: Timestamp) -> usize {
        self.checks.count_unreachable(now)
    }

    /// Returns the number of targets that are ejected for failed or overdue answers.
    #[must_use]
    pub fn failing_count(&self, now: Timestamp) -> usize {
        self.failures.ejected_count(now)
    }

    /// Returns the number of active adaptive limits, one for each service and failure domain with overloaded targets.
    #[must_use]
    pub fn active_limit_count(&self) -> usize {
        self.adaptive_limits.count()
    }

    /// Returns the state of this instance's own link, or `None` if the link is not narrow.
    #[must_use]
    pub fn link_status(&self, now: Timestamp) -> Option<LinkStatus> {
        self.link.status(now)
    }

    /// Takes the changes of the link's state since the last call.
    pub fn take_link_changes(&mut self) -> Vec<LinkStatus> {
        self.link.take_changes()
    }

    /// Returns the number of decisions by outcome.
    #[must_use]
    pub fn counts(&self) -> &OutcomeCounts {
        &self.counts
    }

    /// Returns the latency histograms, in milliseconds: from the SYN to the end of the handshake, and from the SYN
    /// (or a later request of the flow) to the start of the answer.
    #[must_use]
    pub fn latencies(&self) -> [(&'static str, &Histogram<u32>); 2] {
        [("handshake", &self.handshake_latencies), ("answer", &self.answer_latencies)]
    }

    /// Returns the number of flows with a record and the number of pending flows.
    #[must_use]
    pub fn flow_counts(&self) -> (usize, usize) {
        (self.flows.len(), self.pending.len())
    }

    /// Returns the number of targets that searches for a target have looked at.
    #[must_use]
    pub fn examined_targets(&self) -> u64 {
        self.examined_targets.get()
    }

    /// Takes the load report to send to peers.
    pub fn take_report(&mut self) -> LoadReport {
        std::mem::take(&mut self.report)
    }

    /// Takes the changes of targets' reachability since the last call.
    pub fn take_reachability_changes(&mut self) -> Vec<ReachabilityChange> {
        self.checks.take_changes()
    }

    /// Takes the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Sets the serving instances, the group that exchanges load reports with this one, and whether that is all of
    /// them.
    ///
    /// A new instance has received none of the earlier load reports, so all open requests that were reported are
    /// reported again.
    pub fn set_members(
        &mut self,
        now: Timestamp,
        instances: Vec<InstanceId>,
        group: Vec<InstanceId>,
        all_domains_reported: bool,
    ) {
        let known: FixedHashSet<InstanceId> = self.instances.iter().copied().collect();
        if instances.iter().any(|id| !known.contains(id)) {
            let open = self.flows.unanswered().map(|flow| (flow.id.flow_hash(), flow.target));
            let open: Vec<_> = open.filter(|(flow, _)| self.open_requests.is_reported(*flow)).collect();
            for (flow, target) in open {
                self.report_open(now, flow, target);
            }
        }
        if self.group != group {
            self.packets_missed_until = Some(now + MISSED_PACKETS_WINDOW);
        }
        self.instances = instances;
        self.group = group;
        self.all_domains_reported = all_domains_reported;
    }

    /// Applies a delta of the store. Returns whether it changed the directory.
    pub fn apply_delta(&mut self, now: Timestamp, delta: &Delta, effects: &mut Vec<Effect>) -> bool {
        let (replacements, version) = (self.directory.replacements(), self.directory.version());
        let changed = self.directory.apply(now, delta);
        if changed {
            if (self.directory.replacements(), self.directory.version()) != (replacements, version) {
                self.forget_unknown(now, version);
            }
            self.dispatch_early_syns(now, effects);
            self.full_search = None;
            self.dispatch(now, effects);
        }
        changed
    }

    /// Removes what is known of targets, routes and services that the directory no longer has; `version` is that of the
    /// configuration before.
    fn forget_unknown(&mut self, now: Timestamp, version: u64) {
        let directory = &self.directory;
        self.outliers.retain(|id| directory.target(id).is_some());
        self.checks.retain(now, |id| directory.target(id).map(|target| target.known_since));
        self.failures.retain(|id| directory.target(id).is_some(), |address| directory.route(address).is_some());
        self.answer_times.retain(|address| directory.route(address).is_some());
        self.link.retain(|address| directory.route(address).is_some());
        let known = |service: &str| directory.has_service(service);
        self.adaptive_limits.retain(known);
        self.service_rates.retain(known);
        if let Some(routing) = self.directory.routing().filter(|routing| routing.version != version) {
            self.fair_shares.set_routes(routing);
        }
        self.slot_quotas.retain(known);
        self.target_speeds.retain(directory);
    }

    /// Handles a pause of this process: it may have missed that targets left, died or turned cold.
    pub fn process_paused(&mut self, now: Timestamp) {
        self.stale_until = now + STALE_AFTER_PAUSE;
        self.packets_missed_until = Some(now + MISSED_PACKETS_WINDOW);
        self.checks.process_paused(now);
    }

    /// Handles a confirmation by a peer or the store that the directory is up to date.
    pub fn confirm_up_to_date(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if now < self.stale_until {
            self.stale_until = now;
            self.dispatch_early_syns(now, effects);
        }
    }

    /// Returns whether this instance is ready to receive callers' packets, given whether it reaches other failure
    /// domains.
    #[must_use]
    pub fn readiness(&mut self, now: Timestamp, others_in_reach: bool) -> Readiness {
        let inputs = ReadinessInputs {
            directory: &self.directory,
            outliers: &self.outliers,
            domain: &self.config.domain,
            handshake_timeout: self.handshake_timeout.limit(),
        };
        let others_in_reach = others_in_reach || !self.is_enabled(Mechanism::ReadinessByReach);
        let readiness = inputs.readiness(now, others_in_reach);
        let readiness = self.unready_limit.apply(now, readiness);
        let behind = readiness == Readiness::Ready && self.missing_revision(now).is_some();
        if behind { Readiness::DirectoryBehind } else { readiness }
    }

    /// Sets the time after which a draining target must not get a new flow.
    pub fn set_drain_bound(&mut self, drain_bound: Duration) {
        self.placement_gate = PlacementGate::new(drain_bound);
    }

    /// Sets the revision that this instance lacks and most of its peers have.
    pub fn set_missing_revision(&mut self, missing: Option<MissingRevision>) {
        self.placement_gate.set_missing(missing);
    }

    /// Returns the revision that this instance has lacked for so long that it places no new flow, if there is one.
    #[must_use]
    pub fn missing_revision(&self, now: Timestamp) -> Option<MissingRevision> {
        let behind = self.placement_gate.behind(now, self.directory.revision());
        behind.filter(|_| self.is_enabled(Mechanism::DirectoryLag))
    }

    /// Returns whether new flows may be placed: the directory is synced and not possibly stale.
    fn may_place(&self, now: Timestamp) -> bool {
        self.directory.is_synced() && now >= self.stale_until
    }

    /// Handles the buffered SYNs once new flows may be placed.
    fn dispatch_early_syns(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if !self.may_place(now) {
            return;
        }
        for (since, segment, packet) in std::mem::take(&mut self.early_syns) {
            if now.saturating_sub(since) < MAX_EARLY_SYN_AGE {
                let first = effects.len();
                self.handle_packet_at(now, since, &segment, &packet, effects);
                for effect in &mut effects[first..] {
                    use_buffered(effect, &packet);
                }
            }
        }
    }

    /// Returns the state transfer for a peer whose directory is at revision `since`.
    ///
    /// Open requests and avoided targets are included only for a peer that has just started (`since` is zero). Any
    /// other peer has them from load reports.
    #[must_use]
    pub fn handover(&self, now: Timestamp, since: Revision) -> Handover {
        self.handover_part(now, since, PartRequest::WHOLE)
    }

    /// Returns a part of [`Dispatcher::handover`].
    #[must_use]
    pub fn handover_part(&self, now: Timestamp, since: Revision, part: PartRequest) -> Handover {
        let (delta, next) = self.directory.part_since(now, since, part);
        if since > 0 || !part.is_first() {
            return Handover { delta, next, ..Handover::default() };
        }
        let (open_requests, avoid) = (self.open_requests.open(now).collect(), self.outliers.avoided(now).collect());
        let flow_bindings = self.flow_bindings.handover(now).collect();
        Handover { delta, open_requests, avoid, members: Vec::new(), flow_bindings, next }
    }

    /// Applies a state transfer from a peer. Returns whether its delta changed the directory.
    pub fn apply_handover(&mut self, now: Timestamp, handover: &Handover, effects: &mut Vec<Effect>) -> bool {
        for (flow, target, age) in &handover.open_requests {
            if !self.open_requests.is_open(*flow) {
                self.open_requests.record_reported(now, *flow, *target, *age);
            }
        }
        for (target, avoidance) in &handover.avoid {
            self.outliers.apply_suspicion(now, *target, *avoidance);
        }
        let changed = self.apply_delta(now, &handover.delta, effects);
        for (binding, remaining) in &handover.flow_bindings {
            self.learn_binding(now, *binding, *remaining);
        }
        changed
    }

    /// Handles a packet of a caller, and appends the effects.
    pub fn handle_packet(&mut self, now: Timestamp, segment: &Segment, packet: &[u8], effects: &mut Vec<Effect>) {
        let first = effects.len();
        self.link.received(now, segment);
        self.handle_packet_at(now, now, segment, packet, effects);
        self.count_sent(now, segment, &effects[first..]);
    }

    /// Handles a packet that arrived at `received_at`, which is earlier than `now` if the packet was buffered.
    fn handle_packet_at(
        &mut self,
        now: Timestamp,
        received_at: Timestamp,
        segment: &Segment,
        packet: &[u8],
        effects: &mut Vec<Effect>,
    ) {
        let is_syn = matches!(segment.kind, SegmentKind::Syn { .. });
        if !self.directory.is_synced() || (is_syn && !self.may_place(now)) {
            self.buffer_or_drop(now, segment, packet);
            return;
        }
        let Some(route) = self.directory.route(segment.flow.service) else {
            self.handle_unrouted(now, segment, effects);
            return;
        };
        match segment.kind {
            SegmentKind::Syn { retransmissions } => {
                let route = route.clone();
                self.handle_syn(now, &Syn { segment, retransmissions, packet, received_at }, &route, effects);
            }
            SegmentKind::Ack | SegmentKind::Fin | SegmentKind::Rst => self.handle_established(now, segment, effects),
        }
    }

    /// Buffers a SYN until new flows may be placed. Drops any other packet, since its target is not known yet.
    fn buffer_or_drop(&mut self, now: Timestamp, segment: &Segment, packet: &[u8]) {
        let is_buffered = self.early_syns.iter().any(|(_, early, _)| early.flow == segment.flow);
        let may_buffer = matches!(segment.kind, SegmentKind::Syn { .. }) && self.is_enabled(Mechanism::EarlySyns);
        if may_buffer && !is_buffered && self.early_syns.len() < MAX_EARLY_SYNS {
            self.early_syns.push((now, *segment, packet.into()));
        } else {
            self.record_decision(Decision::new(segment.flow, Outcome::DroppedNotReady));
        }
    }

    /// Handles a packet to an address without a route.
    ///
    /// This instance may lack a newer configuration, under which the flow was opened through another instance. Only flows
    /// for which that is impossible are reset: new ones, and those recorded here, whose route was dropped under them. Others
    /// get no answer, and their callers retransmit the packet.
    fn handle_unrouted(&mut self, now: Timestamp, segment: &Segment, effects: &mut Vec<Effect>) {
        let waiting = self.pending.take_flow(&segment.flow);
        if let (SegmentKind::Syn { retransmissions }, Some(mut pending)) = (segment.kind, waiting) {
            pending.copies.record(now, retransmissions);
            self.reject_pending(now, &pending, Outcome::ResetNoRoute, effects);
            return;
        }
        let is_recorded = self.flows.remove(&segment.flow).is_some();
        self.abandon_request(segment.flow);
        if !is_recorded && segment.kind != (SegmentKind::Syn { retransmissions: 0 }) {
            self.record_decision(Decision::new(segment.flow, Outcome::DroppedNoRoute));
        } else if segment.kind != SegmentKind::Rst {
            effects.push(Effect::Reset(*segment));
            self.record_decision(Decision::new(segment.flow, Outcome::ResetNoRoute));
        }
    }

    /// Counts the bytes of effects on this instance's own link.
    fn count_sent(&mut self, now: Timestamp, segment: &Segment, effects: &[Effect]) {
        for effect in effects {
            let payload = match effect {
                Effect::Forward { packet: Packet::Current, .. } => usize::from(segment.payload_bytes),
                // All buffered packets are SYNs, and checks are about as short.
                Effect::Forward { .. } | Effect::Check { .. } | Effect::Reset(_) => 0,
            };
            self.link.sent(now, payload + OVERHEAD_BYTES);
        }
    }

    /// Counts a decision and queues it for the log.
    fn record_decision(&mut self, decision: Decision) {
        self.counts.add(decision.outcome);
        self.decisions.push(decision);
    }
}
