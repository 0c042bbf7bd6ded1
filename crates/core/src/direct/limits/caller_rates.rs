//! Arrival rates of new flows by caller address, to detect callers that ask for many times more than others.
//!
//! The expected load: one caller of a route sends fifty times as many requests as each of the others, and the targets
//! are overloaded by that. Without a distinction the flows of all callers are rejected in the same proportion.
//!
//! The table is bounded, and drops the caller that has been silent for the longest time. With 4,096 callers it takes
//! less than 0.6 MB, whatever the rate of new flows: 53 bytes for each of 8,192 hash buckets, and some 30 bytes a caller
//! for the order of eviction. Totals of 760 routes take less than 0.1 MB.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::Timestamp;
use crate::maps::FixedHashMap;

/// Maximum number of callers in the table, counted once for each route that they use.
const MAX_CALLERS: usize = 4_096;
/// Half-life of a caller's count of flows.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Time without a new flow after which a caller is dropped.
const EXPIRY: Duration = Duration::from_secs(4);
/// Ratio to the mean of the other callers from which a caller is heavy. Of callers that send two flows on average, one
/// in a thousand sends eight.
const HEAVY_RATIO: f64 = 4.0;
/// Flows that a heavy caller has sent recently at least, since small numbers vary by more than [`HEAVY_RATIO`].
const MIN_HEAVY_FLOWS: f64 = 8.0;

/// A caller of a route.
type Key = (SocketAddrV4, Ipv4Addr);

/// Recent flows of one caller.
#[derive(Clone, Copy, Debug)]
struct Caller {
    flows: f64,
    updated_at: Timestamp,
    /// Position in the order of eviction.
    position: u64,
    heavy: bool,
}

/// Recent flows of all callers of one route.
#[derive(Clone, Copy, Debug)]
struct Total {
    flows: f64,
    updated_at: Timestamp,
    callers: u32,
    heavy: u32,
}

fn decayed(flows: f64, updated_at: Timestamp, now: Timestamp) -> f64 {
    let half_lives = now.saturating_sub(updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
    flows * 0.5_f64.powf(half_lives)
}

/// Callers that have sent new flows recently, by route.
#[derive(Clone, Debug, Default)]
pub struct CallerRates {
    callers: FixedHashMap<Key, Caller>,
    /// The callers in the order of their latest flow.
    order: BTreeMap<u64, Key>,
    totals: FixedHashMap<SocketAddrV4, Total>,
    last_position: u64,
}

impl CallerRates {
    /// Records a new flow of a caller. Returns whether the caller is heavy: it sends several times as many flows as the
    /// other callers of the route on average.
    pub fn arrived(&mut self, now: Timestamp, route: SocketAddrV4, address: Ipv4Addr) -> bool {
        self.expire(now);
        let key = (route, address);
        self.last_position += 1;
        let position = self.last_position;
        let former = self.callers.get(&key).copied();
        let flows = former.map_or(0.0, |caller| decayed(caller.flows, caller.updated_at, now)) + 1.0;
        let first = Total { flows: 0.0, updated_at: now, callers: 0, heavy: 0 };
        let total = self.totals.entry(route).or_insert(first);
        total.flows = decayed(total.flows, total.updated_at, now) + 1.0;
        total.updated_at = now;
        total.callers += u32::from(former.is_none());
        let others = total.callers - 1;
        let heavy = others > 0
            && flows >= MIN_HEAVY_FLOWS
            && flows * f64::from(others) > (total.flows - flows).max(0.0) * HEAVY_RATIO;
        total.heavy = total.heavy + u32::from(heavy) - u32::from(former.is_some_and(|caller| caller.heavy));
        if let Some(former) = former {
            self.order.remove(&former.position);
        }
        self.order.insert(position, key);
        self.callers.insert(key, Caller { flows, updated_at: now, position, heavy });
        if self.callers.len() > MAX_CALLERS {
            self.drop_oldest(now);
        }
        heavy
    }

    /// Returns whether a caller was heavy at its latest new flow.
    #[must_use]
    pub fn is_heavy(&self, route: SocketAddrV4, address: Ipv4Addr) -> bool {
        self.callers.get(&(route, address)).is_some_and(|caller| caller.heavy)
    }

    /// Returns the routes that have heavy callers.
    pub fn routes_with_heavy(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.totals.iter().filter(|(_, total)| total.heavy > 0).map(|(route, _)| *route)
    }

    /// Returns the fraction of a route's callers that are heavy, or that are not.
    #[must_use]
    pub fn fraction(&self, route: SocketAddrV4, heavy: bool) -> f64 {
        let Some(total) = self.totals.get(&route) else { return f64::from(u8::from(!heavy)) };
        let of_heavy = f64::from(total.heavy) / f64::from(total.callers);
        if heavy { of_heavy } else { 1.0 - of_heavy }
    }

    /// Returns the number of heavy callers, counted once for each route that they use.
    #[must_use]
    pub fn heavy_count(&self) -> usize {
        self.totals.values().map(|total| usize::try_from(total.heavy).unwrap_or(usize::MAX)).sum()
    }

    /// Returns the number of callers in the table, counted once for each route that they use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }

    /// Drops the callers without a recent flow.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((_, key)) = self.order.first_key_value()
            && self.callers.get(key).is_none_or(|caller| now.saturating_sub(caller.updated_at) >= EXPIRY)
        {
            self.drop_oldest(now);
        }
    }

    fn drop_oldest(&mut self, now: Timestamp) {
        let Some((_, key)) = self.order.pop_first() else { return };
        let Some(caller) = self.callers.remove(&key) else { return };
        let Some(total) = self.totals.get_mut(&key.0) else { return };
        total.flows =
            (decayed(total.flows, total.updated_at, now) - decayed(caller.flows, caller.updated_at, now)).max(0.0);
        total.updated_at = now;
        total.callers -= 1;
        total.heavy -= u32::from(caller.heavy);
        if total.callers == 0 {
            self.totals.remove(&key.0);
        }
    }
}
