//! Selects the target of a new flow.
//!
//! The expected load: targets with a few slots each, requests that take tens of milliseconds, and many instances that
//! place flows concurrently. The cost of a target is the number of its open requests including the new one, divided
//! by its slots and multiplied by its slowness relative to the usual request time. The failure domain of the instance
//! is preferred through a cost for remote targets, because traffic between failure domains is expensive and the links
//! between them fail. Equal costs are decided by the rendezvous score of the flow's hash, so that instances that
//! decide concurrently choose different targets.

mod search;

use std::cell::Cell;
use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::time::Duration;

use self::search::Request;
use self::search::Search;
use crate::Timestamp;
use crate::direct::limits::adaptive_limit::AdaptiveLimits;
use crate::direct::limits::adaptive_limit::Usage;
use crate::direct::limits::fair_share::Standing;
use crate::direct::limits::slot_quota::SlotQuotas;
use crate::direct::mechanisms::Mechanism;
use crate::direct::mechanisms::Mechanisms;
use crate::direct::store::directory::Directory;
use crate::direct::store::directory::Target;
use crate::direct::targets::domain_reach::DomainReach;
use crate::direct::targets::failures::Failures;
use crate::direct::targets::open_requests::OpenRequests;
use crate::direct::targets::outlier::Outliers;
use crate::direct::targets::reachability::Reachability;
use crate::direct::targets::reachability::ReachabilityChecks;
use crate::direct::targets::target_speed::TargetSpeeds;
use crate::rendezvous;
use hawthornshift_model::InstanceId;
use hawthornshift_model::TargetId;

/// Requests that may queue at a target beyond its slots before new flows wait in the pending queue of the instance.
///
/// The end of a request is reported to an instance about 7 ms late. Without queued requests a slot would stay idle
/// for that time, which is a sixth of a usual request.
const TARGET_RESERVE: u32 = 2;
/// Requests beyond its slots that a target is assumed to queue. A target with more than this sheds further requests.
const TARGET_QUEUE_CAPACITY: u32 = 6;
/// Cost added to a target of another failure domain, in units of one full set of slots.
const REMOTE_COST: f64 = 0.26;
/// Cost added to a target of another failure domain when the load of other domains is not reported to this instance,
/// so that the target's occupancy is unknown.
const UNKNOWN_REMOTE_COST: f64 = 1.01;
/// Interval between two flows that one instance places on the same cold target when all targets are cold. After
/// restarts and pauses, instances can disagree about which of them is responsible for the target. Five instances that
/// all consider themselves responsible still stay within the minimum rate that a cold target can sustain.
const COLD_FLOW_INTERVAL: Duration = Duration::from_secs(1);

/// Fraction by which a class that asks for more than its share may exceed the instance's share of the slots. The end of a
/// request is known with a delay, in which a slot would otherwise be idle.
const EXCESS_RESERVE: f64 = 0.25;
/// Divisor of a service's number of targets: if more than this fraction of them returns at the same time, they count
/// as warm.
const RETURNING_DIVISOR: usize = 3;

/// How many requests a target may have open for it to be chosen for a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Limit {
    /// As many as it has slots. Used for flows that are already late, which must not delay flows that can still be in
    /// time.
    Slots,
    /// As many as it has slots, and a small reserve. Further requests would wait longer at the target than in the
    /// pending queue.
    Reserve,
    /// As many as it has slots and queues. Used for flows that were sent to an unresponsive target and cannot wait
    /// any longer.
    Queue,
}

/// Result of the search for a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// The chosen target.
    Target(TargetId),
    /// The service has warm targets, but none of them can take the flow now.
    Full,
    /// The service has no warm target that may receive new flows.
    NoTarget,
}

/// Inputs of a placement decision.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// The known targets.
    pub directory: &'a Directory,
    /// The open requests of each target.
    pub open_requests: &'a OpenRequests,
    /// The targets that appear unresponsive.
    pub outliers: &'a Outliers,
    /// The failure domains that appear unresponsive.
    pub domains: &'a DomainReach,
    /// The targets that are out of reach.
    pub checks: &'a ReachabilityChecks,
    /// The targets that return failures.
    pub failures: &'a Failures,
    /// The limits on open requests while targets are overloaded.
    pub limits: &'a AdaptiveLimits,
    /// The quotas of the slots of overloaded services.
    pub quotas: &'a SlotQuotas,
    /// The speeds of the targets.
    pub speeds: &'a TargetSpeeds,
    /// The failure domain of this instance.
    pub domain: &'a str,
    /// The mechanisms that are switched off for an experiment.
    pub mechanisms: Mechanisms,
    /// Whether the load of all failure domains is reported to this instance.
    pub all_domains_reported: bool,
    /// Handshake timeout, which determines how long a trial of an avoided target takes.
    pub handshake_timeout: Duration,
    /// The standing of the flow's class among those that share the service.
    pub standing: Standing,
    /// The ID of this instance.
    pub me: InstanceId,
    /// The number of serving instances.
    pub instances: usize,
    /// The instances that report open requests to each other, including this one.
    pub group: &'a [InstanceId],
    /// Number of targets that searches have looked at.
    pub examined: &'a Cell<u64>,
}

impl Placement<'_> {
    /// Returns the target for a new flow of a service, excluding the targets in `tried`.
    #[must_use]
    pub fn choose(&self, now: Timestamp, service: &str, hash: u64, limit: Limit, tried: &[TargetId]) -> Choice {
        let mut search = Search::new(self, now, Request { service, hash, limit, tried });
        search.run();
        search.choice()
    }

    /// Returns whether this instance has reached its limit of open requests with a service's targets in a failure
    /// domain.
    fn is_at_limit(&self, now: Timestamp, service: &str, domain: &str) -> bool {
        if !self.mechanisms.has(Mechanism::AdaptiveLimit) {
            return false;
        }
        if let Some(quota) = self.quotas.quota(service, domain) {
            return match self.standing {
                Standing::Guaranteed => !self.is_reported(domain),
                Standing::Excess | Standing::ExcessOfCallers | Standing::Unaffected => {
                    self.open(service, domain) >= quota
                }
            };
        }
        let size = match self.limits.size(service, domain) {
            Some(size) => size,
            None if self.standing == Standing::ExcessOfCallers && self.limits.is_widespread(service) => 0.0,
            None => return false,
        };
        let usage = self.usage(now, service, Some(domain));
        let open = f64::from(usage.open);
        match self.standing {
            Standing::Guaranteed => !self.is_reported(domain),
            // Where quotas are used, a domain without one does not report that its slots are used.
            Standing::Excess if !self.is_reported(domain) && self.mechanisms.has(Mechanism::SlotQuota) => {
                open >= size.max(usage.share)
            }
            Standing::Excess | Standing::ExcessOfCallers => {
                !self.is_reported(domain) || open >= usage.share * (1.0 + EXCESS_RESERVE)
            }
            Standing::Unaffected => open >= size.max(usage.share),
        }
    }

    /// Returns the number of open requests of this instance with a service's targets in a failure domain.
    #[must_use]
    pub fn open(&self, service: &str, domain: &str) -> u32 {
        let serves = |id: TargetId| {
            self.directory
                .target(id)
                .is_some_and(|target| target.spec.service == service && target.spec.failure_domain == domain)
        };
        self.open_requests.local_counts().filter(|(target, _)| serves(*target)).map(|(_, count)| count).sum()
    }

    /// Returns the open requests of this instance with a service's targets, and its share of their slots, for one
    /// failure domain or for all of them.
    ///
    /// The instances that report open requests to each other share the slots in their own failure domain. Slots
    /// elsewhere are divided among all instances.
    #[must_use]
    pub fn usage(&self, now: Timestamp, service: &str, domain: Option<&str>) -> Usage {
        let in_scope = |target: &Target| domain.is_none_or(|domain| target.spec.failure_domain == domain);
        let slots = self.directory.capacity(now, service, domain).slots;
        let instances = if domain == Some(self.domain) { self.group.len() } else { self.instances };
        let instances = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
        let serves = |id: TargetId| {
            self.directory.target(id).is_some_and(|target| target.spec.service == service && in_scope(target))
        };
        let open =
            self.open_requests.local_counts().filter(|(target, _)| serves(*target)).map(|(_, count)| count).sum();
        Usage { open, share: f64::from(slots) / f64::from(instances) }
    }

    /// Returns which targets of a failure domain are ranked behind others.
    ///
    /// All targets are if one of them did not complete this flow's handshake and none has completed one recently.
    /// While the domain is suspected, the targets that were known before the suspicion are.
    fn suspicion(&self, now: Timestamp, domain: &str, tried: &[TargetId]) -> Option<DomainSuspicion> {
        if !self.mechanisms.has(Mechanism::DomainReach) {
            return None;
        }
        let of_domain = |id: &TargetId| self.directory.target(*id).is_some_and(|t| t.spec.failure_domain == domain);
        if tried.iter().any(of_domain) && !self.domains.answers(now, domain) {
            return Some(DomainSuspicion::All);
        }
        let is_retry_owner = |key| self.is_retry_owner(key);
        self.domains
            .avoided_since(now, domain, self.handshake_timeout, is_retry_owner)
            .map(DomainSuspicion::KnownBefore)
    }

    /// Returns whether a target is cold according to its entry, or may be cold because it was unresponsive before.
    ///
    /// If more than a third of a service's targets return at the same time, a network partition has healed or this
    /// instance was paused. The targets then count as warm, since the remaining ones would be overloaded without
    /// them.
    #[must_use]
    pub fn is_cold(&self, now: Timestamp, target: &Target) -> bool {
        self.is_cold_with(now, target, &OnceCell::new())
    }

    /// Returns whether a target is cold. `returning_are_cold` keeps what is the same for all targets of its service: after
    /// a partition has healed, hundreds of them return at the same time.
    fn is_cold_with(&self, now: Timestamp, target: &Target, returning_are_cold: &OnceCell<bool>) -> bool {
        target.is_cold(now)
            || (self.outliers.is_returning(now, target.id)
                && *returning_are_cold.get_or_init(|| self.returning_are_cold(now, &target.spec.service)))
    }

    fn record_examined(&self) {
        self.examined.set(self.examined.get() + 1);
    }

    /// Returns whether the returning targets of a service count as cold: they are at most a third of its targets.
    fn returning_are_cold(&self, now: Timestamp, service: &str) -> bool {
        let all = self.directory.capacity(now, service, None).targets;
        let returning =
            self.outliers.returning(now).filter(|id| self.directory.is_candidate_of(now, *id, service)).count();
        returning * RETURNING_DIVISOR <= all.max(RETURNING_DIVISOR)
    }

    /// Returns whether this instance is responsible for trying an unresponsive target again.
    fn is_retry_owner(&self, target: TargetId) -> bool {
        rendezvous::pick(target, self.group.iter().copied(), u64::from).is_none_or(|id| id == self.me)
    }

    /// Returns the cold targets of a service, which may receive a few flows when no warm target is left.
    pub fn cold(&self, now: Timestamp, service: &str) -> impl Iterator<Item = TargetId> {
        let returning_are_cold = OnceCell::new();
        let is_cold = move |target: &Target| self.is_cold_with(now, target, &returning_are_cold);
        let cold = move |target: &&Target| is_cold(target) && self.is_reachable(now, target.id);
        self.directory.candidates(now, service).filter(cold).map(|target| target.id)
    }

    /// Returns whether a target may get new flows as far as reachability checks tell: its flows would not be reset.
    fn is_reachable(&self, now: Timestamp, target: TargetId) -> bool {
        !self.mechanisms.has(Mechanism::FindingAge) || self.checks.reachability(now, target) == Reachability::Reachable
    }

    /// Returns whether the load of a failure domain's targets is reported to this instance.
    fn is_reported(&self, domain: &str) -> bool {
        self.all_domains_reported || domain == self.domain
    }

    fn has_room(&self, target: &Target, limit: Limit) -> bool {
        let reserve = match limit {
            Limit::Reserve if self.standing == Standing::Guaranteed => TARGET_QUEUE_CAPACITY,
            Limit::Slots => 0,
            Limit::Reserve => TARGET_RESERVE,
            Limit::Queue => TARGET_QUEUE_CAPACITY,
        };
        let reserve =
            if self.mechanisms.has(Mechanism::SpeedQueue) { self.speeds.queue(target.id, reserve) } else { reserve };
        self.open_requests.count(target.id) < target.spec.slots.max(1).saturating_add(reserve)
    }

    /// Returns the factor of a target's speed on its cost for one flow, and the score that decides between equal costs.
    fn weigh_speed(&self, target: &Target, score: u64) -> (f64, u64) {
        self.speeds.weigh(target.id, score, self.has_free_slot(target))
    }

    fn has_free_slot(&self, target: &Target) -> bool {
        self.open_requests.count(target.id) < target.spec.slots.max(1)
    }

    /// Returns the cost added to targets of other failure domains.
    fn remote_cost(&self) -> f64 {
        match (self.mechanisms.has(Mechanism::RemoteCost), self.all_domains_reported) {
            (false, _) => 0.0,
            (true, true) => REMOTE_COST,
            (true, false) => UNKNOWN_REMOTE_COST,
        }
    }

    fn cost(&self, now: Timestamp, target: &Target, speed: f64) -> f64 {
        let filled = f64::from(self.open_requests.count(target.id) + 1) / f64::from(target.spec.slots.max(1));
        let remote = if target.spec.failure_domain == self.domain { 0.0 } else { self.remote_cost() };
        let slowness =
            if self.mechanisms.has(Mechanism::Slowness) { self.open_requests.slowness(now, target.id) } else { 1.0 };
        // The speed is learned slowly. A target that has become slow meanwhile counts with its present slowness.
        let slowness = if slowness > 1.0 { slowness.max(speed) } else { speed };
        filled * slowness + remote
    }
}

/// The targets of a suspected failure domain that are ranked behind others.
#[derive(Clone, Copy, Debug)]
enum DomainSuspicion {
    /// All of them.
    All,
    /// Those that were already known at this time, when the domain became suspected.
    KnownBefore(Timestamp),
}

impl DomainSuspicion {
    fn applies_to(self, target: &Target) -> bool {
        match self {
            Self::All => true,
            Self::KnownBefore(since) => target.known_since <= since,
        }
    }
}

/// Limits the rate of flows that this instance places on cold targets.
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    next_allowed: BTreeMap<TargetId, Timestamp>,
}

impl SlowStart {
    /// Reserves one flow to a cold target. Returns whether the target's interval allows it.
    pub fn take(&mut self, now: Timestamp, target: TargetId) -> bool {
        let next_allowed = self.next_allowed.entry(target).or_insert(Timestamp::ZERO);
        let allowed = *next_allowed <= now;
        if allowed {
            *next_allowed = now + COLD_FLOW_INTERVAL;
        }
        allowed
    }

    /// Records that a peer has placed a flow on a cold target.
    pub fn taken_by_peer(&mut self, now: Timestamp, target: TargetId) {
        let next_allowed = self.next_allowed.entry(target).or_insert(Timestamp::ZERO);
        *next_allowed = (*next_allowed).max(now + COLD_FLOW_INTERVAL);
    }
}
