//! Selection of the active configuration set.
//!
//! An instance receives published sets from the platform and from peers, in any order and possibly repeated. Two rules
//! make all instances converge on the same set: a set never replaces one of a higher revision, and of two different
//! sets with the same revision the one with the greater content hash wins. Two sets with one revision should never
//! occur. The case is counted, and resolved in the same way on every instance instead of by order of arrival.

use std::sync::Arc;

use crate::Timestamp;
use crate::catalog::Catalog;
use crate::invariants::Invariant;
use crate::invariants::InvariantCounters;
use hawthornshift_model::CheckedSet;
use hawthornshift_model::Revision;

/// The result of [`Configuration::offer`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Adoption {
    /// The set had a higher revision and is active now.
    Adopted,
    /// The set was already active.
    Known,
    /// A set with a higher revision is active.
    Stale,
    /// A different set with the same revision was active; the one with the greater content hash is active now.
    Conflict,
}

/// The active configuration set, with counters of the sets that were offered.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    catalog: Arc<Catalog>,
    adopted_at: Timestamp,
    clashes: u64,
    stale: u64,
    refused: u64,
}

impl Configuration {
    /// Offers a set, which becomes active if its revision is higher than that of the active set, or equal with a
    /// greater content hash.
    pub fn offer(
        &mut self,
        now: Timestamp,
        set: Arc<CheckedSet>,
        invariant_counters: &mut InvariantCounters,
    ) -> Adoption {
        let revision = set.set().revision;
        if revision < self.revision() {
            self.stale += 1;
            return Adoption::Stale;
        }
        if revision > self.revision() {
            self.adopt(now, set, invariant_counters);
            return Adoption::Adopted;
        }
        let digest = set.digest();
        if digest == self.catalog.digest() {
            return Adoption::Known;
        }
        self.clashes += 1;
        if digest > self.catalog.digest() {
            self.adopt(now, set, invariant_counters);
        }
        Adoption::Conflict
    }

    fn adopt(&mut self, now: Timestamp, set: Arc<CheckedSet>, invariant_counters: &mut InvariantCounters) {
        let before = self.revision();
        self.catalog = Arc::new(Catalog::new(set));
        self.adopted_at = now;
        invariant_counters.assert(self.revision() >= before, Invariant::RevisionNeverFalls);
    }

    /// Counts a set that failed its check.
    pub fn count_refused(&mut self) {
        self.refused += 1;
    }

    /// Returns the compiled active set.
    #[must_use]
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Returns the revision of the active set; 0 before the first set.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.catalog.revision()
    }

    /// Returns the time at which the active set was adopted.
    #[must_use]
    pub fn adopted_at(&self) -> Timestamp {
        self.adopted_at
    }

    /// Returns how often an offered set differed from the active set of the same revision.
    #[must_use]
    pub fn clashes(&self) -> u64 {
        self.clashes
    }

    /// Returns the number of sets that failed their check.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
