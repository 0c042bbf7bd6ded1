//! The earlier views whose homes may still hold flows that the present view places elsewhere.
//!
//! A view is remembered for a fixed time, several times what telling takes. An earlier design closed the chain as soon
//! as every peer had said that it was done; that took a message from everyone to everyone at each change (682 a node
//! and second at 430 nodes after a start), and was wrong twice. Leaving it open costs two hops for those new flows alone
//! whose home the change has moved.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;
use crate::view::View;
use hawthornshift_model::InstanceId;
use hawthornshift_model::ServiceId;

/// Earlier views remembered at most; a rolling restart of nine instances makes eighteen in quick succession.
const MAX_VIEWS: usize = 12;

/// Earlier views, the latest first.
#[derive(Clone, Debug)]
pub struct Chain {
    views: VecDeque<(Timestamp, View)>,
    memory: Duration,
}

impl Chain {
    /// Starts without earlier views; each is remembered for `memory` at the most.
    #[must_use]
    pub fn new(memory: Duration) -> Self {
        Self { views: VecDeque::new(), memory }
    }

    /// Returns how many earlier views are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.views.len()
    }

    /// Tells whether no earlier view is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.views.is_empty()
    }

    /// Remembers a view that has just been replaced.
    pub fn remember(&mut self, now: Timestamp, view: View) {
        self.views.push_front((now, view));
        self.views.truncate(MAX_VIEWS);
    }

    /// Forgets the views of a node that was still finding its place, and starts with the one it has joined.
    pub fn restart(&mut self, now: Timestamp, view: View) {
        self.views.clear();
        self.remember(now, view);
    }

    /// Returns the instances, other than `me`, that were the flow's home under earlier views; the latest first, each
    /// once.
    ///
    /// One that has told everything it holds is asked all the same, because it may have been told of a flow that a
    /// third instance holds.
    #[must_use]
    pub fn candidates(&self, service: ServiceId, hash: u64, me: InstanceId) -> Vec<InstanceId> {
        let mut candidates = Vec::new();
        for (_, view) in &self.views {
            let Some(entry) = view.catalog().service(service) else { continue };
            let Some(home) = view.home(hash, entry) else { continue };
            if home != me && !candidates.contains(&home) {
                candidates.push(home);
            }
        }
        candidates
    }

    /// Forgets views that were replaced too long ago.
    pub fn expire(&mut self, now: Timestamp) {
        let memory = self.memory;
        self.views.retain(|(at, _)| now.saturating_sub(*at) < memory);
    }
}
