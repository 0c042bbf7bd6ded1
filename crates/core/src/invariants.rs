//! Invariants, checked at run time.
//!
//! A violation is counted, reported in the state dump and as a metric, and fatal where debug assertions are enabled, as
//! in tests. In production the instance continues and serves the callers that the violation does not affect.

use serde::Serialize;
use strum::Display;
use strum::EnumCount;
use strum::EnumIter;
use strum::IntoEnumIterator;
use strum::IntoStaticStr;

/// A rule that must hold for every sequence of inputs.
#[derive(Clone, Copy, Debug, Display, EnumCount, EnumIter, Eq, Hash, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Invariant {
    /// The revision of the active configuration set never decreases.
    RevisionNeverFalls,
    /// A packet is sent only to a target of the service that it was addressed to.
    PacketStaysWithService,
    /// A packet is forwarded at most as often as its hop limit allows.
    ForwardingEnds,
    /// No packet is sent to a target in a failure domain that is out of service.
    OutDomainSilent,
    /// A target that is not warm runs no more requests than its slow-start limit.
    ColdTargetWithinRamp,
    /// A target runs no more requests than it has slots.
    SlotsWithinLimit,
    /// A ticket starts at most one run.
    TicketRunsOnce,
    /// A refusal is "not run" only if the request reached no target, or the target itself refused it.
    NotRunIsTrue,
    /// A target that is leaving receives no new work.
    LeavingTargetGetsNothing,
    /// Each request receives exactly one reply.
    OneReplyPerRequest,
}

/// Number of violations of each invariant.
#[derive(Clone, Debug, Default)]
pub struct InvariantCounters {
    breaches: [u64; Invariant::COUNT],
}

impl InvariantCounters {
    /// Counts a violation unless `holds` is true.
    ///
    /// # Panics
    ///
    /// Panics on a violation if debug assertions are enabled.
    pub fn assert(&mut self, holds: bool, invariant: Invariant) {
        if holds {
            return;
        }
        self.breaches[invariant as usize] += 1;
        debug_assert!(holds, "invariant broken: {invariant}");
    }

    /// Returns the counts of all invariants that have been violated.
    #[must_use]
    pub fn breaches(&self) -> Vec<Breach> {
        let counted = Invariant::iter().map(|invariant| Breach { invariant, count: self.count(invariant) });
        counted.filter(|breach| breach.count > 0).collect()
    }

    /// Returns how often an invariant was violated.
    #[must_use]
    pub fn count(&self, invariant: Invariant) -> u64 {
        self.breaches[invariant as usize]
    }
}

/// Number of violations of one invariant.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Breach {
    /// The invariant.
    pub invariant: Invariant,
    /// Number of violations since start.
    pub count: u64,
}
