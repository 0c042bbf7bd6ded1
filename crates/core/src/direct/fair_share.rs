//! Shares of a service's slots for the routes that compete for them.
//!
//! The expected load: several routes of different priority share a service, and one of them asks for eight times its
//! usual demand for seconds. Its flows fill every slot, the adaptive limit and the pending queue, so that flows of the
//! other routes are rejected although their demand did not grow.
//!
//! Each route has a guaranteed share of the slots that an instance may use. The shares are max-min fair by weight, and
//! the weight follows from the route's priority. Demand is the number of open and waiting flows, so a share that its
//! route does not use is available to the others at once. The state is local to the instance, and is lost with it.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::Serialize;

use crate::Timestamp;
use crate::direct::admission::QueueDepth;
use crate::direct::segment::FlowHash;
use crate::direct::store_entries::Routing;
use crate::maps::FixedHashMap;

/// Ratio of the weights of two adjacent priorities.
const WEIGHT_RATIO: f64 = 0.5;
/// Priority from which weights no longer decrease, so that no share vanishes.
const LOWEST_WEIGHTED_PRIORITY: u8 = 8;
/// Open requests that a route's guarantee covers at least. A share of less than one slot could otherwise never be
/// used, which occurs with more instances than slots.
const MIN_GUARANTEE: f64 = 1.0;
/// Maximum number of routes in a log line.
const MAX_LOGGED_ROUTES: usize = 8;
/// Time without contention after which its end is reported. Contention that resumes earlier is the same event.
const CONTENTION_HOLD: Duration = Duration::from_secs(1);

/// Standing of a flow's route in the division of a service's slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Standing {
    /// The division does not affect the flow.
    #[default]
    Unaffected,
    /// The route is within its share while another one asks for more than its own. The flow may be placed beyond the
    /// limits that others have reached.
    Guaranteed,
    /// The route asks for more than its share while another one stays within its own. The flow may use free slots, but
    /// not the queues of overloaded targets.
    Excess,
}

/// Weight of a route in the division of its service's slots. Priority zero is the highest.
#[must_use]
pub fn weight(priority: u8) -> f64 {
    WEIGHT_RATIO.powi(i32::from(priority.min(LOWEST_WEIGHTED_PRIORITY)))
}

/// Weight and demand of one route.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Weight, greater than zero.
    pub weight: f64,
    /// Demand, in slots.
    pub slots: f64,
}

/// Returns the max-min fair division of `capacity` slots: no route gets more than its demand, and a route that gets
/// less than its demand gets no less in proportion to its weight than any other.
#[must_use]
pub fn max_min_shares(capacity: f64, demands: &[Demand]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| {
        let level = |index: &usize| demands[*index].slots / demands[*index].weight;
        level(a).total_cmp(&level(b))
    });
    let mut shares = vec![0.0; demands.len()];
    let mut left = capacity;
    let mut weight_left: f64 = demands.iter().map(|demand| demand.weight).sum();
    for index in order {
        let Demand { weight, slots } = demands[index];
        shares[index] = slots.min(left * weight / weight_left);
        left -= shares[index];
        weight_left -= weight;
    }
    shares
}

/// Use of a service by one route.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RouteUse {
    /// Address of the route.
    pub route: SocketAddrV4,
    /// Weight of the route.
    pub weight: f64,
    /// Open requests at the service's targets through this instance.
    pub open: usize,
    /// Waiting flows that can still be in time.
    pub waiting: usize,
    /// Waiting flows that are late.
    pub waiting_late: usize,
    /// Share of the slots, in slots.
    pub share: f64,
}

impl RouteUse {
    fn demand(&self) -> usize {
        self.open + self.waiting + self.waiting_late
    }

    /// Returns the slots that the route would use with one more flow.
    fn next(&self) -> f64 {
        as_slots(self.open) + 1.0
    }

    /// Returns whether one more flow stays within the share.
    fn has_room(&self) -> bool {
        self.next() <= self.share.max(MIN_GUARANTEE)
    }

    /// Returns whether the route asks for more than its share.
    fn is_over(&self) -> bool {
        as_slots(self.demand()) > self.share.max(MIN_GUARANTEE)
    }
}

fn as_slots(flows: usize) -> f64 {
    f64::from(u32::try_from(flows).unwrap_or(u32::MAX))
}

/// Order in which routes are served, the smallest first: those within their share, then by the slots used in
/// proportion to the weight.
pub type Turn = (bool, f64);

/// Use of a service by the routes that compete for it, at one time.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceUse {
    /// Slots of the service that this instance may use.
    pub capacity: f64,
    /// The routes with open or waiting flows.
    pub routes: Vec<RouteUse>,
}

impl ServiceUse {
    /// Returns the use with the shares that follow from the demands, which may be unset in `routes`. The demand of
    /// `asking` is at least one slot more than it has open.
    #[must_use]
    pub fn new(capacity: f64, mut routes: Vec<RouteUse>, asking: Option<SocketAddrV4>) -> Self {
        let demands: Vec<Demand> = routes
            .iter()
            .map(|route| {
                let asked = if asking == Some(route.route) { route.open + 1 } else { 0 };
                Demand { weight: route.weight, slots: as_slots(route.demand().max(asked)) }
            })
            .collect();
        for (route, share) in routes.iter_mut().zip(max_min_shares(capacity, &demands)) {
            route.share = share;
        }
        Self { capacity, routes }
    }

    fn route(&self, route: SocketAddrV4) -> Option<&RouteUse> {
        self.routes.iter().find(|other| other.route == route)
    }

    /// Returns whether a route may place one more flow under its guarantee, since another route asks for more than its
    /// share.
    #[must_use]
    pub fn is_guaranteed(&self, route: SocketAddrV4) -> bool {
        self.route(route).is_some_and(RouteUse::has_room)
            && self.routes.iter().any(|other| other.route != route && other.is_over())
    }

    /// Returns whether one route asks for more than its share while another one stays within its own.
    #[must_use]
    pub fn is_contended(&self) -> bool {
        self.routes.iter().any(RouteUse::is_over) && !self.routes.iter().all(RouteUse::is_over)
    }

    /// Returns the standing of a route's next flow. `contended` tells whether there was contention lately.
    #[must_use]
    pub fn standing(&self, route: SocketAddrV4, contended: bool) -> Standing {
        if self.is_guaranteed(route) {
            Standing::Guaranteed
        } else if contended && self.route(route).is_some_and(RouteUse::is_over) {
            Standing::Excess
        } else {
            Standing::Unaffected
        }
    }

    /// Returns the turn of a route's next flow.
    #[must_use]
    pub fn turn(&self, route: SocketAddrV4) -> Turn {
        self.route(route).map_or((true, f64::MAX), |route| (!route.has_room(), route.next() / route.weight))
    }

    /// Returns the order in which routes lose waiting flows when the queue is full, the greatest first.
    #[must_use]
    pub fn excess(&self, route: SocketAddrV4) -> f64 {
        self.route(route).map_or(f64::MAX, |route| as_slots(route.demand()) / route.weight)
    }

    /// Returns the number of waiting flows that would be served before a new flow of a route. Those of its own route
    /// are included, since later ones will be served before it.
    #[must_use]
    pub fn depth_before(&self, route: SocketAddrV4) -> QueueDepth {
        let turn = self.turn(route);
        let ahead = self.routes.iter().filter(|other| other.route == route || self.turn(other.route) <= turn);
        ahead.fold(QueueDepth { in_time: 0, late: 0 }, |depth, other| QueueDepth {
            in_time: depth.in_time + other.waiting,
            late: depth.late + other.waiting_late,
        })
    }

    /// Returns the fraction of the capacity that is guaranteed to a route while all others ask for more than their
    /// share.
    #[must_use]
    pub fn fraction(&self, route: SocketAddrV4) -> f64 {
        let all: f64 = self.routes.iter().map(|route| route.weight).sum();
        self.route(route).map_or(0.0, |route| route.weight / all)
    }
}

/// Formats the use for the log: the capacity, and for each route its address, open and waiting flows and share.
impl fmt::Display for ServiceUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "capacity {:.1}", self.capacity)?;
        for route in self.routes.iter().take(MAX_LOGGED_ROUTES) {
            let waiting = route.waiting + route.waiting_late;
            write!(f, ", {} open {} waiting {waiting} share {:.1}", route.route, route.open, route.share)?;
        }
        Ok(())
    }
}

/// Start or end of a time in which a route asks for more than its share while another one stays within its own.
#[derive(Clone, Debug)]
pub struct ContentionChange {
    /// Name of the service.
    pub service: String,
    /// Whether there is contention now.
    pub contended: bool,
    /// The use that caused the change; `None` if no flow waits and no limit is in force.
    pub service_use: Option<ServiceUse>,
}

/// State of one service whose routes compete.
#[derive(Clone, Debug, Default)]
struct Service {
    weights: BTreeMap<SocketAddrV4, f64>,
    /// Open requests with their routes.
    open: FixedHashMap<FlowHash, SocketAddrV4>,
    /// When contention was last seen, while it has not been reported as ended.
    contended_at: Option<Timestamp>,
}

/// Routes that share a service, and the open requests of each.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    services: BTreeMap<String, Service>,
    changes: Vec<ContentionChange>,
}

impl FairShares {
    /// Sets the routes. A service takes part if it has routes of more than one priority.
    pub fn set_routes(&mut self, routing: &Routing) {
        let mut weights: BTreeMap<&str, BTreeMap<SocketAddrV4, f64>> = BTreeMap::new();
        for route in &routing.routes {
            for share in route.shares.iter().filter(|share| share.weight > 0) {
                weights.entry(&share.service).or_default().insert(route.address, weight(route.priority));
            }
        }
        let differ = |weights: &BTreeMap<SocketAddrV4, f64>| {
            let mut values = weights.values();
            let first = values.next();
            values.any(|weight| Some(weight) != first)
        };
        weights.retain(|_, weights| differ(weights));
        self.services.retain(|name, _| weights.contains_key(name.as_str()));
        for (name, weights) in weights {
            let service = self.services.entry(name.to_owned()).or_default();
            service.open.retain(|_, route| weights.contains_key(route));
            service.weights = weights;
        }
    }

    /// Returns the services whose routes compete.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// Returns whether a service has routes that compete.
    #[must_use]
    pub fn is_shared(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Records that a request of a route was given to a target of a service.
    pub fn opened(&mut self, service: &str, route: SocketAddrV4, flow: FlowHash) {
        if let Some(service) = self.services.get_mut(service)
            && service.weights.contains_key(&route)
        {
            service.open.insert(flow, route);
        }
    }

    /// Removes the requests for which `is_open` returns false.
    pub fn retain_open(&mut self, is_open: impl Fn(FlowHash) -> bool) {
        for service in self.services.values_mut() {
            service.open.retain(|flow, _| is_open(*flow));
        }
    }

    /// Returns the use of a service by its routes, or `None` if they do not compete. `waiting` are the waiting flows of
    /// the service as route and whether the flow is late. The demand of `asking` is at least one slot more than it has
    /// open.
    pub fn service_use(
        &self,
        service: &str,
        capacity: f64,
        is_open: impl Fn(FlowHash) -> bool,
        waiting: impl Iterator<Item = (SocketAddrV4, bool)>,
        asking: Option<SocketAddrV4>,
    ) -> Option<ServiceUse> {
        let service = self.services.get(service)?;
        let mut routes: BTreeMap<SocketAddrV4, RouteUse> = BTreeMap::new();
        let mut count = |route: SocketAddrV4, change: &dyn Fn(&mut RouteUse)| {
            if let Some(weight) = service.weights.get(&route) {
                let unused = RouteUse { route, weight: *weight, open: 0, waiting: 0, waiting_late: 0, share: 0.0 };
                change(routes.entry(route).or_insert(unused));
            }
        };
        for (_, route) in service.open.iter().filter(|(flow, _)| is_open(**flow)) {
            count(*route, &|it| it.open += 1);
        }
        for (route, late) in waiting {
            count(route, &|it| if late { it.waiting_late += 1 } else { it.waiting += 1 });
        }
        if let Some(asking) = asking {
            count(asking, &|_| {});
        }
        Some(ServiceUse::new(capacity, routes.into_values().collect(), asking))
    }

    /// Records whether a service is contended, with the use that shows it.
    pub fn record_contention(&mut self, now: Timestamp, name: &str, service_use: Option<ServiceUse>) {
        let Some(service) = self.services.get_mut(name) else { return };
        let contended = service_use.as_ref().is_some_and(ServiceUse::is_contended);
        let changed = match service.contended_at {
            _ if contended => service.contended_at.replace(now).is_none(),
            Some(last) if now.saturating_sub(last) >= CONTENTION_HOLD => service.contended_at.take().is_some(),
            _ => false,
        };
        if changed {
            self.changes.push(ContentionChange { service: name.to_owned(), contended, service_use });
        }
    }

    /// Returns whether a service was contended within [`CONTENTION_HOLD`].
    #[must_use]
    pub fn is_contended(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|service| service.contended_at.is_some())
    }

    /// Returns the number of services that are contended.
    #[must_use]
    pub fn contended_count(&self) -> usize {
        self.services.values().filter(|service| service.contended_at.is_some()).count()
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<ContentionChange> {
        std::mem::take(&mut self.changes)
    }
}
