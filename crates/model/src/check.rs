//! The check of a whole set.
//!
//! A set is taken whole or not at all. Every fault is reported at once, each with the object and field it is in, so
//! that an operator mends a set in one round. [`CheckedSet`] can only be made here: a function that takes one needs
//! no check of its own.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;

use serde::Serialize;
use strum::Display;
use strum::IntoStaticStr;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::set::Class;
use crate::set::DomainState;
use crate::set::PublishedSet;
use crate::set::Service;
use crate::set::Target;
use crate::set::TargetGroup;

/// Largest set in bytes: the most that the platform's configuration service holds in one value.
pub const MAX_SET_BYTES: usize = 1 << 20;
/// Longest name in bytes.
pub const MAX_NAME_BYTES: usize = 63;
/// Most failure domains in a set.
pub const MAX_DOMAINS: usize = 64;
/// Most targets in a set; twice the size designed for.
pub const MAX_TARGETS: usize = 9_600;
/// Most services in a set; twice the size designed for.
pub const MAX_SERVICES: usize = 1_520;
/// Most slots of one target.
pub const MAX_SLOTS: u32 = 4_096;
/// Most flows of one target; a datagram flow takes one local port, of which there are fewer than 65,536.
pub const MAX_CONNECTIONS: u32 = 60_000;
/// Longest timeout and idle time in milliseconds: one day.
pub const MAX_TIME_MS: u64 = 86_400_000;

/// Whether a fault keeps a set from being published.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Severity {
    /// The set is refused.
    Error,
    /// The set is taken, but an operator should know.
    Warning,
}

/// One thing that is wrong with a set.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Whether it keeps the set from being published.
    pub severity: Severity,
    /// Kind and name of the object, such as `service counter-api`.
    pub object: String,
    /// The field at fault.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { severity, object, field, reason } = self;
        write!(f, "{severity}: {object}: {field}: {reason}")
    }
}

/// A set that was refused.
#[derive(Debug, Error)]
pub enum CheckError {
    /// The text is longer than the platform can hold.
    #[error("the set has {0} bytes, more than the {MAX_SET_BYTES} that the platform holds")]
    TooLarge(usize),
    /// The text is not JSON of the right shape.
    #[error("the set cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The objects are at odds with each other or with the limits.
    #[error("the set has {} faults, the first: {}", .0.len(), .0[0])]
    Faulty(Vec<Fault>),
}

/// A set that has passed the check.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CheckedSet {
    set: PublishedSet,
    warnings: Vec<Fault>,
}

impl CheckedSet {
    /// Reads a set from JSON and checks it whole.
    ///
    /// # Errors
    ///
    /// Returns every fault of the set, or the reason why it cannot be read at all.
    pub fn from_json(text: &[u8]) -> Result<Self, CheckError> {
        if text.len() > MAX_SET_BYTES {
            return Err(CheckError::TooLarge(text.len()));
        }
        Self::new(serde_json::from_slice(text)?)
    }

    /// Checks a set whole.
    ///
    /// # Errors
    ///
    /// Returns every fault of the set.
    pub fn new(set: PublishedSet) -> Result<Self, CheckError> {
        let faults = check(&set);
        if faults.iter().any(|fault| fault.severity == Severity::Error) {
            return Err(CheckError::Faulty(faults));
        }
        Ok(Self { set, warnings: faults })
    }

    /// Returns the set.
    #[must_use]
    pub fn set(&self) -> &PublishedSet {
        &self.set
    }

    /// Returns a hash of the content, equal on every instance that holds the same set.
    ///
    /// # Panics
    ///
    /// Never: a set consists of names and numbers, all of which JSON can hold.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let text = serde_json::to_vec(&self.set).expect("a set is always representable as JSON");
        xxh3_64(&text)
    }

    /// Returns what an operator should know although the set was taken.
    #[must_use]
    pub fn warnings(&self) -> &[Fault] {
        &self.warnings
    }
}

/// Returns every fault of a set, errors and warnings, in the order of its objects.
#[must_use]
pub fn check(set: &PublishedSet) -> Vec<Fault> {
    let mut checker = Checker::new(set);
    checker.check_size();
    checker.check_domains();
    checker.check_groups();
    checker.check_services();
    checker.check_capacity();
    checker.faults
}

/// Collects faults while it walks over a set.
struct Checker<'a> {
    set: &'a PublishedSet,
    domains: HashSet<&'a str>,
    groups: HashMap<&'a str, &'a TargetGroup>,
    faults: Vec<Fault>,
}

impl<'a> Checker<'a> {
    fn new(set: &'a PublishedSet) -> Self {
        Self {
            set,
            domains: set.failure_domains.iter().map(|domain| domain.name.as_str()).collect(),
            groups: set.target_groups.iter().map(|group| (group.name.as_str(), group)).collect(),
            faults: Vec::new(),
        }
    }

    fn report(&mut self, severity: Severity, object: String, field: &str, reason: String) {
        self.faults.push(Fault { severity, object, field: field.to_owned(), reason });
    }

    fn error(&mut self, object: String, field: &str, reason: impl Into<String>) {
        self.report(Severity::Error, object, field, reason.into());
    }

    fn check_size(&mut self) {
        let targets = self.set.target_groups.iter().map(|group| group.targets.len()).sum();
        self.check_count("failure_domains", self.set.failure_domains.len(), MAX_DOMAINS);
        self.check_count("targets", targets, MAX_TARGETS);
        self.check_count("services", self.set.services.len(), MAX_SERVICES);
        if self.set.revision == 0 {
            self.error("set".to_owned(), "revision", "must be at least 1");
        }
        if self.set.failure_domains.is_empty() {
            self.error("set".to_owned(), "failure_domains", "at least one is needed");
        }
    }

    fn check_count(&mut self, field: &str, count: usize, most: usize) {
        if count > most {
            self.error("set".to_owned(), field, format!("{count} are more than the {most} allowed"));
        }
    }

    fn check_name(&mut self, kind: &str, name: &str, seen: &mut HashSet<String>) {
        let object = format!("{kind} {name}");
        let legal = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(legal) {
            let reason = format!("must be 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-' and '.'");
            self.error(object.clone(), "name", reason);
        }
        if !seen.insert(name.to_owned()) {
            self.error(object, "name", "is used more than once");
        }
    }

    fn check_range(&mut self, object: &str, field: &str, value: u64, most: u64) {
        if value == 0 || value > most {
            self.error(object.to_owned(), field, format!("{value} is not between 1 and {most}"));
        }
    }

    fn check_domains(&mut self) {
        let mut seen = HashSet::new();
        for domain in &self.set.failure_domains {
            self.check_name("failure domain", &domain.name, &mut seen);
            if domain.region.is_empty() {
                self.error(format!("failure domain {}", domain.name), "region", "must not be empty");
            }
        }
        let all_out = self.set.failure_domains.iter().all(|domain| domain.state == DomainState::Out);
        if all_out && !self.set.failure_domains.is_empty() {
            self.error("set".to_owned(), "failure_domains", "every one is out, which leaves nothing in service");
        }
    }

    fn check_groups(&mut self) {
        let mut seen = HashSet::new();
        for group in &self.set.target_groups {
            self.check_name("target group", &group.name, &mut seen);
            self.check_members(group);
        }
        self.check_target_addresses();
    }

    fn check_members(&mut self, group: &'a TargetGroup) {
        if group.targets.is_empty() {
            self.error(format!("target group {}", group.name), "targets", "a group needs at least one");
        }
        let mut seen = HashSet::new();
        for target in &group.targets {
            let kind = format!("target {} of", target.name);
            self.check_name("target", &target.name, &mut seen);
            self.check_target(&format!("{kind} {}", group.name), target);
        }
    }

    fn check_target(&mut self, object: &str, target: &Target) {
        if !self.domains.contains(target.failure_domain.as_str()) {
            let reason = format!("no failure domain is named {}", target.failure_domain);
            self.error(object.to_owned(), "failure_domain", reason);
        }
        self.check_range(object, "slots", target.slots.into(), MAX_SLOTS.into());
        self.check_range(object, "connections", target.connections.into(), MAX_CONNECTIONS.into());
        self.check_address(object, "address", target.address);
    }

    fn check_address(&mut self, object: &str, field: &str, address: SocketAddr) {
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            self.error(object.to_owned(), field, format!("{address} is not an address that packets can be sent to"));
        }
    }

    /// Two targets at one address would be counted as two, and each would get the load that one can bear.
    fn check_target_addresses(&mut self) {
        let mut owners: HashMap<SocketAddr, String> = HashMap::new();
        for group in &self.set.target_groups {
            for target in &group.targets {
                let object = format!("target {} of {}", target.name, group.name);
                if let Some(other) = owners.insert(target.address, object.clone()) {
                    self.error(object, "address", format!("{} is also the address of {other}", target.address));
                }
            }
        }
    }

    fn check_services(&mut self) {
        let mut seen = HashSet::new();
        let mut owners: HashMap<(SocketAddr, bool), &str> = HashMap::new();
        for service in &self.set.services {
            self.check_name("service", &service.name, &mut seen);
            self.check_service(service);
            let place = (service.address, service.protocol.is_datagram());
            if let Some(other) = owners.insert(place, &service.name) {
                let reason = format!("{} is also the address of service {other}", service.address);
                self.error(format!("service {}", service.name), "address", reason);
            }
        }
        self.check_identities();
        self.check_service_behind_itself();
    }

    fn check_service(&mut self, service: &Service) {
        let object = format!("service {}", service.name);
        self.check_range(&object, "timeout_ms", service.timeout_ms, MAX_TIME_MS);
        self.check_range(&object, "idle_ms", service.idle_ms, MAX_TIME_MS);
        self.check_address(&object, "address", service.address);
        if !self.groups.contains_key(service.target_group.as_str()) {
            self.error(object, "target_group", format!("no target group is named {}", service.target_group));
            return;
        }
        if service.class == Class::Critical && service.peak_slots == 0 {
            self.error(object, "peak_slots", "a critical service must say how many slots its callers need");
        } else if service.class == Class::Bulk && service.peak_slots > 0 {
            self.error(object, "peak_slots", "a bulk service takes what is free and can ask for no slots");
        }
    }

    /// Two services whose identities collide could get each other's packets.
    fn check_identities(&mut self) {
        let mut owners = HashMap::new();
        for service in &self.set.services {
            if let Some(other) = owners.insert(service.id(), &service.name) {
                let reason = format!("has the same identity as {other}; choose another name");
                self.error(format!("service {}", service.name), "name", reason);
            }
        }
    }

    /// A target at a service's address would have instances send packets to themselves for ever.
    fn check_service_behind_itself(&mut self) {
        let addresses: HashMap<SocketAddr, &str> =
            self.set.services.iter().map(|service| (service.address, service.name.as_str())).collect();
        for group in &self.set.target_groups {
            for target in &group.targets {
                if let Some(service) = addresses.get(&target.address) {
                    let object = format!("target {} of {}", target.name, group.name);
                    self.error(object, "address", format!("{} belongs to service {service}", target.address));
                }
            }
        }
    }

    /// Each failure domain must be able to carry every critical service alone: that is an error, since the promise
    /// would be broken just when the other domains are gone. For other classes it is a warning.
    fn check_capacity(&mut self) {
        let mut needs: HashMap<(&str, Class), u32> = HashMap::new();
        for service in self.set.services.iter().filter(|service| service.peak_slots > 0) {
            let need = needs.entry((service.target_group.as_str(), service.class)).or_default();
            *need = need.saturating_add(service.peak_slots);
        }
        let mut needs: Vec<_> = needs.into_iter().collect();
        needs.sort_unstable();
        for ((group, class), need) in needs {
            self.check_group_capacity(group, class, need);
        }
    }

    fn check_group_capacity(&mut self, group: &str, class: Class, need: u32) {
        let Some(group) = self.groups.get(group).copied() else { return };
        for domain in self.set.failure_domains.iter().filter(|domain| domain.state == DomainState::InService) {
            let slots = domain_slots(group, &domain.name);
            if slots >= need {
                continue;
            }
            let severity = if class == Class::Critical { Severity::Error } else { Severity::Warning };
            let reason = format!(
                "failure domain {} has {slots} slots and cannot carry the {need} that {class} services need alone",
                domain.name
            );
            self.report(severity, format!("target group {}", group.name), "targets", reason);
        }
    }
}

/// Returns the slots of a group's targets in one failure domain, leaving targets not counted.
#[must_use]
pub fn domain_slots(group: &TargetGroup, domain: &str) -> u32 {
    let members = group.targets.iter().filter(|target| target.failure_domain == domain && !target.leaving);
    members.map(|target| target.slots).sum()
}
