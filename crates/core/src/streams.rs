//! TCP streams, which end at the instance that accepted them.
//!
//! A stream is two connections, and both are this instance's own, so no other instance can take it over. A planned
//! stop waits for streams to end; a failure domain that is taken out closes those that lead into it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::Timestamp;
use crate::catalog::Catalog;
use crate::catalog::TargetEntry;
use crate::event::StreamId;
use crate::health::TargetStatus;
use crate::health::TargetStatusCache;
use crate::maps::Map;
use crate::rendezvous;
use crate::view::View;
use hawthornshift_model::FlowKey;
use hawthornshift_model::TargetId;

#[derive(Clone, Debug)]
struct Stream {
    key: FlowKey,
    target: TargetId,
    failure_domain: String,
    refused: Vec<TargetId>,
}

/// The streams that this instance relays.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    streams: Map<StreamId, Stream>,
    by_target: BTreeMap<TargetId, u32>,
}

/// Targets tried for one stream at most.
const MAX_ATTEMPTS: usize = 3;

impl Streams {
    /// Returns how many streams are open.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Tells whether no stream is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Chooses the target of a new stream.
    pub fn open(
        &mut self,
        now: Timestamp,
        id: StreamId,
        key: FlowKey,
        view: &View,
        health: &TargetStatusCache,
    ) -> Option<SocketAddr> {
        self.open_at_target(now, id, key, Vec::new(), view, health)
    }

    /// Chooses another target after the one chosen refused the connection, of which nothing was sent yet.
    pub fn refused(
        &mut self,
        now: Timestamp,
        id: StreamId,
        view: &View,
        health: &TargetStatusCache,
    ) -> Option<SocketAddr> {
        let stream = self.close(id)?;
        let mut refused = stream.refused;
        refused.push(stream.target);
        if refused.len() >= MAX_ATTEMPTS {
            return None;
        }
        self.open_at_target(now, id, stream.key, refused, view, health)
    }

    fn open_at_target(
        &mut self,
        now: Timestamp,
        id: StreamId,
        key: FlowKey,
        refused: Vec<TargetId>,
        view: &View,
        health: &TargetStatusCache,
    ) -> Option<SocketAddr> {
        let target = self.choose_target(now, key, &refused, view, health)?;
        let failure_domain = view.catalog().domains()[target.domain].name.clone();
        *self.by_target.entry(target.id).or_default() += 1;
        self.streams.insert(id, Stream { key, target: target.id, failure_domain, refused });
        Some(target.address)
    }

    fn choose_target<'a>(
        &self,
        now: Timestamp,
        key: FlowKey,
        refused: &[TargetId],
        view: &'a View,
        health: &TargetStatusCache,
    ) -> Option<&'a TargetEntry> {
        let catalog = view.catalog();
        let service = catalog.service(key.service)?;
        let hash = key.hash64();
        let domain = catalog.domain_of(hash, service)?;
        let instances = u32::try_from(view.serving().len()).unwrap_or(1).max(1);
        let members = catalog.group(service.group).by_domain[domain].iter();
        let targets = members.filter_map(|id| catalog.target(*id));
        let usable = targets.filter(|target| {
            let share = (target.connections / instances).max(1);
            let full = self.by_target.get(&target.id).is_some_and(|open| *open >= share);
            let status = health.status(now, target.id);
            let unavailable = matches!(status, Some(TargetStatus::Down | TargetStatus::Leaving));
            !target.leaving && !full && !unavailable && !refused.contains(&target.id)
        });
        rendezvous::pick(hash, usable, |target| target.id)
    }

    /// Forgets a stream that has ended.
    pub fn closed(&mut self, id: StreamId) {
        let _ = self.close(id);
    }

    fn close(&mut self, id: StreamId) -> Option<Stream> {
        let stream = self.streams.remove(&id)?;
        if let Some(open) = self.by_target.get_mut(&stream.target) {
            *open = open.saturating_sub(1);
        }
        Some(stream)
    }

    /// Returns the streams that lead into a failure domain which may carry no traffic.
    #[must_use]
    pub fn leading_out_of_service(&self, catalog: &Catalog) -> Vec<StreamId> {
        let out = self.streams.iter().filter(|(_, stream)| !catalog.domain_in_service(&stream.failure_domain));
        out.map(|(id, _)| *id).collect()
    }
}
