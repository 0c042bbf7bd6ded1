//! Which published set is in force.
//!
//! Sets reach an instance from the platform and from peers, in any order and more than once. Two rules make every
//! instance end with the same one and keep it: a set of a lower revision never replaces a higher one, and of two
//! sets with one revision the one with the greater content hash holds. The latter should never occur; it is counted,
//! and resolved alike everywhere rather than by who came first.

use std::sync::Arc;

use crate::Timestamp;
use crate::catalog::Catalog;
use crate::invariants::Invariant;
use crate::invariants::InvariantCounters;
use hawthornshift_model::CheckedSet;
use hawthornshift_model::Revision;

/// What became of an offered set.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Adoption {
    /// It is in force now.
    Adopted,
    /// It was in force already.
    Known,
    /// A later one is in force.
    Stale,
    /// Another one of its revision was in force; the one with the greater hash is now.
    Clash,
}

/// The set in force and how it came to be.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    catalog: Arc<Catalog>,
    adopted_at: Timestamp,
    clashes: u64,
    stale: u64,
    refused: u64,
}

impl Configuration {
    /// Offers a set, which comes into force if it is later than the present one.
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
        Adoption::Clash
    }

    fn adopt(&mut self, now: Timestamp, set: Arc<CheckedSet>, invariant_counters: &mut InvariantCounters) {
        let before = self.revision();
        self.catalog = Arc::new(Catalog::new(set));
        self.adopted_at = now;
        invariant_counters.assert(self.revision() >= before, Invariant::RevisionNeverFalls);
    }

    /// Counts a set that failed the check.
    pub fn count_refused(&mut self) {
        self.refused += 1;
    }

    /// Returns the set in force.
    #[must_use]
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Returns the revision in force; zero before the first.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.catalog.revision()
    }

    /// Returns when the present set came into force.
    #[must_use]
    pub fn adopted_at(&self) -> Timestamp {
        self.adopted_at
    }

    /// Returns how often two sets had one revision.
    #[must_use]
    pub fn clashes(&self) -> u64 {
        self.clashes
    }

    /// Returns how many sets failed the check.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
