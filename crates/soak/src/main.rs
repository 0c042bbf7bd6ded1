//! Command line of the soak test.
//!
//! Exit codes: 0 if every invariant held in every run, 1 if one was violated, 2 if the flags are invalid, a run cannot be
//! carried out or the program is interrupted.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use getopts::Matches;
use getopts::Options;
use thiserror::Error;

use hawthornshift_soak::run;
use hawthornshift_soak::run::Verdict;

/// First seed if `--seed` is not given.
const DEFAULT_SEED: u64 = 1;
/// Length of a run in seconds, if `--seconds` is not given.
const DEFAULT_SECONDS: u64 = 20;
/// Number of instances if `--instances` is not given.
const DEFAULT_INSTANCES: usize = 6;
/// Number of targets if `--targets` is not given.
const DEFAULT_TARGETS: usize = 8;
/// Requests per second if `--rate` is not given: about a ninth of the capacity of the default number of targets.
const DEFAULT_RATE: f64 = 120.0;

/// The command line is invalid.
#[derive(Debug, Error)]
enum UsageError {
    #[error("{0}")]
    Flags(#[from] getopts::Fail),
    #[error("--{flag}: {value:?} is not {expected}")]
    Value { flag: &'static str, value: String, expected: &'static str },
}

/// Parses the value of a flag, or returns the default if the flag is not given.
fn parse_flag<T: std::str::FromStr>(
    matches: &Matches,
    flag: &'static str,
    expected: &'static str,
    default: T,
) -> Result<T, UsageError> {
    let Some(text) = matches.opt_str(flag) else { return Ok(default) };
    text.parse().map_err(|_| UsageError::Value { flag, value: text, expected })
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "seed", "first seed (default 1)", "NUMBER");
    options.optopt("", "seeds", "how many seeds, one after the other (default 1)", "COUNT");
    options.optopt("", "seconds", "length of a run (default 20)", "COUNT");
    options.optopt("", "instances", "instances (default 6)", "COUNT");
    options.optopt("", "targets", "targets (default 8)", "COUNT");
    options.optopt("", "rate", "requests a second (default 120)", "COUNT");
    options.optopt("", "binary", "path of the instance executable (default target/release/hawthornshift)", "PATH");
    options.optopt("", "logs", "directory for logs (default the system's temporary directory)", "PATH");
    options.optopt(
        "",
        "sabotage",
        "invariant that a simulated caller or target violates, to prove that its check can fail",
        "INVARIANT",
    );
    options.optflag("h", "help", "show this text");
    options
}

/// Returns the options of the first run and the number of seeds.
fn parse_options(matches: &Matches) -> Result<(run::Options, u64), UsageError> {
    let whole_number = "a whole number";
    let seed = parse_flag(matches, "seed", whole_number, DEFAULT_SEED)?;
    let binary = parse_flag(matches, "binary", "a path", PathBuf::from("target/release/hawthornshift"))?;
    let log_directory = parse_flag(matches, "logs", "a path", std::env::temp_dir())?;
    let sabotage = matches.opt_str("sabotage").map(|text| {
        text.parse().map_err(|_| UsageError::Value {
            flag: "sabotage",
            value: text,
            expected: "the name of an invariant",
        })
    });
    let run = run::Options {
        seed,
        length: Duration::from_secs(parse_flag(matches, "seconds", whole_number, DEFAULT_SECONDS)?),
        instances: parse_flag(matches, "instances", whole_number, DEFAULT_INSTANCES)?,
        targets: parse_flag(matches, "targets", whole_number, DEFAULT_TARGETS)?,
        rate: parse_flag(matches, "rate", "a number", DEFAULT_RATE)?,
        binary,
        directory: log_directory,
        sabotage: sabotage.transpose()?,
    };
    Ok((run, parse_flag(matches, "seeds", whole_number, 1)?))
}

/// Prints the result of a run; returns whether every invariant held.
fn report(seed: u64, verdict: &Verdict, directory: &std::path::Path) -> bool {
    let (asked, answered, failed) = verdict.totals;
    let passed = verdict.breaches.is_empty();
    let outcome = if passed { "held" } else { "BROKEN" };
    println!("seed {seed}: {outcome}; {asked} asked, {answered} answered, {failed} failed");
    if !passed {
        for breach in &verdict.breaches {
            println!("  {:.3} s: {}: {}", breach.at.as_secs_f64(), breach.invariant, breach.detail);
        }
        println!("  time line:");
        for (at, detail) in &verdict.timeline {
            println!("    {:.3} s: {detail}", at.as_secs_f64());
        }
        println!("  logs: {}", directory.display());
    }
    passed
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let command_line = options().parse(&args).map_err(UsageError::from);
    let (first, seeds) = match command_line
        .and_then(|matches| if matches.opt_present("help") { Ok(None) } else { parse_options(&matches).map(Some) })
    {
        Ok(Some(read)) => read,
        Ok(None) => {
            print!("{}", options().usage("Usage: hawthornshift-soak [OPTIONS]"));
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{error}\nSee hawthornshift-soak --help.");
            return ExitCode::from(2);
        }
    };
    let mut all_passed = true;
    for seed in first.seed..first.seed + seeds {
        let directory = run::directory(&first.directory, seed);
        let options = run::Options { seed, directory: directory.clone(), ..first.clone() };
        // Dropping an interrupted run kills its processes.
        let result = tokio::select! {
            result = run::run(options) => result,
            _ = tokio::signal::ctrl_c() => {
                eprintln!("interrupted");
                return ExitCode::from(2);
            }
        };
        match result {
            Ok(verdict) => {
                let passed = report(seed, &verdict, &directory);
                all_passed &= passed;
                if passed && let Err(error) = std::fs::remove_dir_all(&directory) {
                    eprintln!("cannot remove the logs: {error}");
                }
            }
            Err(error) => {
                eprintln!("seed {seed}: cannot run: {error}");
                return ExitCode::from(2);
            }
        }
    }
    if all_passed { ExitCode::SUCCESS } else { ExitCode::from(1) }
}
