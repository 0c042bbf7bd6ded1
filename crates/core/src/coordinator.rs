//! The targets that this instance keeps: their slots, their ramps and who waits for them.
//!
//! Every target has one keeper at a time, the instance that ranks first for it in its failure domain, and every
//! request to the target passes through it. So slots are counted, not guessed, and no message is spent on counting.
//!
//! When the keeper changes, the former one may still run requests that the new one does not know of. The new one
//! therefore gives the target nothing until the former has said what it still runs, or until the former, were it
//! paused or cut off, must itself have stopped trusting its view.

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

/// Time between two health checks of a target.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Failures in a row after which a target counts as down.
const FAILURES_TO_DOWN: u32 = 3;
/// How many times more answers a target must give to be taken for warm when it does not say so itself.
const UNREPORTED_CAUTION: u32 = 10;
/// Age at which a good answer no longer outweighs a failed health check.
const ANSWER_WEIGHT: Duration = Duration::from_secs(2);
/// Longest time that a former keeper's word of running requests counts.
const RELEASE_LIFE: Duration = Duration::from_secs(30);

/// How a try at a target ended, as far as it tells of the target's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// It answered whole.
    Success,
    /// It refused for lack of capacity.
    Shed,
    /// It could not be reached, or broke off.
    Failed,
    /// The try was given up for reasons of our own.
    Cancelled,
}

/// What a former keeper has said.
#[derive(Clone, Copy, Debug)]
struct Foreign {
    running: u32,
    until: Timestamp,
}

/// One target that this instance keeps.
#[derive(Clone, Debug)]
struct Kept {
    group: GroupId,
    slots: u32,
    /// Whether answers to requests tell of its state; else only its reports do.
    takes_requests: bool,
    leaving: bool,
    running: u32,
    foreign: BTreeMap<InstanceId, Foreign>,
    hold_until: Timestamp,
    ramp: SlowStartLimit,
    down: bool,
    reported: Option<HealthReport>,
    reported_load: Option<u32>,
    failures: u32,
    last_good: Option<Timestamp>,
    next_probe: Timestamp,
    announced: Option<TargetStatus>,
}

impl Kept {
    fn new(target: &TargetEntry, hold_until: Timestamp, next_probe: Timestamp) -> Self {
        Self {
            group: target.group_id,
            slots: target.slots,
            takes_requests: true,
            leaving: target.leaving,
            running: 0,
            foreign: BTreeMap::new(),
            hold_until,
            // Nobody can know whether a target new to this keeper is warm; a few answers will tell.
            ramp: SlowStartLimit::cold(target.slots),
            down: false,
            reported: None,
            reported_load: None,
            failures: 0,
            last_good: None,
            next_probe,
            announced: None,
        }
    }

    fn foreign(&self, now: Timestamp) -> u32 {
        let counted = self.foreign.values().filter(|foreign| now < foreign.until);
        counted.map(|foreign| foreign.running).sum()
    }

    fn is_leaving(&self) -> bool {
        self.leaving || self.reported == Some(HealthReport::Leaving)
    }

    /// Returns how many more requests the target can be given.
    fn free(&self, now: Timestamp, lease_state: LeaseState) -> u32 {
        if self.is_leaving() || self.down || now < self.hold_until || lease_state == LeaseState::Fenced {
            return 0;
        }
        // Cut off from every peer, another may keep the target too; a cold one would get the load of both.
        if lease_state == LeaseState::Expired && !self.ramp.is_warm() {
            return 0;
        }
        self.ramp.limit().min(self.slots).saturating_sub(self.running + self.foreign(now))
    }

    /// Returns how many times more answers than usual the next step of the ramp needs.
    ///
    /// A target that does not say that it is warm is taken at its word for a good while, but not for ever: reports
    /// lag and can be wrong.
    fn caution(&self) -> u32 {
        if self.reported == Some(HealthReport::Warm) { 1 } else { UNREPORTED_CAUTION }
    }

    fn is_warm(&self) -> bool {
        let proved = self.ramp.is_warm() || !self.takes_requests;
        match self.reported {
            Some(HealthReport::Warm) => proved,
            Some(HealthReport::Cold | HealthReport::Leaving) => false,
            None => self.ramp.is_warm(),
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

/// Requests that wait for a slot of one group, the highest class first.
#[derive(Clone, Debug, Default)]
struct Queue {
    by_class: [VecDeque<RequestId>; Class::COUNT],
}

impl Queue {
    fn len(&self) -> usize {
        self.by_class.iter().map(VecDeque::len).sum()
    }

    /// Returns the requests that a new one of `class` would wait behind.
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

    /// Takes out the last of the lowest class that is below `class`.
    fn displace(&mut self, class: Class) -> Option<RequestId> {
        self.by_class.iter_mut().skip(class as usize + 1).rev().find_map(VecDeque::pop_back)
    }
}

/// What becomes of a request that asks for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It runs at this target now.
    Run(TargetId),
    /// It waits.
    Queued,
    /// It waits in the place of one of a lower class, which is refused.
    QueuedInsteadOf(RequestId),
    /// Too many wait already.
    Full,
    /// This instance keeps no usable target of the group.
    NoTarget,
}

/// The targets that this instance keeps.
#[derive(Clone, Debug)]
pub struct TargetCoordinator {
    me: InstanceId,
    tuning: Tuning,
    kept: BTreeMap<TargetId, Kept>,
    queues: BTreeMap<GroupId, Queue>,
    /// Targets that another keeps now, with the requests that still run here.
    released: BTreeMap<TargetId, u32>,
    releases: BTreeSet<TargetId>,
    running: BTreeMap<RequestId, TargetId>,
}

impl TargetCoordinator {
    /// Starts with no target.
    #[must_use]
    pub fn new(me: InstanceId, tuning: Tuning) -> Self {
        Self {
            me,
            tuning,
            kept: BTreeMap::new(),
            queues: BTreeMap::new(),
            released: BTreeMap::new(),
            releases: BTreeSet::new(),
            running: BTreeMap::new(),
        }
    }

    /// Returns the targets kept, as operators see them; `name` tells a target's name.
    pub fn targets(&self, name: impl Fn(TargetId) -> String) -> Vec<CoordinatedTargetDump> {
        let show = |(id, kept): (&TargetId, &Kept)| CoordinatedTargetDump {
            name: name(*id),
            status: kept.status(),
            running: kept.running,
            limit: kept.ramp.limit(),
            reported_load: kept.reported_load,
        };
        self.kept.iter().map(show).collect()
    }

    /// Returns the requests that run at targets now.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queues.values().map(Queue::len).sum()
    }

    /// Takes over the view: which targets this instance keeps, and what it must let go.
    ///
    /// Returns the requests that waited for groups of which nothing is kept any more.
    pub fn view_changed(&mut self, now: Timestamp, view: &View, rng: &mut SmallRng) -> Vec<RequestId> {
        let catalog = view.catalog();
        let mine: Vec<&TargetEntry> =
            catalog.targets().filter(|target| view.coordinator(target.id) == Some(self.me)).collect();
        let keep: BTreeSet<TargetId> = mine.iter().map(|target| target.id).collect();
        let gone: Vec<TargetId> = self.kept.keys().copied().filter(|id| !keep.contains(id)).collect();
        for id in gone {
            self.let_go(now, id);
        }
        for target in mine {
            let takes_requests = catalog.group(target.group).takes_requests;
            self.take_up(now, target, takes_requests, rng);
        }
        self.strand_queues()
    }

    fn let_go(&mut self, now: Timestamp, id: TargetId) {
        let Some(kept) = self.kept.remove(&id) else { return };
        // A target still on hold has a former keeper of its own, of which nothing is known; the next one has to
        // wait out the hold itself.
        if now < kept.hold_until {
            return;
        }
        self.released.insert(id, kept.running + kept.foreign(now));
        self.releases.insert(id);
    }

    fn take_up(&mut self, now: Timestamp, target: &TargetEntry, takes_requests: bool, rng: &mut SmallRng) {
        let hold_until = now + self.tuning.suspicion;
        let next_probe = now + PROBE_PERIOD.mul_f64(rng.random_range(0.0..0.2));
        let carried = self.released.remove(&target.id);
        self.releases.remove(&target.id);
        let kept = self.kept.entry(target.id).or_insert_with(|| Kept::new(target, hold_until, next_probe));
        if let Some(running) = carried {
            kept.running = self.running.values().filter(|id| **id == target.id).count().try_into().unwrap_or(running);
        }
        kept.group = target.group_id;
        kept.takes_requests = takes_requests;
        kept.leaving = target.leaving;
        kept.slots = target.slots;
        kept.ramp.resize(target.slots);
    }

    fn strand_queues(&mut self) -> Vec<RequestId> {
        let mut stranded = Vec::new();
        let kept_groups: BTreeSet<GroupId> = self.kept.values().map(|kept| kept.group).collect();
        for (group, queue) in &mut self.queues {
            if !kept_groups.contains(group) {
                stranded.extend(std::iter::from_fn(|| queue.pop()));
            }
        }
        stranded
    }

    /// Notes what a target's former keeper still runs there.
    pub fn released_by(&mut self, now: Timestamp, former: InstanceId, target: TargetId, running: u32) {
        let Some(kept) = self.kept.get_mut(&target) else { return };
        kept.foreign.insert(former, Foreign { running, until: now + RELEASE_LIFE });
        kept.hold_until = kept.hold_until.min(now);
    }

    /// Returns what this instance still runs at targets that others keep now, where that has changed.
    pub fn take_releases(&mut self) -> Vec<(TargetId, u32)> {
        let changed = std::mem::take(&mut self.releases);
        let releases = changed.into_iter().map(|id| (id, self.released.get(&id).copied().unwrap_or(0))).collect();
        self.released.retain(|_, running| *running > 0);
        releases
    }

    /// Finds a slot for a request, or a place to wait.
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
        let members = self.kept.values().filter(|kept| kept.group == group && !kept.is_leaving() && !kept.down);
        let slots: u32 = members.map(|kept| kept.slots).sum();
        if slots == 0 {
            return Admission::NoTarget;
        }
        let most = self.tuning.queue_per_slot * usize::try_from(slots).unwrap_or(1);
        let queue = self.queues.entry(group).or_default();
        if queue.len() < most {
            queue.push(class, request);
            return Admission::Queued;
        }
        let Some(displaced) = queue.displace(class) else { return Admission::Full };
        queue.push(class, request);
        Admission::QueuedInsteadOf(displaced)
    }

    /// Gives free slots to requests that wait; returns those that run now.
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

    /// Starts a request at the kept target with the most free slots.
    fn start(
        &mut self,
        now: Timestamp,
        request: RequestId,
        group: GroupId,
        lease_state: LeaseState,
        invariant_counters: &mut InvariantCounters,
    ) -> Option<TargetId> {
        let members = self.kept.iter_mut().filter(|(_, kept)| kept.group == group);
        let with_free =
            members.map(|(id, kept)| (kept.free(now, lease_state), *id, kept)).filter(|(free, ..)| *free > 0);
        let (_, id, kept) = with_free.max_by_key(|(free, id, _)| (*free, *id))?;
        kept.running += 1;
        invariant_counters.assert(!kept.is_leaving(), Invariant::LeavingTargetGetsNothing);
        invariant_counters.assert(kept.running <= kept.slots, Invariant::SlotsWithinLimit);
        invariant_counters.assert(kept.running <= kept.ramp.limit(), Invariant::ColdTargetWithinRamp);
        self.running.insert(request, id);
        Some(id)
    }

    /// Returns the free slots of the group's targets kept here.
    #[must_use]
    pub fn free_slots(&self, now: Timestamp, group: GroupId, lease_state: LeaseState) -> u32 {
        let members = self.kept.values().filter(|kept| kept.group == group);
        members.map(|kept| kept.free(now, lease_state)).sum()
    }

    /// Returns the free slots less the requests that already wait for them.
    #[must_use]
    pub fn spare_slots(&self, now: Timestamp, group: GroupId, lease_state: LeaseState) -> u32 {
        let waiting = self.queues.get(&group).map_or(0, Queue::len);
        self.free_slots(now, group, lease_state).saturating_sub(u32::try_from(waiting).unwrap_or(u32::MAX))
    }

    /// Takes a request out of its queue.
    pub fn remove_queued(&mut self, request: RequestId) {
        self.queues.values_mut().for_each(|queue| queue.remove(request));
    }

    /// Notes that a request no longer runs, and what that tells of the target.
    pub fn attempt_ended(&mut self, now: Timestamp, request: RequestId, evidence: AttemptOutcome) {
        let Some(id) = self.running.remove(&request) else { return };
        if let Some(running) = self.released.get_mut(&id) {
            *running = running.saturating_sub(1);
            self.releases.insert(id);
            return;
        }
        let Some(kept) = self.kept.get_mut(&id) else { return };
        kept.running = kept.running.saturating_sub(1);
        match evidence {
            AttemptOutcome::Success => {
                kept.failures = 0;
                kept.down = false;
                kept.last_good = Some(now);
                kept.ramp.record_success(kept.caution());
            }
            AttemptOutcome::Shed => kept.ramp.restart(),
            AttemptOutcome::Failed => {
                kept.ramp.restart();
                kept.failures += 1;
                kept.down = kept.failures >= FAILURES_TO_DOWN;
            }
            AttemptOutcome::Cancelled => {}
        }
    }

    /// Returns the targets whose health check is due.
    pub fn due_health_checks(&mut self, now: Timestamp, rng: &mut SmallRng) -> Vec<TargetId> {
        let due = self.kept.iter_mut().filter(|(_, kept)| now >= kept.next_probe);
        let schedule = |(id, kept): (&TargetId, &mut Kept)| {
            kept.next_probe = now + PROBE_PERIOD.mul_f64(rng.random_range(0.9..1.1));
            *id
        };
        due.map(schedule).collect()
    }

    /// Notes what a health check said; nothing when the target could not be reached.
    ///
    /// A report can lag or lie. It may slow a target down at once, but only answers to requests speed it up, and a
    /// failed check does not count against a target that has just answered.
    pub fn record_health_check(&mut self, now: Timestamp, target: TargetId, report: Option<HealthReport>) {
        let Some(kept) = self.kept.get_mut(&target) else { return };
        let answered = kept.last_good.is_some_and(|at| now.saturating_sub(at) < ANSWER_WEIGHT);
        let Some(report) = report else {
            if !answered {
                kept.failures += 1;
                kept.down = kept.failures >= FAILURES_TO_DOWN;
            }
            return;
        };
        if kept.down {
            kept.down = false;
            kept.ramp.restart();
        }
        kept.failures = 0;
        let before = kept.reported.replace(report);
        if report == HealthReport::Cold && before != Some(HealthReport::Cold) {
            kept.ramp.restart();
        }
    }

    /// Notes how many requests a target says it runs.
    ///
    /// It is shown to operators beside this instance's own count, and decides nothing: it lags, and slots are counted
    /// here exactly. A lasting difference tells that someone else uses the target.
    pub fn record_reported_load(&mut self, target: TargetId, load: Option<u32>) {
        if let Some(kept) = self.kept.get_mut(&target) {
            kept.reported_load = load;
        }
    }

    /// Returns the states that have changed since the last call, or of all targets that are not warm.
    pub fn status_updates(&mut self, only_changed: bool) -> Vec<TargetStatusUpdate> {
        let mut news = Vec::new();
        for (id, kept) in &mut self.kept {
            let status = kept.status();
            let changed = kept.announced != Some(status);
            if changed || (!only_changed && status != TargetStatus::Warm) {
                news.push(TargetStatusUpdate { target: *id, status });
            }
            if only_changed {
                kept.announced = Some(status);
            }
        }
        news
    }
}

/// A target that the node keeps.
#[derive(Clone, Debug, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatedTargetDump {
    /// Its name, after its group's.
    pub name: String,
    /// Its state.
    pub status: TargetStatus,
    /// Requests running there.
    pub running: u32,
    /// What its ramp allows.
    pub limit: u32,
    /// Requests that it says it runs, when its health endpoint tells.
    pub reported_load: Option<u32>,
}
