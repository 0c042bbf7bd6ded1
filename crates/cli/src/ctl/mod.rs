//! The operators' command-line tool `hawthornshiftctl`.

mod output;
mod remote;
mod sets;

use getopts::Matches;
use getopts::Options;

use self::output::Output;
use crate::demo;
use crate::exit::Exit;

/// Usage text with the list of commands.
const USAGE: &str = "Usage: hawthornshiftctl COMMAND [OPTIONS]

Commands:
  check FILE          validate a set and list all problems
  diff OLD NEW        list the changes, and whether NEW may replace OLD
  dump ADDRESS        show an instance's state (ADDRESS is its admin IP:PORT)
  status ADDRESS...   show a table of instances
  demo                run the whole system on loopback with failures and print a report

Exit codes: 0 success, 1 refused or failed, 2 usage error.";

/// Default duration of the demo in seconds.
const DEMO_SECONDS: u64 = 40;

/// Runs one command and returns the exit code.
#[must_use]
pub fn run_ctl(args: &[String]) -> Exit {
    let options = options();
    let matches = match options.parse(args) {
        Ok(matches) => matches,
        Err(fail) => return usage_error(&fail.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return Exit::Good;
    }
    if matches.opt_present("version") {
        println!("hawthornshiftctl {}", env!("CARGO_PKG_VERSION"));
        return Exit::Good;
    }
    run_command(&matches)
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("", "json", "print one JSON object instead of text");
    options.optopt("", "token", "admin token (or HAWTHORNSHIFT_ADMIN_TOKEN)", "TOKEN");
    options.optopt("", "seconds", &format!("duration of the demo (default {DEMO_SECONDS})"), "N");
    options.optopt("", "seed", "seed of the demo's random number generators (default 1)", "N");
    options.optflag("h", "help", "show this text");
    options.optflag("V", "version", "show the version");
    options
}

fn run_command(matches: &Matches) -> Exit {
    let output = Output::new(matches.opt_present("json"));
    let arguments: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match arguments[..] {
        ["check", file] => sets::check(output, file),
        ["diff", old, new] => sets::diff(output, old, new),
        ["dump", address] => remote::dump(address, token(matches)),
        ["status", ref addresses @ ..] if !addresses.is_empty() => {
            remote::status(output, addresses, token(matches).as_deref())
        }
        ["demo"] => run_demo(matches, output),
        [] => usage_error("no command given"),
        [command, ..] => usage_error(&format!("unknown command {command:?}, or invalid arguments")),
    }
}

fn run_demo(matches: &Matches, output: Output) -> Exit {
    let seconds = matches.opt_get_default("seconds", DEMO_SECONDS);
    let seed = matches.opt_get_default("seed", 1);
    match (seconds, seed) {
        (Ok(seconds), Ok(seed)) if seconds >= demo::MIN_SECONDS => demo::run(seconds, seed, output.is_json()),
        (Ok(_), Ok(_)) => usage_error(&format!("--seconds must be at least {}", demo::MIN_SECONDS)),
        _ => usage_error("--seconds and --seed must be integers"),
    }
}

fn token(matches: &Matches) -> Option<String> {
    matches.opt_str("token").or_else(|| std::env::var("HAWTHORNSHIFT_ADMIN_TOKEN").ok())
}

fn usage_error(reason: &str) -> Exit {
    eprintln!("{reason}");
    eprintln!("See hawthornshiftctl --help.");
    Exit::Usage
}
