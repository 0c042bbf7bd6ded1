//! Failures of requests, each played on purpose.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::OrderEnd;
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

/// A caller presents a ticket for another service, with a digit changed, or of another life of the same instance. It
/// must not run, or a stranger could spend what was issued to somebody else.
#[test]
fn a_ticket_is_good_only_for_its_service_and_issuer() {
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

/// A caller loses patience and sends the same order again while the first still runs. Both get the one answer.
#[test]
fn a_second_request_with_a_running_ticket_waits_for_its_answer() {
    let mut issuer = tickets();
    let now = Duration::from_secs(1);
    let ticket = issuer.issue(now, 5);
    let PresentOutcome::Run(serial) = issuer.present(now, &ticket, 5, 1) else { panic!("not redeemed") };
    assert_eq!(issuer.present(now, &ticket, 5, 2), PresentOutcome::Wait);
    let answer = hawthornshift_core::event::StoredAnswer { id: 40, size: 10 };
    let end = hawthornshift_core::tickets::RunOutcome::Answered(answer);
    let settlement = issuer.finish_run(serial, end, &mut InvariantCounters::default());
    assert_eq!(settlement.waiting, [2]);
    assert_eq!(issuer.present(now, &ticket, 5, 3), PresentOutcome::Answer(40));
}

/// A caller comes back for an answer that was dropped to make room, and again after the ticket's time. It is told that
/// the order ran, later that it has expired, and at last that nobody knows; it never runs again.
#[test]
fn what_a_caller_is_told_after_an_answer_is_gone_stays_true() {
    let mut issuer = tickets();
    let now = Duration::from_secs(1);
    let mut invariant_counters = InvariantCounters::default();
    let used = issuer.issue(now, 5);
    let unused = issuer.issue(now, 5);
    let PresentOutcome::Run(serial) = issuer.present(now, &used, 5, 1) else { panic!("not redeemed") };
    let answer = hawthornshift_core::event::StoredAnswer { id: 1, size: 2_000 };
    let end = hawthornshift_core::tickets::RunOutcome::Answered(answer);
    assert_eq!(issuer.finish_run(serial, end, &mut invariant_counters).dropped, [1]);
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

/// An issuer stops as planned and says which tickets it redeemed. A ticket so old that its redemption had been
/// forgotten by then must not pass for one that never ran.
#[test]
fn the_last_word_of_an_issuer_covers_only_what_it_remembers() {
    let mut issuer = tickets();
    let old = issuer.issue(Duration::from_secs(1), 5);
    let now = Duration::from_hours(1);
    let recent = issuer.issue(now, 5);
    let redeemed = issuer.issue(now, 5);
    assert!(matches!(issuer.present(now, &redeemed, 5, 1), PresentOutcome::Run(_)));
    let mut other = Tickets::new(4, 80, [1; 32], Duration::from_mins(10), 1_000);
    other.issuer_closed(3, 77, issuer.known_since_ms(now), &issuer.redeemed());
    let word = |ticket: &str| other.closed_issuer_status(&Ticket::parse(ticket).unwrap());
    assert_eq!(word(&old), ClosedIssuerStatus::Unknown);
    assert_eq!(word(&recent), ClosedIssuerStatus::NeverRedeemed);
    assert_eq!(word(&redeemed), ClosedIssuerStatus::Redeemed);
}

/// The shift opens after a night: every target is cold, and all orders come at once. Targets that are given more than
/// they bear would fall over; callers who cannot be served yet are told so and come back.
#[test]
fn a_group_that_is_cold_at_once_comes_up_without_falling_over() {
    let mut world = World::new(5, 8);
    world.run(Duration::from_secs(5));
    for number in 0..400 {
        world.order(number);
        world.run(Duration::from_millis(2));
    }
    world.run(Duration::from_secs(30));
    world.check_orders();
    assert_eq!(world.never.cold_overloads, 0);
    let answered = world.callers.orders.values().filter(|order| order.end == Some(OrderEnd::Answered)).count();
    assert!(answered >= 300, "{answered} of 400 answered");
}

/// Instances stop as planned and come back while orders run. No order is cut off: each is answered, once.
#[test]
fn a_rolling_restart_cuts_off_no_order() {
    let mut world = World::new(6, 8);
    world.run(Duration::from_secs(8));
    let mut number = 0;
    for id in 0..8 {
        world.stop(id);
        for _ in 0..600 {
            number += 1;
            world.order(number);
            world.run(Duration::from_millis(5));
        }
        world.start(id);
        world.run(Duration::from_secs(4));
    }
    world.run(Duration::from_secs(30));
    world.check_orders();
    let unanswered: Vec<_> =
        world.callers.orders.iter().filter(|(_, order)| order.end != Some(OrderEnd::Answered)).collect();
    assert!(unanswered.is_empty(), "{unanswered:?}");
    let doubtful = world.callers.orders.values().filter(|order| order.doubtful).count();
    assert_eq!(doubtful, 0, "a planned stop left callers not knowing");
    assert_eq!(world.never.slot_overruns, 0);
}

/// The issuer of a ticket crashes while the order runs. Its caller retries through others and is told that it may have
/// run; it never runs a second time.
#[test]
fn an_order_whose_issuer_crashed_never_runs_again() {
    for seed in 0..20 {
        let mut world = World::new(seed, 8);
        world.run(Duration::from_secs(8));
        for number in 0..40 {
            world.order(number);
        }
        world.run(Duration::from_millis(230));
        world.crash(u32::try_from(seed % 8).unwrap());
        world.run(Duration::from_mins(1));
        world.check_orders();
    }
}

/// A caller hangs up while its read waits for a slot. Whoever holds the request has to be told that it has ended, or it
/// is kept for ever: a process that callers hang up on would fill its memory.
#[test]
fn a_request_whose_caller_has_gone_is_let_go() {
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
