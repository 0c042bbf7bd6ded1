//! Settings from flags and the environment.

use hawthornshift_cli::settings;
use hawthornshift_cli::settings::Action;
use hawthornshift_cli::settings::Environment;
use hawthornshift_cli::settings::Settings;

const REQUIRED_ARGS: [&str; 10] = [
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

fn read(args: &[&str], environment: &[(&str, &str)]) -> Result<Action, String> {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    let pairs = environment.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
    settings::read(&args, &pairs.collect::<Environment>()).map_err(|errors| errors.to_string())
}

fn settings(args: &[&str], environment: &[(&str, &str)]) -> Settings {
    match read(args, environment) {
        Ok(Action::Run(settings)) => *settings,
        other => panic!("{other:?}"),
    }
}

#[test]
fn required_settings_suffice() {
    let settings = settings(&REQUIRED_ARGS, &[]);
    assert_eq!(settings.id, 4);
    assert_eq!(settings.admin.to_string(), "127.0.0.1:9600");
    assert_eq!(settings.tuning.drain_time().as_secs(), 30);
}

#[test]
fn flag_overrides_variable_and_variable_overrides_default() {
    let environment = [("HAWTHORNSHIFT_ID", "9"), ("HAWTHORNSHIFT_DRAIN_MS", "5000")];
    let settings = settings(&REQUIRED_ARGS, &environment);
    assert_eq!(settings.id, 4);
    assert_eq!(settings.tuning.drain_time().as_secs(), 5);
}

/// Guards against a parser that stops at the first error: an operator makes several mistakes in one start script, and
/// all of them are reported at once.
#[test]
fn all_errors_are_reported_at_once() {
    let errors = read(&["--id", "x", "--lease-ms", "5000", "stray"], &[("HAWTHORNSHIFT_DARIN_MS", "1")]).unwrap_err();
    for part in ["stray", "DARIN_MS", "--id", "--failure-domain", "--platform", "--control", "--forward", "lease"] {
        assert!(errors.contains(part), "{part} is missing in: {errors}");
    }
}

/// Guards against an admin service that is reachable over the network without a token: anyone on the network could stop
/// the instance.
#[test]
fn non_loopback_admin_address_requires_a_token() {
    let mut args = REQUIRED_ARGS.to_vec();
    args.extend(["--admin", "10.0.0.2:9600"]);
    assert!(read(&args, &[]).unwrap_err().contains("--admin-token"));
    assert!(read(&args, &[("HAWTHORNSHIFT_ADMIN_TOKEN", "secret")]).is_ok());
}

#[test]
fn help_lists_settings() {
    let Ok(Action::Help(text)) = read(&["--help"], &[]) else { panic!("no help") };
    for flag in ["--id", "--failure-domain", "--peers", "--drain-ms", "--answer-bytes", "--log-level"] {
        assert!(text.contains(flag), "{flag}");
    }
}
