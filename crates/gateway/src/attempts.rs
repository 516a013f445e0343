//! What may be tried again after which outcome, and what the client is told when nothing may.

/// How a request may be repeated, by its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// May run once at most; also a stream that can't be taken up elsewhere.
    NonIdempotent,
    /// A stream that another executor can go on with after the last whole event.
    ResumableStream,
}

impl Kind {
    /// Whether a second run does no harm.
    pub fn may_run_again(self) -> bool {
        self != Kind::NonIdempotent
    }
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The whole answer of the executor was passed on.
    Served,
    /// No connection came up: refused, or not in time. Nothing of the request was written.
    NeverSent,
    /// A connection that had idled turned out to be closed before anything of the request was written. It says
    /// nothing against the executor, which may be chosen again, over a new connection.
    IdleClosed,
    /// Refused with `X-Grebeusher-Not-Executed`: 503, 429 or 400.
    NotExecuted,
    /// 421: another instance lives there, or its weights are of another version. It did not run.
    Misdirected,
    /// The connection broke, fell silent or carried no answer, before the head of an answer.
    BrokenBeforeHead,
    /// It broke within the body of an answer that the client has not seen anything of.
    BrokenBeforeRelay,
    /// It broke within a body whose head the client already has.
    BrokenMidBody,
    /// A stream broke after its head went to the client, with or without whole events behind it.
    BrokenMidStream,
    /// A whole answer with a failure of the executor that counts as run (500, 504).
    AnsweredFailure,
    /// Any other whole answer that is no success: it belongs to the client.
    AnsweredOther,
    /// The client's deadline or the route's timeout passed.
    TimedOut,
    /// The client went away.
    ClientGone,
}

impl Outcome {
    /// Whether the attempt proves that its executor has not run the request and never will.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Outcome::NeverSent | Outcome::IdleClosed | Outcome::NotExecuted | Outcome::Misdirected)
    }
}

/// What the client gets when no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer {
    /// 503 with `Retry-After`: no executor has run it, and none will.
    Refused,
    /// 502: an executor may have run it.
    BadGateway,
    /// 504: time is over, and an executor may have run it.
    GatewayTimeout,
    /// The head is out: the connection is cut so that the answer can't look complete.
    Cut,
    /// The executor's own answer is passed on unchanged.
    Relay,
    /// Nothing: the whole answer is out, or nobody is there.
    Nothing,
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Next {
    /// Another executor gets it at once, as it came: those tried are excluded, and there is no backoff.
    Retry,
    /// Another executor goes on inside the same answer, with `Last-Event-Id` of the last whole event.
    Resume,
    /// It is over.
    Finish(FinalAnswer),
}

/// Executors that provably did not run it may be many, but not without end: more than this are an overload
/// of the service, which the client is better told.
const MAX_NOT_RUN: u32 = 4;

/// The attempts of one try of a client.
///
/// ```
/// use grebeusher_gateway::{Attempts, FinalAnswer, Kind, Next, Outcome};
///
/// let mut attempts = Attempts::new(Kind::NonIdempotent, 2);
/// assert_eq!(attempts.ended(Outcome::NotExecuted), Next::Retry);
/// assert_eq!(attempts.ended(Outcome::BrokenBeforeHead), Next::Finish(FinalAnswer::BadGateway));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    kind: Kind,
    most: u32,
    may_have_run: u32,
    not_run: u32,
    /// Whether the client has the head of an answer.
    head_out: bool,
}

impl Attempts {
    /// `max_attempts` of the route (at least 1) is taken to count executors that may have run the request: one that
    /// proves not to have run it leaves all as it was.
    pub fn new(kind: Kind, max_attempts: u32) -> Attempts {
        Attempts { kind, most: max_attempts.max(1), may_have_run: 0, not_run: 0, head_out: false }
    }

    /// Whether any executor may have run it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run > 0
    }

    /// An attempt ended: what follows.
    pub fn ended(&mut self, outcome: Outcome) -> Next {
        if outcome.proves_not_run() {
            self.not_run += 1;
        } else {
            self.may_have_run += 1;
        }
        match outcome {
            Outcome::Served | Outcome::ClientGone => Next::Finish(FinalAnswer::Nothing),
            Outcome::AnsweredOther if !self.head_out => Next::Finish(FinalAnswer::Relay),
            Outcome::AnsweredFailure if !self.head_out => match self.again() {
                Next::Finish(_) => Next::Finish(FinalAnswer::Relay),
                next => next,
            },
            Outcome::TimedOut => Next::Finish(self.given_up(true)),
            Outcome::BrokenMidBody => {
                self.head_out = true;
                Next::Finish(FinalAnswer::Cut)
            }
            Outcome::BrokenMidStream => {
                self.head_out = true;
                self.again()
            }
            _ => self.again(),
        }
    }

    /// No executor could be chosen, or time is over before one was: what the client gets.
    pub fn nobody(&self) -> FinalAnswer {
        self.given_up(false)
    }

    fn again(&self) -> Next {
        let repeatable = self.may_have_run == 0 || self.kind.may_run_again();
        if self.may_have_run >= self.most || self.not_run >= MAX_NOT_RUN || !repeatable {
            return Next::Finish(self.given_up(false));
        }
        match self.kind {
            Kind::ResumableStream if self.head_out => Next::Resume,
            _ if self.head_out => Next::Finish(FinalAnswer::Cut),
            _ => Next::Retry,
        }
    }

    fn given_up(&self, time_over: bool) -> FinalAnswer {
        match self {
            _ if self.head_out => FinalAnswer::Cut,
            _ if self.may_have_run == 0 => FinalAnswer::Refused,
            _ if time_over => FinalAnswer::GatewayTimeout,
            _ => FinalAnswer::BadGateway,
        }
    }
}
