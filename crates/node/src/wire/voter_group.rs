//! Where steps go that the keepers are to settle, and what comes back: through this node's own keeper, if it is one, or to
//! whichever leads.

use crate::state::replicated_state::{Outcome, ReplicatedState, StateCommand};
use crate::wire::peers::{KEEPER, OUTCOME, Post, STEP};
use grebeusher_budgets::{Ask, Grant};
use grebeusher_dispatch::time::Instant;
use grebeusher_volatile_raft::{GroupOrigin, Host, Voter};
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{debug, info, warn};

/// So many steps without a word back, and another keeper is asked, who hands on to whoever leads: units that wait for a part
/// do not wait long.
const PATIENCE: u32 = 1;

struct Hand {
    post: Rc<Post>,
    own: u32,
    keepers: Rc<[u32]>,
    place: usize,
    /// For this node itself.
    outcomes: Vec<Outcome>,
    /// Something moved on that all nodes should ask for.
    moved: bool,
}

impl Host<ReplicatedState> for Hand {
    fn send(&mut self, place: usize, datagram: &[u8]) {
        self.post.say_bytes(self.keepers[place], KEEPER, datagram);
    }

    fn applied(&mut self, outcome: Outcome) {
        match (outcome.node(), &outcome) {
            (_, Outcome::Moved(moved)) => {
                info!(decision = moved.number, "plan: decision {}: {}", moved.number, moved.what);
                self.moved = true;
            }
            (Some(node), _) if node != self.own => {
                self.post.say_to(node, OUTCOME, &(self.place as u8, outcome));
            }
            _ => self.outcomes.push(outcome),
        }
    }

    fn joined_group(&mut self, group: u64, origin: GroupOrigin) {
        match origin {
            GroupOrigin::Bootstrapped => {
                warn!(group, "keepers: group {group:016x} is founded here, as most keepers had nothing");
            }
            GroupOrigin::Joined => info!(group, "keepers: this one belongs to group {group:016x}"),
        }
    }

    fn leader_changed(&mut self, place: usize, term: u64) {
        let leader = self.keepers[place];
        info!(leader, term, "keepers: node {leader} leads, term {term}");
        self.post.counters.leaders.increment();
    }
}

pub struct Settling {
    post: Rc<Post>,
    keepers: Rc<[u32]>,
    keeper: Option<Voter<ReplicatedState, Hand>>,
    /// The keeper that is asked, by its place, and how often since it answered.
    asked: usize,
    unanswered: u32,
    /// What came back from others.
    outcomes: Vec<Outcome>,
}

impl Settling {
    /// `seed` is another one at each start.
    pub fn new(
        now: Instant,
        keepers: &[u32],
        own: u32,
        seed: u64,
        empty: ReplicatedState,
        post: &Rc<Post>,
    ) -> Settling {
        let keepers: Rc<[u32]> = keepers.into();
        let keeper = keepers.iter().position(|number| *number == own).map(|place| {
            let hand = Hand {
                post: post.clone(),
                own,
                keepers: keepers.clone(),
                place,
                outcomes: Vec::new(),
                moved: false,
            };
            Voter::new(now, place, keepers.len(), seed, empty, hand)
        });
        // Those who ask begin with one each.
        let asked = own as usize % keepers.len();
        Settling { post: post.clone(), keepers, keeper, asked, unanswered: 0, outcomes: Vec::new() }
    }

    /// The number of the node that leads, as far as it is known here, and how much is settled at this keeper.
    pub fn figures(&self) -> (Option<u32>, Option<u64>) {
        let own = self.keeper.as_ref();
        let leader = own.map_or(Some(self.asked), grebeusher_volatile_raft::Voter::leader);
        let settled = own.and_then(grebeusher_volatile_raft::Voter::applied).map(|(_, entries)| entries);
        (leader.map(|place| self.keepers[place]), settled)
    }

    pub fn next_due(&self) -> Option<Instant> {
        self.keeper.as_ref().map(Voter::next_wake)
    }

    pub fn due(&mut self, now: Instant) {
        if let Some(keeper) = &mut self.keeper {
            keeper.tick(now);
        }
    }

    /// Wants a step settled; it may get lost.
    pub fn ask(&mut self, now: Instant, step: StateCommand) {
        if self.keeper.is_some() {
            return self.hands_on(now, self.post.own, step, true);
        }
        self.unanswered += 1;
        if let StateCommand::BudgetAsk(Ask { budget, wants, keeps, ask, .. }) = &step {
            let (to, unanswered) = (self.keepers[self.asked], self.unanswered);
            debug!(budget, wants, keeps, ask, unanswered, "keepers: node {to} is asked for {wants} units");
        }
        if self.unanswered > PATIENCE {
            (self.asked, self.unanswered) = ((self.asked + 1) % self.keepers.len(), 0);
        }
        self.post.say_to(self.keepers[self.asked], STEP, &(true, self.post.own, step));
    }

    /// To whoever leads. What another keeper has handed on goes no further: the two may be of different minds.
    fn hands_on(&mut self, now: Instant, from: (u32, SocketAddr), step: StateCommand, further: bool) {
        let Some(keeper) = &mut self.keeper else { return };
        if keeper.is_leader() {
            // A step that is rejected is lost like any other; who asked asks again.
            let _ = keeper.propose(now, step);
        } else if let Some(leader) = keeper.leader().filter(|_| further) {
            self.post.say_to(self.keepers[leader], STEP, &(false, from, step));
        }
    }

    /// What others said; `false` if nothing can be made of it.
    pub fn heard(&mut self, now: Instant, kind: u8, body: &[u8]) -> bool {
        match kind {
            KEEPER => self.keeper.as_mut().is_some_and(|keeper| keeper.receive(now, body).is_ok()),
            STEP => {
                let Ok((further, from, step)) = postcard::from_bytes(body) else { return false };
                self.post.asked_by(from);
                self.hands_on(now, from, step, further);
                self.keeper.is_some()
            }
            _ => {
                let Ok((place, outcome)) = postcard::from_bytes::<(u8, Outcome)>(body) else { return false };
                let place = usize::from(place);
                if place < self.keepers.len() {
                    (self.asked, self.unanswered) = (place, 0);
                }
                if let Outcome::BudgetGrant(Grant { budget, number, units, ask, .. }) = &outcome {
                    debug!(budget, grant = number, units, ask, "keepers: {units} units by grant {number}");
                }
                self.outcomes.push(outcome);
                true
            }
        }
    }

    /// The state as it is settled here, if this node leads.
    pub fn where_it_leads<R>(&self, reads: impl FnOnce(&ReplicatedState) -> R) -> Option<R> {
        self.keeper.as_ref().filter(|keeper| keeper.is_leader())?.with_state(reads)
    }

    /// Whether the plan has moved on here since this was asked last.
    pub fn has_moved(&mut self) -> bool {
        self.keeper.as_mut().is_some_and(|keeper| mem::take(&mut keeper.host().moved))
    }

    /// What was settled for this node.
    pub fn outcomes(&mut self) -> Vec<Outcome> {
        let mut outcomes = mem::take(&mut self.outcomes);
        if let Some(keeper) = &mut self.keeper {
            outcomes.append(&mut keeper.host().outcomes);
        }
        outcomes
    }
}
