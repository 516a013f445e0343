//! The membership protocol of one node: joining the fleet, discovering members, and gossip, on top of `foca`.

use crate::config::protocol_config;
use crate::observation::ObservationHandler;
use crate::runtime::{HostRuntime, RuntimeState};
use crate::{ExecutorObservation, Host, LiveMember, Member};
use foca::{Foca, PostcardCodec};
use grebeusher_dispatch::time::{Duration, Instant};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;

/// How long each node on the path of an observation holds it back, so that further observations can share its
/// datagrams. An observation passes about six nodes in sequence until it has reached all nodes of a fleet of three
/// hundred.
const OBSERVATION_BATCH_DELAY: Duration = Duration::from_millis(10);

/// The time between two attempts to join the fleet while no other node knows this one.
const JOIN_INTERVAL: Duration = Duration::from_millis(1000);

/// The time between two discovery rounds of a new node. Each answer lists about fifty members, chosen at random, so a
/// new node in a fleet of three hundred knows nearly all members after six rounds.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(250);

/// The number of members that a node asks for further members in one discovery round.
const DISCOVERY_FANOUT: usize = 3;

/// Discovery ends after this number of consecutive rounds in which the node learned of no new member.
const MAX_IDLE_ROUNDS: u32 = 4;

type Protocol = Foca<Member, PostcardCodec, Pcg32, ObservationHandler>;

/// The error for a datagram that the protocol could not decode or apply.
#[derive(Debug, Snafu)]
#[snafu(display("an invalid membership datagram: {source}"))]
pub struct ReceiveError {
    source: foca::Error,
}

/// The state of the member discovery of a new node.
#[derive(Clone, Copy)]
struct Discovery {
    /// When the next round is due.
    next_round: Instant,
    /// The number of members that the node knew at the last round.
    known_members: usize,
    /// The number of consecutive rounds in which the node learned of no new member.
    idle_rounds: u32,
}

/// The membership of one node in the fleet.
pub struct Membership<H: Host> {
    protocol: Protocol,
    host: H,
    state: RuntimeState,
    observations: ObservationHandler,
    /// The addresses to which the node announces itself until another node answers.
    contacts: Vec<SocketAddr>,
    /// When the node announces itself next; `None` once another node knows it, or without contacts.
    next_join: Option<Instant>,
    /// The member discovery, while it runs.
    discovery: Option<Discovery>,
    /// The source of the random choices of members to ask in discovery rounds.
    random: Pcg32,
    /// When the node gossips new observations, without waiting for the next periodic gossip; `None` if there are none.
    next_urgent_gossip: Option<Instant>,
}

impl<H: Host> Membership<H> {
    /// Creates the membership of the node `own` in a fleet of about `fleet_size` nodes. Two instances with the same
    /// seed and the same inputs behave in the same way.
    pub fn new(own: Member, fleet_size: u32, seed: u64, host: H) -> Membership<H> {
        let observations = ObservationHandler::default();
        let random = Pcg32::seed_from_u64(seed);
        let config = protocol_config(fleet_size);
        Membership {
            protocol: Foca::with_custom_broadcast(own, config, random, PostcardCodec, observations.clone()),
            host,
            state: RuntimeState::default(),
            observations,
            contacts: Vec::new(),
            next_join: None,
            discovery: None,
            random: Pcg32::seed_from_u64(seed ^ 1),
            next_urgent_gossip: None,
        }
    }

    /// Announces this node to the addresses `contacts` until another node answers.
    pub fn join(&mut self, now: Instant, contacts: &[SocketAddr]) {
        let own = self.own_member().address;
        self.contacts = contacts.iter().copied().filter(|contact| *contact != own).collect();
        self.attempt_join(now);
    }

    /// Returns the current identity of this node.
    pub fn own_member(&self) -> Member {
        *self.protocol.identity()
    }

    /// Returns the other members that are up.
    pub fn members(&self) -> impl Iterator<Item = LiveMember> {
        self.state.members()
    }

    /// Returns how many times this node was declared down and came back under a renewed identity.
    pub fn refutations(&self) -> u64 {
        self.state.refutations
    }

    /// Processes a datagram from another node.
    ///
    /// # Errors
    /// The datagram is not valid in this protocol.
    pub fn receive(&mut self, now: Instant, datagram: &[u8]) -> Result<(), ReceiveError> {
        let result = self.run(now, |protocol, runtime| protocol.handle_data(datagram, runtime));
        result.context(ReceiveSnafu)
    }

    /// Broadcasts an observation of an executor by this node, unless this node has a newer one of the same executor.
    pub fn broadcast(&mut self, now: Instant, observation: ExecutorObservation) {
        if let Ok(data) = postcard::to_allocvec(&observation) {
            self.schedule_urgent_gossip(now);
            // An error only means that the observation is not newer than a known one, so it must not be broadcast.
            let _ = self.protocol.add_broadcast(&data);
            // The host made this observation itself, so it is not reported back to the host.
            self.observations.take_unreported();
        }
    }

    /// Returns when [`Membership::handle_timeout`] has to be called next.
    pub fn next_timeout(&self) -> Option<Instant> {
        let discovery = self.discovery.map(|discovery| discovery.next_round);
        let timers = [self.state.next_timer(), self.next_join, discovery, self.next_urgent_gossip];
        timers.into_iter().flatten().min()
    }

    /// Runs all timers that are due at `now`.
    pub fn handle_timeout(&mut self, now: Instant) {
        while let Some(timer) = self.state.take_due_timer(now) {
            self.run_ignoring_errors(now, |protocol, runtime| protocol.handle_timer(timer, runtime));
        }
        if self.next_join.is_some_and(|at| at <= now) {
            self.attempt_join(now);
        }
        if let Some(discovery) = self.discovery.filter(|discovery| discovery.next_round <= now) {
            self.run_discovery(now, discovery);
        }
        if self.next_urgent_gossip.is_some_and(|at| at <= now) {
            self.next_urgent_gossip = None;
            self.run_ignoring_errors(now, |protocol, runtime| protocol.gossip(runtime));
        }
    }

    /// Announces that this node leaves, so that the other nodes remove it without suspecting it first.
    pub fn leave(&mut self, now: Instant) {
        self.run_ignoring_errors(now, |protocol, runtime| protocol.leave_cluster(runtime));
        self.contacts.clear();
        self.next_join = None;
        self.discovery = None;
    }

    /// Runs one step of the protocol, and reports the observations that it received to the host.
    fn run(
        &mut self,
        now: Instant,
        step: impl FnOnce(&mut Protocol, HostRuntime<'_, H>) -> Result<(), foca::Error>,
    ) -> Result<(), foca::Error> {
        let Membership { protocol, host, state, .. } = self;
        let result = step(protocol, HostRuntime { host, state, now });
        let received = self.observations.take_unreported();
        if !received.is_empty() {
            self.schedule_urgent_gossip(now);
        }
        received.into_iter().for_each(|observation| self.host.executor_observed(observation));
        result
    }

    /// Runs a step of the protocol and ignores a failure, as the next timer of the protocol repeats the step.
    fn run_ignoring_errors(
        &mut self,
        now: Instant,
        step: impl FnOnce(&mut Protocol, HostRuntime<'_, H>) -> Result<(), foca::Error>,
    ) {
        let _ = self.run(now, step);
    }

    /// Schedules gossip outside the periodic rounds. An executor may be back within one second, while periodic gossip
    /// takes three seconds to reach a few hundred nodes.
    fn schedule_urgent_gossip(&mut self, now: Instant) {
        self.next_urgent_gossip.get_or_insert(now + OBSERVATION_BATCH_DELAY);
    }

    fn attempt_join(&mut self, now: Instant) {
        if self.state.is_active {
            self.next_join = None;
            self.discovery = Some(Discovery { next_round: now, known_members: 0, idle_rounds: 0 });
            return;
        }
        for address in self.contacts.clone() {
            // Only the address matters here: the node at this address answers with its own number and generation.
            let contact = Member { address, number: 0, generation: 0 };
            self.run_ignoring_errors(now, |protocol, runtime| protocol.announce(contact, runtime));
        }
        self.next_join = (!self.contacts.is_empty()).then(|| now + JOIN_INTERVAL);
    }

    /// Asks some members for the members that they know. With gossip alone, a new node would learn only of nodes that
    /// start after it, and would know a few dozen of several hundred nodes for most of a minute.
    fn run_discovery(&mut self, now: Instant, discovery: Discovery) {
        let known: Vec<Member> = self.members().map(|live| live.member).collect();
        let idle_rounds = if known.len() > discovery.known_members { 0 } else { discovery.idle_rounds + 1 };
        let next =
            Discovery { next_round: now + DISCOVERY_INTERVAL, known_members: known.len(), idle_rounds };
        self.discovery = (idle_rounds < MAX_IDLE_ROUNDS).then_some(next);
        for _ in 0..DISCOVERY_FANOUT.min(known.len()) {
            let member = known[self.random.next_u32() as usize % known.len()];
            self.run_ignoring_errors(now, |protocol, runtime| protocol.announce(member, runtime));
        }
    }
}
