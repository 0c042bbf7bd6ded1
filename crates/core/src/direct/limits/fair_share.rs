//! Shares of a service's slots for the routes that compete for them.
//!
//! The expected load: several routes of different priority share a service, and one of them asks for eight times its
//! usual demand for seconds. Its flows fill every slot, the adaptive limit and the pending queue, so that flows of the
//! other routes are rejected although their demand did not grow.
//!
//! Each route has a guaranteed share of the slots that an instance may use. The shares are max-min fair by weight, and
//! the weight follows from the route's priority. Demand is the number of open and waiting flows, so a share that its
//! route does not use is available to the others at once. The state is local to the instance, and is lost with it.
//!
//! Within a route, the callers that send many times more than others form a class of their own. The route's weight is
//! divided between both classes by their numbers of callers, so that each caller has the same weight.

use std::collections::BTreeMap;
use std::fmt;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::Serialize;

use crate::Timestamp;
use crate::direct::limits::admission::QueueDepth;
use crate::direct::limits::caller_rates::CallerRates;
use crate::direct::segment::FlowHash;
use crate::direct::store::store_entries::Routing;
use crate::maps::FixedHashMap;

/// Ratio of the weights of two adjacent priorities.
const WEIGHT_RATIO: f64 = 0.5;
/// Priority from which weights no longer decrease, so that no share vanishes.
const LOWEST_WEIGHTED_PRIORITY: u8 = 8;
/// Standard deviations of a Poisson count by which a class may exceed its share and still count as within it. The
/// demand of a class that needs its share on average exceeds it at any time at about half of the instances.
const SHARE_DEVIATIONS: f64 = 2.0;
/// Open requests that a route's guarantee covers at least. A share of less than one slot could otherwise never be
/// used, which occurs with more instances than slots.
const MIN_GUARANTEE: f64 = 1.0;
/// Maximum number of classes in a log line.
const MAX_LOGGED_CLASSES: usize = 8;
/// Fraction of a route's weight that a class has at least, also while its callers are no longer in the table.
const MIN_CLASS_FRACTION: f64 = 0.001;
/// Time without contention after which its end is reported. Contention that resumes earlier is the same event.
const CONTENTION_HOLD: Duration = Duration::from_secs(1);

/// The flows of a route's heavy callers, or of its other callers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FlowClass {
    /// Address of the route.
    pub route: SocketAddrV4,
    /// Whether the callers send many times more flows than the others.
    pub heavy: bool,
}

/// Whether a flow's class is within its share of a service's slots, which decides how it is placed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Standing {
    /// The division does not affect the flow.
    #[default]
    Unaffected,
    /// The class is within its share while another one asks for more than its own. The flow may be placed beyond the
    /// limits that others have reached.
    Guaranteed,
    /// The class asks for more than its share while another one is active. The flow may use free slots, but
    /// not the queues of overloaded targets.
    Excess,
    /// As [`Excess`](Self::Excess), for heavy callers. Domains without a limit count as overloaded too once half of
    /// the service's domains have one.
    ExcessOfCallers,
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

/// Use of a service by one class of flows.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ClassUse {
    /// The class.
    #[serde(flatten)]
    pub class: FlowClass,
    /// Weight of the class.
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

impl ClassUse {
    fn demand(&self) -> usize {
        self.open + self.waiting + self.waiting_late
    }

    fn min_guarantee(&self) -> f64 {
        if self.class.heavy { 0.0 } else { MIN_GUARANTEE }
    }

    /// Returns the open requests up to which the class is within its share.
    fn guarantee(&self) -> f64 {
        let variation = if self.class.heavy { 0.0 } else { self.share.sqrt() * SHARE_DEVIATIONS };
        (self.share + variation).max(self.min_guarantee())
    }

    /// Returns the slots that the class would use with one more flow.
    fn next(&self) -> f64 {
        as_slots(self.open) + 1.0
    }

    /// Returns whether one more flow stays within the share.
    fn has_room(&self) -> bool {
        self.next() <= self.guarantee()
    }

    /// Returns whether the class asks for more than its share.
    fn is_over(&self) -> bool {
        as_slots(self.demand()) > self.share.max(self.min_guarantee())
    }
}

fn as_slots(flows: usize) -> f64 {
    f64::from(u32::try_from(flows).unwrap_or(u32::MAX))
}

/// Order in which classes are served, the smallest first: those within their share, then by the slots used in
/// proportion to the weight.
pub type Turn = (bool, f64);

/// Use of a service by the classes that compete for it, at one time.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceUse {
    /// Slots of the service that this instance may use.
    pub capacity: f64,
    /// The classes with open or waiting flows.
    pub classes: Vec<ClassUse>,
}

impl ServiceUse {
    /// Returns the use with the shares that follow from the demands, which may be unset in `classes`. The demand of
    /// `asking` is at least one slot more than it has open.
    #[must_use]
    pub fn new(capacity: f64, mut classes: Vec<ClassUse>, asking: Option<FlowClass>) -> Self {
        let demands: Vec<Demand> = classes
            .iter()
            .map(|used| {
                let asked = if asking == Some(used.class) { used.open + 1 } else { 0 };
                Demand { weight: used.weight, slots: as_slots(used.demand().max(asked)) }
            })
            .collect();
        for (used, share) in classes.iter_mut().zip(max_min_shares(capacity, &demands)) {
            used.share = share;
        }
        Self { capacity, classes }
    }

    fn used_by(&self, class: FlowClass) -> Option<&ClassUse> {
        self.classes.iter().find(|other| other.class == class)
    }

    /// Returns whether a class may place one more flow under its guarantee, since another class asks for more than its
    /// share.
    #[must_use]
    pub fn is_guaranteed(&self, class: FlowClass) -> bool {
        self.used_by(class).is_some_and(ClassUse::has_room)
            && self.classes.iter().any(|other| other.class != class && other.is_over())
    }

    /// Returns whether a class asks for more than its share while another one is active.
    #[must_use]
    pub fn is_contended(&self) -> bool {
        self.classes.len() > 1 && self.classes.iter().any(ClassUse::is_over)
    }

    /// Returns the standing of a class's next flow. `contended` tells whether there was contention lately.
    #[must_use]
    pub fn standing(&self, class: FlowClass, contended: bool) -> Standing {
        if self.is_guaranteed(class) {
            Standing::Guaranteed
        } else if contended && self.used_by(class).is_some_and(ClassUse::is_over) {
            if class.heavy { Standing::ExcessOfCallers } else { Standing::Excess }
        } else {
            Standing::Unaffected
        }
    }

    /// Returns the turn of a class's next flow.
    #[must_use]
    pub fn turn(&self, class: FlowClass) -> Turn {
        self.used_by(class).map_or((true, f64::MAX), |used| (!used.has_room(), used.next() / used.weight))
    }

    /// Returns the order in which classes lose waiting flows when the queue is full, the greatest first.
    #[must_use]
    pub fn excess(&self, class: FlowClass) -> f64 {
        self.used_by(class).map_or(f64::MAX, |used| as_slots(used.demand()) / used.weight)
    }

    /// Returns the number of waiting flows that would be served before a new flow of a class. Those of its own class
    /// are included, since later ones will be served before it.
    #[must_use]
    pub fn depth_before(&self, class: FlowClass) -> QueueDepth {
        let turn = self.turn(class);
        let ahead = self.classes.iter().filter(|other| other.class == class || self.turn(other.class) <= turn);
        ahead.fold(QueueDepth { in_time: 0, late: 0 }, |depth, other| QueueDepth {
            in_time: depth.in_time + other.waiting,
            late: depth.late + other.waiting_late,
        })
    }

    /// Returns the fraction of the capacity that is guaranteed to a class while all others ask for more than their
    /// share.
    #[must_use]
    pub fn fraction(&self, class: FlowClass) -> f64 {
        let all: f64 = self.classes.iter().map(|used| used.weight).sum();
        self.used_by(class).map_or(0.0, |used| used.weight / all)
    }
}

/// Formats the use for the log: the capacity, and for each class its route, open and waiting flows and
/// share.
impl fmt::Display for ServiceUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "capacity {:.1}", self.capacity)?;
        for used in self.classes.iter().take(MAX_LOGGED_CLASSES) {
            let (route, waiting) = (used.class.route, used.waiting + used.waiting_late);
            let callers = if used.class.heavy { " heavy callers" } else { "" };
            write!(f, ", {route}{callers} open {} waiting {waiting} share {:.1}", used.open, used.share)?;
        }
        Ok(())
    }
}

/// Start or end of a time in which a class asks for more than its share while another one is active.
#[derive(Clone, Debug)]
pub struct ContentionChange {
    /// Name of the service.
    pub service: String,
    /// Whether there is contention now.
    pub contended: bool,
    /// The use that caused the change; `None` if no flow waits and no limit is in force.
    pub service_use: Option<ServiceUse>,
}

/// State of one service.
#[derive(Clone, Debug, Default)]
struct Service {
    weights: BTreeMap<SocketAddrV4, f64>,
    /// Whether the weights differ.
    uneven: bool,
    /// Open requests with their classes.
    open: FixedHashMap<FlowHash, FlowClass>,
    /// When contention was last seen, while it has not been reported as ended.
    contended_at: Option<Timestamp>,
    /// Slots that this instance may use, as of the last review.
    capacity: Option<f64>,
}

/// Routes and callers that share a service, and the open requests of each class.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    services: BTreeMap<String, Service>,
    callers: CallerRates,
    changes: Vec<ContentionChange>,
}

impl FairShares {
    /// Sets the routes.
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
        self.services.retain(|name, _| weights.contains_key(name.as_str()));
        for (name, weights) in weights {
            let service = self.services.entry(name.to_owned()).or_default();
            service.open.retain(|_, class| weights.contains_key(&class.route));
            service.uneven = differ(&weights);
            service.weights = weights;
        }
    }

    fn competes(&self, service: &Service) -> bool {
        service.uneven || self.callers.routes_with_heavy().any(|route| service.weights.contains_key(&route))
    }

    /// Returns the services that have classes which compete.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.iter().filter(|(_, service)| self.competes(service)).map(|(name, _)| name.as_str())
    }

    /// Returns whether a service has classes that compete: routes of more than one priority, or heavy callers.
    #[must_use]
    pub fn is_shared(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|service| self.competes(service))
    }

    /// Records a new flow of a caller.
    pub fn arrived(&mut self, now: Timestamp, route: SocketAddrV4, caller: Ipv4Addr) {
        self.callers.arrived(now, route, caller);
    }

    /// Returns the class of a caller's flows by its latest new flow.
    #[must_use]
    pub fn class_of(&self, route: SocketAddrV4, caller: Ipv4Addr) -> FlowClass {
        FlowClass { route, heavy: self.callers.is_heavy(route, caller) }
    }

    /// Returns the number of heavy callers, counted once for each route that they use.
    #[must_use]
    pub fn heavy_callers(&self) -> usize {
        self.callers.heavy_count()
    }

    /// Records that a request was given to a target of a service.
    pub fn opened(&mut self, service: &str, class: FlowClass, flow: FlowHash) {
        if let Some(service) = self.services.get_mut(service)
            && service.weights.contains_key(&class.route)
        {
            service.open.insert(flow, class);
        }
    }

    /// Removes the requests for which `is_open` returns false, and callers without a recent flow.
    pub fn review(&mut self, now: Timestamp, is_open: impl Fn(FlowHash) -> bool) {
        for service in self.services.values_mut() {
            service.open.retain(|flow, _| is_open(*flow));
        }
        self.callers.expire(now);
    }

    /// Sets the slots of a service that this instance may use, or `None` while neither a flow waits nor a limit is in
    /// force.
    pub fn set_capacity(&mut self, service: &str, capacity: Option<f64>) {
        if let Some(service) = self.services.get_mut(service) {
            service.capacity = capacity;
        }
    }

    /// Returns the slots of a service that this instance may use, as of the last review.
    #[must_use]
    pub fn capacity(&self, service: &str) -> Option<f64> {
        self.services.get(service).and_then(|service| service.capacity)
    }

    /// Returns the use of a service by its classes, or `None` if they do not compete. `waiting` are the waiting flows of
    /// the service as class and whether the flow is late. The demand of `asking` is at least one slot more than it has
    /// open.
    pub fn service_use(
        &self,
        service: &str,
        capacity: f64,
        is_open: impl Fn(FlowHash) -> bool,
        waiting: impl Iterator<Item = (FlowClass, bool)>,
        asking: Option<FlowClass>,
    ) -> Option<ServiceUse> {
        let service = self.services.get(service).filter(|service| self.competes(service))?;
        let mut classes: BTreeMap<FlowClass, ClassUse> = BTreeMap::new();
        let mut count = |class: FlowClass, change: &dyn Fn(&mut ClassUse)| {
            if let Some(weight) = service.weights.get(&class.route) {
                let fraction = self.callers.fraction(class.route, class.heavy).max(MIN_CLASS_FRACTION);
                let weight = weight * fraction;
                let unused = ClassUse { class, weight, open: 0, waiting: 0, waiting_late: 0, share: 0.0 };
                change(classes.entry(class).or_insert(unused));
            }
        };
        for (_, class) in service.open.iter().filter(|(flow, _)| is_open(**flow)) {
            count(*class, &|it| it.open += 1);
        }
        for (class, late) in waiting {
            count(class, &|it| if late { it.waiting_late += 1 } else { it.waiting += 1 });
        }
        if let Some(asking) = asking {
            count(asking, &|_| {});
        }
        Some(ServiceUse::new(capacity, classes.into_values().collect(), asking))
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

    /// Returns whether a service was contended within `CONTENTION_HOLD`.
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
