//! Shares of competing routes: the dispatcher's inputs for [`fair_share`](crate::direct::fair_share), and the order in
//! which their waiting flows are placed.

use std::net::SocketAddrV4;

use super::Dispatcher;
use super::Effect;
use crate::Timestamp;
use crate::direct::decision::Outcome;
use crate::direct::fair_share::ContentionChange;
use crate::direct::fair_share::ServiceUse;
use crate::direct::fair_share::Standing;
use crate::direct::mechanisms::Mechanism;
use crate::direct::pending::PendingFlow;
use crate::direct::placement::Choice;
use crate::direct::segment::FlowHash;
use hawthornshift_model::TargetId;

impl Dispatcher {
    /// Returns the use of a service by its competing routes, with a demand of `asking` for one slot more than it has open. `None` if no routes
    /// compete, or if no flow waits and no limit is in force.
    pub(super) fn service_use(
        &self,
        now: Timestamp,
        service: &str,
        asking: Option<SocketAddrV4>,
    ) -> Option<ServiceUse> {
        if !self.fair_shares.is_shared(service) || !self.is_enabled(Mechanism::FairShare) {
            return None;
        }
        if !self.adaptive_limits.is_limited(service) && !self.pending.iter().any(|it| it.service == service) {
            return None;
        }
        let waiting = self.pending.iter().filter(|pending| pending.service == service);
        let waiting = waiting.map(|pending| (pending.segment.flow.service, pending.is_late(now)));
        let placement = self.placement();
        // Where the load of other domains is not reported, most flows stay in the instance's own domain.
        let own = placement.usage(now, service, Some(&self.config.domain)).share;
        let capacity = placement.usage(now, service, None).share.max(own);
        let is_open = |flow| self.open_requests.is_local(flow);
        self.fair_shares.service_use(service, capacity, is_open, waiting, asking)
    }

    /// Returns the standing of a flow that is to be placed. A late flow has no guarantee.
    pub(super) fn standing(&self, now: Timestamp, pending: &PendingFlow) -> Standing {
        let (route, service) = (pending.segment.flow.service, &pending.service);
        let Some(service_use) = self.service_use(now, service, Some(route)) else { return Standing::Unaffected };
        match service_use.standing(route, self.fair_shares.is_contended(service)) {
            Standing::Guaranteed if pending.is_late(now) => Standing::Unaffected,
            standing => standing,
        }
    }

    /// Records that a request was given to a target, for its route's share.
    pub(super) fn record_route_open(&mut self, target: TargetId, route: SocketAddrV4, flow: FlowHash) {
        if let Some(target) = self.directory.target(target) {
            self.fair_shares.opened(&target.spec.service, route, flow);
        }
    }

    /// Places the waiting flows of services with competing routes, the routes in their turn. Returns the services.
    pub(super) fn dispatch_shared(&mut self, now: Timestamp, effects: &mut Vec<Effect>) -> Vec<String> {
        let is_waiting = |service: &&str| self.pending.iter().any(|pending| pending.service == **service);
        let services: Vec<String> = self.fair_shares.services().filter(is_waiting).map(str::to_owned).collect();
        if !self.is_enabled(Mechanism::FairShare) {
            return Vec::new();
        }
        for service in &services {
            // Flows of one route have the same choice, so one that finds no target stands for the others.
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
                    Choice::Full | Choice::NoTarget => full.push((pending.segment.flow.service, late)),
                }
            }
        }
        services
    }

    /// Returns the position of the next flow of a service: flows in time before late ones, then by the turn of the
    /// route, then as in the queue. Routes in `full`, with whether the flow is late, are left out.
    fn next_shared(&self, now: Timestamp, service: &str, full: &[(SocketAddrV4, bool)]) -> Option<usize> {
        let service_use = self.service_use(now, service, None)?;
        self.pending.first_by_key(|pending| {
            let (route, late) = (pending.segment.flow.service, pending.is_late(now));
            let wanted = pending.service == service && !full.contains(&(route, late));
            wanted.then(|| (late, service_use.turn(route)))
        })
    }

    /// Adds a flow to the pending queue. Returns the flow that it displaces if there are more than `capacity` then:
    /// among competing routes, a flow of the one that exceeds its share most.
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
            let route = pending.segment.flow.service;
            (pending.service == service).then(|| (pending.is_late(now), service_use.excess(route)))
        })?;
        self.pending.take(index)
    }

    /// Updates the record of contention and forgets requests that have ended.
    pub(super) fn review_shares(&mut self, now: Timestamp) {
        let open_requests = &self.open_requests;
        self.fair_shares.retain_open(|flow| open_requests.is_local(flow));
        let services: Vec<String> = self.fair_shares.services().map(str::to_owned).collect();
        for service in services {
            let service_use = self.service_use(now, &service, None);
            self.fair_shares.record_contention(now, &service, service_use);
        }
    }

    /// Takes the starts and ends of contention between routes since the last call.
    pub fn take_contention_changes(&mut self) -> Vec<ContentionChange> {
        self.fair_shares.take_changes()
    }

    /// Returns the number of services on which one route asks for more than its share.
    #[must_use]
    pub fn contended_count(&self) -> usize {
        self.fair_shares.contended_count()
    }

    /// Returns the number of flows that were placed under their route's guarantee.
    #[must_use]
    pub fn guaranteed_count(&self) -> u64 {
        self.guaranteed_count
    }

    /// Returns the services with competing routes while flows wait or a limit is in force, and the use of each.
    #[must_use]
    pub fn shared_services(&self, now: Timestamp) -> Vec<(&str, ServiceUse)> {
        let services = self.fair_shares.services();
        services.filter_map(|service| Some((service, self.service_use(now, service, None)?))).collect()
    }
}
