//! The check of a whole set, and what may follow what.

use std::path::Path;

use hawthornshift_model::CheckedSet;
use hawthornshift_model::Fault;
use hawthornshift_model::PublishedSet;
use hawthornshift_model::Severity;
use hawthornshift_model::check::CheckError;
use hawthornshift_model::check::MAX_SET_BYTES;
use hawthornshift_model::check::check;
use hawthornshift_model::diff::check_succession;
use hawthornshift_model::diff::diff;

fn example(name: &str) -> PublishedSet {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    serde_json::from_slice(&std::fs::read(path).unwrap()).unwrap()
}

fn faults(change: impl FnOnce(&mut PublishedSet)) -> Vec<Fault> {
    let mut set = example("levadura.json");
    change(&mut set);
    check(&set)
}

#[track_caller]
fn assert_one_error(faults: &[Fault], object: &str, field: &str) {
    let errors: Vec<_> = faults.iter().filter(|fault| fault.severity == Severity::Error).collect();
    assert!(errors.iter().any(|fault| fault.object.contains(object) && fault.field == field), "{faults:?}");
}

#[test]
fn the_example_sets_are_accepted_without_a_warning() {
    for name in ["levadura.json", "togoo.json"] {
        assert_eq!(check(&example(name)), [], "{name}");
    }
}

/// An operator publishes a set with several mistakes. All are named at once, each with its object, and none of the
/// set takes effect.
#[test]
fn every_fault_of_a_broken_set_is_named() {
    let faults = check(&example("broken.json"));
    assert_eq!(faults.iter().filter(|fault| fault.severity == Severity::Error).count(), 5, "{faults:?}");
    assert!(CheckedSet::new(example("broken.json")).is_err());
}

#[test]
fn dangling_and_duplicate_names_are_refused() {
    assert_one_error(&faults(|set| set.services[0].target_group = "nobody".into()), "suscripciones", "target_group");
    let found = faults(|set| set.target_groups[0].targets[0].failure_domain = "nowhere".into());
    assert_one_error(&found, "suscripciones-1", "failure_domain");
    assert_one_error(&faults(|set| set.services[1].name = "suscripciones".into()), "suscripciones", "name");
    assert_one_error(&faults(|set| set.failure_domains[1].name = "norte".into()), "norte", "name");
}

#[test]
fn addresses_that_clash_or_cannot_be_sent_to_are_refused() {
    let found = faults(|set| set.services[1].address = set.services[0].address);
    assert_one_error(&found, "guias", "address");
    let found = faults(|set| set.target_groups[1].targets[0].address = set.target_groups[0].targets[0].address);
    assert_one_error(&found, "guias-1", "address");
    let found = faults(|set| set.target_groups[0].targets[0].address = set.services[0].address);
    assert_one_error(&found, "suscripciones-1", "address");
    let found = faults(|set| set.services[0].address = "0.0.0.0:80".parse().unwrap());
    assert_one_error(&found, "suscripciones", "address");
}

#[test]
fn limits_and_classes_that_contradict_are_refused() {
    assert_one_error(&faults(|set| set.target_groups[0].targets.clear()), "suscripciones", "targets");
    assert_one_error(&faults(|set| set.target_groups[0].targets[0].slots = 0), "suscripciones-1", "slots");
    assert_one_error(&faults(|set| set.services[0].peak_slots = 0), "suscripciones", "peak_slots");
    assert_one_error(&faults(|set| set.services[0].timeout_ms = 0), "suscripciones", "timeout_ms");
    assert_one_error(&faults(|set| set.revision = 0), "set", "revision");
}

/// One failure domain has too few targets to carry the counters alone. It would be noticed only when the others are
/// gone, so the set is refused; for a service that is not critical it is a warning.
#[test]
fn a_domain_that_cannot_carry_critical_traffic_alone_is_refused() {
    assert_one_error(&faults(|set| set.services[0].peak_slots = 7), "suscripciones", "targets");
    let found = faults(|set| set.services[1].peak_slots = 3);
    assert!(found.iter().all(|fault| fault.severity == Severity::Warning) && !found.is_empty(), "{found:?}");
}

#[test]
fn text_that_is_no_set_is_refused_with_a_reason() {
    assert!(matches!(CheckedSet::from_json(b"{"), Err(CheckError::Unreadable(_))));
    assert!(matches!(CheckedSet::from_json(&vec![b' '; MAX_SET_BYTES + 1]), Err(CheckError::TooLarge(_))));
    let mut value = serde_json::to_value(example("levadura.json")).unwrap();
    value["services"][0]["time_out"] = 5.into();
    let error = CheckedSet::from_json(value.to_string().as_bytes()).unwrap_err();
    assert!(error.to_string().contains("time_out"), "{error}");
}

#[test]
fn a_service_keeps_its_identity_and_revisions_rise() {
    let old = example("levadura.json");
    let mut new = old.clone();
    assert_eq!(check_succession(&old, &new).len(), 1);
    new.revision += 1;
    assert_eq!(check_succession(&old, &new), []);
    new.services[0].address = "10.40.0.9:80".parse().unwrap();
    assert_eq!(check_succession(&old, &new).len(), 1);
    assert_eq!(diff(&old, &new).len(), 1);
    new.services.remove(1);
    assert_eq!(diff(&old, &new).len(), 2);
}
