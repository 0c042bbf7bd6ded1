//! Parsing of the list of mechanisms that are switched off for a trial.

use strum::IntoEnumIterator;

use hawthornshift_core::direct::mechanisms::Mechanism;
use hawthornshift_core::direct::mechanisms::Mechanisms;

/// Somebody measures the effect of a mechanism and misspells its name. With all mechanisms on, the trial would show no
/// effect, so the name must be refused with a list of the known ones.
#[test]
fn a_misspelt_mechanism_is_refused() {
    let error = "load-reports,remote-costs".parse::<Mechanisms>().unwrap_err().to_string();
    assert!(error.contains("\"remote-costs\"") && error.contains("remote-cost, "), "{error}");
}

#[test]
fn mechanism_lists_round_trip() {
    assert_eq!("".parse::<Mechanisms>().unwrap(), Mechanisms::default());
    for mechanism in Mechanism::iter() {
        let one = Mechanisms::default().without(mechanism);
        assert!(!one.has(mechanism) && Mechanisms::default().has(mechanism));
        assert_eq!(one.to_string().parse::<Mechanisms>().unwrap(), one);
    }
    let two: Mechanisms = " slowness, late-last ".parse().unwrap();
    assert_eq!(two.off(), ["late-last", "slowness"]);
}
