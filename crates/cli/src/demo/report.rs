//! Report of the demo, computed by comparing the counts of callers and targets.

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;

use super::counts::Counts;
use super::counts::OrderOutcome;
use hawthornshift_standins::Target;

/// Results of the demo.
#[derive(Clone, Debug, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Report {
    flows_opened: u64,
    flows_broken: u64,
    #[serde(rename = "flows_given_up")]
    flows_abandoned: u64,
    packets_sent: u64,
    packets_unanswered: u64,
    packets_wrong_service: u64,
    requests_sent: u64,
    #[serde(rename = "tries")]
    attempts: u64,
    answered: u64,
    refused_not_run: u64,
    may_have_run: u64,
    run_more_than_once: u64,
    refused_not_run_but_ran: u64,
    answered_but_not_run: u64,
    wrong_or_partial_answers: u64,
    cold_overloads: u64,
    slot_overruns: u64,
    packets_to_out_domain_late: u64,
    seconds_to_converge: f64,
    latency_ms_p50: u64,
    latency_ms_p99: u64,
    platform_reads: u64,
    invariant_breaches: Vec<String>,
    remarks: Vec<String>,
}

impl Report {
    pub(super) fn new(
        counts: &Counts,
        targets: &[Target],
        slowest_convergence: Duration,
        invariant_breaches: Vec<String>,
        platform_reads: u64,
    ) -> Self {
        let by_target: Vec<_> = targets.iter().map(Target::counts).collect();
        let mut runs: HashMap<&str, u32> = HashMap::new();
        for (order, count) in by_target.iter().flat_map(|counts| &counts.runs) {
            *runs.entry(order).or_default() += count;
        }
        let runs_of = |order: &String| runs.get(order.as_str()).copied().unwrap_or(0);
        let count_orders = |expected_outcome: OrderOutcome, is_violation: fn(u32) -> bool| {
            let matching = counts
                .orders
                .iter()
                .filter(|(order, outcome)| **outcome == expected_outcome && is_violation(runs_of(order)));
            u64::try_from(matching.count()).unwrap_or(u64::MAX)
        };
        let repeated = counts.orders.keys().filter(|order| runs_of(order) > 1).count();
        let mut latencies = counts.latencies_ms.clone();
        latencies.sort_unstable();
        Self {
            flows_opened: counts.flows_opened,
            flows_broken: counts.flows_broken,
            flows_abandoned: counts.flows_abandoned,
            packets_sent: counts.packets_sent,
            packets_unanswered: counts.packets_sent - counts.packets_answered,
            packets_wrong_service: by_target.iter().map(|counts| counts.wrong_service).sum(),
            requests_sent: counts.requests_sent,
            attempts: counts.attempts,
            answered: counts.answered,
            refused_not_run: counts.refused_not_run,
            may_have_run: counts.may_have_run,
            run_more_than_once: u64::try_from(repeated).unwrap_or(u64::MAX),
            refused_not_run_but_ran: count_orders(OrderOutcome::NotRun, |runs| runs > 0),
            answered_but_not_run: count_orders(OrderOutcome::Answered, |runs| runs == 0),
            wrong_or_partial_answers: counts.wrong_or_partial_answers,
            cold_overloads: by_target.iter().map(|counts| counts.cold_overloads).sum(),
            slot_overruns: by_target.iter().map(|counts| counts.slot_overruns).sum(),
            packets_to_out_domain_late: by_target.iter().map(|counts| counts.arrived_after_evacuation).sum(),
            seconds_to_converge: slowest_convergence.as_secs_f64(),
            latency_ms_p50: percentile(&latencies, 50),
            latency_ms_p99: percentile(&latencies, 99),
            platform_reads,
            invariant_breaches,
            remarks: counts.remarks.clone(),
        }
    }

    /// Returns the violations that must not occur, each with its count.
    fn violations(&self) -> [(&'static str, u64); 8] {
        [
            ("flows broken", self.flows_broken),
            ("packets at a wrong service", self.packets_wrong_service),
            ("orders run more than once", self.run_more_than_once),
            ("orders refused as not run that ran", self.refused_not_run_but_ran),
            ("orders answered that never ran", self.answered_but_not_run),
            ("wrong or partial answers", self.wrong_or_partial_answers),
            ("cold targets overloaded", self.cold_overloads),
            ("late packets to the domain taken out", self.packets_to_out_domain_late),
        ]
    }

    /// Returns whether no violation occurred and no invariant was broken.
    pub(super) fn is_good(&self) -> bool {
        self.violations().iter().all(|(_, count)| *count == 0) && self.invariant_breaches.is_empty()
    }

    pub(super) fn print(&self, json: bool) {
        if json {
            println!("{}", serde_json::to_string(self).unwrap_or_default());
            return;
        }
        println!("what callers saw");
        for (name, count) in [
            ("flows and streams opened", self.flows_opened),
            ("given up with the domain taken out", self.flows_abandoned),
            ("packets sent", self.packets_sent),
            ("packets unanswered", self.packets_unanswered),
            ("requests sent", self.requests_sent),
            ("tries", self.attempts),
            ("answered", self.answered),
            ("refused, not run", self.refused_not_run),
            ("may have run", self.may_have_run),
            ("latency p50, ms", self.latency_ms_p50),
            ("latency p99, ms", self.latency_ms_p99),
            ("slots overrun at warm targets", self.slot_overruns),
            ("reads of the platform", self.platform_reads),
        ] {
            println!("  {name:<38} {count:>8}");
        }
        println!("  {:<38} {:>8.3}", "slowest change in force everywhere, s", self.seconds_to_converge);
        println!("what must never be");
        for (name, count) in self.violations() {
            println!("  {name:<38} {count:>8}");
        }
        println!("  {:<38} {:>8}", "invariants broken", self.invariant_breaches.len());
        for remark in self.invariant_breaches.iter().chain(&self.remarks) {
            println!("  {remark}");
        }
        println!("{}", if self.is_good() { "all held" } else { "NOT ALL HELD" });
    }
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    sorted.get((sorted.len() * percent / 100).min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}
