//! What instances of a group tell each other of open work and of targets that seem not to answer.
//!
//! One datagram a turn of the process carries all that the turn brought, so its cost follows the rate of flows and not
//! the number of decisions. Nothing is confirmed or repeated: a lost note makes a target look one request fuller or
//! emptier for a second at most.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::direct::segment::Cookie;
use crate::direct::segment::FlowHash;

/// Most entries of each kind in one datagram, which keeps it below 1,200 bytes.
pub const MAX_ENTRIES: usize = 100;

/// News of one turn.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Notes {
    /// Flows given to a target, by its cookie.
    pub started: Vec<(FlowHash, Cookie)>,
    /// Flows whose request has been answered.
    pub ended: Vec<FlowHash>,
    /// Flows of whose request nothing is expected here any more. No sign of life of their targets: were they told as
    /// answered, a dead target would seem to live by all the flows that it does not answer.
    pub given_up: Vec<FlowHash>,
    /// Targets of whose answers one looked like a failure.
    pub failed: Vec<Cookie>,
    /// Targets that seem not to answer, and how long to avoid each.
    pub avoid: Vec<(Cookie, Duration)>,
    /// Targets that answer again after a silence, and how long they count as cold.
    pub returning: Vec<(Cookie, Duration)>,
}

impl Notes {
    /// Tells whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn len(&self) -> usize {
        let flows = self.started.len() + self.ended.len() + self.given_up.len();
        flows + self.failed.len() + self.avoid.len() + self.returning.len()
    }

    /// Splits the notes into parts that fit a datagram each.
    #[must_use]
    pub fn parts(self) -> Vec<Self> {
        if self.len() <= MAX_ENTRIES {
            return vec![self];
        }
        let started = self.started.chunks(MAX_ENTRIES).map(|part| Self { started: part.to_vec(), ..Self::default() });
        let ended = self.ended.chunks(MAX_ENTRIES).map(|part| Self { ended: part.to_vec(), ..Self::default() });
        let given_up =
            self.given_up.chunks(MAX_ENTRIES).map(|part| Self { given_up: part.to_vec(), ..Self::default() });
        let failed = self.failed.chunks(MAX_ENTRIES).map(|part| Self { failed: part.to_vec(), ..Self::default() });
        let avoid = self.avoid.chunks(MAX_ENTRIES).map(|part| Self { avoid: part.to_vec(), ..Self::default() });
        let returning =
            self.returning.chunks(MAX_ENTRIES).map(|part| Self { returning: part.to_vec(), ..Self::default() });
        started.chain(ended).chain(given_up).chain(failed).chain(avoid).chain(returning).collect()
    }
}
