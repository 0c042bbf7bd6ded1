//! Switches for trials.

use strum::IntoEnumIterator;

use hawthornshift_core::direct::mechanisms::Mechanism;
use hawthornshift_core::direct::mechanisms::Mechanisms;

/// Somebody measures what a mechanism is worth and misspells it. With all mechanisms on the trial would show that it is worth
/// nothing, so the name is refused, and the known ones are listed.
#[test]
fn a_misspelt_mechanism_is_refused() {
    let error = "load-reports,remote-costs".parse::<Mechanisms>().unwrap_err().to_string();
    assert!(error.contains("\"remote-costs\"") && error.contains("remote-cost, "), "{error}");
}

#[test]
fn names_are_read_as_they_are_written() {
    assert_eq!("".parse::<Mechanisms>().unwrap(), Mechanisms::default());
    for mechanism in Mechanism::iter() {
        let one = Mechanisms::default().without(mechanism);
        assert!(!one.has(mechanism) && Mechanisms::default().has(mechanism));
        assert_eq!(one.to_string().parse::<Mechanisms>().unwrap(), one);
    }
    let two: Mechanisms = " slowness, late-last ".parse().unwrap();
    assert_eq!(two.off(), ["late-last", "slowness"]);
}
