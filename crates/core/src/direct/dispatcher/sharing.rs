//! Shares of competing routes and callers: the dispatcher's inputs for [`fair_share`](crate::direct::limits::fair_share), and the
//! order in which their waiting flows are placed.

use super::Dispatcher;
use super::Effect;
use crate::Timestamp;
use crate::direct::decision::Outcome;
use crate::direct::limits::fair_share::ContentionChange;
use crate::direct::limits::fair_share::FlowClass;
use crate::direct::limits::fair_share::ServiceUse;
use crate::direct::limits::fair_share::Standing;
use crate::direct::limits::pending::PendingFlow;
use crate::direct::mechanisms::Mechanism;
use crate::direct::placement::Choice;
use crate::direct::segment::FlowId;
use hawthornshift_model::TargetId;

impl Dispatcher {
    /// Returns the use of a service by its competing classes, or `None` if none compete, or no flow waits and no limit is
    /// in force. The demand of `asking` is at least one more than its open requests.
    pub(super) fn service_use(&self, now: Timestamp, service: &str, asking: Option<FlowClass>) -> Option<ServiceUse> {
        if !self.fair_shares.is_shared(service) || !self.is_enabled(Mechanism::FairShare) {
            return None;
        }
        if !self.is_busy(service) {
            return None;
        }
        let waiting = self.pending.iter().filter(|pending| pending.service == service);
        let waiting = waiting.map(|pending| (pending.class(), pending.is_late(now)));
        let capacity = self.fair_shares.capacity(service).unwrap_or_else(|| self.usable_slots(now, service));
        let is_open = |flow| self.open_requests.is_local(flow);
        self.fair_shares.service_use(service, capacity, is_open, waiting, asking)
    }

    /// Returns whether flows wait for a service or a limit is in force for it.
    fn is_busy(&self, service: &str) -> bool {
        self.adaptive_limits.is_limited(service) || self.pending.iter().any(|pending| pending.service == service)
    }

    /// Returns the slots of a service that this instance may use. Where the load of other domains is not reported, most
    /// flows stay in the instance's own domain.
    fn usable_slots(&self, now: Timestamp, service: &str) -> f64 {
        let placement = self.placement();
        let own = placement.usage(now, service, Some(&self.config.domain)).share;
        placement.usage(now, service, None).share.max(own)
    }

    /// Returns the standing of a flow that is to be placed. A late flow has no guarantee.
    pub(super) fn standing(&self, now: Timestamp, pending: &PendingFlow) -> Standing {
        let (class, service) = (pending.class(), &pending.service);
        let Some(service_use) = self.service_use(now, service, Some(class)) else { return Standing::Unaffected };
        match service_use.standing(class, self.fair_shares.is_contended(service)) {
            Standing::Guaranteed if pending.is_late(now) => Standing::Unaffected,
            standing => standing,
        }
    }

    /// Records a new flow of a caller.
    pub(super) fn record_caller(&mut self, now: Timestamp, flow: FlowId) {
        if self.is_enabled(Mechanism::CallerShares) {
            self.fair_shares.arrived(now, flow.service, *flow.caller.ip());
        }
    }

    /// Records that a request was given to a target, for its class's share.
    pub(super) fn record_class_open(&mut self, target: TargetId, flow: FlowId) {
        if let Some(target) = self.directory.target(target) {
            let class = self.fair_shares.class_of(flow.service, *flow.caller.ip());
            self.fair_shares.opened(&target.spec.service, class, flow.flow_hash());
        }
    }

    /// Places the waiting flows of services with competing classes, the classes in their turn. Returns the services.
    pub(super) fn dispatch_shared(&mut self, now: Timestamp, effects: &mut Vec<Effect>) -> Vec<String> {
        let is_waiting = |service: &&str| self.pending.iter().any(|pending| pending.service == **service);
        let services: Vec<String> = self.fair_shares.services().filter(is_waiting).map(str::to_owned).collect();
        if !self.is_enabled(Mechanism::FairShare) {
            return Vec::new();
        }
        for service in &services {
            // Flows of one class have the same choice, so one that finds no target stands for the others.
            let mut full = Vec::new();
            while let Some(index) = self.next_shared(now, service, &full) {
                let Some(pending) = self.pending.get(index) else { break };
                let late = pending.is_late(now);
                match self.choose(now, pending, self.limit(late)) {
                    Choice::Target(target) => {
                        if let Some(pending) = self.pending.take(index) {
                            self.place(now, pending, target, Outcome::Placed, effects);
                        }
                    }
                    Choice::Full | Choice::NoTarget => full.push((pending.class(), late)),
                }
            }
        }
        services
    }

    /// Returns the position of the next flow of a service: flows in time before late ones, then by the turn of the
    /// class, then as in the queue. Classes in `full`, with whether the flow is late, are left out.
    fn next_shared(&self, now: Timestamp, service: &str, full: &[(FlowClass, bool)]) -> Option<usize> {
        let service_use = self.service_use(now, service, None)?;
        self.pending.first_by_key(|pending| {
            let (class, late) = (pending.class(), pending.is_late(now));
            let wanted = pending.service == service && !full.contains(&(class, late));
            wanted.then(|| (late, service_use.turn(class)))
        })
    }

    /// Adds a flow to the pending queue. Returns the flow that it displaces if there are more than `capacity` then:
    /// among competing classes, a flow of the one that exceeds its share most.
    pub(super) fn push_pending(
        &mut self,
        now: Timestamp,
        pending: PendingFlow,
        capacity: usize,
    ) -> Option<PendingFlow> {
        if !self.fair_shares.is_shared(&pending.service) || !self.is_enabled(Mechanism::FairShare) {
            return self.pending.push(now, pending, capacity);
        }
        let service = pending.service.clone();
        self.pending.push(now, pending, usize::MAX);
        if self.pending.len() <= capacity {
            return None;
        }
        let service_use = self.service_use(now, &service, None)?;
        let index = self.pending.last_by_key(|pending| {
            (pending.service == service).then(|| (pending.is_late(now), service_use.excess(pending.class())))
        })?;
        self.pending.take(index)
    }

    /// Updates the record of contention and forgets requests that have ended.
    pub(super) fn review_shares(&mut self, now: Timestamp) {
        let open_requests = &self.open_requests;
        self.fair_shares.review(now, |flow| open_requests.is_local(flow));
        let services: Vec<String> = self.fair_shares.services().map(str::to_owned).collect();
        for service in services {
            let capacity = self.is_busy(&service).then(|| self.usable_slots(now, &service));
            self.fair_shares.set_capacity(&service, capacity);
            let service_use = self.service_use(now, &service, None);
            self.fair_shares.record_contention(now, &service, service_use);
        }
    }

    /// Takes the starts and ends of contention between classes since the last call.
    pub fn take_contention_changes(&mut self) -> Vec<ContentionChange> {
        self.fair_shares.take_changes()
    }

    /// Returns the number of services on which one class asks for more than its share.
    #[must_use]
    pub fn contended_count(&self) -> usize {
        self.fair_shares.contended_count()
    }

    /// Returns the number of callers that send many times more flows than the others of their route.
    #[must_use]
    pub fn heavy_callers(&self) -> usize {
        self.fair_shares.heavy_callers()
    }

    /// Returns the number of flows that were placed under their class's guarantee.
    #[must_use]
    pub fn guaranteed_count(&self) -> u64 {
        self.guaranteed_count
    }

    /// Returns the services with competing classes while flows wait or a limit is in force, and the use of each.
    #[must_use]
    pub fn shared_services(&self, now: Timestamp) -> Vec<(&str, ServiceUse)> {
        let services = self.fair_shares.services();
        services.filter_map(|service| Some((service, self.service_use(now, service, None)?))).collect()
    }
}
