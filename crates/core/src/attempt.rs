//! One try of a request at a target, as a life cycle that the compiler checks.
//!
//! "Not run" is the one verdict that a caller acts on without a second thought, so it must never be said by mistake.
//! An [`Attempt<Unsent>`] can say it, since no byte has left. Once [`Attempt::send`] has consumed it, only
//! [`Attempt<Sent>`] is left, whose failures are "may have run"; of that state only the target's own refusal is
//! "not run".

use std::marker::PhantomData;

use crate::event::AttemptNumber;
use crate::event::Input;
use crate::event::RequestId;
use crate::event::StoredAnswer;
use crate::message::Reason;
use crate::message::Refusal;
use hawthornshift_model::Verdict;

/// No byte of the request has left.
#[derive(Debug)]
pub enum Unsent {}

/// The first byte may have left.
#[derive(Debug)]
pub enum Sent {}

/// One try of a request at a target.
#[derive(Debug)]
#[must_use]
pub struct Attempt<State> {
    request: RequestId,
    number: AttemptNumber,
    state: PhantomData<State>,
}

impl<State> Attempt<State> {
    fn refusal(self, verdict: Verdict, reason: Reason) -> Input {
        let refusal = Refusal { verdict, reason };
        Input::TargetFailed { request: self.request, attempt: self.number, refusal }
    }
}

impl Attempt<Unsent> {
    /// Starts a try of which nothing has left yet.
    pub fn new(request: RequestId, number: AttemptNumber) -> Self {
        Self { request, number, state: PhantomData }
    }

    /// Notes that the next thing that happens is a write to the target.
    pub fn send(self) -> Attempt<Sent> {
        Attempt { request: self.request, number: self.number, state: PhantomData }
    }

    /// Gives up before anything has left.
    #[must_use]
    pub fn fail(self, reason: Reason) -> Input {
        self.refusal(Verdict::NotRun, reason)
    }
}

impl Attempt<Sent> {
    /// Gives up when something may have left.
    #[must_use]
    pub fn fail(self, reason: Reason) -> Input {
        self.refusal(Verdict::MayHaveRun, reason)
    }

    /// The target itself said that it refused the request before running it.
    #[must_use]
    pub fn refused_by_target(self) -> Input {
        self.refusal(Verdict::NotRun, Reason::RefusedByTarget)
    }

    /// The whole answer has come.
    #[must_use]
    pub fn answered(self, answer: StoredAnswer) -> Input {
        Input::TargetAnswered { request: self.request, attempt: self.number, answer }
    }
}
