//! Learns how fast each target works from the answers that all instances of the group observe.
//!
//! The expected load: the targets of a service run on machines of different speed, so the same request takes 0.7 times
//! the usual time at most of them and 1.7 times at the others. An instance sees too few answers of a target to notice:
//! some 0.15 a second. The instances of a group therefore exchange counts and sums of answer times
//! ([`answer_time_report`](crate::direct::reports::answer_time_report)).
//!
//! Routes take different times, so a request is compared with the usual time of its route: the time of a request is
//! modelled as the product of a time for its route and a factor for its target, and both are fitted to the sums. A
//! factor is shrunk towards 1 by the ratio of the variance of its samples to the variance between targets, and none
//! acts unless the targets of its service differ clearly.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::Serialize;

use crate::Timestamp;
use crate::direct::reports::answer_time_report::AnswerTimeReport;
use crate::direct::reports::answer_time_report::MAX_ENTRIES;
use crate::direct::reports::answer_time_report::ReportKind;
use crate::direct::reports::answer_time_report::RouteAnswerTimes;
use crate::direct::reports::answer_time_report::TargetAnswerTimes;
use crate::direct::store::directory::Directory;
use crate::direct::store::directory::Target;
use crate::maps::FixedHashMap;
use hawthornshift_model::InstanceId;
use hawthornshift_model::TargetId;

/// Maximum weight of the samples of a target, in samples. At 3 samples a second, an estimate follows a change within
/// a minute.
const MAX_WEIGHT: f64 = 150.0;
/// Weight below which a target is not used to judge whether targets differ.
const MIN_WEIGHT: f64 = 4.0;
/// Weight below which a report on a target is urgent.
const SETTLED_WEIGHT: f64 = 30.0;
/// Time without samples in which the weight of earlier samples halves, so that new ones replace them soon.
const WEIGHT_HALF_LIFE: Duration = Duration::from_mins(5);
/// Minimum factor to which the weight of earlier samples decays; the estimate stays in use until its age limit.
const MIN_WEIGHT_DECAY: f64 = 0.2;
/// Time without samples after which an estimate starts to return to 1. Load may return after a quiet hour, and the
/// estimates must then still hold.
const AGE_LIMIT: Duration = Duration::from_mins(90);
/// Time in which an estimate beyond its age limit moves half of the way to 1.
const AGED_HALF_LIFE: Duration = Duration::from_mins(15);
/// Time without samples after which an estimate is removed. Its deviation from 1 has halved six times by then.
const REMOVAL_AGE: Duration = Duration::from_hours(3);
/// Maximum number of routes of which samples are kept for a target, which bounds the memory for services with
/// hundreds of routes.
const MAX_ROUTES: usize = 16;
/// Interval between two fits of the estimates.
const FIT_PERIOD: Duration = Duration::from_millis(500);
/// Number of targets from which the interval grows in proportion to it, which bounds the share of processor time: at
/// 4,800 targets the interval is 6 s.
const FIT_PERIOD_TARGETS: usize = 400;
/// Steps of a fit. The times of routes and the factors of targets are fitted alternately, and a fit starts with the
/// factors of the last one.
const FIT_STEPS: usize = 3;
/// Ratio to the expected time at which a sample is capped, so that a few requests that waited elsewhere do not count
/// more than hundreds of others.
const MAX_SAMPLE_RATIO: f64 = 5.0;
/// Ratio to the expected time below which a sample is ignored: failures are returned at once, and a target that fails
/// would look fast.
const MIN_SAMPLE_RATIO: f64 = 0.1;
/// Squared coefficient of variation of samples that is assumed before there are samples.
const INITIAL_VARIATION: f64 = 0.6;
/// Weight of a new sample in the squared coefficient of variation.
const VARIATION_WEIGHT: f64 = 0.02;
/// Number of standard deviations by which the differences between all targets of a service must exceed what chance
/// explains before they act, and below which they stop to act.
const CLEAR_DEVIATIONS: (f64, f64) = (5.0, 2.0);
/// Standard deviation of the targets' factors from which they act, and below which they stop to act. Smaller
/// differences cost less than they would gain.
const CLEAR_SPREAD: (f64, f64) = (0.15, 0.08);
/// Difference of a single target from the others, and its number of standard errors, from which it acts when it alone
/// differs.
const CLEAR_OUTLIER: (f64, f64) = (0.25, 5.0);
/// Fraction of the thresholds of [`CLEAR_OUTLIER`] below which a single target stops to act.
const OUTLIER_HYSTERESIS: f64 = 0.6;
/// Minimum variance between targets that the shrinkage assumes: one clear outlier among a hundred targets hardly
/// raises their variance, and would otherwise be taken for chance.
const MIN_BETWEEN: f64 = 0.01;
/// Minimum time between two changes of whether a service's speeds act, which also bounds the log.
const MIN_CHANGE_PERIOD: Duration = Duration::from_secs(5);
/// Minimum fraction of the flows for which a target with a free slot gets the cost of the fastest one. Without any
/// requests it would not be noticed that a target has become fast.
const MIN_FRACTION: f64 = 0.02;
/// Weight of the last fit period in the load.
const LOAD_WEIGHT: f64 = 0.3;
/// Load up to which it is divided between targets; above it, requests wait at all of them.
const MAX_LOAD: f64 = 0.97;
/// Steps of the bisection that divides the load.
const DIVISION_STEPS: usize = 16;
/// Range of the factors, beyond which differences have other causes than the speed of machines.
const FACTOR_RANGE: (f64, f64) = (0.4, 4.0);
/// Bytes per second that an instance may send in answer-time reports to all of its group.
const BYTES_PER_SECOND: f64 = 400.0;
/// Bytes that it may send at once. New targets and starts need a few reports in quick succession.
const BURST_BYTES: f64 = 8_000.0;
/// Bytes of a datagram without its entries, and of an entry.
const DATAGRAM_BYTES: (usize, usize) = (45, 9);
/// Interval between reports if some target has few samples, and otherwise.
const REPORT_INTERVALS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(10));
/// Minimum time between two tests whether a report is due. [`TargetSpeeds::take_report`] runs after every packet.
const REPORT_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Maximum number of requests for a summary after a start, and the time before each. Each goes to another peer.
const MAX_REQUESTS: u8 = 3;
const REQUEST_PERIOD: Duration = Duration::from_millis(700);
/// Maximum count of an entry of a summary. Newer samples of the recipient replace a summary soon.
const MAX_SUMMARY_COUNT: f64 = 40.0;
/// Unit of the sums in reports, in seconds.
const UNIT_S: f64 = 1e-4;

/// Answers to the requests of one route.
#[derive(Clone, Copy, Debug)]
struct Samples {
    route: SocketAddrV4,
    weight: f64,
    seconds: f64,
}

/// What is known of a target.
#[derive(Clone, Debug)]
struct TargetRecord {
    /// The start of the target that the samples belong to.
    known_since: Timestamp,
    samples: Vec<Samples>,
    updated_at: Timestamp,
    /// Ratio to the mean time of the service's targets, as fitted last.
    ratio: f64,
}

impl TargetRecord {
    fn new(now: Timestamp, known_since: Timestamp) -> Self {
        Self { known_since, samples: Vec::new(), updated_at: now, ratio: 1.0 }
    }

    fn weight(&self) -> f64 {
        self.samples.iter().map(|samples| samples.weight).sum()
    }

    /// Returns the factor by which the weight of the samples has decayed with their age.
    fn weight_decay(&self, now: Timestamp) -> f64 {
        halved(now.saturating_sub(self.updated_at), WEIGHT_HALF_LIFE).max(MIN_WEIGHT_DECAY)
    }

    /// Returns the fraction of the estimate's deviation from 1 that is left at its age.
    fn validity(&self, now: Timestamp) -> f64 {
        halved(now.saturating_sub(self.updated_at).saturating_sub(AGE_LIMIT), AGED_HALF_LIFE)
    }

    fn scale(&mut self, factor: f64) {
        for samples in &mut self.samples {
            samples.weight *= factor;
            samples.seconds *= factor;
        }
    }

    fn add(&mut self, now: Timestamp, route: SocketAddrV4, count: f64, seconds: f64) {
        self.scale(self.weight_decay(now));
        self.updated_at = now;
        let weight = self.weight();
        if weight + count > MAX_WEIGHT {
            self.scale((MAX_WEIGHT - count).max(0.0) / weight.max(1.0));
        }
        if let Some(samples) = self.samples.iter_mut().find(|samples| samples.route == route) {
            samples.weight += count;
            samples.seconds += seconds;
            return;
        }
        if self.samples.len() >= MAX_ROUTES {
            let least =
                (0..self.samples.len()).min_by(|a, b| self.samples[*a].weight.total_cmp(&self.samples[*b].weight));
            self.samples.swap_remove(least.unwrap_or(0));
        }
        self.samples.push(Samples { route, weight: count, seconds });
    }
}

/// What is known of a service's targets together.
#[derive(Clone, Copy, Debug)]
struct ServiceRecord {
    /// Squared coefficient of variation of the samples.
    variation: f64,
    /// Work of the answers since the last fit, in seconds at a target of mean speed.
    work: f64,
    /// Smoothed work per second that passes through this instance, in the same unit.
    load: f64,
    /// Whether the speeds act on placement.
    active: bool,
    next_change: Timestamp,
}

impl Default for ServiceRecord {
    fn default() -> Self {
        Self { variation: INITIAL_VARIATION, work: 0.0, load: 0.0, active: false, next_change: Timestamp::ZERO }
    }
}

/// A change of whether the speeds of a service's targets act on placement.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    /// The service.
    pub service: String,
    /// Whether the speeds act from now on.
    pub active: bool,
    /// Number of targets that were compared.
    pub targets: usize,
    /// The smallest and the greatest ratio of a target's time to the mean.
    pub ratios: (f64, f64),
    /// Mean weight of the samples of a target, in samples.
    pub samples: f64,
    /// Age of the latest sample of the target that has had none for longest.
    pub age: Duration,
}

/// The estimate of a target's speed, for the state dump.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct SpeedEstimate {
    /// Factor on the target's cost that is in force.
    pub factor: f64,
    /// Ratio of the target's time to the mean of its service.
    pub ratio: f64,
    /// Weight of the samples, in samples.
    pub samples: f64,
    /// Time since the latest sample, in milliseconds.
    pub age_ms: u128,
}

/// The recipients of reports.
#[derive(Clone, Copy, Debug)]
pub struct Recipients {
    /// This instance, which is not among them.
    pub me: InstanceId,
    /// Number of the other instances in the group.
    pub peers: usize,
}

/// The speed of a target as it acts on placement.
#[derive(Clone, Copy, Debug)]
struct Speed {
    factor: f64,
    /// The least factor of the service's targets.
    least: f64,
    /// Fraction of the flows for which the target gets the least factor while it has a free slot.
    fraction: f64,
}

/// The part of the targets' capacity that this instance may use.
#[derive(Clone, Copy, Debug)]
pub struct CapacityShare<'a> {
    /// The failure domain whose targets are shared with the group, or `None` if it is all of them.
    pub domain: Option<&'a str>,
    /// Number of instances that share the targets, including this one.
    pub instances: usize,
}

/// Samples that have not been reported yet.
#[derive(Clone, Copy, Debug, Default)]
struct Unreported {
    count: u16,
    seconds: f64,
}

/// Counters of answer times.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SampleCounts {
    /// Answers observed by this instance.
    pub own: u64,
    /// Answers received in reports of peers.
    pub peers: u64,
}

/// The speeds of all targets.
#[derive(Clone, Debug)]
pub struct TargetSpeeds {
    targets: FixedHashMap<TargetId, TargetRecord>,
    services: BTreeMap<String, ServiceRecord>,
    /// Usual time of each route at a target of mean speed, in seconds.
    route_seconds: FixedHashMap<SocketAddrV4, f64>,
    /// Speeds in force; empty while no service's speeds act.
    factors: FixedHashMap<TargetId, Speed>,
    unreported: BTreeMap<(SocketAddrV4, TargetId), Unreported>,
    allowance: f64,
    allowance_at: Timestamp,
    last_report: Timestamp,
    summary_requested: bool,
    /// Number of requests for a summary that this instance has sent since its start.
    requests: u8,
    next_request: Option<Timestamp>,
    last_fit: Timestamp,
    next_fit: Timestamp,
    next_check: Timestamp,
    changes: Vec<SpeedChange>,
    counts: SampleCounts,
}

impl Default for TargetSpeeds {
    fn default() -> Self {
        Self {
            targets: FixedHashMap::default(),
            services: BTreeMap::new(),
            route_seconds: FixedHashMap::default(),
            factors: FixedHashMap::default(),
            unreported: BTreeMap::new(),
            allowance: BURST_BYTES,
            allowance_at: Timestamp::ZERO,
            last_report: Timestamp::ZERO,
            summary_requested: false,
            requests: 0,
            next_request: None,
            last_fit: Timestamp::ZERO,
            next_fit: Timestamp::ZERO,
            next_check: Timestamp::ZERO,
            changes: Vec::new(),
            counts: SampleCounts::default(),
        }
    }
}

/// Returns the fraction that is left of something that halves every `half_life`.
fn halved(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Returns the time that a target worked on a request, given the time from the request to the start of its answer, the
/// round-trip time, and the number of requests that the target had open when it got the request, including it.
///
/// A request beyond the slots waits for as many to end as are ahead of it. Without this correction, targets that get
/// requests in proportion to their speed would all seem to be equally fast as soon as they are full.
#[must_use]
pub fn work_time(took: Duration, round_trip: Duration, open: u32, slots: u32) -> Duration {
    let slots = slots.max(1);
    took.saturating_sub(round_trip).mul_f64(f64::from(slots) / f64::from(open.max(slots)))
}

impl TargetSpeeds {
    /// Returns the factor on the cost of a target: 1.0 unless the targets of its service clearly differ.
    #[must_use]
    pub fn factor(&self, target: TargetId) -> f64 {
        self.factors.get(&target).map_or(1.0, |speed| speed.factor)
    }

    /// Returns the factor on the cost of a target for a flow with the given rendezvous score at the target, and the score
    /// that decides between equal costs.
    ///
    /// Instances see only a part of each other's requests. If all of them preferred the fastest target with a free slot,
    /// its requests would wait for each other while slower targets are idle. So each target with a free slot gets the
    /// cost of the fastest for a fraction of the flows, which leads to its share of the load.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "53 bits are precise enough to divide flows")]
    pub fn weigh(&self, target: TargetId, score: u64, has_free_slot: bool) -> (f64, u64) {
        let Some(speed) = self.factors.get(&target) else { return (1.0, score) };
        let scaled = score as f64 / speed.fraction;
        if !has_free_slot || scaled > u64::MAX as f64 {
            return (speed.factor, score);
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "within the range")]
        let score = scaled as u64;
        (speed.least, score)
    }

    /// Returns how many requests a target may queue, if one of mean speed may queue `reserve`.
    #[must_use]
    pub fn queue(&self, target: TargetId, reserve: u32) -> u32 {
        let factor = self.factor(target);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "at most 2.5 times the reserve")]
        let scaled = (f64::from(reserve) / factor).round() as u32;
        scaled
    }

    /// Returns whether the speeds of a service's targets act on placement.
    #[must_use]
    pub fn is_active(&self, service: &str) -> bool {
        !self.factors.is_empty() && self.services.get(service).is_some_and(|service| service.active)
    }

    /// Returns the estimate of a target, or `None` without samples.
    #[must_use]
    pub fn estimate(&self, now: Timestamp, target: TargetId) -> Option<SpeedEstimate> {
        let record = self.targets.get(&target)?;
        let samples = record.weight() * record.weight_decay(now);
        let age_ms = now.saturating_sub(record.updated_at).as_millis();
        Some(SpeedEstimate { factor: self.factor(target), ratio: record.ratio, samples, age_ms })
    }

    /// Returns the number of targets with an estimate.
    #[must_use]
    pub fn known_count(&self) -> usize {
        self.targets.len()
    }

    /// Returns the number of services whose targets' speeds act on placement.
    #[must_use]
    pub fn active_count(&self) -> usize {
        self.services.values().filter(|service| service.active).count()
    }

    /// Returns the smallest and the greatest factor in force.
    #[must_use]
    pub fn factor_range(&self) -> (f64, f64) {
        self.factors.values().fold((1.0, 1.0), |(least, most), speed| (speed.factor.min(least), speed.factor.max(most)))
    }

    /// Returns the number of answers that the estimates are based on.
    #[must_use]
    pub fn counts(&self) -> SampleCounts {
        self.counts
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<SpeedChange> {
        std::mem::take(&mut self.changes)
    }

    /// Records the time that a target worked on a request of a route. Cold targets are left out, since they are slow
    /// until they are warm.
    pub fn sample(&mut self, now: Timestamp, route: SocketAddrV4, target: &Target, work: Duration) {
        if target.is_cold(now) {
            return;
        }
        let ratio = self.targets.get(&target.id).map_or(1.0, |record| record.ratio);
        let mut seconds = work.as_secs_f64();
        if let Some(usual) = self.route_seconds.get(&route) {
            let expected = usual * ratio;
            if seconds < expected * MIN_SAMPLE_RATIO {
                return;
            }
            seconds = seconds.min(expected * MAX_SAMPLE_RATIO);
            let service = self.service_mut(&target.spec.service);
            service.variation += ((seconds / expected - 1.0).powi(2) - service.variation) * VARIATION_WEIGHT;
            service.work += seconds / ratio;
        }
        self.counts.own += 1;
        self.record_mut(now, target).add(now, route, 1.0, seconds);
        let unreported = self.unreported.entry((route, target.id)).or_default();
        unreported.count = unreported.count.saturating_add(1);
        unreported.seconds += seconds;
    }

    fn service_mut(&mut self, name: &str) -> &mut ServiceRecord {
        if !self.services.contains_key(name) {
            self.services.insert(name.to_owned(), ServiceRecord::default());
        }
        self.services.get_mut(name).expect("inserted just before")
    }

    /// Returns the record of a target's present start.
    fn record_mut(&mut self, now: Timestamp, target: &Target) -> &mut TargetRecord {
        let first = || TargetRecord::new(now, target.known_since);
        let record = self.targets.entry(target.id).or_insert_with(first);
        if record.known_since != target.known_since {
            *record = first();
        }
        record
    }

    /// Applies a peer's report. Entries of unknown routes and targets are skipped.
    pub fn apply(&mut self, now: Timestamp, directory: &Directory, report: &AnswerTimeReport) {
        let mut summarized = false;
        for of_route in &report.routes {
            let Some(route) = directory.route(of_route.route) else { continue };
            for entry in of_route.targets.iter().filter(|entry| entry.count > 0) {
                let target = directory.by_cookie(entry.target).filter(|target| {
                    route.shares.iter().any(|share| share.service == target.spec.service) && !target.is_cold(now)
                });
                let Some(target) = target else { continue };
                let count = f64::from(entry.count);
                let scale = (MAX_WEIGHT / count).min(1.0);
                let seconds = f64::from(entry.sum) * UNIT_S * scale;
                let record = self.record_mut(now, target);
                if report.kind == ReportKind::Summary {
                    summarized = true;
                    if record.weight() >= count {
                        continue;
                    }
                    record.samples.retain(|samples| samples.route != route.address);
                }
                record.add(now, route.address, count * scale, seconds);
                self.counts.peers += u64::from(entry.count);
            }
        }
        if summarized {
            self.requests = MAX_REQUESTS;
        }
    }

    /// Makes the next report a summary.
    pub fn request_summary(&mut self) {
        self.summary_requested = true;
    }

    /// Returns the report to send, if one is due and the limit on bytes per second allows it.
    pub fn take_report(
        &mut self,
        now: Timestamp,
        directory: &Directory,
        Recipients { me, peers }: Recipients,
    ) -> Option<AnswerTimeReport> {
        if now < self.next_check {
            return None;
        }
        self.next_check = now + REPORT_CHECK_PERIOD;
        if peers == 0 || !directory.is_synced() {
            self.unreported.clear();
            return None;
        }
        let next_request = *self.next_request.get_or_insert(now + REQUEST_PERIOD);
        if self.requests < MAX_REQUESTS && now >= next_request {
            let kind = ReportKind::Request { sender: me, attempt: self.requests };
            self.requests += 1;
            self.next_request = Some(now + REQUEST_PERIOD);
            return Some(AnswerTimeReport { kind, routes: Vec::new() });
        }
        let earned = now.saturating_sub(self.allowance_at).as_secs_f64() * BYTES_PER_SECOND;
        self.allowance = (self.allowance + earned).min(BURST_BYTES);
        self.allowance_at = now;
        if self.summary_requested && self.pay(self.targets.len(), peers) {
            self.summary_requested = false;
            return Some(self.summary(directory)).filter(|summary| !summary.routes.is_empty());
        }
        if self.unreported.is_empty() || now < self.last_report + REPORT_INTERVALS.0 {
            return None;
        }
        let unsettled = |id| self.targets.get(&id).is_none_or(|record| record.weight() < SETTLED_WEIGHT);
        let urgent = self.unreported.keys().any(|(_, id)| unsettled(*id));
        if !urgent && now < self.last_report + REPORT_INTERVALS.1 || !self.pay(self.unreported.len(), peers) {
            return None;
        }
        self.last_report = now;
        let mut keys: Vec<_> = self.unreported.iter().map(|(key, unreported)| (*key, unreported.count)).collect();
        keys.sort_by_key(|(_, count)| Reverse(*count));
        let mut entries = Vec::new();
        for (key, _) in keys.into_iter().take(MAX_ENTRIES) {
            let Some(Unreported { count, seconds }) = self.unreported.remove(&key) else { continue };
            entries.push((key.0, key.1, count, seconds));
        }
        Some(report(ReportKind::Recent, directory, entries))
    }

    /// Takes the bytes of a report from the allowance. A report that exceeds the whole burst is allowed after a full
    /// burst and delays the next one.
    fn pay(&mut self, entries: usize, peers: usize) -> bool {
        let (base, each) = DATAGRAM_BYTES;
        let bytes = (base + each * entries.min(MAX_ENTRIES)) * peers;
        let cost = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        let allowed = self.allowance >= cost.min(BURST_BYTES);
        if allowed {
            self.allowance -= cost;
        }
        allowed
    }

    fn summary(&self, directory: &Directory) -> AnswerTimeReport {
        let mut entries: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, record)| record.weight() >= MIN_WEIGHT)
            .flat_map(|(id, record)| record.samples.iter().map(|samples| (*id, *samples)))
            .collect();
        entries.sort_by(|(_, a), (_, b)| b.weight.total_cmp(&a.weight));
        entries.truncate(MAX_ENTRIES);
        let entries = entries.into_iter().map(|(id, samples)| {
            let count = samples.weight.min(MAX_SUMMARY_COUNT).round().max(1.0);
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "at most MAX_SUMMARY_COUNT")]
            let whole = count as u16;
            (samples.route, id, whole, samples.seconds / samples.weight * count)
        });
        report(ReportKind::Summary, directory, entries)
    }

    /// Removes the records of targets that have been restarted or are gone, and of unknown routes.
    pub fn retain(&mut self, directory: &Directory) {
        self.targets
            .retain(|id, record| directory.target(*id).is_some_and(|target| target.known_since == record.known_since));
        let targets = &self.targets;
        self.factors.retain(|id, _| targets.contains_key(id));
        self.unreported.retain(|(route, id), _| targets.contains_key(id) && directory.route(*route).is_some());
        self.route_seconds.retain(|route, _| directory.route(*route).is_some());
        self.services.retain(|name, _| directory.has_service(name));
        for record in self.targets.values_mut() {
            record.samples.retain(|samples| directory.route(samples.route).is_some());
        }
    }

    /// Fits the estimates to the samples, if that is due, and decides which services' speeds act.
    pub fn update(&mut self, now: Timestamp, directory: &Directory, share: CapacityShare<'_>) {
        if now < self.next_fit {
            return;
        }
        let intervals = u32::try_from(self.targets.len() / FIT_PERIOD_TARGETS).unwrap_or(u32::MAX).max(1);
        let period = now.saturating_sub(self.last_fit).max(FIT_PERIOD);
        self.last_fit = now;
        self.next_fit = now + FIT_PERIOD * intervals;
        for service in self.services.values_mut() {
            let per_second = std::mem::take(&mut service.work) / period.as_secs_f64();
            service.load += (per_second - service.load) * LOAD_WEIGHT;
        }
        self.targets.retain(|_, record| now.saturating_sub(record.updated_at) < REMOVAL_AGE);
        let mut ids: Vec<TargetId> = self.targets.keys().copied().collect();
        ids.sort_unstable();
        let mut by_service: BTreeMap<&str, Vec<TargetId>> = BTreeMap::new();
        for target in ids.iter().filter_map(|id| directory.target(*id)) {
            by_service.entry(&target.spec.service).or_default().push(target.id);
        }
        self.factors.clear();
        for (service, ids) in by_service {
            for _ in 0..FIT_STEPS {
                self.fit_routes(&ids);
                self.fit_targets(&ids);
            }
            if let Some(spread) = self.judge(now, service, &ids) {
                self.set_speeds(now, directory, &ids, spread, share, service);
            }
        }
    }

    /// Fits the usual time of each route to the samples, given the ratios of the targets.
    fn fit_routes(&mut self, ids: &[TargetId]) {
        let mut sums: FixedHashMap<SocketAddrV4, (f64, f64)> = FixedHashMap::default();
        for record in ids.iter().filter_map(|id| self.targets.get(id)) {
            for samples in &record.samples {
                let (weight, seconds) = sums.entry(samples.route).or_default();
                *weight += samples.weight * record.ratio;
                *seconds += samples.seconds;
            }
        }
        for (route, (weight, seconds)) in sums {
            self.route_seconds.insert(route, (seconds / weight.max(f64::EPSILON)).max(UNIT_S));
        }
    }

    /// Fits the ratio of each target to the samples, given the usual times of the routes, so that their mean is 1.
    fn fit_targets(&mut self, ids: &[TargetId]) {
        let (mut sum, mut count) = (0.0, 0.0);
        for id in ids {
            let Some(record) = self.targets.get_mut(id) else { continue };
            let expected: f64 = record
                .samples
                .iter()
                .map(|samples| samples.weight * self.route_seconds.get(&samples.route).copied().unwrap_or(UNIT_S))
                .sum();
            let seconds: f64 = record.samples.iter().map(|samples| samples.seconds).sum();
            record.ratio = if expected > 0.0 { seconds / expected } else { 1.0 };
            if record.weight() >= MIN_WEIGHT {
                sum += record.ratio;
                count += 1.0;
            }
        }
        if count > 0.0 && sum > 0.0 {
            for id in ids {
                if let Some(record) = self.targets.get_mut(id) {
                    record.ratio *= count / sum;
                }
            }
        }
    }

    /// Decides whether the speeds of a service's targets act. Returns how far they differ if they do.
    fn judge(&mut self, now: Timestamp, name: &str, ids: &[TargetId]) -> Option<Spread> {
        let records: Vec<(TargetId, &TargetRecord)> =
            ids.iter().filter_map(|id| Some((*id, self.targets.get(id)?))).collect();
        let compared = || records.iter().filter(|(_, record)| record.weight() >= MIN_WEIGHT);
        let differences: Vec<Difference> = compared().map(|(_, record)| Difference::of(now, record)).collect();
        let known = self.services.get(name).copied().unwrap_or_default();
        let spread = Spread::new(&differences, known.variation);
        let active = if known.active { !spread.is_over() } else { spread.is_clear() };
        if active != known.active && now >= known.next_change {
            let of = |pick: fn(f64, f64) -> f64| compared().map(|(_, record)| record.ratio).reduce(pick).unwrap_or(1.0);
            let age = compared().map(|(_, record)| now.saturating_sub(record.updated_at)).max().unwrap_or_default();
            let weight: f64 = differences.iter().map(|difference| difference.weight).sum();
            self.changes.push(SpeedChange {
                service: name.to_owned(),
                active,
                targets: differences.len(),
                ratios: (of(f64::min), of(f64::max)),
                samples: weight / spread.targets.max(1.0),
                age,
            });
            let service = self.services.entry(name.to_owned()).or_insert(known);
            (service.active, service.next_change) = (active, now + MIN_CHANGE_PERIOD);
        }
        self.services.get(name).filter(|service| service.active).map(|_| spread)
    }

    /// Sets the speeds in force of a service's targets.
    fn set_speeds(
        &mut self,
        now: Timestamp,
        directory: &Directory,
        ids: &[TargetId],
        spread: Spread,
        share: CapacityShare<'_>,
        service: &str,
    ) {
        let shrinkage = spread.noise_weight();
        let mut targets: Vec<Divided> = Vec::new();
        let mut capacity = 0.0;
        for target in ids.iter().filter_map(|id| directory.target(*id)) {
            let Some(record) = self.targets.get(&target.id) else { continue };
            let Difference { weight, from_mean } = Difference::of(now, record);
            let factor = 1.0 + from_mean * weight / (weight + shrinkage);
            let factor = factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
            let slots = f64::from(target.spec.slots.max(1));
            targets.push(Divided { id: target.id, factor, slots });
            if target.takes_flows(now) && share.domain.is_none_or(|domain| domain == target.spec.failure_domain) {
                capacity += slots / factor;
            }
        }
        let instances = f64::from(u32::try_from(share.instances).unwrap_or(u32::MAX));
        let used = self.services.get(service).map_or(0.0, |service| service.load) * instances;
        let load = if capacity > 0.0 { (used / capacity).min(MAX_LOAD) } else { MAX_LOAD };
        let waiting = f64::midpoint(1.0, spread.variation);
        let marginal = marginal_time(&targets, load, waiting);
        let least = targets.iter().map(|target| target.factor).reduce(f64::min).unwrap_or(1.0);
        let rates: Vec<f64> = targets.iter().map(|target| target.rate(marginal, waiting)).collect();
        let most = rates.iter().copied().fold(f64::EPSILON, f64::max);
        for (target, rate) in targets.iter().zip(rates) {
            let fraction = (rate / most).max(MIN_FRACTION);
            self.factors.insert(target.id, Speed { factor: target.factor, least, fraction });
        }
    }
}

/// A target among those that the load is divided between.
#[derive(Clone, Copy, Debug)]
struct Divided {
    id: TargetId,
    factor: f64,
    slots: f64,
}

impl Divided {
    /// Returns the rate of requests of the target, by slot, at which one more request adds `marginal` to the time of all.
    ///
    /// With `x` for the fraction of the slots in use to the power of their number, a request takes about
    /// `factor (1 + waiting x / (1 - x))` (queueing theory, M/G/c), where `waiting` follows from the variation of the
    /// work. The derivative of the total time by the rate is solved for `x`.
    fn rate(&self, marginal: f64, waiting: f64) -> f64 {
        let excess = marginal - self.factor;
        if excess <= 0.0 {
            return 0.0;
        }
        let waiting = self.factor * waiting;
        let slope = 2.0 * excess + (self.slots + 1.0) * waiting;
        let root = (slope * slope - 4.0 * (excess + waiting) * excess).max(0.0).sqrt();
        let power = ((slope - root) / (2.0 * (excess + waiting))).clamp(0.0, 1.0);
        power.powf(1.0 / self.slots) / self.factor
    }
}

/// Returns the marginal time at which the targets together serve a fraction of their capacity. Dividing the load so that
/// it is the same at all targets minimizes the mean time.
fn marginal_time(targets: &[Divided], load: f64, waiting: f64) -> f64 {
    let capacity: f64 = targets.iter().map(|target| target.slots / target.factor).sum();
    let (mut low, mut high) = (FACTOR_RANGE.0, FACTOR_RANGE.1 / (1.0 - MAX_LOAD).powi(2));
    for _ in 0..DIVISION_STEPS {
        let middle = (low * high).sqrt();
        let served: f64 = targets.iter().map(|target| target.rate(middle, waiting) * target.slots).sum();
        if served < load * capacity {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// Difference of a target from the mean of its service.
#[derive(Clone, Copy, Debug)]
struct Difference {
    /// Weight of the samples, in samples.
    weight: f64,
    /// The ratio of the target's time to the mean, less 1, as far as it is still valid.
    from_mean: f64,
}

impl Difference {
    fn of(now: Timestamp, record: &TargetRecord) -> Self {
        Self { weight: record.weight(), from_mean: (record.ratio - 1.0) * record.validity(now) }
    }

    /// Returns whether the target alone differs clearly enough, for a fraction of the usual thresholds.
    fn is_outlier(&self, variation: f64, fraction: f64) -> bool {
        let (difference, errors) = CLEAR_OUTLIER;
        let distance = self.from_mean.abs();
        distance >= difference * fraction && distance * (self.weight / variation).sqrt() >= errors * fraction
    }
}

/// How far the targets of a service differ, compared to what chance explains.
#[derive(Clone, Copy, Debug)]
struct Spread {
    targets: f64,
    /// Squared coefficient of variation of the samples.
    variation: f64,
    /// Variance of the targets' ratios beyond what the variation of the samples explains.
    between: f64,
    /// Number of standard deviations by which the differences exceed what chance explains (a chi-squared statistic).
    deviations: f64,
    /// Whether a single target differs clearly, and whether one still differs when none acts yet.
    outlier: (bool, bool),
}

impl Spread {
    fn new(differences: &[Difference], variation: f64) -> Self {
        let targets = f64::from(u32::try_from(differences.len()).unwrap_or(u32::MAX));
        let freedom = (targets - 1.0).max(1.0);
        let squares: f64 = differences.iter().map(|it| it.from_mean.powi(2)).sum();
        let noise: f64 = differences.iter().map(|it| variation / it.weight).sum();
        let statistic: f64 = differences.iter().map(|it| it.weight * it.from_mean.powi(2) / variation).sum();
        let outlier = |fraction| differences.iter().any(|it| it.is_outlier(variation, fraction));
        Self {
            targets,
            variation,
            between: ((squares - noise) / freedom).max(0.0),
            deviations: (statistic - freedom) / (2.0 * freedom).sqrt(),
            outlier: (outlier(1.0), outlier(OUTLIER_HYSTERESIS)),
        }
    }

    fn is_clear(&self) -> bool {
        self.outlier.0 || (self.deviations >= CLEAR_DEVIATIONS.0 && self.between.sqrt() >= CLEAR_SPREAD.0)
    }

    fn is_over(&self) -> bool {
        !self.outlier.1 && (self.deviations < CLEAR_DEVIATIONS.1 || self.between.sqrt() < CLEAR_SPREAD.1)
    }

    /// Returns the weight at which the variance of a target's mean equals the variance between targets.
    fn noise_weight(&self) -> f64 {
        self.variation / self.between.max(MIN_BETWEEN)
    }
}

/// Makes a report of entries: route, target, number of answers and their time in seconds.
fn report(
    kind: ReportKind,
    directory: &Directory,
    entries: impl IntoIterator<Item = (SocketAddrV4, TargetId, u16, f64)>,
) -> AnswerTimeReport {
    let mut routes: BTreeMap<SocketAddrV4, Vec<TargetAnswerTimes>> = BTreeMap::new();
    for (route, id, count, seconds) in entries {
        let Some(target) = directory.target(id) else { continue };
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a float saturates in the cast")]
        let sum = (seconds / UNIT_S).round() as u32;
        routes.entry(route).or_default().push(TargetAnswerTimes { target: target.cookie(), count, sum });
    }
    let routes = routes.into_iter().map(|(route, targets)| RouteAnswerTimes { route, targets }).collect();
    AnswerTimeReport { kind, routes }
}
