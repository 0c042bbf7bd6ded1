//! Division of what a peer lacks into parts of limited size.
//!
//! The writers of the store decide how much that is, whereas each message must have a maximum size. The parts follow the
//! order of the entries' revisions. An entry that changes between two parts gets a higher revision, so a later part contains
//! it again, and none is left out.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::direct::reports::message::Handover;
use crate::direct::store::store_entries::Route;
use crate::direct::store::store_entries::ServiceSpec;
use crate::direct::store::store_entries::StoreEntry;
use crate::direct::store::store_entries::TargetSpec;
use hawthornshift_model::Revision;
use hawthornshift_model::TargetId;

/// Maximum encoded size of the fields of an entry, a route, a share or a service that have no variable length, in bytes.
const FIXED_BYTES: usize = 64;

/// Position in the entries of targets, ordered by revision and id. A part contains entries behind such a position.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PartPosition {
    /// Revision of the last entry that was sent.
    pub revision: Revision,
    /// Its target.
    pub target: TargetId,
}

impl PartPosition {
    /// The position before all entries.
    pub const START: Self = Self { revision: 0, target: 0 };
}

/// Error of parsing a position.
#[derive(Debug, Error)]
pub enum PartPositionError {
    /// The revision and the target are not separated by a dot.
    #[error("the position has no dot")]
    NoSeparator,
    /// The revision or the target is not a number.
    #[error("the position has an invalid number: {0}")]
    Number(#[from] ParseIntError),
}

impl fmt::Display for PartPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.revision, self.target)
    }
}

impl FromStr for PartPosition {
    type Err = PartPositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (revision, target) = text.split_once('.').ok_or(PartPositionError::NoSeparator)?;
        Ok(Self { revision: revision.parse()?, target: target.parse()? })
    }
}

/// The parts of one handover do not belong together.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum PartMismatch {
    /// One is part of a snapshot and the other one of a delta: the source has discarded entries in between.
    #[error("a part of a snapshot and a part of a delta")]
    Kind,
    /// The source repeats a position, so the handover would never end.
    #[error("a part does not follow the one before")]
    Position,
}

/// Which part of a handover a peer requests.
#[derive(Clone, Copy, Debug)]
pub struct PartRequest {
    /// Position behind which the part begins.
    pub after: PartPosition,
    /// Size in bytes from which on no further entry is added.
    pub max_bytes: usize,
}

impl PartRequest {
    /// The request for everything at once.
    pub const WHOLE: Self = Self { after: PartPosition::START, max_bytes: usize::MAX };

    /// Returns whether this is the first part, which also contains what is not divided.
    #[must_use]
    pub fn is_first(&self) -> bool {
        self.after == PartPosition::START
    }
}

/// Returns an upper bound of the encoded size of a target's entry, in bytes.
pub(super) fn target_bytes(spec: &TargetSpec) -> usize {
    FIXED_BYTES + spec.service.len() + spec.failure_domain.len()
}

/// Returns an upper bound of the encoded size of an entry, in bytes.
pub(super) fn entry_bytes(entry: &StoreEntry) -> usize {
    match entry {
        StoreEntry::Target(_, spec) => spec.as_ref().map_or(FIXED_BYTES, target_bytes),
        StoreEntry::RemovedTarget(_, spec) => target_bytes(spec),
        StoreEntry::Evacuated(domain, _) => FIXED_BYTES + domain.len(),
        StoreEntry::Routing(routing) => routing_bytes(&routing.routes, &routing.services, 0),
        StoreEntry::RoutingChange(change) => routing_bytes(&change.changed, &change.services, change.removed.len()),
    }
}

fn routing_bytes(routes: &[Route], services: &[ServiceSpec], removed: usize) -> usize {
    let shares = routes.iter().flat_map(|route| &route.shares).map(|share| FIXED_BYTES + share.service.len());
    let services = services.iter().map(|service| FIXED_BYTES + service.name.len());
    FIXED_BYTES * (1 + routes.len() + removed) + shares.chain(services).sum::<usize>()
}

impl Handover {
    /// Appends the next part of a handover.
    ///
    /// # Errors
    ///
    /// Returns an error if the part does not belong to this handover.
    pub fn append(&mut self, part: Self) -> Result<(), PartMismatch> {
        if part.delta.is_snapshot != self.delta.is_snapshot {
            return Err(PartMismatch::Kind);
        }
        if part.next.is_some() && part.next <= self.next {
            return Err(PartMismatch::Position);
        }
        // What is not divided is contained in the first part only, and may have changed since.
        self.delta.revision = self.delta.revision.min(part.delta.revision);
        self.delta.entries.extend(part.delta.entries);
        self.next = part.next;
        Ok(())
    }
}
