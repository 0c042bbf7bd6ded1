//! Which target a new flow goes to.
//!
//! The load that this answers: targets with a few slots, each request tens of milliseconds, many instances deciding at
//! once. A target's cost is the work it would hold with this flow, by its slots, times how much slower than usual it
//! is. Among equals the own failure domain goes first, since bytes between domains are dear and links between them
//! fail; then the flow's hash decides, so that instances that decide at the same moment part.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Timestamp;
use crate::direct::adaptive_limit::AdaptiveLimits;
use crate::direct::adaptive_limit::Usage;
use crate::direct::directory::Directory;
use crate::direct::directory::Target;
use crate::direct::domain_reach::DomainReach;
use crate::direct::failures::Failures;
use crate::direct::mechanisms::Mechanism;
use crate::direct::mechanisms::Mechanisms;
use crate::direct::open_requests::OpenRequests;
use crate::direct::outlier::Availability;
use crate::direct::outlier::Outliers;
use crate::rendezvous;
use hawthornshift_model::InstanceId;
use hawthornshift_model::TargetId;

/// Requests that may wait at a target beyond its slots before flows wait here instead.
///
/// Word of a request's end reaches an instance some 7 ms late; with nothing waiting a slot would idle for that long,
/// a sixth of a usual request.
const WAITING_AT_TARGET: u32 = 2;
/// Requests beyond its slots that a target is taken to queue; above it a target sheds what it is sent.
const TARGET_QUEUE: u32 = 6;
/// What a target of another failure domain costs more, in units of one full set of slots.
const REMOTE: f64 = 0.26;
/// The same when other domains' work is not told here, so that it is unknown how full the target is.
const REMOTE_UNTOLD: f64 = 1.01;
/// Time between two flows that one instance places on a cold target when all are cold. Restarts and pauses make
/// instances disagree about whose task that is; five that do still stay within what a cold target bears at the least.
const COLD_PERIOD: Duration = Duration::from_secs(1);

/// Part of a service's targets, as a divisor, above which targets that come back together count as warm.
const MANY_RETURNING: usize = 3;

/// How full targets may be for a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Limit {
    /// Slots alone: the flow is late already, and must not stand in the way of those that are not.
    Slots,
    /// Slots and a small reserve: more would wait longer at the target than here.
    Usual,
    /// As much as targets queue: the flow was sent to a target that does not answer, and cannot wait here any more.
    Full,
}

/// What came of the search for a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// This one.
    Target(TargetId),
    /// There are targets, all as full as the limit allows.
    Full,
    /// No target may get a flow of this service.
    NoTarget,
}

/// What a choice rests on.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// The targets.
    pub directory: &'a Directory,
    /// What they work on.
    pub open_requests: &'a OpenRequests,
    /// Which of them seem not to answer.
    pub outliers: &'a Outliers,
    /// Which failure domains seem not to answer.
    pub domains: &'a DomainReach,
    /// Which of them answer with failures.
    pub failures: &'a Failures,
    /// How much may be open while targets are overloaded.
    pub limits: &'a AdaptiveLimits,
    /// The failure domain of this instance.
    pub domain: &'a str,
    /// What is switched off for a trial.
    pub mechanisms: Mechanisms,
    /// Whether the work of all failure domains is told here.
    pub all_domains_reported: bool,
    /// Handshake timeout, for trials of avoided targets.
    pub handshake_timeout: Duration,
    /// Number of this instance.
    pub me: InstanceId,
    /// How many instances serve.
    pub instances: usize,
    /// The instances that tell each other of open work, this one included.
    pub group: &'a [InstanceId],
}

impl Placement<'_> {
    /// Returns the target for a new flow of a service, never one of `tried`.
    #[must_use]
    pub fn choose(&self, now: Timestamp, service: &str, hash: u64, limit: Limit, tried: &[TargetId]) -> Choice {
        let warm = |target: &&Target| !self.is_cold(now, target);
        let mut suspicions = PerDomain::default();
        let mut full = PerDomain::default();
        let mut any = false;
        let mut any_in_use = false;
        let mut best: Option<(f64, u64, TargetId)> = None;
        let mut best_suspected: Option<(f64, u64, TargetId)> = None;
        let mut best_silent: Option<(f64, u64, TargetId)> = None;
        for target in self.directory.candidates(now, service).filter(warm) {
            any = true;
            any_in_use |= self.outliers.availability(now, target.id, self.handshake_timeout, || false)
                != Availability::Unresponsive;
            let domain = target.spec.failure_domain.as_str();
            let bounded = limit != Limit::Full && full.get(domain, || self.is_at_limit(now, service, domain));
            if tried.contains(&target.id) || !self.has_room(target, limit) || bounded {
                continue;
            }
            let cost = (self.cost(now, target), rendezvous::score(hash, target.id), target.id);
            let place =
                match self.outliers.availability(now, target.id, self.handshake_timeout, || self.is_mine(target.id)) {
                    Availability::Available if self.failures.is_ejected(now, target.id, || self.is_mine(target.id)) => {
                        &mut best_suspected
                    }
                    Availability::Available
                        if suspicions
                            .get(domain, || self.suspicion(now, domain, tried))
                            .is_some_and(|d| d.concerns(target)) =>
                    {
                        &mut best_suspected
                    }
                    Availability::Available => &mut best,
                    Availability::Suspected => &mut best_suspected,
                    Availability::Unresponsive if self.outliers.may_try_last(now, target.id) => &mut best_silent,
                    Availability::Unresponsive => continue,
                };
            if place.is_none_or(|place| (cost.0, cost.1) < (place.0, place.1)) {
                *place = Some(cost);
            }
        }
        // A suspicion only orders the targets. When callers' packets begin to reach other instances, handshakes by the
        // dozen seem not to be finished and most targets are suspected at once; to wait for the few others then costs
        // seconds, and a try of one that is dead 40 ms, at most as often as it has slots.
        // One that has long been silent may have been restarted and be cold, so many tries at once could do it harm.
        let last = if any_in_use { None } else { best_silent };
        match best.or(best_suspected).or(last) {
            Some((_, _, id)) => Choice::Target(id),
            None if any => Choice::Full,
            None => Choice::NoTarget,
        }
    }

    /// Tells whether this instance has as many requests open with a service's targets of a failure domain as it may.
    fn is_at_limit(&self, now: Timestamp, service: &str, domain: &str) -> bool {
        if !self.mechanisms.has(Mechanism::AdaptiveLimit) {
            return false;
        }
        let Some(size) = self.limits.size(service, domain) else { return false };
        let usage = self.usage(now, service, Some(domain));
        f64::from(usage.open) >= size.max(usage.share)
    }

    /// Returns how this instance stands with a service's targets, those of one failure domain or all.
    ///
    /// The instances that tell each other of open work share the slots nearby; elsewhere everyone has a small part.
    #[must_use]
    pub fn usage(&self, now: Timestamp, service: &str, domain: Option<&str>) -> Usage {
        let inside = |target: &Target| domain.is_none_or(|domain| target.spec.failure_domain == domain);
        let targets = self.directory.candidates(now, service).filter(|target| inside(target));
        let slots: u32 = targets.map(|target| target.spec.slots.max(1)).sum();
        let instances = if domain == Some(self.domain) { self.group.len() } else { self.instances };
        let instances = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
        let serves = |id: TargetId| {
            self.directory.target(id).is_some_and(|target| target.spec.service == service && inside(target))
        };
        let open = self.open_requests.own().filter(|(target, _)| serves(*target)).map(|(_, count)| count).sum();
        Usage { open, share: f64::from(slots) / f64::from(instances) }
    }

    /// Returns which targets of a failure domain go behind others.
    ///
    /// All do if one of its targets did not finish this flow's handshake and none has answered since; those that the domain
    /// had before it came under suspicion do while it is.
    fn suspicion(&self, now: Timestamp, domain: &str, tried: &[TargetId]) -> Option<DomainSuspicion> {
        if !self.mechanisms.has(Mechanism::DomainReach) {
            return None;
        }
        let of_domain = |id: &TargetId| self.directory.target(*id).is_some_and(|t| t.spec.failure_domain == domain);
        if tried.iter().any(of_domain) && !self.domains.answers(now, domain) {
            return Some(DomainSuspicion::All);
        }
        let mine = |key| self.is_mine(key);
        self.domains.avoided_since(now, domain, self.handshake_timeout, mine).map(DomainSuspicion::KnownBefore)
    }

    /// Tells whether a target is cold by its entry, or may be since it was silent.
    ///
    /// Where more than a third of a service's targets come back together, a partition has healed or this instance
    /// was paused, and they are warm; without them the rest would be overloaded.
    #[must_use]
    pub fn is_cold(&self, now: Timestamp, target: &Target) -> bool {
        if target.is_cold(now) {
            return true;
        }
        if !self.outliers.is_returning(now, target.id) {
            return false;
        }
        let all = self.directory.candidates(now, &target.spec.service).count();
        let candidates = self.directory.candidates(now, &target.spec.service);
        let returning = candidates.filter(|target| self.outliers.is_returning(now, target.id)).count();
        returning * MANY_RETURNING <= all.max(MANY_RETURNING)
    }

    /// Tells whether it is this instance's task to try a silent target again.
    fn is_mine(&self, target: TargetId) -> bool {
        rendezvous::pick(target, self.group.iter().copied(), u64::from).is_none_or(|id| id == self.me)
    }

    /// Returns the cold targets of a service, which may get a few flows when no warm one is left.
    pub fn cold(&self, now: Timestamp, service: &str) -> impl Iterator<Item = TargetId> {
        self.directory.candidates(now, service).filter(move |target| self.is_cold(now, target)).map(|target| target.id)
    }

    fn has_room(&self, target: &Target, limit: Limit) -> bool {
        let reserve = match limit {
            Limit::Slots => 0,
            Limit::Usual => WAITING_AT_TARGET,
            Limit::Full => TARGET_QUEUE,
        };
        self.open_requests.count(target.id) < target.spec.slots.max(1) + reserve
    }

    fn cost(&self, now: Timestamp, target: &Target) -> f64 {
        let filled = f64::from(self.open_requests.count(target.id) + 1) / f64::from(target.spec.slots.max(1));
        let local = target.spec.failure_domain == self.domain;
        let remote = match (local, self.all_domains_reported) {
            (true, _) => 0.0,
            (false, true) => REMOTE,
            (false, false) => REMOTE_UNTOLD,
        };
        let remote = if self.mechanisms.has(Mechanism::RemoteCost) { remote } else { 0.0 };
        let slowness =
            if self.mechanisms.has(Mechanism::Slowness) { self.open_requests.slowness(now, target.id) } else { 1.0 };
        filled * slowness + remote
    }
}

/// Which targets of a failure domain go behind others.
#[derive(Clone, Copy, Debug)]
enum DomainSuspicion {
    /// All of them.
    All,
    /// Those that were known at this time: the domain came under suspicion then.
    KnownBefore(Timestamp),
}

impl DomainSuspicion {
    fn concerns(self, target: &Target) -> bool {
        match self {
            Self::All => true,
            Self::KnownBefore(since) => target.known_since <= since,
        }
    }
}

/// What holds for failure domains, found out once for one flow however many targets they have.
#[derive(Debug)]
struct PerDomain<'a, T>(Vec<(&'a str, T)>);

impl<T> Default for PerDomain<'_, T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<'a, T: Copy> PerDomain<'a, T> {
    fn get(&mut self, domain: &'a str, find: impl FnOnce() -> T) -> T {
        if let Some((_, known)) = self.0.iter().find(|(known, _)| *known == domain) {
            return *known;
        }
        let found = find();
        self.0.push((domain, found));
        found
    }
}

/// Flows that this instance placed on cold targets.
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    next: BTreeMap<TargetId, Timestamp>,
}

impl SlowStart {
    /// Takes one flow for a cold target, if its budget allows.
    pub fn take(&mut self, now: Timestamp, target: TargetId) -> bool {
        let next = self.next.entry(target).or_insert(Timestamp::ZERO);
        let allowed = *next <= now;
        if allowed {
            *next = now + COLD_PERIOD;
        }
        allowed
    }

    /// Notes that a peer has placed a flow on a cold target.
    pub fn taken_by_peer(&mut self, now: Timestamp, target: TargetId) {
        let next = self.next.entry(target).or_insert(Timestamp::ZERO);
        *next = (*next).max(now + COLD_PERIOD);
    }
}
