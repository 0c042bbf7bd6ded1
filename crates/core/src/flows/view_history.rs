//! Earlier views whose homes may still hold flows that have another home under the current view.
//!
//! A view is remembered for a fixed time, which is several times as long as advertising all flows takes. An earlier
//! design forgot a view as soon as every peer had reported that it had finished advertising. Each change then needed a
//! message from every instance to every other (682 messages per second and node with 430 nodes after a start), and the
//! design was wrong in two cases. The fixed time costs two extra hops only for new flows whose home has changed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;
use crate::view::View;
use hawthornshift_model::InstanceId;
use hawthornshift_model::ServiceId;

/// Maximum number of earlier views. A rolling restart of nine instances creates 18 views in quick succession.
const MAX_VIEWS: usize = 12;

/// Earlier views, most recent first.
#[derive(Clone, Debug)]
pub struct ViewHistory {
    views: VecDeque<(Timestamp, View)>,
    memory: Duration,
}

impl ViewHistory {
    /// Creates an empty history that remembers each view for `memory`.
    #[must_use]
    pub fn new(memory: Duration) -> Self {
        Self { views: VecDeque::new(), memory }
    }

    /// Returns the number of earlier views.
    #[must_use]
    pub fn len(&self) -> usize {
        self.views.len()
    }

    /// Returns whether there are no earlier views.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.views.is_empty()
    }

    /// Adds the view that has just been replaced. If the history is full, removes the oldest view.
    pub fn remember(&mut self, now: Timestamp, view: View) {
        self.views.push_front((now, view));
        self.views.truncate(MAX_VIEWS);
    }

    /// Replaces the history by `view`. Used after a join, when the views from before it are incomplete.
    pub fn restart(&mut self, now: Timestamp, view: View) {
        self.views.clear();
        self.remember(now, view);
    }

    /// Returns the distinct instances other than `me` that were the flow's home under earlier views, most recent first.
    ///
    /// An instance is a candidate even if it has already advertised all flows that it holds, because another instance
    /// may have advertised the flow to it.
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

    /// Removes the views that were replaced too long ago.
    pub fn expire(&mut self, now: Timestamp) {
        let memory = self.memory;
        self.views.retain(|(at, _)| now.saturating_sub(*at) < memory);
    }
}
