//! Rate-limited log of decisions.

use std::time::Duration;

use slog::Logger;
use slog::info;
use strum::EnumCount;
use strum::IntoEnumIterator;

use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::decision::Decision;
use hawthornshift_core::direct::decision::Outcome;
use hawthornshift_core::direct::targets::reachability::ReachabilityChange;
use hawthornshift_model::Revision;

/// Period over which lines are counted against the limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Store state of the instance at the time of a decision.
#[derive(Clone, Copy, Debug)]
pub struct StateSummary {
    /// Revision of the store up to which the instance was synced.
    pub revision: Revision,
    /// Version of the configuration.
    pub version: u64,
    /// Time since the state was last confirmed to be up to date with the store.
    pub age: Duration,
    /// Time since the instance first heard of a revision that it does not have; zero if it has all that it knows of.
    pub behind: Duration,
}

/// Writes one line per decision, up to a maximum per second for each outcome.
#[derive(Debug)]
pub struct DecisionLog {
    log: Logger,
    max_lines: u32,
    window_end: Timestamp,
    written: [u32; Outcome::COUNT],
    suppressed: [u32; Outcome::COUNT],
    reachability_written: u32,
    reachability_suppressed: u32,
}

impl DecisionLog {
    /// Creates a log that writes at most `max_lines` lines per second for each outcome.
    #[must_use]
    pub fn new(log: Logger, max_lines: u32) -> Self {
        let zero_counts = [0; Outcome::COUNT];
        Self {
            log,
            max_lines,
            window_end: Timestamp::ZERO,
            written: zero_counts,
            suppressed: zero_counts,
            reachability_written: 0,
            reachability_suppressed: 0,
        }
    }

    /// Logs a decision, or counts it as suppressed if the limit for its outcome is reached.
    pub fn write(&mut self, now: Timestamp, decision: &Decision, state: StateSummary) {
        if now >= self.window_end {
            self.start_window(now);
        }
        let index = decision.outcome.index();
        if self.written[index] >= self.max_lines {
            self.suppressed[index] += 1;
            return;
        }
        self.written[index] += 1;
        let outcome: &str = decision.outcome.into();
        let target = decision.target.map(|target| format!("{target:x}")).unwrap_or_default();
        info!(self.log, "flow";
            "flow" => format!("{}>{}", decision.flow.caller, decision.flow.service),
            "outcome" => outcome,
            "target" => target,
            "work" => decision.work,
            "copies" => decision.copies,
            "tried" => decision.tried,
            "took_ms" => millis(decision.took),
            "revision" => state.revision,
            "version" => state.version,
            "age_ms" => millis(state.age),
            "behind_ms" => millis(state.behind),
        );
    }

    /// Logs a change of a target's reachability under the same limit. A partition changes that of many targets at once.
    pub fn write_reachability(&mut self, now: Timestamp, change: &ReachabilityChange, revision: Revision) {
        if now >= self.window_end {
            self.start_window(now);
        }
        if self.reachability_written >= self.max_lines {
            self.reachability_suppressed += 1;
            return;
        }
        self.reachability_written += 1;
        let reachability: &str = change.reachability.into();
        info!(self.log, "target reachability"; "target" => format!("{:x}", change.target), "is" => reachability,
            "failed_checks" => change.failed, "evidence_age_ms" => millis(change.evidence_age), "revision" => revision);
    }

    /// Logs the numbers of suppressed lines and starts a new window.
    fn start_window(&mut self, now: Timestamp) {
        for outcome in Outcome::iter().filter(|outcome| self.suppressed[outcome.index()] > 0) {
            let name: &str = outcome.into();
            info!(self.log, "lines left out"; "outcome" => name, "count" => self.suppressed[outcome.index()]);
        }
        if self.reachability_suppressed > 0 {
            info!(self.log, "lines left out"; "outcome" => "target reachability",
                "count" => self.reachability_suppressed);
        }
        (self.reachability_written, self.reachability_suppressed) = (0, 0);
        self.window_end = now + RATE_WINDOW;
        self.written = [0; Outcome::COUNT];
        self.suppressed = [0; Outcome::COUNT];
    }
}

/// Returns the duration in whole milliseconds, the unit of times in log lines.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
