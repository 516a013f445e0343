//! One node's side of the membership: joining, gossip and its timers around `foca`.

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

/// How long an observation waits for others to share its datagrams, at each node on its way. About six nodes lead to
/// all of three hundred.
const OBSERVATION_BATCH_DELAY: Duration = Duration::from_millis(10);

/// Between two attempts to join, as long as no other node knows this one.
const JOIN_INTERVAL: Duration = Duration::from_millis(1000);

/// Between two discovery rounds of a new node. An answer lists about fifty members, drawn at random: a new node in a
/// fleet of three hundred knows nearly all after six rounds.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(250);

/// How many members are asked in a discovery round.
const DISCOVERY_FANOUT: usize = 3;

/// After so many rounds in a row that brought no new member, discovery ends.
const MAX_IDLE_ROUNDS: u32 = 4;

type Protocol = Foca<Member, PostcardCodec, Pcg32, ObservationHandler>;

/// A datagram that the protocol could not read or apply.
#[derive(Debug, Snafu)]
#[snafu(display("an invalid membership datagram: {source}"))]
pub struct ReceiveError {
    source: foca::Error,
}

/// The next discovery round of a new node.
#[derive(Clone, Copy)]
struct Discovery {
    at: Instant,
    /// How many members were known at the last round.
    known: usize,
    /// How many rounds in a row brought no new member.
    idle_rounds: u32,
}

/// One node's membership of the fleet.
pub struct Membership<H: Host> {
    protocol: Protocol,
    host: H,
    state: RuntimeState,
    observations: ObservationHandler,
    contacts: Vec<SocketAddr>,
    next_join: Option<Instant>,
    discovery: Option<Discovery>,
    random: Pcg32,
    /// When observations are gossiped without waiting for the usual round.
    next_urgent_gossip: Option<Instant>,
}

impl<H: Host> Membership<H> {
    /// The membership of the node `own` in a fleet of about `fleet_size` nodes. Equal seeds give equal runs.
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

    /// Announces this node to these addresses until somebody answers.
    pub fn join(&mut self, now: Instant, contacts: &[SocketAddr]) {
        let own = self.own().address;
        self.contacts = contacts.iter().copied().filter(|contact| *contact != own).collect();
        self.attempt_join(now);
    }

    /// This node's current identity.
    pub fn own(&self) -> Member {
        *self.protocol.identity()
    }

    /// The other members that are up.
    pub fn members(&self) -> impl Iterator<Item = LiveMember> {
        self.state.members()
    }

    /// How often this node was declared down and came back.
    pub fn refutations(&self) -> u64 {
        self.state.refutations
    }

    /// Takes a datagram in.
    ///
    /// # Errors
    /// The datagram is not one of this protocol.
    pub fn receive(&mut self, now: Instant, datagram: &[u8]) -> Result<(), ReceiveError> {
        let result = self.run(now, |protocol, runtime| protocol.handle_data(datagram, runtime));
        result.context(ReceiveSnafu)
    }

    /// Broadcasts what this node has observed of an executor, unless something newer is known.
    pub fn broadcast(&mut self, now: Instant, observation: ExecutorObservation) {
        if let Ok(data) = postcard::to_allocvec(&observation) {
            self.schedule_urgent_gossip(now);
            // An error only means that the observation is not newer, and is not to be broadcast.
            let _ = self.protocol.add_broadcast(&data);
            // The host knows its own observation.
            self.observations.take_unreported();
        }
    }

    /// When [`Membership::handle_timeout`] has to be called next.
    pub fn next_timeout(&self) -> Option<Instant> {
        let discovery = self.discovery.map(|discovery| discovery.at);
        let timers = [self.state.next_timer(), self.next_join, discovery, self.next_urgent_gossip];
        timers.into_iter().flatten().min()
    }

    /// Does what is due.
    pub fn handle_timeout(&mut self, now: Instant) {
        while let Some(timer) = self.state.take_due_timer(now) {
            self.run_ignoring_errors(now, |protocol, runtime| protocol.handle_timer(timer, runtime));
        }
        if self.next_join.is_some_and(|at| at <= now) {
            self.attempt_join(now);
        }
        if let Some(discovery) = self.discovery.filter(|discovery| discovery.at <= now) {
            self.run_discovery(now, discovery);
        }
        if self.next_urgent_gossip.is_some_and(|at| at <= now) {
            self.next_urgent_gossip = None;
            self.run_ignoring_errors(now, |protocol, runtime| protocol.gossip(runtime));
        }
    }

    /// Announces that this node leaves, so that nobody has to suspect it.
    pub fn leave(&mut self, now: Instant) {
        self.run_ignoring_errors(now, |protocol, runtime| protocol.leave_cluster(runtime));
        self.contacts.clear();
        self.next_join = None;
        self.discovery = None;
    }

    /// Runs one step of the protocol, and hands the observations that it brought to the host.
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

    /// Runs a step whose failure needs no action: the protocol's next timer repeats it.
    fn run_ignoring_errors(
        &mut self,
        now: Instant,
        step: impl FnOnce(&mut Protocol, HostRuntime<'_, H>) -> Result<(), foca::Error>,
    ) {
        let _ = self.run(now, step);
    }

    /// An executor may be back within a second, while usual gossip takes three to reach a few hundred nodes.
    fn schedule_urgent_gossip(&mut self, now: Instant) {
        self.next_urgent_gossip.get_or_insert(now + OBSERVATION_BATCH_DELAY);
    }

    fn attempt_join(&mut self, now: Instant) {
        if self.state.is_active {
            self.next_join = None;
            self.discovery = Some(Discovery { at: now, known: 0, idle_rounds: 0 });
            return;
        }
        for address in self.contacts.clone() {
            // Only the address counts: the node there answers with its own number and generation.
            let contact = Member { address, number: 0, generation: 0 };
            self.run_ignoring_errors(now, |protocol, runtime| protocol.announce(contact, runtime));
        }
        self.next_join = (!self.contacts.is_empty()).then(|| now + JOIN_INTERVAL);
    }

    /// Asks some members for others. Gossip alone tells a new node of later starts only, so that it would know a few
    /// dozen of hundreds for most of a minute.
    fn run_discovery(&mut self, now: Instant, discovery: Discovery) {
        let known: Vec<Member> = self.members().map(|live| live.member).collect();
        let idle_rounds = if known.len() > discovery.known { 0 } else { discovery.idle_rounds + 1 };
        let next = Discovery { at: now + DISCOVERY_INTERVAL, known: known.len(), idle_rounds };
        self.discovery = (idle_rounds < MAX_IDLE_ROUNDS).then_some(next);
        for _ in 0..DISCOVERY_FANOUT.min(known.len()) {
            let member = known[self.random.next_u32() as usize % known.len()];
            self.run_ignoring_errors(now, |protocol, runtime| protocol.announce(member, runtime));
        }
    }
}
