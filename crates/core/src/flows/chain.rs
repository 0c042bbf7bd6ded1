//! The earlier views whose homes may still hold flows that the present view places elsewhere.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;
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
    /// Instances that have told everything, each under the view that it had then.
    settled: HashSet<(InstanceId, u64)>,
}

impl Chain {
    /// Starts without earlier views; each is remembered for `memory` at the most.
    #[must_use]
    pub fn new(memory: Duration) -> Self {
        Self { views: VecDeque::new(), memory, settled: HashSet::new() }
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

    /// Notes that an instance has told everything under its view.
    pub fn settled(&mut self, id: InstanceId, view: u64) {
        self.settled.insert((id, view));
    }

    /// Returns the instances, other than `me`, that were the flow's home under earlier views and have not said that
    /// they are settled under the present one; the latest first, each once.
    #[must_use]
    pub fn candidates(&self, service: ServiceId, hash: u64, me: InstanceId, present: u64) -> Vec<InstanceId> {
        let mut candidates = Vec::new();
        for (_, view) in &self.views {
            let Some(entry) = view.catalog().service(service) else { continue };
            let Some(home) = view.home(hash, entry) else { continue };
            let done = home == me || candidates.contains(&home) || self.settled.contains(&(home, present));
            if !done {
                candidates.push(home);
            }
        }
        candidates
    }

    /// Forgets views that were replaced too long ago, and with the last of them who has settled.
    pub fn expire(&mut self, now: Timestamp) {
        let memory = self.memory;
        self.views.retain(|(at, _)| now.saturating_sub(*at) < memory);
        if self.views.is_empty() {
            self.settled.clear();
        }
    }
}
