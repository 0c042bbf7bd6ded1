//! Request admission for the targets that this instance coordinates: slots, slow start and queues.
//!
//! Every target has one coordinator at a time: the instance that ranks first for it in the target's failure domain
//! (see [`View::coordinator`]). Every request to the target passes through the coordinator. The coordinator can
//! therefore count used slots exactly, and counting needs no messages.
//!
//! When the coordinator of a target changes, the former coordinator may still run requests that the new one does not
//! know about. The new coordinator therefore holds the target: it starts no request there until the former coordinator
//! has reported how many requests it still runs, or until the suspicion time has passed. A former coordinator that is
//! paused or partitioned loses its lease within that time, because the lease is shorter than the suspicion time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use serde::Serialize;
use strum::EnumCount;

use crate::Timestamp;
use crate::catalog::GroupId;
use crate::catalog::TargetEntry;
use crate::event::HealthReport;
use crate::event::RequestId;
use crate::health::TargetStatus;
use crate::health::TargetStatusUpdate;
use crate::invariants::Invariant;
use crate::invariants::InvariantCounters;
use crate::slow_start::SlowStartLimit;
use crate::tuning::Tuning;
use crate::view::LeaseState;
use crate::view::View;
use hawthornshift_model::Class;
use hawthornshift_model::InstanceId;
use hawthornshift_model::TargetId;

/// Mean time between two health checks of a target; each interval is jittered by 10 %.
const HEALTH_CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Number of consecutive failures after which a target counts as down.
const FAILURES_TO_DOWN: u32 = 3;
/// Factor on the successes that each slow-start step needs while the target does not report itself as warm.
const UNREPORTED_SUCCESS_MULTIPLIER: u32 = 10;
/// A failed health check is ignored if a request to the target succeeded less than this time ago.
const RECENT_SUCCESS_WINDOW: Duration = Duration::from_secs(2);
/// Time after which a former coordinator's report of running requests expires.
const RELEASE_VALIDITY: Duration = Duration::from_secs(30);

/// The outcome of an attempt to run a request at a target, as evidence about the target's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The target sent a complete answer.
    Success,
    /// The target refused the request for lack of capacity.
    Shed,
    /// The target could not be reached, or the connection broke before the answer was complete.
    Failed,
    /// The attempt was cancelled for a reason that does not concern the target.
    Cancelled,
}

/// A former coordinator's report of the requests that it still runs at a target.
#[derive(Clone, Copy, Debug)]
struct ReleaseReport {
    running: u32,
    expires_at: Timestamp,
}

/// State of one target that this instance coordinates.
#[derive(Clone, Debug)]
struct CoordinatedTarget {
    group: GroupId,
    slots: u32,
    /// Whether requests are sent to the target. If not, only its health reports show its state.
    takes_requests: bool,
    leaving: bool,
    running: u32,
    /// Reports of former coordinators, by instance.
    release_reports: BTreeMap<InstanceId, ReleaseReport>,
    /// No request starts at the target before this time, unless a former coordinator reports earlier.
    held_until: Timestamp,
    slow_start: SlowStartLimit,
    down: bool,
    /// The last report of the target's health endpoint.
    last_report: Option<HealthReport>,
    reported_load: Option<u32>,
    failures: u32,
    last_success_at: Option<Timestamp>,
    next_health_check_at: Timestamp,
    /// The status that [`TargetCoordinator::status_updates`] last returned as changed.
    last_published: Option<TargetStatus>,
}

impl CoordinatedTarget {
    fn new(target: &TargetEntry, held_until: Timestamp, next_health_check_at: Timestamp) -> Self {
        Self {
            group: target.group_id,
            slots: target.slots,
            takes_requests: true,
            leaving: target.leaving,
            running: 0,
            release_reports: BTreeMap::new(),
            held_until,
            // A new coordinator does not know whether the target is warm, so it starts with the first step.
            slow_start: SlowStartLimit::cold(target.slots),
            down: false,
            last_report: None,
            reported_load: None,
            failures: 0,
            last_success_at: None,
            next_health_check_at,
            last_published: None,
        }
    }

    fn running_at_former(&self, now: Timestamp) -> u32 {
        let counted = self.release_reports.values().filter(|report| now < report.expires_at);
        counted.map(|report| report.running).sum()
    }

    fn is_leaving(&self) -> bool {
        self.leaving || self.last_report == Some(HealthReport::Leaving)
    }

    /// Returns how many more requests may start at the target.
    fn free(&self, now: Timestamp, lease_state: LeaseState) -> u32 {
        if self.is_leaving() || self.down || now < self.held_until || lease_state == LeaseState::Fenced {
            return 0;
        }
        // In a partition, another instance may coordinate the target too, and a cold target would get the load of both.
        if lease_state == LeaseState::Expired && !self.slow_start.is_warm() {
            return 0;
        }
        self.slow_start.limit().min(self.slots).saturating_sub(self.running + self.running_at_former(now))
    }

    /// Returns the factor on the successes that the next slow-start step needs.
    ///
    /// The limit of a target that does not report itself as warm rises more slowly, but it does rise: health reports
    /// lag and can be wrong.
    fn success_multiplier(&self) -> u32 {
        if self.last_report == Some(HealthReport::Warm) { 1 } else { UNREPORTED_SUCCESS_MULTIPLIER }
    }

    fn is_warm(&self) -> bool {
        let ramped_up = self.slow_start.is_warm() || !self.takes_requests;
        match self.last_report {
            Some(HealthReport::Warm) => ramped_up,
            Some(HealthReport::Cold | HealthReport::Leaving) => false,
            None => self.slow_start.is_warm(),
        }
    }

    fn status(&self) -> TargetStatus {
        if self.is_leaving() {
            TargetStatus::Leaving
        } else if self.down {
            TargetStatus::Down
        } else if self.is_warm() {
            TargetStatus::Warm
        } else {
            TargetStatus::Cold
        }
    }
}

/// Requests that wait for a slot of one target group; the highest class is served first.
#[derive(Clone, Debug, Default)]
struct Queue {
    by_class: [VecDeque<RequestId>; Class::COUNT],
}

impl Queue {
    fn len(&self) -> usize {
        self.by_class.iter().map(VecDeque::len).sum()
    }

    /// Returns the number of queued requests that are served before a new one of `class`.
    fn ahead_of(&self, class: Class) -> usize {
        self.by_class.iter().take(class as usize + 1).map(VecDeque::len).sum()
    }

    fn push(&mut self, class: Class, request: RequestId) {
        self.by_class[class as usize].push_back(request);
    }

    fn pop(&mut self) -> Option<RequestId> {
        self.by_class.iter_mut().find_map(VecDeque::pop_front)
    }

    fn remove(&mut self, request: RequestId) {
        self.by_class.iter_mut().for_each(|queue| queue.retain(|queued| *queued != request));
    }

    /// Removes and returns the newest request of the lowest queued class, if that class is lower than `class`.
    fn displace(&mut self, class: Class) -> Option<RequestId> {
        self.by_class.iter_mut().skip(class as usize + 1).rev().find_map(VecDeque::pop_back)
    }
}

/// The decision on a request that needs a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request starts at this target now.
    Run(TargetId),
    /// The request is queued.
    Queued,
    /// The request is queued and displaces this queued request of a lower class, which must be refused.
    QueuedDisplacing(RequestId),
    /// The queue is full.
    Full,
    /// This instance coordinates no usable target of the group.
    NoTarget,
}

/// Admits requests to the targets that this instance coordinates.
#[derive(Clone, Debug)]
pub struct TargetCoordinator {
    me: InstanceId,
    tuning: Tuning,
    targets: BTreeMap<TargetId, CoordinatedTarget>,
    queues: BTreeMap<GroupId, Queue>,
    /// Targets that another instance coordinates now, with the number of requests that this instance still runs there.
    released: BTreeMap<TargetId, u32>,
    /// Entries of `released` whose number has changed since [`TargetCoordinator::take_releases`] last returned it.
    unreported_releases: BTreeSet<TargetId>,
    running: BTreeMap<RequestId, TargetId>,
}

impl TargetCoordinator {
    /// Creates a coordinator without targets; `me` is this instance.
    #[must_use]
    pub fn new(me: InstanceId, tuning: Tuning) -> Self {
        Self {
            me,
            tuning,
            targets: BTreeMap::new(),
            queues: BTreeMap::new(),
            released: BTreeMap::new(),
            unreported_releases: BTreeSet::new(),
            running: BTreeMap::new(),
        }
    }

    /// Returns the state of the coordinated targets for the dump; `name` maps a target to its display name.
    pub fn targets(&self, name: impl Fn(TargetId) -> String) -> Vec<CoordinatedTargetDump> {
        let show = |(id, state): (&TargetId, &CoordinatedTarget)| CoordinatedTargetDump {
            name: name(*id),
            status: state.status(),
            running: state.running,
            limit: state.slow_start.limit(),
            reported_load: state.reported_load,
        };
        self.targets.iter().map(show).collect()
    }

    /// Returns the number of requests that run at targets now, including those at released targets.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Applies a new view: acquires the targets that this instance now coordinates and releases the others.
    ///
    /// Returns the queued requests of groups of which this instance no longer coordinates any target.
    pub fn view_changed(&mut self, now: Timestamp, view: &View, rng: &mut SmallRng) -> Vec<RequestId> {
        let catalog = view.catalog();
        let own_targets: Vec<&TargetEntry> =
            catalog.targets().filter(|target| view.coordinator(target.id) == Some(self.me)).collect();
        let assigned: BTreeSet<TargetId> = own_targets.iter().map(|target| target.id).collect();
        let lost_targets: Vec<TargetId> = self.targets.keys().copied().filter(|id| !assigned.contains(id)).collect();
        for id in lost_targets {
            self.release_target(now, id);
        }
        for target in own_targets {
            let takes_requests = catalog.group(target.group).takes_requests;
            self.acquire_target(now, target, takes_requests, rng);
        }
        self.remove_orphaned_requests()
    }

    fn release_target(&mut self, now: Timestamp, id: TargetId) {
        let Some(state) = self.targets.remove(&id) else { return };
        // While the target is held, an earlier coordinator has not reported yet, so a release message would be
        // incomplete. Without one, the next coordinator waits for its own hold to expire.
        if now < state.held_until {
            return;
        }
        self.released.insert(id, state.running + state.running_at_former(now));
        self.unreported_releases.insert(id);
    }

    fn acquire_target(&mut self, now: Timestamp, target: &TargetEntry, takes_requests: bool, rng: &mut SmallRng) {
        let held_until = now + self.tuning.suspicion;
        let next_health_check_at = now + HEALTH_CHECK_PERIOD.mul_f64(rng.random_range(0.0..0.2));
        let previously_running = self.released.remove(&target.id);
        self.unreported_releases.remove(&target.id);
        let state = self
            .targets
            .entry(target.id)
            .or_insert_with(|| CoordinatedTarget::new(target, held_until, next_health_check_at));
        if let Some(running) = previously_running {
            state.running = self.running.values().filter(|id| **id == target.id).count().try_into().unwrap_or(running);
        }
        state.group = target.group_id;
        state.takes_requests = takes_requests;
        state.leaving = target.leaving;
        state.slots = target.slots;
        state.slow_start.resize(target.slots);
    }

    fn remove_orphaned_requests(&mut self) -> Vec<RequestId> {
        let mut orphaned = Vec::new();
        let coordinated_groups: BTreeSet<GroupId> = self.targets.values().map(|state| state.group).collect();
        for (group, queue) in &mut self.queues {
            if !coordinated_groups.contains(group) {
                orphaned.extend(std::iter::from_fn(|| queue.pop()));
            }
        }
        orphaned
    }

    /// Records how many requests the `former` coordinator of a target still runs there, and ends the target's hold.
    pub fn record_release(&mut self, now: Timestamp, former: InstanceId, target: TargetId, running: u32) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        state.release_reports.insert(former, ReleaseReport { running, expires_at: now + RELEASE_VALIDITY });
        state.held_until = state.held_until.min(now);
    }

    /// Returns the released targets with the number of requests that this instance still runs there, for those whose
    /// number has changed since the last call.
    pub fn take_releases(&mut self) -> Vec<(TargetId, u32)> {
        let changed = std::mem::take(&mut self.unreported_releases);
        let releases = changed.into_iter().map(|id| (id, self.released.get(&id).copied().unwrap_or(0))).collect();
        self.released.retain(|_, running| *running > 0);
        releases
    }

    /// Starts a request at a target with a free slot, or queues it.
    pub fn admit(
        &mut self,
        now: Timestamp,
        request: RequestId,
        group: GroupId,
        class: Class,
        lease_state: LeaseState,
        invariant_counters: &mut InvariantCounters,
    ) -> Admission {
        let ahead = self.queues.get(&group).map_or(0, |queue| queue.ahead_of(class));
        if ahead == 0
            && let Some(target) = self.start(now, request, group, lease_state, invariant_counters)
        {
            return Admission::Run(target);
        }
        let members = self.targets.values().filter(|state| state.group == group && !state.is_leaving() && !state.down);
        let slots: u32 = members.map(|state| state.slots).sum();
        if slots == 0 {
            return Admission::NoTarget;
        }
        let queue_limit = self.tuning.queue_per_slot * usize::try_from(slots).unwrap_or(1);
        let queue = self.queues.entry(group).or_default();
        if queue.len() < queue_limit {
            queue.push(class, request);
            return Admission::Queued;
        }
        let Some(displaced) = queue.displace(class) else { return Admission::Full };
        queue.push(class, request);
        Admission::QueuedDisplacing(displaced)
    }

    /// Starts queued requests while slots are free; returns the requests started and their targets.
    pub fn start_queued(
        &mut self,
        now: Timestamp,
        lease_state: LeaseState,
        invariant_counters: &mut InvariantCounters,
    ) -> Vec<(RequestId, TargetId)> {
        let mut started = Vec::new();
        let groups: Vec<GroupId> = self.queues.keys().copied().collect();
        for group in groups {
            while self.free_slots(now, group, lease_state) > 0 {
                let Some(request) = self.queues.get_mut(&group).and_then(Queue::pop) else { break };
                let Some(target) = self.start(now, request, group, lease_state, invariant_counters) else { break };
                started.push((request, target));
            }
        }
        started
    }

    /// Starts a request at the group's coordinated target with the most free slots.
    fn start(
        &mut self,
        now: Timestamp,
        request: RequestId,
        group: GroupId,
        lease_state: LeaseState,
        invariant_counters: &mut InvariantCounters,
    ) -> Option<TargetId> {
        let members = self.targets.iter_mut().filter(|(_, state)| state.group == group);
        let states_with_free_slots =
            members.map(|(id, state)| (state.free(now, lease_state), *id, state)).filter(|(free, ..)| *free > 0);
        let (_, id, state) = states_with_free_slots.max_by_key(|(free, id, _)| (*free, *id))?;
        state.running += 1;
        invariant_counters.assert(!state.is_leaving(), Invariant::LeavingTargetGetsNothing);
        invariant_counters.assert(state.running <= state.slots, Invariant::SlotsWithinLimit);
        invariant_counters.assert(state.running <= state.slow_start.limit(), Invariant::ColdTargetWithinRamp);
        self.running.insert(request, id);
        Some(id)
    }

    /// Returns the number of free slots at the group's coordinated targets.
    #[must_use]
    pub fn free_slots(&self, now: Timestamp, group: GroupId, lease_state: LeaseState) -> u32 {
        let members = self.targets.values().filter(|state| state.group == group);
        members.map(|state| state.free(now, lease_state)).sum()
    }

    /// Returns the number of free slots of the group minus the number of requests queued for them.
    #[must_use]
    pub fn spare_slots(&self, now: Timestamp, group: GroupId, lease_state: LeaseState) -> u32 {
        let queued = self.queues.get(&group).map_or(0, Queue::len);
        self.free_slots(now, group, lease_state).saturating_sub(u32::try_from(queued).unwrap_or(u32::MAX))
    }

    /// Removes a request from its queue.
    pub fn remove_queued(&mut self, request: RequestId) {
        self.queues.values_mut().for_each(|queue| queue.remove(request));
    }

    /// Frees the slot of a request that has ended, and updates the target's state with the outcome.
    pub fn attempt_ended(&mut self, now: Timestamp, request: RequestId, outcome: AttemptOutcome) {
        let Some(id) = self.running.remove(&request) else { return };
        if let Some(running) = self.released.get_mut(&id) {
            *running = running.saturating_sub(1);
            self.unreported_releases.insert(id);
            return;
        }
        let Some(state) = self.targets.get_mut(&id) else { return };
        state.running = state.running.saturating_sub(1);
        match outcome {
            AttemptOutcome::Success => {
                state.failures = 0;
                state.down = false;
                state.last_success_at = Some(now);
                state.slow_start.record_success(state.success_multiplier());
            }
            AttemptOutcome::Shed => state.slow_start.restart(),
            AttemptOutcome::Failed => {
                state.slow_start.restart();
                state.failures += 1;
                state.down = state.failures >= FAILURES_TO_DOWN;
            }
            AttemptOutcome::Cancelled => {}
        }
    }

    /// Returns the targets whose health check is due, and schedules their next one.
    pub fn due_health_checks(&mut self, now: Timestamp, rng: &mut SmallRng) -> Vec<TargetId> {
        let due = self.targets.iter_mut().filter(|(_, state)| now >= state.next_health_check_at);
        let schedule = |(id, state): (&TargetId, &mut CoordinatedTarget)| {
            state.next_health_check_at = now + HEALTH_CHECK_PERIOD.mul_f64(rng.random_range(0.9..1.1));
            *id
        };
        due.map(schedule).collect()
    }

    /// Records the result of a health check; `report` is `None` if the target could not be reached.
    ///
    /// A report can lag or be wrong. It can therefore lower the target's limit at once, but only successful requests
    /// raise it, and a failed check is ignored if a request has just succeeded.
    pub fn record_health_check(&mut self, now: Timestamp, target: TargetId, report: Option<HealthReport>) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        let recently_succeeded = state.last_success_at.is_some_and(|at| now.saturating_sub(at) < RECENT_SUCCESS_WINDOW);
        let Some(report) = report else {
            if !recently_succeeded {
                state.failures += 1;
                state.down = state.failures >= FAILURES_TO_DOWN;
            }
            return;
        };
        if state.down {
            state.down = false;
            state.slow_start.restart();
        }
        state.failures = 0;
        let previous_report = state.last_report.replace(report);
        if report == HealthReport::Cold && previous_report != Some(HealthReport::Cold) {
            state.slow_start.restart();
        }
    }

    /// Records the number of running requests that a target reports.
    ///
    /// The dump shows it beside this instance's own count. No decision uses it, because it lags while the count here
    /// is exact. A lasting difference means that requests reach the target by another path.
    pub fn record_reported_load(&mut self, target: TargetId, load: Option<u32>) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.reported_load = load;
        }
    }

    /// Returns the status of targets whose status has changed since the last call with `only_changed`. Without
    /// `only_changed`, the result also contains every target that is not warm, and nothing is marked as published.
    pub fn status_updates(&mut self, only_changed: bool) -> Vec<TargetStatusUpdate> {
        let mut updates = Vec::new();
        for (id, state) in &mut self.targets {
            let status = state.status();
            let changed = state.last_published != Some(status);
            if changed || (!only_changed && status != TargetStatus::Warm) {
                updates.push(TargetStatusUpdate { target: *id, status });
            }
            if only_changed {
                state.last_published = Some(status);
            }
        }
        updates
    }
}

/// State of a coordinated target in the node's dump.
#[derive(Clone, Debug, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatedTargetDump {
    /// Name of the target, prefixed with the name of its group.
    pub name: String,
    /// Status of the target.
    pub status: TargetStatus,
    /// Number of requests that run at the target.
    pub running: u32,
    /// Largest number of concurrent requests that slow start allows now.
    pub limit: u32,
    /// Number of running requests that the target's health endpoint reports, if it does.
    pub reported_load: Option<u32>,
}
