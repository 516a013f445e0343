//! Submits commands to the replicated state of the voters and receives their outcomes: through this node's own voter,
//! if it is one, or through another voter, which forwards commands to the leader.

use crate::state::replicated_state::{Outcome, ReplicatedState, StateCommand};
use crate::wire::peers::{COMMAND, OUTCOME, PeerSocket, VOTER};
use grebeusher_budgets::{Grant, GrantRequest};
use grebeusher_dispatch::time::Instant;
use grebeusher_volatile_raft::{GroupOrigin, Host, Voter};
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{debug, info, warn};

/// After more unanswered commands than this, the next voter is asked: requests that wait for a budget grant do not wait
/// long.
const MAX_UNANSWERED: u32 = 1;

struct VoterHost {
    peer_socket: Rc<PeerSocket>,
    own: u32,
    voters: Rc<[u32]>,
    index: usize,
    /// Outcomes for this node itself.
    outcomes: Vec<Outcome>,
    /// The maintenance plan has advanced, so all nodes should ask for a new permission.
    has_plan_moved: bool,
}

impl Host<ReplicatedState> for VoterHost {
    fn send(&mut self, index: usize, datagram: &[u8]) {
        self.peer_socket.send_bytes(self.voters[index], VOTER, datagram);
    }

    fn applied(&mut self, outcome: Outcome) {
        match (outcome.node(), &outcome) {
            (_, Outcome::PlanChange(decision)) => {
                info!(
                    decision = decision.number,
                    "maintenance: decision {}: {}", decision.number, decision.what
                );
                self.has_plan_moved = true;
            }
            (Some(node), _) if node != self.own => {
                self.peer_socket.send_message_to(node, OUTCOME, &(self.index as u8, outcome));
            }
            _ => self.outcomes.push(outcome),
        }
    }

    fn joined_group(&mut self, group: u64, origin: GroupOrigin) {
        match origin {
            GroupOrigin::Bootstrapped => {
                warn!(
                    group,
                    "voters: group {group:016x} bootstrapped by this node, as most voters had no state"
                );
            }
            GroupOrigin::Joined => info!(group, "voters: this node joined group {group:016x}"),
        }
    }

    fn leader_changed(&mut self, index: usize, term: u64) {
        let leader = self.voters[index];
        info!(leader, term, "voters: node {leader} leads in term {term}");
        self.peer_socket.counters.leaders.increment();
    }
}

pub struct VoterGroup {
    peer_socket: Rc<PeerSocket>,
    voters: Rc<[u32]>,
    voter: Option<Voter<ReplicatedState, VoterHost>>,
    /// The index of the voter that is asked, and the number of commands since its last answer.
    asked_voter: usize,
    unanswered: u32,
    /// Outcomes received from other voters.
    outcomes: Vec<Outcome>,
}

impl VoterGroup {
    /// `seed` differs at each start of the process.
    pub fn new(
        now: Instant,
        voters: &[u32],
        own: u32,
        seed: u64,
        initial_state: ReplicatedState,
        peer_socket: &Rc<PeerSocket>,
    ) -> VoterGroup {
        let voters: Rc<[u32]> = voters.into();
        let voter = voters.iter().position(|number| *number == own).map(|index| {
            let host = VoterHost {
                peer_socket: peer_socket.clone(),
                own,
                voters: voters.clone(),
                index,
                outcomes: Vec::new(),
                has_plan_moved: false,
            };
            Voter::new(now, index, voters.len(), seed, initial_state, host)
        });
        // Nodes start with different voters.
        let asked_voter = own as usize % voters.len();
        VoterGroup {
            peer_socket: peer_socket.clone(),
            voters,
            voter,
            asked_voter,
            unanswered: 0,
            outcomes: Vec::new(),
        }
    }

    /// The number of the leader, as far as this node knows, and the number of log entries that its own voter has
    /// applied.
    pub fn status(&self) -> (Option<u32>, Option<u64>) {
        let own = self.voter.as_ref();
        let leader = own.map_or(Some(self.asked_voter), grebeusher_volatile_raft::Voter::leader);
        let applied = own.and_then(grebeusher_volatile_raft::Voter::applied).map(|(_, entries)| entries);
        (leader.map(|index| self.voters[index]), applied)
    }

    pub fn next_timeout(&self) -> Option<Instant> {
        self.voter.as_ref().map(Voter::next_wake)
    }

    pub fn handle_timeouts(&mut self, now: Instant) {
        if let Some(voter) = &mut self.voter {
            voter.tick(now);
        }
    }

    /// Submits a command. It may get lost, so the caller repeats it.
    pub fn submit(&mut self, now: Instant, command: StateCommand) {
        if self.voter.is_some() {
            return self.forward(now, self.peer_socket.own, command, true);
        }
        self.unanswered += 1;
        if let StateCommand::BudgetRequest(GrantRequest {
            budget, wanted_units, kept_units, request, ..
        }) = &command
        {
            let (to, unanswered) = (self.voters[self.asked_voter], self.unanswered);
            debug!(
                budget,
                wants = wanted_units,
                keeps = kept_units,
                ask = request,
                unanswered,
                "voters: asking node {to} for {wanted_units} units"
            );
        }
        if self.unanswered > MAX_UNANSWERED {
            (self.asked_voter, self.unanswered) = ((self.asked_voter + 1) % self.voters.len(), 0);
        }
        self.peer_socket.send_message_to(
            self.voters[self.asked_voter],
            COMMAND,
            &(true, self.peer_socket.own, command),
        );
    }

    /// Proposes the command if this node leads, or forwards it to the leader. A command that another voter has
    /// forwarded is not forwarded again, as the two may take different nodes for the leader.
    fn forward(&mut self, now: Instant, asker: (u32, SocketAddr), command: StateCommand, may_forward: bool) {
        let Some(voter) = &mut self.voter else { return };
        if voter.is_leader() {
            // A rejected command counts as lost, and its sender repeats it.
            let _ = voter.propose(now, command);
        } else if let Some(leader) = voter.leader().filter(|_| may_forward) {
            self.peer_socket.send_message_to(self.voters[leader], COMMAND, &(false, asker, command));
        }
    }

    /// Handles a datagram of another node; `false` if it is malformed or not for this node.
    pub fn datagram_received(&mut self, now: Instant, kind: u8, body: &[u8]) -> bool {
        match kind {
            VOTER => self.voter.as_mut().is_some_and(|voter| voter.receive(now, body).is_ok()),
            COMMAND => {
                let Ok((may_forward, asker, command)) = postcard::from_bytes(body) else { return false };
                self.peer_socket.record_asker(asker);
                self.forward(now, asker, command, may_forward);
                self.voter.is_some()
            }
            _ => {
                let Ok((index, outcome)) = postcard::from_bytes::<(u8, Outcome)>(body) else { return false };
                let index = usize::from(index);
                if index < self.voters.len() {
                    (self.asked_voter, self.unanswered) = (index, 0);
                }
                if let Outcome::BudgetGrant(Grant { budget, number, units, request, .. }) = &outcome {
                    debug!(
                        budget,
                        grant = number,
                        units,
                        ask = request,
                        "voters: grant {number} of {units} units"
                    );
                }
                self.outcomes.push(outcome);
                true
            }
        }
    }

    /// Reads the replicated state, if this node leads.
    pub fn with_leading_state<R>(&self, read: impl FnOnce(&ReplicatedState) -> R) -> Option<R> {
        self.voter.as_ref().filter(|voter| voter.is_leader())?.with_state(read)
    }

    /// Whether the plan has advanced here since the last call.
    pub fn take_plan_moved(&mut self) -> bool {
        self.voter.as_mut().is_some_and(|voter| mem::take(&mut voter.host().has_plan_moved))
    }

    /// Takes the outcomes for this node.
    pub fn outcomes(&mut self) -> Vec<Outcome> {
        let mut outcomes = mem::take(&mut self.outcomes);
        if let Some(voter) = &mut self.voter {
            outcomes.append(&mut voter.host().outcomes);
        }
        outcomes
    }
}
