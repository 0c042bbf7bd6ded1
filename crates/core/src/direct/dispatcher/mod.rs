//! What happens to each packet of a caller.
//!
//! [`Dispatcher::handle_packet`] takes a packet's head and the present time and appends what to do; [`Dispatcher::tick`] does what
//! is due without a packet. Nothing here opens a socket or reads a clock.

mod following;
mod opening;
mod reporting;
mod resetting;
mod timers;

use std::net::SocketAddrV4;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::Timestamp;
use crate::direct::adaptive_limit::AdaptiveLimits;
use crate::direct::admission::ServiceRates;
use crate::direct::answer_times::AnswerTimes;
use crate::direct::concurrency_limit::ConcurrencyLimit;
use crate::direct::decision::Decision;
use crate::direct::decision::Outcome;
use crate::direct::decision::OutcomeCounts;
use crate::direct::directory::Directory;
use crate::direct::domain_reach::DomainReach;
use crate::direct::failures::Failures;
use crate::direct::flows::FlowRecords;
use crate::direct::handshake_timeout::HandshakeTimeout;
use crate::direct::load_report::LoadReport;
use crate::direct::mechanisms::Mechanism;
use crate::direct::mechanisms::Mechanisms;
use crate::direct::message::Handover;
use crate::direct::open_requests::OpenRequests;
use crate::direct::outlier::Outliers;
use crate::direct::pending::PendingQueue;
use crate::direct::placement::Limit;
use crate::direct::placement::SlowStart;
use crate::direct::reachability::ReachabilityChange;
use crate::direct::reachability::ReachabilityChecks;
use crate::direct::readiness::Readiness;
use crate::direct::readiness::ReadinessInputs;
use crate::direct::readiness::UnreadyLimit;
use crate::direct::segment::Cookie;
use crate::direct::segment::Segment;
use crate::direct::segment::SegmentKind;
use crate::direct::store_entries::Delta;
use hawthornshift_model::InstanceId;
use hawthornshift_model::Revision;
use hawthornshift_model::TargetId;

/// Most SYNs kept while the directory is not whole: what an instance gets in the tenth of a second that a start takes.
const MAX_EARLY: usize = 64;
/// Time after a pause in which new flows wait for word that the news here is not old: an announcement comes every
/// 300 ms, and without any there is nobody who could know better.
const UNSURE: Duration = Duration::from_millis(400);
/// Time after a change of the instances nearby, or a pause of this process, in which what callers send may not be seen here:
/// the fabric asks an instance twice a second whether it is ready, and takes it out after two misses.
const UNSEEN: Duration = Duration::from_millis(1_500);
/// Age at which a kept SYN is dropped: its caller sends a copy soon.
const EARLY_AGE: Duration = Duration::from_millis(180);
/// Range and precision of the latency histograms, in milliseconds: one digit up to a minute takes 2 KB.
const HISTOGRAM_MAX: u64 = 60_000;
const HISTOGRAM_DIGITS: u8 = 1;

/// Which packet an effect sends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Packet {
    /// The one that was just handed in.
    Current,
    /// One that was kept.
    Buffered(Box<[u8]>),
}

/// Something to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Send a packet to a target.
    Forward {
        /// Which.
        packet: Packet,
        /// To where.
        to: SocketAddrV4,
        /// To whom.
        target: TargetId,
        /// The cookie to write into it, if another than it carries.
        cookie: Option<Cookie>,
    },
    /// Ask a target for a connection, and hand the outcome to [`Dispatcher::check_finished`].
    Check {
        /// Whom.
        target: TargetId,
        /// Where.
        to: SocketAddrV4,
    },
    /// Answer a caller's packet with a reset.
    Reset(Segment),
}

/// A SYN as it came.
#[derive(Clone, Copy, Debug)]
struct Syn<'a> {
    segment: &'a Segment,
    /// Copies that the caller had sent before.
    retransmissions: u32,
    packet: &'a [u8],
    since: Timestamp,
}

/// Settings of the decisions.
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    /// Number of this instance.
    pub id: InstanceId,
    /// Its failure domain.
    pub domain: String,
    /// Time after which nothing is sent any more to a failure domain that is taken out.
    pub evacuation_grace: Duration,
    /// What is switched off for a trial.
    pub mechanisms: Mechanisms,
}

/// State of the decisions about packets.
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
    refusal: UnreadyLimit,
    flows: FlowRecords,
    waiting: PendingQueue,
    handshake_timeout: HandshakeTimeout,
    cold: SlowStart,
    concurrency: ConcurrencyLimit,
    limits: AdaptiveLimits,
    rates: ServiceRates,
    /// Until when what is known here may be old, since this process was paused.
    unsure_until: Timestamp,
    /// SYNs that came before the directory was whole, or while it may be old.
    early: Vec<(Timestamp, Segment, Box<[u8]>)>,
    instances: Vec<InstanceId>,
    group: Vec<InstanceId>,
    all_domains_reported: bool,
    /// Until when callers' packets may go unseen here; `None` before the first look at it.
    unseen_until: Option<Timestamp>,
    next_sweep: Timestamp,
    next_refresh: Timestamp,
    report: LoadReport,
    decisions: Vec<Decision>,
    counts: OutcomeCounts,
    handshakes: Histogram<u32>,
    answers: Histogram<u32>,
}

/// Makes an empty latency histogram.
fn histogram() -> Histogram<u32> {
    Histogram::new_with_max(HISTOGRAM_MAX, HISTOGRAM_DIGITS)
        .expect("the bounds are constants within the library's range")
}

fn record(histogram: &mut Histogram<u32>, took: Duration) {
    let millis = u64::try_from(took.as_millis()).unwrap_or(HISTOGRAM_MAX);
    histogram.saturating_record(millis.max(1));
}

/// Makes an effect on the current packet one on a packet that was kept.
fn keep(effect: &mut Effect, kept: &[u8]) {
    if let Effect::Forward { packet, .. } = effect
        && *packet == Packet::Current
    {
        *packet = Packet::Buffered(kept.into());
    }
}

impl Dispatcher {
    /// Starts with nothing known.
    #[must_use]
    pub fn new(config: DispatcherConfig) -> Self {
        Self {
            instances: vec![config.id],
            group: vec![config.id],
            config,
            directory: Directory::default(),
            open_requests: OpenRequests::default(),
            outliers: Outliers::default(),
            domains: DomainReach::default(),
            checks: ReachabilityChecks::default(),
            failures: Failures::default(),
            answer_times: AnswerTimes::default(),
            refusal: UnreadyLimit::default(),
            flows: FlowRecords::default(),
            waiting: PendingQueue::default(),
            handshake_timeout: HandshakeTimeout::default(),
            cold: SlowStart::default(),
            concurrency: ConcurrencyLimit::default(),
            limits: AdaptiveLimits::default(),
            rates: ServiceRates::default(),
            unsure_until: Timestamp::ZERO,
            next_refresh: Timestamp::ZERO,
            early: Vec::new(),
            all_domains_reported: true,
            unseen_until: None,
            next_sweep: Timestamp::ZERO,
            report: LoadReport::default(),
            decisions: Vec::new(),
            counts: OutcomeCounts::default(),
            handshakes: histogram(),
            answers: histogram(),
        }
    }

    fn has(&self, mechanism: Mechanism) -> bool {
        self.config.mechanisms.has(mechanism)
    }

    /// Returns how full a target may be for a flow that is late or not.
    fn limit(&self, late: bool) -> Limit {
        if late || !self.has(Mechanism::TargetReserve) { Limit::Slots } else { Limit::Usual }
    }

    /// Returns what is known of the store.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the open work.
    #[must_use]
    pub fn open_requests(&self) -> &OpenRequests {
        &self.open_requests
    }

    /// Returns the targets that are avoided.
    #[must_use]
    pub fn outliers(&self) -> &Outliers {
        &self.outliers
    }

    /// Returns how many targets are out of reach or gone while flows of theirs may be open.
    #[must_use]
    pub fn unreachable_count(&self) -> usize {
        self.checks.count_unreachable()
    }

    /// Returns how many targets are set aside since their answers look like failures.
    #[must_use]
    pub fn failing_count(&self, now: Timestamp) -> usize {
        self.failures.ejected_count(now)
    }

    /// Returns how many limits are in force, one for each service and failure domain whose targets are overloaded.
    #[must_use]
    pub fn active_limit_count(&self) -> usize {
        self.limits.count()
    }

    /// Returns the counts of decisions.
    #[must_use]
    pub fn counts(&self) -> &OutcomeCounts {
        &self.counts
    }

    /// Returns the times from SYN to finished handshake and from SYN to answer, in milliseconds.
    #[must_use]
    pub fn latencies(&self) -> [(&'static str, &Histogram<u32>); 2] {
        [("handshake", &self.handshakes), ("answer", &self.answers)]
    }

    /// Returns how many flows have a record and how many wait.
    #[must_use]
    pub fn flow_counts(&self) -> (usize, usize) {
        (self.flows.len(), self.waiting.len())
    }

    /// Takes what peers should hear.
    pub fn take_report(&mut self) -> LoadReport {
        std::mem::take(&mut self.report)
    }

    /// Takes the targets that have turned out to be out of reach, or to be reached again, since the last call.
    pub fn take_reachability_changes(&mut self) -> Vec<ReachabilityChange> {
        self.checks.take_changes()
    }

    /// Takes the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Takes over which instances serve, which of them tell each other of open work, and whether all of them do.
    ///
    /// An instance that has just become known has heard nothing of what is under way here, so all that was reported is told
    /// again.
    pub fn set_members(
        &mut self,
        now: Timestamp,
        instances: Vec<InstanceId>,
        group: Vec<InstanceId>,
        all_domains_reported: bool,
    ) {
        if instances.iter().any(|id| !self.instances.contains(id)) {
            let open = self.flows.unanswered().map(|flow| (flow.id.flow_hash(), flow.target));
            let open: Vec<_> = open.filter(|(flow, _)| self.open_requests.is_reported(*flow)).collect();
            for (flow, target) in open {
                self.report_open(now, flow, target);
            }
        }
        if self.group != group {
            self.unseen_until = Some(now + UNSEEN);
        }
        self.instances = instances;
        self.group = group;
        self.all_domains_reported = all_domains_reported;
    }

    /// Takes over news of the store; tells whether anything was new.
    pub fn apply_delta(&mut self, now: Timestamp, delta: &Delta, effects: &mut Vec<Effect>) -> bool {
        let changed = self.directory.apply(now, delta);
        if changed {
            let directory = &self.directory;
            self.outliers.retain(|id| directory.target(id).is_some());
            self.checks.retain(|id| directory.target(id).is_some());
            self.failures.retain(|id| directory.target(id).is_some(), |address| directory.route(address).is_some());
            self.answer_times.retain(|address| directory.route(address).is_some());
            let known = |service: &str| directory.has_service(service);
            self.limits.retain(known);
            self.rates.retain(known);
            self.admit_early(now, effects);
            self.dispatch(now, effects);
        }
        changed
    }

    /// Notes that this process was paused: it may have missed that targets left, died or turned cold.
    pub fn process_paused(&mut self, now: Timestamp) {
        self.unsure_until = now + UNSURE;
        self.unseen_until = Some(now + UNSEEN);
    }

    /// Notes that a peer or the store has confirmed what is known here.
    pub fn confirm_up_to_date(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if now < self.unsure_until {
            self.unsure_until = now;
            self.admit_early(now, effects);
        }
    }

    /// Tells whether callers should be sent here, by whether other failure domains can be reached.
    #[must_use]
    pub fn readiness(&mut self, now: Timestamp, others_in_reach: bool) -> Readiness {
        let reach = ReadinessInputs {
            directory: &self.directory,
            outliers: &self.outliers,
            domain: &self.config.domain,
            handshake_timeout: self.handshake_timeout.limit(),
        };
        let others_in_reach = others_in_reach || !self.has(Mechanism::ReadinessByReach);
        let judged = reach.readiness(now, others_in_reach);
        self.refusal.apply(now, judged)
    }

    /// Tells whether new flows may be placed by what is known here.
    fn may_place(&self, now: Timestamp) -> bool {
        self.directory.is_synced() && now >= self.unsure_until
    }

    /// Decides about the SYNs that came before the directory was whole, or while it may have been old.
    fn admit_early(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if !self.may_place(now) {
            return;
        }
        for (since, segment, packet) in std::mem::take(&mut self.early) {
            if now.saturating_sub(since) < EARLY_AGE {
                let first = effects.len();
                self.handle_packet_at(now, since, &segment, &packet, effects);
                for effect in &mut effects[first..] {
                    keep(effect, &packet);
                }
            }
        }
    }

    /// Returns what an instance needs that knows everything up to a revision: open work too if it has just started. One
    /// that only lacks some news hears of work by load reports.
    #[must_use]
    pub fn handover(&self, now: Timestamp, since: Revision) -> Handover {
        let delta = self.directory.delta_since(now, since);
        if since > 0 {
            return Handover { delta, ..Handover::default() };
        }
        let (open_requests, avoid) = (self.open_requests.open(now).collect(), self.outliers.avoided(now).collect());
        Handover { delta, open_requests, avoid, members: Vec::new() }
    }

    /// Takes over what a peer has handed over; tells whether the store's part brought anything new.
    pub fn apply_handover(&mut self, now: Timestamp, handover: &Handover, effects: &mut Vec<Effect>) -> bool {
        for (flow, target, age) in &handover.open_requests {
            if !self.open_requests.is_open(*flow) {
                self.open_requests.record_reported(now, *flow, *target, *age);
            }
        }
        for (target, avoidance) in &handover.avoid {
            self.outliers.apply_suspicion(now, *target, *avoidance);
        }
        self.apply_delta(now, &handover.delta, effects)
    }

    /// Decides about a caller's packet.
    pub fn handle_packet(&mut self, now: Timestamp, segment: &Segment, packet: &[u8], effects: &mut Vec<Effect>) {
        self.handle_packet_at(now, now, segment, packet, effects);
    }

    /// Decides about a packet that came at `since`, which is earlier when it was kept.
    fn handle_packet_at(
        &mut self,
        now: Timestamp,
        since: Timestamp,
        segment: &Segment,
        packet: &[u8],
        effects: &mut Vec<Effect>,
    ) {
        let opens = matches!(segment.kind, SegmentKind::Syn { .. });
        if !self.directory.is_synced() || (opens && !self.may_place(now)) {
            self.not_ready(now, segment, packet);
            return;
        }
        let Some(route) = self.directory.route(segment.flow.service) else {
            self.no_route(segment, effects);
            return;
        };
        match segment.kind {
            SegmentKind::Syn { retransmissions } => {
                let route = route.clone();
                self.open(now, &Syn { segment, retransmissions, packet, since }, &route, effects);
            }
            SegmentKind::Ack | SegmentKind::Fin | SegmentKind::Rst => self.carry(now, segment, effects),
        }
    }

    /// Keeps a SYN until the directory is whole; anything else has no target that could be told.
    fn not_ready(&mut self, now: Timestamp, segment: &Segment, packet: &[u8]) {
        let known = self.early.iter().any(|(_, early, _)| early.flow == segment.flow);
        let kept = matches!(segment.kind, SegmentKind::Syn { .. }) && self.has(Mechanism::EarlySyns);
        if kept && !known && self.early.len() < MAX_EARLY {
            self.early.push((now, *segment, packet.into()));
        } else {
            self.decide(Decision::new(segment.flow, Outcome::DroppedNotReady));
        }
    }

    fn no_route(&mut self, segment: &Segment, effects: &mut Vec<Effect>) {
        self.flows.remove(&segment.flow);
        self.end_work(segment.flow);
        if segment.kind != SegmentKind::Rst {
            effects.push(Effect::Reset(*segment));
            self.decide(Decision::new(segment.flow, Outcome::ResetNoRoute));
        }
    }

    fn decide(&mut self, decision: Decision) {
        self.counts.add(decision.outcome);
        self.decisions.push(decision);
    }
}
