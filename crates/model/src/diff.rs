//! What changes from one set to the next, and whether the next may follow.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use strum::Display;

use crate::check::Fault;
use crate::check::Severity;
use crate::set::PublishedSet;

/// How an object differs between two sets.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ChangeKind {
    /// Only the new set has it.
    Added,
    /// Only the old set has it.
    Removed,
    /// Both have it, with other content.
    Changed,
}

/// One object that differs between two sets.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// How it differs.
    pub kind: ChangeKind,
    /// Kind and name of the object.
    pub object: String,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.object)
    }
}

/// Returns the objects that differ between two sets, sorted by kind and name.
#[must_use]
pub fn diff(old: &PublishedSet, new: &PublishedSet) -> Vec<Change> {
    let old = objects(old);
    let new = objects(new);
    let mut changes: Vec<Change> = Vec::new();
    for (object, content) in &new {
        match old.get(object) {
            None => changes.push(Change { kind: ChangeKind::Added, object: object.clone() }),
            Some(before) if before != content => {
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

/// Returns the faults that keep `new` from following `old`.
///
/// A service keeps its protocol and address for as long as it keeps its name: callers and packets on their way would
/// otherwise land on what they never asked for.
#[must_use]
pub fn check_succession(old: &PublishedSet, new: &PublishedSet) -> Vec<Fault> {
    let mut faults = Vec::new();
    if new.revision <= old.revision {
        let reason = format!("{} does not follow {}", new.revision, old.revision);
        faults.push(fault("set".to_owned(), "revision", reason));
    }
    for service in &new.services {
        let before = old.services.iter().find(|other| other.name == service.name);
        if before.is_some_and(|before| before.id() != service.id()) {
            let reason = "protocol or address changes under the same name; use a new name".to_owned();
            faults.push(fault(format!("service {}", service.name), "address", reason));
        }
    }
    faults
}

fn fault(object: String, field: &str, reason: String) -> Fault {
    Fault { severity: Severity::Error, object, field: field.to_owned(), reason }
}

/// Lists a set's objects by kind and name, each with its content as text to compare.
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
