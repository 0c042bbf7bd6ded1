//! One attempt to run a request at a target, as a typestate checked by the compiler.
//!
//! A caller resends a request on the verdict "not run" without further checks, so that verdict must never be wrong. An
//! [`Attempt<Unsent>`] fails as "not run", since no byte of the request has been sent. [`Attempt::send`] consumes it
//! and returns an [`Attempt<Sent>`], whose failures are "may have run"; in that state only an explicit refusal by the
//! target is "not run".

use std::marker::PhantomData;

use crate::event::AttemptNumber;
use crate::event::Input;
use crate::event::RequestId;
use crate::event::StoredAnswer;
use crate::message::Reason;
use crate::message::Refusal;
use hawthornshift_model::Verdict;

/// State of an attempt of which no byte has been sent.
#[derive(Debug)]
pub enum Unsent {}

/// State of an attempt of which bytes may have been sent.
#[derive(Debug)]
pub enum Sent {}

/// One attempt to run a request at a target.
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
    /// Starts an attempt of which nothing has been sent.
    pub fn new(request: RequestId, number: AttemptNumber) -> Self {
        Self { request, number, state: PhantomData }
    }

    /// Records that the next action is a write to the target.
    pub fn send(self) -> Attempt<Sent> {
        Attempt { request: self.request, number: self.number, state: PhantomData }
    }

    /// Ends the attempt before anything was sent, with the verdict "not run".
    #[must_use]
    pub fn fail(self, reason: Reason) -> Input {
        self.refusal(Verdict::NotRun, reason)
    }
}

impl Attempt<Sent> {
    /// Ends the attempt after bytes may have been sent, with the verdict "may have run".
    #[must_use]
    pub fn fail(self, reason: Reason) -> Input {
        self.refusal(Verdict::MayHaveRun, reason)
    }

    /// Ends the attempt because the target reported that it refused the request before running it.
    #[must_use]
    pub fn refused_by_target(self) -> Input {
        self.refusal(Verdict::NotRun, Reason::RefusedByTarget)
    }

    /// Ends the attempt with the target's complete answer.
    #[must_use]
    pub fn answered(self, answer: StoredAnswer) -> Input {
        Input::TargetAnswered { request: self.request, attempt: self.number, answer }
    }
}
