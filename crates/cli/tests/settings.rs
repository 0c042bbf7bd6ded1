//! Settings from flags and the environment.

use hawthornshift_cli::settings;
use hawthornshift_cli::settings::Environment;
use hawthornshift_cli::settings::Request;
use hawthornshift_cli::settings::Settings;

const LEAST: [&str; 10] = [
    "--id",
    "4",
    "--failure-domain",
    "norte",
    "--platform",
    "10.0.0.1:80",
    "--control",
    "10.0.0.2:9601",
    "--forward",
    "10.0.0.2:9602",
];

fn read(args: &[&str], environment: &[(&str, &str)]) -> Result<Request, String> {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    let pairs = environment.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
    settings::read(&args, &pairs.collect::<Environment>()).map_err(|faults| faults.to_string())
}

fn settings(args: &[&str], environment: &[(&str, &str)]) -> Settings {
    match read(args, environment) {
        Ok(Request::Run(settings)) => *settings,
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_least_settings_are_enough() {
    let settings = settings(&LEAST, &[]);
    assert_eq!(settings.id, 4);
    assert_eq!(settings.admin.to_string(), "127.0.0.1:9600");
    assert_eq!(settings.tuning.drain_time().as_secs(), 30);
}

#[test]
fn a_flag_wins_over_its_variable_and_a_variable_over_the_default() {
    let environment = [("HAWTHORNSHIFT_ID", "9"), ("HAWTHORNSHIFT_DRAIN_MS", "5000")];
    let settings = settings(&LEAST, &environment);
    assert_eq!(settings.id, 4);
    assert_eq!(settings.tuning.drain_time().as_secs(), 5);
}

/// An operator makes several mistakes in one start script. All are named at once, so that one round mends them.
#[test]
fn every_fault_is_named_at_once() {
    let faults = read(&["--id", "x", "--lease-ms", "5000", "stray"], &[("HAWTHORNSHIFT_DARIN_MS", "1")]).unwrap_err();
    for part in ["stray", "DARIN_MS", "--id", "--failure-domain", "--platform", "--control", "--forward", "lease"] {
        assert!(faults.contains(part), "{part} is missing in: {faults}");
    }
}

/// An admin service that anybody on the network can reach would let anybody stop the instance.
#[test]
fn an_admin_service_that_others_reach_needs_a_token() {
    let mut args = LEAST.to_vec();
    args.extend(["--admin", "10.0.0.2:9600"]);
    assert!(read(&args, &[]).unwrap_err().contains("--admin-token"));
    assert!(read(&args, &[("HAWTHORNSHIFT_ADMIN_TOKEN", "secret")]).is_ok());
}

#[test]
fn help_names_every_setting() {
    let Ok(Request::Help(text)) = read(&["--help"], &[]) else { panic!("no help") };
    for flag in ["--id", "--failure-domain", "--peers", "--drain-ms", "--answer-bytes", "--log-level"] {
        assert!(text.contains(flag), "{flag}");
    }
}
