//! Validation of sets and of the transition from one set to the next.

use std::path::Path;

use hawthornshift_model::CheckedSet;
use hawthornshift_model::Diagnostic;
use hawthornshift_model::PublishedSet;
use hawthornshift_model::Severity;
use hawthornshift_model::check::CheckError;
use hawthornshift_model::check::MAX_SET_BYTES;
use hawthornshift_model::check::check;
use hawthornshift_model::diff::check_successor;
use hawthornshift_model::diff::diff;

fn example(name: &str) -> PublishedSet {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    serde_json::from_slice(&std::fs::read(path).unwrap()).unwrap()
}

fn diagnostics(change: impl FnOnce(&mut PublishedSet)) -> Vec<Diagnostic> {
    let mut set = example("levadura.json");
    change(&mut set);
    check(&set)
}

#[track_caller]
fn assert_has_error(diagnostics: &[Diagnostic], object: &str, field: &str) {
    let errors: Vec<_> = diagnostics.iter().filter(|diagnostic| diagnostic.severity == Severity::Error).collect();
    assert!(
        errors.iter().any(|diagnostic| diagnostic.object.contains(object) && diagnostic.field == field),
        "{diagnostics:?}"
    );
}

#[test]
fn example_sets_have_no_diagnostics() {
    for name in ["levadura.json", "togoo.json"] {
        assert_eq!(check(&example(name)), [], "{name}");
    }
}

/// Guards against a check that stops at the first error: an operator publishes a set with several mistakes. The check
/// reports all of them with their objects and refuses the whole set.
#[test]
fn all_errors_of_an_invalid_set_are_reported() {
    let diagnostics = check(&example("broken.json"));
    assert_eq!(
        diagnostics.iter().filter(|diagnostic| diagnostic.severity == Severity::Error).count(),
        5,
        "{diagnostics:?}"
    );
    assert!(CheckedSet::new(example("broken.json")).is_err());
}

#[test]
fn dangling_and_duplicate_names_are_refused() {
    assert_has_error(
        &diagnostics(|set| set.services[0].target_group = "nobody".into()),
        "suscripciones",
        "target_group",
    );
    let found = diagnostics(|set| set.target_groups[0].targets[0].failure_domain = "nowhere".into());
    assert_has_error(&found, "suscripciones-1", "failure_domain");
    assert_has_error(&diagnostics(|set| set.services[1].name = "suscripciones".into()), "suscripciones", "name");
    assert_has_error(&diagnostics(|set| set.failure_domains[1].name = "norte".into()), "norte", "name");
}

#[test]
fn duplicate_and_unusable_addresses_are_refused() {
    let found = diagnostics(|set| set.services[1].address = set.services[0].address);
    assert_has_error(&found, "guias", "address");
    let found = diagnostics(|set| set.target_groups[1].targets[0].address = set.target_groups[0].targets[0].address);
    assert_has_error(&found, "guias-1", "address");
    let found = diagnostics(|set| set.target_groups[0].targets[0].address = set.services[0].address);
    assert_has_error(&found, "suscripciones-1", "address");
    let found = diagnostics(|set| set.services[0].address = "0.0.0.0:80".parse().unwrap());
    assert_has_error(&found, "suscripciones", "address");
}

#[test]
fn invalid_limits_and_class_conflicts_are_refused() {
    assert_has_error(&diagnostics(|set| set.target_groups[0].targets.clear()), "suscripciones", "targets");
    assert_has_error(&diagnostics(|set| set.target_groups[0].targets[0].slots = 0), "suscripciones-1", "slots");
    assert_has_error(&diagnostics(|set| set.services[0].peak_slots = 0), "suscripciones", "peak_slots");
    assert_has_error(&diagnostics(|set| set.services[0].timeout_ms = 0), "suscripciones", "timeout_ms");
    assert_has_error(&diagnostics(|set| set.revision = 0), "set", "revision");
}

/// Guards against accepting a failure domain with too few slots to serve critical services alone: the shortage would
/// only show when the other domains have failed, so the set is refused. For other services it is a warning.
#[test]
fn domain_without_capacity_for_critical_services_is_refused() {
    assert_has_error(&diagnostics(|set| set.services[0].peak_slots = 7), "suscripciones", "targets");
    let found = diagnostics(|set| set.services[1].peak_slots = 3);
    assert!(found.iter().all(|diagnostic| diagnostic.severity == Severity::Warning) && !found.is_empty(), "{found:?}");
}

/// Guards against a panic in place of a diagnostic when the slots of a failure domain exceed what the sum can hold.
#[test]
fn slots_out_of_range_are_refused_without_an_overflow() {
    let found = diagnostics(|set| set.target_groups[0].targets.iter_mut().for_each(|target| target.slots = u32::MAX));
    assert_has_error(&found, "target", "slots");
}

#[test]
fn malformed_oversized_and_unknown_fields_are_refused() {
    assert!(matches!(CheckedSet::from_json(b"{"), Err(CheckError::Unreadable(_))));
    assert!(matches!(CheckedSet::from_json(&vec![b' '; MAX_SET_BYTES + 1]), Err(CheckError::TooLarge(_))));
    let mut value = serde_json::to_value(example("levadura.json")).unwrap();
    value["services"][0]["time_out"] = 5.into();
    let error = CheckedSet::from_json(value.to_string().as_bytes()).unwrap_err();
    assert!(error.to_string().contains("time_out"), "{error}");
}

#[test]
fn service_identity_is_fixed_and_revisions_increase() {
    let old = example("levadura.json");
    let mut new = old.clone();
    assert_eq!(check_successor(&old, &new).len(), 1);
    new.revision += 1;
    assert_eq!(check_successor(&old, &new), []);
    new.services[0].address = "10.40.0.9:80".parse().unwrap();
    assert_eq!(check_successor(&old, &new).len(), 1);
    assert_eq!(diff(&old, &new).len(), 1);
    new.services.remove(1);
    assert_eq!(diff(&old, &new).len(), 2);
}
