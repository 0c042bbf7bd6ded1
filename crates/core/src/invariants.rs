//! What must always hold, asserted while the program runs.
//!
//! A breach is counted, shown in the state dump and as a metric, and fatal where debug assertions are on, as they are
//! in tests. In production an instance goes on: it still serves the callers that the breach does not touch.

use serde::Serialize;
use strum::Display;
use strum::EnumCount;
use strum::EnumIter;
use strum::IntoEnumIterator;
use strum::IntoStaticStr;

/// A rule that no input may break.
#[derive(Clone, Copy, Debug, Display, EnumCount, EnumIter, Eq, Hash, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Invariant {
    /// The revision in force never falls.
    RevisionNeverFalls,
    /// A packet goes only to a target of the service it was sent to.
    PacketStaysWithService,
    /// A packet takes no more hops than its limit.
    ForwardingEnds,
    /// No packet goes to a target in a failure domain that is out.
    OutDomainSilent,
    /// A target that is not warm runs no more than its ramp allows.
    ColdTargetWithinRamp,
    /// A target runs no more than its slots.
    SlotsWithinLimit,
    /// A ticket starts one run and no second.
    TicketRunsOnce,
    /// A refusal says "not run" only of a request that never reached a target or that the target itself refused.
    NotRunIsTrue,
    /// A target that is leaving gets no new work.
    LeavingTargetGetsNothing,
    /// Each request gets one reply.
    OneReplyPerRequest,
}

/// Counts the breaches of each invariant.
#[derive(Clone, Debug, Default)]
pub struct InvariantCounters {
    breaches: [u64; Invariant::COUNT],
}

impl InvariantCounters {
    /// Counts a breach unless `holds`.
    ///
    /// # Panics
    ///
    /// Panics on a breach where debug assertions are on.
    pub fn assert(&mut self, holds: bool, invariant: Invariant) {
        if holds {
            return;
        }
        self.breaches[invariant as usize] += 1;
        debug_assert!(holds, "invariant broken: {invariant}");
    }

    /// Returns the breaches of every invariant that has any.
    #[must_use]
    pub fn breaches(&self) -> Vec<Breach> {
        let counted = Invariant::iter().map(|invariant| Breach { invariant, count: self.count(invariant) });
        counted.filter(|breach| breach.count > 0).collect()
    }

    /// Returns how often an invariant was broken.
    #[must_use]
    pub fn count(&self, invariant: Invariant) -> u64 {
        self.breaches[invariant as usize]
    }
}

/// How often one invariant was broken.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Breach {
    /// The rule.
    pub invariant: Invariant,
    /// How often.
    pub count: u64,
}
