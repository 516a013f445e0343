//! A model check of three voters, and of three and a spare that takes the place of one: every order of messages, losses,
//! elections, commands, changes of the group and losses of power, up to a depth, from a state in which one of them leads the
//! partition.

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

/// The voters after the one change that the model makes: the last one makes room for the spare.
const CHANGED: [ReplicaId; 3] = [ReplicaId(1), ReplicaId(2), ReplicaId(4)];

const TIMING: Timing = Timing {
    heartbeat_interval: Duration::from_millis(20),
    election_timeout_min: Duration::from_millis(200),
    election_timeout_max: Duration::from_millis(400),
    lease_duration: Duration::from_millis(150),
};

/// What is deliberately broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    ResponsesBeforeSync,
    TermsNotChecked,
    WipedDiskVotes,
}

/// The model, and how much may happen in it.
#[derive(Clone, Debug)]
struct ThreeVoters {
    fault: Fault,
    elections: u8,
    commands: u8,
    losses: u8,
    /// How often the leader changes the group to [`CHANGED`]; none: there is no spare.
    changes: u8,
}

#[derive(Clone, Debug)]
struct Voter {
    replica: Replica,
    disk: RestoredState,
    now: Instant,
}

#[derive(Clone, Debug)]
struct World {
    voters: Vec<Voter>,
    /// Under way; what is never delivered is lost.
    network: BTreeSet<Message>,
    decided: BTreeMap<Index, Term>,
    leaders: BTreeMap<Term, ReplicaId>,
    elections: u8,
    commands: u8,
    losses: u8,
    changes: u8,
    wiped: Option<usize>,
    wrong: Option<&'static str>,
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        for voter in &self.voters {
            voter.replica.digest().hash(state);
            (voter.disk.hard_state, &voter.disk.entries).hash(state);
        }
        (&self.network, &self.decided, &self.leaders).hash(state);
        (self.elections, self.commands, self.losses, self.changes, self.wiped, self.wrong).hash(state);
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        let digest = |world: &World| {
            let mut hasher = std::hash::DefaultHasher::new();
            world.hash(&mut hasher);
            hasher.finish()
        };
        digest(self) == digest(other)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Deliver(Message),
    /// It arrives, and power goes before anything is synced.
    DeliverAndLosePower(Message),
    Elect(usize),
    Propose(usize),
    ChangeGroup(usize),
    Restart(usize),
    Wipe(usize),
}

fn at(id: ReplicaId) -> usize {
    MACHINES.iter().position(|machine| *machine == id).expect("it is one of the four")
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

impl World {
    /// All three are bootstrapped, and the first one leads the partition in term 2 and has committed its no-op entry.
    fn start(with_spare: bool) -> World {
        let group = Group::of(VOTERS);
        let entry = Entry { index: Index(1), term: Term(1), payload: Payload::Group(group.clone()) };
        let hard_state =
            HardState { term: Term(1), cluster_id: Some(group.cluster_id()), ..HardState::default() };
        let disk = RestoredState { hard_state, snapshot: None, entries: vec![entry] };
        let machine = |id: ReplicaId| {
            let disk = if VOTERS.contains(&id) { disk.clone() } else { RestoredState::default() };
            let replica = Replica::new(id, disk.clone(), TIMING, id.0, Instant(0));
            Voter { replica, disk, now: Instant(0) }
        };
        let count = if with_spare { MACHINES.len() } else { VOTERS.len() };
        let mut world = World {
            voters: MACHINES[..count].iter().copied().map(machine).collect(),
            network: BTreeSet::new(),
            decided: BTreeMap::new(),
            leaders: BTreeMap::new(),
            elections: 0,
            commands: 0,
            losses: 0,
            changes: 0,
            wiped: None,
            wrong: None,
        };
        world.elect(0);
        while let Some(message) = world.network.pop_first() {
            world.deliver(message, Fault::None);
        }
        assert!(world.voters[0].replica.is_leader());
        assert_eq!(world.decided.len(), 2);
        world.elections = 0;
        world
    }

    fn elect(&mut self, voter: usize) {
        self.elections += 1;
        let wake = self.voters[voter].replica.next_wake().max(self.voters[voter].now);
        self.voters[voter].now = wake;
        self.voters[voter].replica.tick(wake);
        self.work(voter);
    }

    fn deliver(&mut self, message: Message, fault: Fault) {
        let voter = at(message.to);
        self.take_in(voter, message, fault);
        self.work(voter);
    }

    /// Clocks may run as they like, so a candidate finds everybody ready to vote. The lease is checked elsewhere.
    fn take_in(&mut self, voter: usize, mut message: Message, fault: Fault) {
        let voter = &mut self.voters[voter];
        if matches!(message.body, Body::RequestPreVote(_) | Body::RequestVote(_)) {
            voter.now = voter.now + TIMING.election_timeout_min;
        }
        if fault == Fault::TermsNotChecked {
            message.term = message.term.max(voter.replica.term());
        }
        let message = decode(&encode(&message)).expect("an encoded message can be decoded");
        voter.replica.receive(voter.now, message.from, message);
    }

    /// Does all that a replica wants done, with every sync at once.
    fn work(&mut self, voter: usize) {
        while self.voters[voter].replica.has_ready() {
            let node = &mut self.voters[voter];
            let ready = node.replica.take_ready();
            ready.writes.into_iter().for_each(|write| apply(&mut node.disk, write));
            node.replica.synced();
            let messages = ready.immediate_messages.into_iter().chain(ready.messages);
            self.network.extend(messages.map(|(_, message)| message));
        }
        self.watch(voter);
    }

    fn lose_power(&mut self, voter: usize, answers: bool) {
        self.losses += 1;
        let ready = self.voters[voter].replica.take_ready();
        self.network.extend(ready.immediate_messages.into_iter().map(|(_, message)| message));
        if answers {
            self.network.extend(ready.messages.into_iter().map(|(_, message)| message));
        }
        self.restart(voter);
    }

    fn restart(&mut self, voter: usize) {
        let node = &mut self.voters[voter];
        node.replica = Replica::new(MACHINES[voter], node.disk.clone(), TIMING, 1, node.now);
    }

    fn wipe(&mut self, voter: usize, fault: Fault) {
        self.losses += 1;
        self.wiped = Some(voter);
        // With the guard, the disk comes back under an identity that is none of the three, so it is just gone.
        let node = &mut self.voters[voter];
        node.disk.entries.truncate(1);
        node.disk.hard_state.term = Term(1);
        node.disk.hard_state.vote = None;
        node.disk.hard_state.commit = Index(0);
        if fault != Fault::WipedDiskVotes {
            node.disk = RestoredState::default();
        }
        self.restart(voter);
        if fault != Fault::WipedDiskVotes {
            let gone = MACHINES[voter];
            self.network.retain(|message| message.to != gone);
        }
    }

    fn watch(&mut self, voter: usize) {
        let replica = &self.voters[voter].replica;
        let own = MACHINES[voter];
        if replica.is_leader() && *self.leaders.entry(replica.term()).or_insert(own) != own {
            self.wrong = Some("two leaders of a term");
        }
        let mut index = Index(1);
        while let Some(entry) = replica.entry(index).filter(|_| index <= replica.commit_index()) {
            if *self.decided.entry(index).or_insert(entry.term) != entry.term {
                self.wrong = Some("what was decided has changed");
            }
            index = index.next();
        }
        // Once the group changes, it is another one that has to have it.
        let fixed = self.voters.len() == VOTERS.len();
        if fixed && !self.decided.iter().all(|(index, term)| self.is_kept(*index, *term)) {
            self.wrong = Some("what was decided has no quorum any more");
        }
    }

    /// Whether a quorum has an entry on disk; a disk that was wiped had it, for all we know.
    fn is_kept(&self, index: Index, term: Term) -> bool {
        let holds = |voter: &usize| {
            let mut entries = self.voters[*voter].disk.entries.iter();
            self.wiped == Some(*voter) || entries.any(|entry| entry.index == index && entry.term == term)
        };
        (0..VOTERS.len()).filter(holds).count() > VOTERS.len() / 2
    }

    fn is_gone(&self, voter: usize) -> bool {
        self.voters[voter].disk == RestoredState::default() && VOTERS.contains(&MACHINES[voter])
    }
}

impl Model for ThreeVoters {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        vec![World::start(self.changes > 0)]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        for message in world.network.iter().filter(|message| !world.is_gone(at(message.to))) {
            actions.push(Action::Deliver(message.clone()));
            let asks_for_a_promise = matches!(message.body, Body::Append(_) | Body::RequestVote(_));
            if asks_for_a_promise && world.losses < self.losses {
                actions.push(Action::DeliverAndLosePower(message.clone()));
            }
        }
        for voter in (0..world.voters.len()).filter(|voter| !world.is_gone(*voter)) {
            let is_leader = world.voters[voter].replica.is_leader();
            let knows_a_group = !world.voters[voter].replica.group().voters.is_empty();
            if is_leader && world.changes < self.changes {
                actions.push(Action::ChangeGroup(voter));
            }
            if !knows_a_group {
                continue;
            }
            if !is_leader && world.elections < self.elections {
                actions.push(Action::Elect(voter));
            }
            if is_leader && world.commands < self.commands {
                actions.push(Action::Propose(voter));
            }
            if world.losses < self.losses {
                actions.push(Action::Restart(voter));
                actions.push(Action::Wipe(voter));
            }
        }
    }

    fn next_state(&self, last: &World, action: Action) -> Option<World> {
        let mut world = last.clone();
        match action {
            Action::Deliver(message) => {
                world.network.remove(&message);
                world.deliver(message, self.fault);
            }
            Action::DeliverAndLosePower(message) => {
                world.network.remove(&message);
                let voter = at(message.to);
                world.take_in(voter, message, self.fault);
                world.lose_power(voter, self.fault == Fault::ResponsesBeforeSync);
            }
            Action::Elect(voter) => world.elect(voter),
            Action::Propose(voter) => {
                world.commands += 1;
                let now = world.voters[voter].now;
                world.voters[voter].replica.propose(now, vec![world.commands]).ok()?;
                world.work(voter);
            }
            Action::ChangeGroup(voter) => {
                world.changes += 1;
                let now = world.voters[voter].now;
                world.voters[voter].replica.change_group(now, CHANGED.to_vec()).ok()?;
                world.work(voter);
            }
            Action::Restart(voter) => {
                world.losses += 1;
                world.restart(voter);
            }
            Action::Wipe(voter) => world.wipe(voter, self.fault),
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("decisions stay and leaders are alone", |_, world: &World| {
                world.wrong.is_none()
            }),
            Property::sometimes("a new leader decides", |_, world: &World| {
                world.decided.values().any(|term| *term > Term(2))
            }),
        ]
    }
}

/// The deepest path that is looked at; `QUORUM_DEPTH` asks for another.
const DEPTH: usize = 9;

fn depth() -> usize {
    std::env::var("QUORUM_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(DEPTH)
}

#[test]
fn three_voters_are_safe() {
    let model = ThreeVoters { fault: Fault::None, elections: 2, commands: 1, losses: 1, changes: 0 };
    let checker = model.checker().threads(2).target_max_depth(depth()).spawn_bfs().join();
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

/// How deep the changes of a group are looked at: they take more messages.
const CHANGE_DEPTH: usize = 15;

#[test]
fn three_voters_and_a_spare_are_safe_through_a_group_change() {
    let model = ThreeVoters { fault: Fault::None, elections: 1, commands: 1, losses: 0, changes: 1 };
    let checker = model.checker().threads(2).target_max_depth(CHANGE_DEPTH).spawn_bfs().join();
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_no_discovery("decisions stay and leaders are alone");
}

#[rstest]
#[case(Fault::ResponsesBeforeSync)]
#[case(Fault::TermsNotChecked)]
#[case(Fault::WipedDiskVotes)]
fn broken_guarantee_is_detected(#[case] fault: Fault) {
    let model = ThreeVoters { fault, elections: 1, commands: 1, losses: 1, changes: 0 };
    let checker = model.checker().threads(2).target_max_depth(DEPTH + 5).spawn_bfs().join();
    println!("{fault:?}: {} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_any_discovery("decisions stay and leaders are alone");
}
