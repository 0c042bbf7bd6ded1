//! Commands on published sets.

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

/// The result of a check.
#[derive(Debug, Serialize)]
#[serde(deny_unknown_fields)]
struct CheckReport {
    accepted: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
    faults: Vec<Diagnostic>,
}

/// The result of a comparison.
#[derive(Debug, Serialize)]
#[serde(deny_unknown_fields)]
struct DiffReport {
    changes: Vec<Change>,
    faults: Vec<Diagnostic>,
}

/// Why a file gave no set.
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
        Ok(set) => CheckReport { accepted: true, error: None, faults: set.warnings().to_vec() },
        Err(LoadError::File(error)) => return cannot_read(file, &error),
        Err(LoadError::Set(CheckError::Invalid(faults))) => CheckReport { accepted: false, error: None, faults },
        Err(LoadError::Set(error)) => {
            CheckReport { accepted: false, error: Some(error.to_string()), faults: Vec::new() }
        }
    };
    output.print(&report, |report| print_check(file, report));
    if report.accepted { Exit::Good } else { Exit::Bad }
}

fn cannot_read(file: &str, error: &std::io::Error) -> Exit {
    eprintln!("{file}: {error}");
    Exit::Usage
}

fn print_check(file: &str, report: &CheckReport) {
    if let Some(error) = &report.error {
        println!("{file}: {error}");
    }
    for fault in &report.faults {
        println!("{fault}");
    }
    let errors = report.faults.iter().filter(|fault| fault.severity == Severity::Error).count();
    let warnings = report.faults.len() - errors;
    let verdict = if report.accepted { "accepted" } else { "refused" };
    println!("{file}: {verdict}, {errors} errors, {warnings} warnings");
}

pub(super) fn diff(output: Output, old: &str, new: &str) -> Exit {
    let (old, new) = match (load(old), load(new)) {
        (Ok(old), Ok(new)) => (old, new),
        (Err(error), _) => return explain(old, error),
        (_, Err(error)) => return explain(new, error),
    };
    let report =
        DiffReport { changes: changes_between(old.set(), new.set()), faults: check_successor(old.set(), new.set()) };
    output.print(&report, print_diff);
    if report.faults.is_empty() { Exit::Good } else { Exit::Bad }
}

fn explain(file: &str, error: LoadError) -> Exit {
    match error {
        LoadError::File(error) => cannot_read(file, &error),
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
    for fault in &report.faults {
        println!("{fault}");
    }
    println!("{} changes, {} faults", report.changes.len(), report.faults.len());
}
