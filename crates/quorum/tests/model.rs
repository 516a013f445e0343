//! Model checks of three voters, and of three voters and a spare that replaces one. They try every order of messages,
//! losses, elections, commands, changes of the group and power losses, up to a depth, from a state with a leader.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use grebeusher_quorum::{
    Body, Entry, Group, HardState, Index, Message, Payload, Replica, ReplicaId, RestoredState, Term, Timing,
    Write, decode, encode,
};
use grebeusher_time::{Duration, Instant};
use rstest::rstest;
use stateright::{Checker, Model, Property};

const VOTERS: [ReplicaId; 3] = [ReplicaId(1), ReplicaId(2), ReplicaId(3)];

/// The voters and a spare.
const MACHINES: [ReplicaId; 4] = [ReplicaId(1), ReplicaId(2), ReplicaId(3), ReplicaId(4)];

/// The voters after the change that the model makes, in which the spare replaces the last voter.
const NEW_VOTERS: [ReplicaId; 3] = [ReplicaId(1), ReplicaId(2), ReplicaId(4)];

const TIMING: Timing = Timing {
    heartbeat_interval: Duration::from_millis(20),
    election_timeout_min: Duration::from_millis(200),
    election_timeout_max: Duration::from_millis(400),
    lease_duration: Duration::from_millis(150),
};

/// A fault of the program that is added deliberately, to test that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    ResponsesBeforeSync,
    TermsNotChecked,
    WipedDiskVotes,
}

/// The model, with the largest number of each kind of event on a path.
#[derive(Clone, Debug)]
struct RaftModel {
    fault: Fault,
    elections: u8,
    commands: u8,
    losses: u8,
    /// The number of changes of the group to [`NEW_VOTERS`]. If it is 0 there is no spare.
    changes: u8,
}

#[derive(Clone, Debug)]
struct Machine {
    replica: Replica,
    disk: RestoredState,
    now: Instant,
}

#[derive(Clone, Debug)]
struct ModelState {
    machines: Vec<Machine>,
    /// The messages in flight. One that is never delivered is lost.
    network: BTreeSet<Message>,
    /// The term of each committed entry.
    committed_terms: BTreeMap<Index, Term>,
    /// The leader of each term.
    leaders: BTreeMap<Term, ReplicaId>,
    elections: u8,
    commands: u8,
    losses: u8,
    changes: u8,
    /// The position of the machine whose disk was wiped.
    wiped: Option<usize>,
    /// The invariant that was violated.
    violation: Option<&'static str>,
}

impl Hash for ModelState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        for machine in &self.machines {
            machine.replica.digest().hash(hasher);
            (machine.disk.hard_state, &machine.disk.entries).hash(hasher);
        }
        (&self.network, &self.committed_terms, &self.leaders).hash(hasher);
        (self.elections, self.commands, self.losses, self.changes, self.wiped, self.violation).hash(hasher);
    }
}

impl PartialEq for ModelState {
    fn eq(&self, other: &ModelState) -> bool {
        let digest = |state: &ModelState| {
            let mut hasher = std::hash::DefaultHasher::new();
            state.hash(&mut hasher);
            hasher.finish()
        };
        digest(self) == digest(other)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Deliver(Message),
    /// The message is delivered, and the receiver loses power before anything is synced.
    DeliverAndLosePower(Message),
    Elect(usize),
    Propose(usize),
    ChangeGroup(usize),
    Restart(usize),
    Wipe(usize),
}

/// Returns the position of a replica in [`MACHINES`].
fn machine_position(id: ReplicaId) -> usize {
    MACHINES.iter().position(|machine| *machine == id).expect("the replica is one of the four machines")
}

fn apply(disk: &mut RestoredState, write: Write) {
    match write {
        Write::HardState(hard_state) => disk.hard_state = hard_state,
        Write::Entries(entries) => {
            let Some(first) = entries.first().map(|entry| entry.index) else { return };
            disk.entries.retain(|entry| entry.index < first);
            disk.entries.extend(entries);
        }
        Write::Snapshot { .. } => unreachable!("the model takes no snapshots"),
    }
}

impl ModelState {
    /// Returns the state in which the voters are bootstrapped, and the first one is the leader of term 2 and has
    /// committed its no-op entry.
    fn start(with_spare: bool) -> ModelState {
        let group = Group::of(VOTERS);
        let entry = Entry { index: Index(1), term: Term(1), payload: Payload::Group(group.clone()) };
        let hard_state =
            HardState { term: Term(1), cluster_id: Some(group.cluster_id()), ..HardState::default() };
        let disk = RestoredState { hard_state, snapshot: None, entries: vec![entry] };
        let machine = |id: ReplicaId| {
            let disk = if VOTERS.contains(&id) { disk.clone() } else { RestoredState::default() };
            let replica = Replica::new(id, disk.clone(), TIMING, id.0, Instant(0));
            Machine { replica, disk, now: Instant(0) }
        };
        let count = if with_spare { MACHINES.len() } else { VOTERS.len() };
        let mut state = ModelState {
            machines: MACHINES[..count].iter().copied().map(machine).collect(),
            network: BTreeSet::new(),
            committed_terms: BTreeMap::new(),
            leaders: BTreeMap::new(),
            elections: 0,
            commands: 0,
            losses: 0,
            changes: 0,
            wiped: None,
            violation: None,
        };
        state.elect(0);
        while let Some(message) = state.network.pop_first() {
            state.deliver(message, Fault::None);
        }
        assert!(state.machines[0].replica.is_leader());
        assert_eq!(state.committed_terms.len(), 2);
        state.elections = 0;
        state
    }

    fn elect(&mut self, position: usize) {
        self.elections += 1;
        let wake = self.machines[position].replica.next_wake().max(self.machines[position].now);
        self.machines[position].now = wake;
        self.machines[position].replica.tick(wake);
        self.process_batches(position);
    }

    fn deliver(&mut self, message: Message, fault: Fault) {
        let position = machine_position(message.to);
        self.receive(position, message, fault);
        self.process_batches(position);
    }

    /// Delivers a message to a replica. Clocks may differ by any time in this model, so voters have always waited long
    /// enough to vote for a candidate. Other tests check the lease.
    fn receive(&mut self, position: usize, mut message: Message, fault: Fault) {
        let machine = &mut self.machines[position];
        if matches!(message.body, Body::RequestPreVote(_) | Body::RequestVote(_)) {
            machine.now = machine.now + TIMING.election_timeout_min;
        }
        if fault == Fault::TermsNotChecked {
            message.term = message.term.max(machine.replica.term());
        }
        let message = decode(&encode(&message)).expect("an encoded message can be decoded");
        machine.replica.receive(machine.now, message.from, message);
    }

    /// Processes all batches of a replica, with immediate syncs.
    fn process_batches(&mut self, position: usize) {
        while self.machines[position].replica.has_ready() {
            let machine = &mut self.machines[position];
            let ready = machine.replica.take_ready();
            ready.writes.into_iter().for_each(|write| apply(&mut machine.disk, write));
            machine.replica.synced();
            let messages = ready.immediate_messages.into_iter().chain(ready.messages);
            self.network.extend(messages.map(|(_, message)| message));
        }
        self.check_invariants(position);
    }

    fn lose_power(&mut self, position: usize, sends_responses: bool) {
        self.losses += 1;
        let ready = self.machines[position].replica.take_ready();
        self.network.extend(ready.immediate_messages.into_iter().map(|(_, message)| message));
        if sends_responses {
            self.network.extend(ready.messages.into_iter().map(|(_, message)| message));
        }
        self.restart(position);
    }

    fn restart(&mut self, position: usize) {
        let machine = &mut self.machines[position];
        machine.replica = Replica::new(MACHINES[position], machine.disk.clone(), TIMING, 1, machine.now);
    }

    fn wipe(&mut self, position: usize, fault: Fault) {
        self.losses += 1;
        self.wiped = Some(position);
        // Without the fault, the wiped disk gets an id that is not a voter's, so the voter does not exist any more.
        let machine = &mut self.machines[position];
        machine.disk.entries.truncate(1);
        machine.disk.hard_state.term = Term(1);
        machine.disk.hard_state.vote = None;
        machine.disk.hard_state.commit = Index(0);
        if fault != Fault::WipedDiskVotes {
            machine.disk = RestoredState::default();
        }
        self.restart(position);
        if fault != Fault::WipedDiskVotes {
            let removed_id = MACHINES[position];
            self.network.retain(|message| message.to != removed_id);
        }
    }

    fn check_invariants(&mut self, position: usize) {
        let replica = &self.machines[position].replica;
        let own_id = MACHINES[position];
        if replica.is_leader() && *self.leaders.entry(replica.term()).or_insert(own_id) != own_id {
            self.violation = Some("a term has two leaders");
        }
        let mut index = Index(1);
        while let Some(entry) = replica.entry(index).filter(|_| index <= replica.commit_index()) {
            if *self.committed_terms.entry(index).or_insert(entry.term) != entry.term {
                self.violation = Some("a committed entry has changed");
            }
            index = index.next();
        }
        // With a spare the group changes, and a quorum of another group has to have the entries.
        let group_is_fixed = self.machines.len() == VOTERS.len();
        if group_is_fixed
            && !self.committed_terms.iter().all(|(index, term)| self.is_on_quorum(*index, *term))
        {
            self.violation = Some("a committed entry is not on the disks of a quorum");
        }
    }

    /// Whether a quorum has an entry on disk. A disk that was wiped counts, because it may have had the entry.
    fn is_on_quorum(&self, index: Index, term: Term) -> bool {
        let holds = |position: &usize| {
            let mut entries = self.machines[*position].disk.entries.iter();
            self.wiped == Some(*position) || entries.any(|entry| entry.index == index && entry.term == term)
        };
        (0..VOTERS.len()).filter(holds).count() > VOTERS.len() / 2
    }

    /// Whether a voter's disk was wiped, so that the voter does not exist any more.
    fn is_gone(&self, position: usize) -> bool {
        self.machines[position].disk == RestoredState::default() && VOTERS.contains(&MACHINES[position])
    }
}

impl Model for RaftModel {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        vec![ModelState::start(self.changes > 0)]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        for message in state.network.iter().filter(|message| !state.is_gone(machine_position(message.to))) {
            actions.push(Action::Deliver(message.clone()));
            let needs_sync = matches!(message.body, Body::Append(_) | Body::RequestVote(_));
            if needs_sync && state.losses < self.losses {
                actions.push(Action::DeliverAndLosePower(message.clone()));
            }
        }
        for position in (0..state.machines.len()).filter(|position| !state.is_gone(*position)) {
            let is_leader = state.machines[position].replica.is_leader();
            let knows_a_group = !state.machines[position].replica.group().voters.is_empty();
            if is_leader && state.changes < self.changes {
                actions.push(Action::ChangeGroup(position));
            }
            if !knows_a_group {
                continue;
            }
            if !is_leader && state.elections < self.elections {
                actions.push(Action::Elect(position));
            }
            if is_leader && state.commands < self.commands {
                actions.push(Action::Propose(position));
            }
            if state.losses < self.losses {
                actions.push(Action::Restart(position));
                actions.push(Action::Wipe(position));
            }
        }
    }

    fn next_state(&self, previous_state: &ModelState, action: Action) -> Option<ModelState> {
        let mut state = previous_state.clone();
        match action {
            Action::Deliver(message) => {
                state.network.remove(&message);
                state.deliver(message, self.fault);
            }
            Action::DeliverAndLosePower(message) => {
                state.network.remove(&message);
                let position = machine_position(message.to);
                state.receive(position, message, self.fault);
                state.lose_power(position, self.fault == Fault::ResponsesBeforeSync);
            }
            Action::Elect(position) => state.elect(position),
            Action::Propose(position) => {
                state.commands += 1;
                let now = state.machines[position].now;
                state.machines[position].replica.propose(now, vec![state.commands]).ok()?;
                state.process_batches(position);
            }
            Action::ChangeGroup(position) => {
                state.changes += 1;
                let now = state.machines[position].now;
                state.machines[position].replica.change_group(now, NEW_VOTERS.to_vec()).ok()?;
                state.process_batches(position);
            }
            Action::Restart(position) => {
                state.losses += 1;
                state.restart(position);
            }
            Action::Wipe(position) => state.wipe(position, self.fault),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "committed entries never change and a term has one leader",
                |_, state: &ModelState| state.violation.is_none(),
            ),
            Property::sometimes("a new leader commits", |_, state: &ModelState| {
                state.committed_terms.values().any(|term| *term > Term(2))
            }),
        ]
    }
}

/// The length of the longest path that is checked; `QUORUM_DEPTH` sets another.
const DEPTH: usize = 9;

fn depth() -> usize {
    std::env::var("QUORUM_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(DEPTH)
}

#[test]
fn three_voters_are_safe() {
    let model = RaftModel { fault: Fault::None, elections: 2, commands: 1, losses: 1, changes: 0 };
    let checker = model.checker().threads(2).target_max_depth(depth()).spawn_bfs().join();
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

/// The length of the longest path that is checked with a change of the group, which takes more messages.
const CHANGE_DEPTH: usize = 15;

#[test]
fn three_voters_and_a_spare_are_safe_through_a_group_change() {
    let model = RaftModel { fault: Fault::None, elections: 1, commands: 1, losses: 0, changes: 1 };
    let checker = model.checker().threads(2).target_max_depth(CHANGE_DEPTH).spawn_bfs().join();
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_no_discovery("committed entries never change and a term has one leader");
}

#[rstest]
#[case(Fault::ResponsesBeforeSync)]
#[case(Fault::TermsNotChecked)]
#[case(Fault::WipedDiskVotes)]
fn broken_guarantee_is_detected(#[case] fault: Fault) {
    let model = RaftModel { fault, elections: 1, commands: 1, losses: 1, changes: 0 };
    let checker = model.checker().threads(2).target_max_depth(DEPTH + 5).spawn_bfs().join();
    println!("{fault:?}: {} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_any_discovery("committed entries never change and a term has one leader");
}
