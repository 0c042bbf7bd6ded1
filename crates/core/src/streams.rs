//! TCP streams, which the instance that accepted them relays.
//!
//! A stream consists of two connections, from the caller and to the target. Both terminate at this instance, so no
//! other instance can take the stream over. A planned stop waits for streams to end. When a failure domain is taken out
//! of service, the streams to its targets are closed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::Timestamp;
use crate::catalog::Catalog;
use crate::catalog::TargetEntry;
use crate::event::StreamId;
use crate::health::TargetStatus;
use crate::health::TargetStatusCache;
use crate::maps::FixedHashMap;
use crate::rendezvous;
use crate::view::View;
use hawthornshift_model::FlowKey;
use hawthornshift_model::TargetId;

#[derive(Clone, Debug)]
struct Stream {
    key: FlowKey,
    target: TargetId,
    failure_domain: String,
    /// Targets that refused the connection of this stream.
    refused: Vec<TargetId>,
}

/// The streams that this instance relays.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    streams: FixedHashMap<StreamId, Stream>,
    by_target: BTreeMap<TargetId, u32>,
}

/// Maximum number of targets tried for one stream.
const MAX_ATTEMPTS: usize = 3;

impl Streams {
    /// Returns the number of open streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Opens a stream; returns the address of its target, or `None` if no target can take it.
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

    /// Handles a connection that the stream's target refused, before anything was sent to the target.
    ///
    /// Returns the address of another target. Returns `None` and removes the stream if no target can take it, or after
    /// three attempts.
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
        let target_ids = catalog.group(service.group).by_domain[domain].iter();
        let targets = target_ids.filter_map(|id| catalog.target(*id));
        let usable = targets.filter(|target| {
            let share = (target.connections / instances).max(1);
            let full = self.by_target.get(&target.id).is_some_and(|open| *open >= share);
            let status = health.status(now, target.id);
            let unavailable = matches!(status, Some(TargetStatus::Down | TargetStatus::Leaving));
            !target.leaving && !full && !unavailable && !refused.contains(&target.id)
        });
        rendezvous::pick(hash, usable, |target| target.id)
    }

    /// Removes a stream that has ended.
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

    /// Returns the streams to targets in failure domains that are out of service.
    #[must_use]
    pub fn leading_out_of_service(&self, catalog: &Catalog) -> Vec<StreamId> {
        let out = self.streams.iter().filter(|(_, stream)| !catalog.domain_in_service(&stream.failure_domain));
        out.map(|(id, _)| *id).collect()
    }
}
