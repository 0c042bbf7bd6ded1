//! Differences between two sets, and whether one may replace the other.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use strum::Display;

use crate::check::Diagnostic;
use crate::check::Severity;
use crate::set::PublishedSet;

/// How an object differs between two sets.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ChangeKind {
    /// The object exists only in the new set.
    Added,
    /// The object exists only in the old set.
    Removed,
    /// The object exists in both sets with different content.
    Changed,
}

/// One object that differs between two sets.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Kind of difference.
    pub kind: ChangeKind,
    /// Kind and name of the object.
    pub object: String,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.object)
    }
}

/// Returns the objects that differ between two sets, sorted by the text of kind and name.
#[must_use]
pub fn diff(old: &PublishedSet, new: &PublishedSet) -> Vec<Change> {
    let old = objects(old);
    let new = objects(new);
    let mut changes: Vec<Change> = Vec::new();
    for (object, content) in &new {
        match old.get(object) {
            None => changes.push(Change { kind: ChangeKind::Added, object: object.clone() }),
            Some(previous) if previous != content => {
                changes.push(Change { kind: ChangeKind::Changed, object: object.clone() });
            }
            Some(_) => {}
        }
    }
    let removed = old.keys().filter(|object| !new.contains_key(*object));
    changes.extend(removed.map(|object| Change { kind: ChangeKind::Removed, object: object.clone() }));
    changes.sort_by(|a, b| a.object.cmp(&b.object));
    changes
}

/// Returns the errors that prevent `new` from replacing `old`.
///
/// The revision must increase. A service keeps its protocol and address for as long as it keeps its name: otherwise
/// callers and packets in flight would reach a service that they did not address.
#[must_use]
pub fn check_successor(old: &PublishedSet, new: &PublishedSet) -> Vec<Diagnostic> {
    let mut diagnostics = Vec::new();
    if new.revision <= old.revision {
        let reason = format!("{} is not greater than the current {}", new.revision, old.revision);
        diagnostics.push(error("set".to_owned(), "revision", reason));
    }
    for service in &new.services {
        let previous = old.services.iter().find(|other| other.name == service.name);
        if previous.is_some_and(|previous| previous.id() != service.id()) {
            let reason = "a service cannot change its protocol or address; use a new name".to_owned();
            diagnostics.push(error(format!("service {}", service.name), "address", reason));
        }
    }
    diagnostics
}

fn error(object: String, field: &str, reason: String) -> Diagnostic {
    Diagnostic { severity: Severity::Error, object, field: field.to_owned(), reason }
}

/// Returns a set's objects by kind and name, each with its content as text for comparison.
fn objects(set: &PublishedSet) -> BTreeMap<String, String> {
    let mut objects = BTreeMap::new();
    for domain in &set.failure_domains {
        objects.insert(format!("failure domain {}", domain.name), format!("{domain:?}"));
    }
    for group in &set.target_groups {
        for target in &group.targets {
            objects.insert(format!("target {} of {}", target.name, group.name), format!("{target:?}"));
        }
    }
    for service in &set.services {
        objects.insert(format!("service {}", service.name), format!("{service:?}"));
    }
    objects
}
