//! The search for the target of one flow.
//!
//! The expected load: services with thousands of targets, of which an instance uses a few at a time, and tens of new
//! flows per second. Looking at all targets for each flow would take more processor time than everything else about the
//! flow. The targets of a large service are therefore searched in steps, those of the own failure domain first, each step
//! beginning at a position that depends on the flow. The search ends with the step in which a target with a free slot is
//! found. By then it has compared so many targets that the best of them is hardly worse than the best of all (Mitzenmacher,
//! "The power of two choices in randomized load balancing", 2001). While free slots are rare the search goes on, through
//! all targets if necessary, so a flow waits only if there is none.

use std::cell::OnceCell;

use super::Choice;
use super::DomainSuspicion;
use super::Limit;
use super::Placement;
use crate::Timestamp;
use crate::direct::store::directory::Target;
use crate::direct::targets::outlier::Availability;
use crate::rendezvous;
use hawthornshift_model::TargetId;

/// Number of targets compared in one step. While nine of ten targets are full, a step finds none with a free slot for one
/// flow in a thousand, and then the search goes on.
const STEP_TARGETS: usize = 64;
/// Number of targets of a service up to which they are all compared in one step.
const MAX_SINGLE_STEP_TARGETS: usize = 4 * STEP_TARGETS;

/// A target and what it is compared by: the lowest cost, then the lowest score, is best.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    cost: f64,
    score: u64,
    id: TargetId,
    /// Cost of a target with as many slots, in the own failure domain and without open requests.
    idle_cost: f64,
}

impl Candidate {
    fn is_better_than(&self, other: &Self) -> bool {
        (self.cost, self.score) < (other.cost, other.score)
    }
}

/// What is searched for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request<'a> {
    /// Name of the service.
    pub(super) service: &'a str,
    /// Hash of the flow.
    pub(super) hash: u64,
    /// How full a target may be.
    pub(super) limit: Limit,
    /// Targets that are excluded.
    pub(super) tried: &'a [TargetId],
}

/// What a search has found apart from the best targets.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    warm: bool,
    responsive: bool,
    /// An available target with a free slot.
    free_slot: bool,
}

/// The state of a search.
#[derive(Debug)]
pub(super) struct Search<'a> {
    placement: &'a Placement<'a>,
    now: Timestamp,
    req: Request<'a>,
    uneven: bool,
    /// Whether the returning targets of the service count as cold.
    returning_are_cold: OnceCell<bool>,
    suspicions: PerDomain<'a, Option<DomainSuspicion>>,
    reached_limits: PerDomain<'a, bool>,
    seen: Seen,
    best: Option<Candidate>,
    best_suspected: Option<Candidate>,
    best_unresponsive: Option<Candidate>,
}

impl<'a> Search<'a> {
    pub(super) fn new(placement: &'a Placement<'a>, now: Timestamp, req: Request<'a>) -> Self {
        Self {
            placement,
            now,
            req,
            uneven: placement.speeds.is_active(req.service),
            returning_are_cold: OnceCell::new(),
            suspicions: PerDomain::default(),
            reached_limits: PerDomain::default(),
            seen: Seen::default(),
            best: None,
            best_suspected: None,
            best_unresponsive: None,
        }
    }

    /// Searches until a target with a free slot is found, or all targets have been compared.
    pub(super) fn run(&mut self) {
        let directory = self.placement.directory;
        let domains = || directory.ids_by_domain(self.req.service);
        let count: usize = domains().map(|(_, ids)| ids.len()).sum();
        if count <= MAX_SINGLE_STEP_TARGETS {
            domains().for_each(|(_, ids)| self.compare(ids));
            return;
        }
        let (own, others): (Vec<_>, Vec<_>) = domains().partition(|(domain, _)| *domain == self.placement.domain);
        self.search_in_steps(&own);
        if !self.is_best_near() {
            self.seen.free_slot = false;
            self.search_in_steps(&others);
        }
    }

    /// Returns whether the best target has a free slot and no target of another failure domain has a lower cost.
    fn is_best_near(&self) -> bool {
        let remote_cost = self.placement.remote_cost();
        self.seen.free_slot && self.best.is_some_and(|best| best.cost <= best.idle_cost + remote_cost)
    }

    /// Compares targets in steps, each of which takes as many of each failure domain, until one with a free slot is found.
    fn search_in_steps(&mut self, domains: &[(&str, &'a [TargetId])]) {
        let step = STEP_TARGETS.div_ceil(domains.len().max(1));
        let longest = domains.iter().map(|(_, ids)| ids.len()).max().unwrap_or(0);
        for from in (0..longest).step_by(step) {
            for (_, ids) in domains {
                let (part, wrapped) = rotated_part(ids, self.req.hash, from, step);
                self.compare(part);
                self.compare(wrapped);
            }
            if self.seen.free_slot {
                return;
            }
        }
    }

    /// Compares the given targets with the best ones so far.
    fn compare(&mut self, ids: &'a [TargetId]) {
        for target in self.placement.directory.candidates_of(self.now, ids) {
            self.compare_target(target);
        }
    }

    fn compare_target(&mut self, target: &'a Target) {
        let (placement, now) = (self.placement, self.now);
        placement.record_examined();
        if placement.is_cold_with(now, target, &self.returning_are_cold) || !placement.is_reachable(now, target.id) {
            return;
        }
        self.seen.warm = true;
        let availability = |is_retry_owner: &dyn Fn() -> bool| {
            placement.outliers.availability(now, target.id, placement.handshake_timeout, is_retry_owner)
        };
        let unowned = availability(&|| false);
        self.seen.responsive |= unowned != Availability::Unresponsive;
        if self.req.tried.contains(&target.id)
            || !placement.has_room(target, self.req.limit)
            || self.is_at_limit(target)
        {
            return;
        }
        let candidate = self.candidate(target);
        let best_of_rank = match availability(&|| placement.is_retry_owner(target.id)) {
            Availability::Available if self.is_ranked_behind(target) => &mut self.best_suspected,
            Availability::Available => {
                self.seen.free_slot |= placement.has_free_slot(target);
                &mut self.best
            }
            Availability::Suspected => &mut self.best_suspected,
            Availability::Unresponsive if placement.outliers.may_try_as_last_resort(now, target.id) => {
                &mut self.best_unresponsive
            }
            Availability::Unresponsive => return,
        };
        if best_of_rank.is_none_or(|best| candidate.is_better_than(&best)) {
            *best_of_rank = Some(candidate);
        }
    }

    fn candidate(&self, target: &Target) -> Candidate {
        let score = rendezvous::score(self.req.hash, target.id);
        let (speed, score) = if self.uneven { self.placement.weigh_speed(target, score) } else { (1.0, score) };
        let cost = self.placement.cost(self.now, target, speed);
        Candidate { cost, score, id: target.id, idle_cost: 1.0 / f64::from(target.spec.slots.max(1)) }
    }

    fn is_at_limit(&mut self, target: &'a Target) -> bool {
        let (placement, now, service) = (self.placement, self.now, self.req.service);
        let domain = target.spec.failure_domain.as_str();
        self.req.limit != Limit::Queue
            && self.reached_limits.get(domain, || placement.is_at_limit(now, service, domain))
    }

    /// Returns whether an available target is chosen only if no other has room.
    fn is_ranked_behind(&mut self, target: &'a Target) -> bool {
        let (placement, now, tried) = (self.placement, self.now, self.req.tried);
        let domain = target.spec.failure_domain.as_str();
        placement.failures.is_ejected(now, target.id, || placement.is_retry_owner(target.id))
            || placement.checks.is_lapsed(now, target.id)
            || self
                .suspicions
                .get(domain, || placement.suspicion(now, domain, tried))
                .is_some_and(|suspicion| suspicion.applies_to(target))
    }

    /// Returns the result of the search.
    ///
    /// Suspicion only affects the order of targets. When callers' packets start to arrive at other instances, dozens of
    /// handshakes appear incomplete and most targets are suspected at once. Waiting for the few others would cost
    /// seconds, whereas trying a dead target costs 40 ms, at most as often as it has slots. A target that has been
    /// unresponsive for long may have been restarted and be cold, so many concurrent trials could overload it.
    pub(super) fn choice(&self) -> Choice {
        let last_resort = if self.seen.responsive { None } else { self.best_unresponsive };
        match self.best.or(self.best_suspected).or(last_resort) {
            Some(candidate) => Choice::Target(candidate.id),
            None if self.seen.warm => Choice::Full,
            None => Choice::NoTarget,
        }
    }
}

/// Returns the part of a list that a step takes, in one or two pieces: `len` ids from position `from`, counted from a
/// position that depends on `hash`.
fn rotated_part(ids: &[TargetId], hash: u64, from: usize, len: usize) -> (&[TargetId], &[TargetId]) {
    let left = ids.len().saturating_sub(from).min(len);
    if left == 0 {
        return (&[], &[]);
    }
    let offset = usize::try_from(hash % ids.len() as u64).unwrap_or(0);
    let start = (offset + from) % ids.len();
    let end = start + left;
    if end <= ids.len() { (&ids[start..end], &[]) } else { (&ids[start..], &ids[..end - ids.len()]) }
}

/// Values by failure domain, computed at most once for each domain while one flow is placed, however many targets the
/// domain has.
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
