//! Regression tests for requests: tickets, cold target groups, restarts, crashes and callers that disconnect.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::OrderOutcome;
use support::World;

use hawthornshift_core::Input;
use hawthornshift_core::Node;
use hawthornshift_core::Output;
use hawthornshift_core::Tuning;
use hawthornshift_core::invariants::InvariantCounters;
use hawthornshift_core::membership::Identity;
use hawthornshift_core::node::TICK_PERIOD;
use hawthornshift_core::tickets::ClosedIssuerStatus;
use hawthornshift_core::tickets::PresentOutcome;
use hawthornshift_core::tickets::Ticket;
use hawthornshift_core::tickets::Tickets;
use hawthornshift_model::CheckedSet;

fn tickets() -> Tickets {
    Tickets::new(3, 77, [9; 32], Duration::from_mins(10), 1_000)
}

/// Guards against redemption of a ticket by a caller it was not issued to. The ticket is presented for another
/// service, with one digit changed, and to a later incarnation of the issuing instance; none of these may run.
#[test]
fn a_ticket_is_valid_only_for_its_service_and_issuer() {
    let mut issuer = tickets();
    let now = Duration::from_secs(1);
    let ticket = issuer.issue(now, 5);
    assert_eq!(issuer.present(now, &ticket, 6, 1), PresentOutcome::Invalid);
    let mut forged = ticket.clone();
    let last = forged.pop().unwrap();
    forged.push(if last == '0' { '1' } else { '0' });
    assert_eq!(issuer.present(now, &forged, 5, 1), PresentOutcome::Invalid);
    let mut later = Tickets::new(3, 78, [8; 32], Duration::from_mins(10), 1_000);
    assert_eq!(later.present(now, &ticket, 5, 1), PresentOutcome::Invalid);
    assert!(matches!(issuer.present(now, &ticket, 5, 1), PresentOutcome::Run(_)));
}

/// A caller times out and retries an order while the first attempt still runs. The order must not run twice: the
/// second request waits and receives the answer to the first.
#[test]
fn a_second_request_with_a_running_ticket_waits_for_its_answer() {
    let mut issuer = tickets();
    let now = Duration::from_secs(1);
    let ticket = issuer.issue(now, 5);
    let PresentOutcome::Run(serial) = issuer.present(now, &ticket, 5, 1) else { panic!("not redeemed") };
    assert_eq!(issuer.present(now, &ticket, 5, 2), PresentOutcome::Wait);
    let answer = hawthornshift_core::event::StoredAnswer { id: 40, size: 10 };
    let outcome = hawthornshift_core::tickets::RunOutcome::Answered(answer);
    let settlement = issuer.finish_run(serial, outcome, &mut InvariantCounters::default());
    assert_eq!(settlement.waiting, [2]);
    assert_eq!(issuer.present(now, &ticket, 5, 3), PresentOutcome::Answer(40));
}

/// Guards against a second run, and against a wrong outcome, when a caller presents a redeemed ticket again. The answer
/// was evicted because it exceeds the memory limit: the issuer reports that the order ran, also shortly after the
/// ticket's lifetime has ended. An unused ticket is reported as expired. After the records have been dropped, the
/// issuer reports for both that it no longer knows whether they ran.
#[test]
fn a_redeemed_ticket_never_runs_again_after_its_answer_was_evicted() {
    let mut issuer = tickets();
    let now = Duration::from_secs(1);
    let mut invariant_counters = InvariantCounters::default();
    let used = issuer.issue(now, 5);
    let unused = issuer.issue(now, 5);
    let PresentOutcome::Run(serial) = issuer.present(now, &used, 5, 1) else { panic!("not redeemed") };
    let answer = hawthornshift_core::event::StoredAnswer { id: 1, size: 2_000 };
    let outcome = hawthornshift_core::tickets::RunOutcome::Answered(answer);
    assert_eq!(issuer.finish_run(serial, outcome, &mut invariant_counters).dropped, [1]);
    assert_eq!(issuer.present(now, &used, 5, 2), PresentOutcome::AnswerGone);
    let later = now + Duration::from_mins(11);
    issuer.expire(later);
    assert_eq!(issuer.present(later, &used, 5, 2), PresentOutcome::AnswerGone);
    assert_eq!(issuer.present(later, &unused, 5, 2), PresentOutcome::Expired);
    let much_later = now + Duration::from_mins(30);
    issuer.expire(much_later);
    assert_eq!(issuer.present(much_later, &used, 5, 2), PresentOutcome::Forgotten);
    assert_eq!(issuer.present(much_later, &unused, 5, 2), PresentOutcome::Forgotten);
}

/// An issuer that stops as planned reports which tickets it redeemed. It may have dropped the record of a redemption
/// before that, so an older ticket that is missing from the report must not count as never redeemed.
#[test]
fn the_report_of_a_closed_issuer_covers_only_tickets_it_remembers() {
    let mut issuer = tickets();
    let old = issuer.issue(Duration::from_secs(1), 5);
    let now = Duration::from_hours(1);
    let recent = issuer.issue(now, 5);
    let redeemed = issuer.issue(now, 5);
    assert!(matches!(issuer.present(now, &redeemed, 5, 1), PresentOutcome::Run(_)));
    let mut other = Tickets::new(4, 80, [1; 32], Duration::from_mins(10), 1_000);
    other.issuer_closed(3, 77, issuer.known_since_ms(now), &issuer.redeemed());
    let status = |ticket: &str| other.closed_issuer_status(&Ticket::parse(ticket).unwrap());
    assert_eq!(status(&old), ClosedIssuerStatus::Unknown);
    assert_eq!(status(&recent), ClosedIssuerStatus::NeverRedeemed);
    assert_eq!(status(&redeemed), ClosedIssuerStatus::Redeemed);
}

/// Guards against overload of a target group in which every target is cold, as after a night without load, when all
/// orders arrive at once. No target may receive more than its slow-start limit; callers that cannot be served yet are
/// refused and retry.
#[test]
fn a_cold_target_group_warms_up_without_overload() {
    let mut world = World::new(5, 8);
    world.run_for(Duration::from_secs(5));
    for number in 0..400 {
        world.send_order(number);
        world.run_for(Duration::from_millis(2));
    }
    world.run_for(Duration::from_secs(30));
    world.check_orders();
    assert_eq!(world.violations.cold_overloads, 0);
    let answered = world.callers.orders.values().filter(|order| order.outcome == Some(OrderOutcome::Answered)).count();
    assert!(answered >= 300, "{answered} of 400 answered");
}

/// Guards against orders that are interrupted when instances stop as planned and restart one after the other. Every
/// order must be answered, and run exactly once.
#[test]
fn a_rolling_restart_interrupts_no_order() {
    let mut world = World::new(6, 8);
    world.run_for(Duration::from_secs(8));
    let mut number = 0;
    for id in 0..8 {
        world.stop(id);
        for _ in 0..600 {
            number += 1;
            world.send_order(number);
            world.run_for(Duration::from_millis(5));
        }
        world.start(id);
        world.run_for(Duration::from_secs(4));
    }
    world.run_for(Duration::from_secs(30));
    world.check_orders();
    let unanswered: Vec<_> =
        world.callers.orders.iter().filter(|(_, order)| order.outcome != Some(OrderOutcome::Answered)).collect();
    assert!(unanswered.is_empty(), "{unanswered:?}");
    let unknown = world.callers.orders.values().filter(|order| order.is_outcome_unknown).count();
    assert_eq!(unknown, 0, "a planned stop left orders with an unknown outcome");
    assert_eq!(world.violations.slot_overruns, 0);
}

/// The issuer of a ticket crashes while the order runs, and the caller retries through other instances. These cannot
/// know whether the order ran: they must report that it may have run, and must not run it a second time.
#[test]
fn an_order_whose_issuer_crashed_never_runs_again() {
    for seed in 0..20 {
        let mut world = World::new(seed, 8);
        world.run_for(Duration::from_secs(8));
        for number in 0..40 {
            world.send_order(number);
        }
        world.run_for(Duration::from_millis(230));
        world.crash(u32::try_from(seed % 8).unwrap());
        world.run_for(Duration::from_mins(1));
        world.check_orders();
    }
}

/// Guards against a memory leak when a caller closes its connection while its idempotent request waits for a slot. The
/// node must emit a reply for the request, because the process holds the request until then.
#[test]
fn a_request_whose_caller_has_disconnected_is_released() {
    let identity = Identity {
        id: 0,
        incarnation: 1,
        failure_domain: "norte".to_owned(),
        control: support::sets::instance_address(0, 1),
        forward: support::sets::instance_address(0, 2),
    };
    let set = support::set();
    let service = set.services[0].id();
    let mut now = Duration::from_secs(1);
    let mut node = Node::new(now, identity, Tuning::default(), 1, [1; 32]);
    let mut out = Vec::new();
    node.handle(now, Input::SetRead(Arc::new(CheckedSet::new(set).unwrap())), &mut out);
    while !node.is_ready() {
        now += TICK_PERIOD;
        node.handle(now, Input::Tick, &mut out);
    }
    for request in 0..100 {
        let arrived = Input::RequestArrived { request, service, idempotent: true, ticket: None, timeout: None };
        node.handle(now, arrived, &mut out);
    }
    out.clear();
    for request in 0..100 {
        node.handle(now, Input::CallerGone { request }, &mut out);
    }
    let replies = out.iter().filter(|output| matches!(output, Output::Reply { .. })).count();
    assert_eq!(replies, 100);
    assert_eq!(node.dump(now).requests_under_way, 0);
    assert_eq!(node.dump(now).queued, 0);
}
