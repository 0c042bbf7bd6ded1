//! Validation of a published set.
//!
//! A set is accepted or refused as a whole. The check reports all diagnostics at once, each with its object and field,
//! so that an operator can correct a set in one pass. Only this module constructs a [`CheckedSet`], so a function that
//! takes one does not validate again.

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

/// Maximum size of a set in bytes: the size limit of one value in the platform's configuration service.
pub const MAX_SET_BYTES: usize = 1 << 20;
/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 63;
/// Maximum number of failure domains in a set.
pub const MAX_DOMAINS: usize = 64;
/// Maximum number of targets in a set; twice the design size.
pub const MAX_TARGETS: usize = 9_600;
/// Maximum number of services in a set; twice the design size.
pub const MAX_SERVICES: usize = 1_520;
/// Maximum number of slots (concurrent requests) of one target.
pub const MAX_SLOTS: u32 = 4_096;
/// Maximum number of concurrent flows of one target. Each datagram flow uses one local port, and there are fewer than
/// 65,536 of them.
pub const MAX_CONNECTIONS: u32 = 60_000;
/// Maximum request timeout and idle timeout in milliseconds: one day.
pub const MAX_TIME_MS: u64 = 86_400_000;

/// Severity of a diagnostic.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Severity {
    /// The set is refused.
    Error,
    /// The set is accepted; operators are notified.
    Warning,
}

/// One problem found in a set.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Diagnostic {
    /// Whether the problem prevents publication.
    pub severity: Severity,
    /// Kind and name of the affected object, such as `service counter-api`.
    pub object: String,
    /// Name of the invalid field.
    pub field: String,
    /// Why the field is invalid.
    pub reason: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { severity, object, field, reason } = self;
        write!(f, "{severity}: {object}: {field}: {reason}")
    }
}

/// Reason for refusing a set.
#[derive(Debug, Error)]
pub enum CheckError {
    /// The JSON text exceeds [`MAX_SET_BYTES`]; holds its size in bytes.
    #[error("the set has {0} bytes; the platform's limit is {MAX_SET_BYTES} bytes")]
    TooLarge(usize),
    /// The text is not valid JSON or does not match the schema.
    #[error("cannot parse the set: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// Objects contradict each other or exceed a limit; holds all diagnostics, warnings included.
    #[error("the set has {} diagnostics; first: {}", .0.len(), .0[0])]
    Invalid(Vec<Diagnostic>),
}

/// A set that has passed validation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CheckedSet {
    set: PublishedSet,
    warnings: Vec<Diagnostic>,
}

impl CheckedSet {
    /// Parses a set from JSON and validates it.
    ///
    /// # Errors
    ///
    /// Returns all diagnostics of the set if any is an error, or why the text is too large or cannot be parsed.
    pub fn from_json(text: &[u8]) -> Result<Self, CheckError> {
        if text.len() > MAX_SET_BYTES {
            return Err(CheckError::TooLarge(text.len()));
        }
        Self::new(serde_json::from_slice(text)?)
    }

    /// Validates a set.
    ///
    /// # Errors
    ///
    /// Returns all diagnostics of the set if any is an error.
    pub fn new(set: PublishedSet) -> Result<Self, CheckError> {
        let diagnostics = check(&set);
        if diagnostics.iter().any(|diagnostic| diagnostic.severity == Severity::Error) {
            return Err(CheckError::Invalid(diagnostics));
        }
        Ok(Self { set, warnings: diagnostics })
    }

    /// Returns the set.
    #[must_use]
    pub fn set(&self) -> &PublishedSet {
        &self.set
    }

    /// Returns a hash of the content; it is equal on all instances that have the same set.
    ///
    /// # Panics
    ///
    /// Never: a set consists of names and numbers, all of which JSON can represent.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let text = serde_json::to_vec(&self.set).expect("a set is always representable as JSON");
        xxh3_64(&text)
    }

    /// Returns the warnings of the accepted set.
    #[must_use]
    pub fn warnings(&self) -> &[Diagnostic] {
        &self.warnings
    }
}

/// Returns all diagnostics of a set, errors and warnings, grouped by check: size, domains, target groups, services and
/// capacity.
#[must_use]
pub fn check(set: &PublishedSet) -> Vec<Diagnostic> {
    let mut checker = Checker::new(set);
    checker.check_size();
    checker.check_domains();
    checker.check_groups();
    checker.check_services();
    checker.check_capacity();
    checker.diagnostics
}

/// Validates a set and collects diagnostics.
struct Checker<'a> {
    set: &'a PublishedSet,
    domains: HashSet<&'a str>,
    groups: HashMap<&'a str, &'a TargetGroup>,
    diagnostics: Vec<Diagnostic>,
}

impl<'a> Checker<'a> {
    fn new(set: &'a PublishedSet) -> Self {
        Self {
            set,
            domains: set.failure_domains.iter().map(|domain| domain.name.as_str()).collect(),
            groups: set.target_groups.iter().map(|group| (group.name.as_str(), group)).collect(),
            diagnostics: Vec::new(),
        }
    }

    fn report(&mut self, severity: Severity, object: String, field: &str, reason: String) {
        self.diagnostics.push(Diagnostic { severity, object, field: field.to_owned(), reason });
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
            self.error("set".to_owned(), "failure_domains", "at least one is required");
        }
    }

    fn check_count(&mut self, field: &str, count: usize, max: usize) {
        if count > max {
            self.error("set".to_owned(), field, format!("{count} exceed the limit of {max}"));
        }
    }

    fn check_name(&mut self, kind: &str, name: &str, seen: &mut HashSet<String>) {
        let object = format!("{kind} {name}");
        let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
            let reason = format!("must be 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-' and '.'");
            self.error(object.clone(), "name", reason);
        }
        if !seen.insert(name.to_owned()) {
            self.error(object, "name", "is not unique");
        }
    }

    fn check_range(&mut self, object: &str, field: &str, value: u64, max: u64) {
        if value == 0 || value > max {
            self.error(object.to_owned(), field, format!("{value} is not between 1 and {max}"));
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
            self.error("set".to_owned(), "failure_domains", "all are out; at least one must be in service");
        }
    }

    fn check_groups(&mut self) {
        let mut seen = HashSet::new();
        for group in &self.set.target_groups {
            self.check_name("target group", &group.name, &mut seen);
            self.check_targets(group);
        }
        self.check_target_addresses();
    }

    fn check_targets(&mut self, group: &'a TargetGroup) {
        if group.targets.is_empty() {
            self.error(format!("target group {}", group.name), "targets", "at least one is required");
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
            self.error(object.to_owned(), field, format!("{address} is not a unicast address with a nonzero port"));
        }
    }

    /// Rejects duplicate target addresses: two targets at one address would be counted as two, and the endpoint would
    /// receive twice the load that it can handle.
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
            let endpoint = (service.address, service.protocol.is_datagram());
            if let Some(other) = owners.insert(endpoint, &service.name) {
                let reason = format!("{} is also the address of service {other}", service.address);
                self.error(format!("service {}", service.name), "address", reason);
            }
        }
        self.check_identities();
        self.check_target_at_service_address();
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
            self.error(object, "peak_slots", "is required for a critical service");
        } else if service.class == Class::Bulk && service.peak_slots > 0 {
            self.error(object, "peak_slots", "must be zero for a bulk service, which only uses free slots");
        }
    }

    /// Rejects colliding service identities: two such services could receive each other's packets.
    fn check_identities(&mut self) {
        let mut owners = HashMap::new();
        for service in &self.set.services {
            if let Some(other) = owners.insert(service.id(), &service.name) {
                let reason = format!("hashes to the same identity as service {other}; choose another name");
                self.error(format!("service {}", service.name), "name", reason);
            }
        }
    }

    /// Rejects targets at a service's address: instances would forward packets to themselves in an endless loop.
    fn check_target_at_service_address(&mut self) {
        let addresses: HashMap<SocketAddr, &str> =
            self.set.services.iter().map(|service| (service.address, service.name.as_str())).collect();
        for group in &self.set.target_groups {
            for target in &group.targets {
                if let Some(service) = addresses.get(&target.address) {
                    let object = format!("target {} of {}", target.name, group.name);
                    self.error(object, "address", format!("{} is the address of service {service}", target.address));
                }
            }
        }
    }

    /// Checks that each failure domain in service has enough slots to serve the peak load alone.
    ///
    /// For critical services a shortage is an error, since they would be overloaded exactly when the other domains have
    /// failed. For other classes it is a warning.
    fn check_capacity(&mut self) {
        let mut peak_slots: HashMap<(&str, Class), u32> = HashMap::new();
        for service in self.set.services.iter().filter(|service| service.peak_slots > 0) {
            let required_slots = peak_slots.entry((service.target_group.as_str(), service.class)).or_default();
            *required_slots = required_slots.saturating_add(service.peak_slots);
        }
        let mut peak_slots: Vec<_> = peak_slots.into_iter().collect();
        peak_slots.sort_unstable();
        for ((group, class), required_slots) in peak_slots {
            self.check_group_capacity(group, class, required_slots);
        }
    }

    fn check_group_capacity(&mut self, group: &str, class: Class, required_slots: u32) {
        let Some(group) = self.groups.get(group).copied() else { return };
        for domain in self.set.failure_domains.iter().filter(|domain| domain.state == DomainState::InService) {
            let slots = domain_slots(group, &domain.name);
            if slots >= required_slots {
                continue;
            }
            let severity = if class == Class::Critical { Severity::Error } else { Severity::Warning };
            let reason = format!(
                "failure domain {} has {slots} slots; {class} services need {required_slots} if it is alone",
                domain.name
            );
            self.report(severity, format!("target group {}", group.name), "targets", reason);
        }
    }
}

/// Returns the total slots of a group's targets in one failure domain, without targets that are leaving.
#[must_use]
pub fn domain_slots(group: &TargetGroup, domain: &str) -> u32 {
    let members = group.targets.iter().filter(|target| target.failure_domain == domain && !target.leaving);
    // Slots are summed before their range is checked, so a set with values out of range must not overflow here.
    members.map(|target| target.slots).fold(0, u32::saturating_add)
}
