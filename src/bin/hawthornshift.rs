//! Entry point of an instance process.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    // Environment variables that are not valid UTF-8 cannot be settings and are ignored.
    let variables =
        std::env::vars_os().filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)));
    hawthornshift_cli::run_instance(&args, &variables.collect()).into()
}
