//! Commands that check and compare sets.

use serde::Serialize;

use super::output::Output;
use crate::exit::Exit;
use hawthornshift_model::CheckedSet;
use hawthornshift_model::Diagnostic;
use hawthornshift_model::Severity;
use hawthornshift_model::check::CheckError;
use hawthornshift_model::diff::Change;
use hawthornshift_model::diff::check_successor;
use hawthornshift_model::diff::diff as changes_between;

/// Result of the `check` command.
#[derive(Debug, Serialize)]
#[serde(deny_unknown_fields)]
struct CheckReport {
    accepted: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
    #[serde(rename = "faults")]
    diagnostics: Vec<Diagnostic>,
}

/// Result of the `diff` command.
#[derive(Debug, Serialize)]
#[serde(deny_unknown_fields)]
struct DiffReport {
    changes: Vec<Change>,
    #[serde(rename = "faults")]
    diagnostics: Vec<Diagnostic>,
}

/// Reason why a set could not be loaded from a file.
enum LoadError {
    File(std::io::Error),
    Set(CheckError),
}

fn load(file: &str) -> Result<CheckedSet, LoadError> {
    let text = std::fs::read(file).map_err(LoadError::File)?;
    CheckedSet::from_json(&text).map_err(LoadError::Set)
}

pub(super) fn check(output: Output, file: &str) -> Exit {
    let report = match load(file) {
        Ok(set) => CheckReport { accepted: true, error: None, diagnostics: set.warnings().to_vec() },
        Err(LoadError::File(error)) => return report_io_error(file, &error),
        Err(LoadError::Set(CheckError::Invalid(diagnostics))) => {
            CheckReport { accepted: false, error: None, diagnostics }
        }
        Err(LoadError::Set(error)) => {
            CheckReport { accepted: false, error: Some(error.to_string()), diagnostics: Vec::new() }
        }
    };
    output.print(&report, |report| print_check(file, report));
    if report.accepted { Exit::Good } else { Exit::Bad }
}

fn report_io_error(file: &str, error: &std::io::Error) -> Exit {
    eprintln!("{file}: {error}");
    Exit::Usage
}

fn print_check(file: &str, report: &CheckReport) {
    if let Some(error) = &report.error {
        println!("{file}: {error}");
    }
    for diagnostic in &report.diagnostics {
        println!("{diagnostic}");
    }
    let errors = report.diagnostics.iter().filter(|diagnostic| diagnostic.severity == Severity::Error).count();
    let warnings = report.diagnostics.len() - errors;
    let outcome = if report.accepted { "accepted" } else { "refused" };
    println!("{file}: {outcome}, {errors} errors, {warnings} warnings");
}

pub(super) fn diff(output: Output, old: &str, new: &str) -> Exit {
    let (old, new) = match (load(old), load(new)) {
        (Ok(old), Ok(new)) => (old, new),
        (Err(error), _) => return report_load_error(old, error),
        (_, Err(error)) => return report_load_error(new, error),
    };
    let report = DiffReport {
        changes: changes_between(old.set(), new.set()),
        diagnostics: check_successor(old.set(), new.set()),
    };
    output.print(&report, print_diff);
    if report.diagnostics.is_empty() { Exit::Good } else { Exit::Bad }
}

fn report_load_error(file: &str, error: LoadError) -> Exit {
    match error {
        LoadError::File(error) => report_io_error(file, &error),
        LoadError::Set(error) => {
            eprintln!("{file}: {error}");
            Exit::Bad
        }
    }
}

fn print_diff(report: &DiffReport) {
    for change in &report.changes {
        println!("{change}");
    }
    for diagnostic in &report.diagnostics {
        println!("{diagnostic}");
    }
    println!("{} changes, {} errors", report.changes.len(), report.diagnostics.len());
}
