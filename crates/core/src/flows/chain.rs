//! The earlier views whose homes may still hold flows that the present view places elsewhere.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;
use crate::maps::Map;
use crate::view::View;
use hawthornshift_model::InstanceId;
use hawthornshift_model::ServiceId;

/// Earlier views remembered at most; a rolling restart of nine instances makes eighteen in quick succession, and the
/// telling of flows usually settles each before the next but one.
const MAX_VIEWS: usize = 6;

/// Earlier views, the latest first.
#[derive(Clone, Debug)]
pub struct Chain {
    views: VecDeque<(Timestamp, View)>,
    memory: Duration,
    /// The view under which each instance has last told everything, since the last change of view here.
    settled: Map<InstanceId, u64>,
}

impl Chain {
    /// Starts without earlier views; each is remembered for `memory` at the most.
    #[must_use]
    pub fn new(memory: Duration) -> Self {
        Self { views: VecDeque::new(), memory, settled: Map::default() }
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
    ///
    /// Who had settled before has to say so again: a fleet that goes from one view to another and back has the same
    /// view as before, but flows that were started in between.
    pub fn remember(&mut self, now: Timestamp, view: View) {
        self.settled.clear();
        self.views.push_front((now, view));
        self.views.truncate(MAX_VIEWS);
    }

    /// Forgets the views of a node that was still finding its place, and starts with the one it has joined.
    pub fn restart(&mut self, now: Timestamp, view: View) {
        self.views.clear();
        self.remember(now, view);
    }

    /// Notes that an instance has told everything that it holds under its view.
    pub fn settled(&mut self, id: InstanceId, view: u64) {
        self.settled.insert(id, view);
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

    /// Forgets views that were replaced too long ago, and all of them once every one of `others` has told everything
    /// under the present view.
    pub fn expire(&mut self, now: Timestamp, present: u64, mut others: impl Iterator<Item = InstanceId>) {
        let memory = self.memory;
        self.views.retain(|(at, _)| now.saturating_sub(*at) < memory);
        if !self.views.is_empty() && others.all(|id| self.settled.get(&id) == Some(&present)) {
            self.views.clear();
        }
    }
}
