//! One machine: its replica, its application, its disk and its clock, and the loop of the program.

use std::collections::VecDeque;

use grebeusher_quorum::{Body, Index, LeaderTimestamp, Message, Ready, Replica, ReplicaId, Restore, Timing};
use grebeusher_time::Instant;
use rand::rngs::SmallRng;

use super::{Disk, Fault, Oracle, Site};

/// The state that commands build: a digest of all of them, and how many there were.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    pub commands: u64,
    pub digest: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Application {
    pub state: State,
    /// Applied up to here.
    pub applied: Index,
    compacted: u64,
}

impl Application {
    fn apply(&mut self, index: Index, command: &[u8]) {
        assert!(index > self.applied, "applied in order and once");
        self.applied = index;
        self.state.commands += 1;
        for byte in command {
            self.state.digest = self.state.digest.rotate_left(5).wrapping_mul(31) ^ u64::from(*byte);
        }
    }

    /// A snapshot, filled up so that it takes several chunks.
    fn snapshot(&self, filler: usize) -> Vec<u8> {
        let mut bytes = self.state.commands.to_le_bytes().to_vec();
        bytes.extend(self.state.digest.to_le_bytes());
        bytes.resize(bytes.len() + filler, 9);
        bytes
    }

    fn load(&mut self, restore: &Restore) {
        let number = |at: usize| {
            let bytes = &restore.bytes.as_slice()[at..at + 8];
            u64::from_le_bytes(bytes.try_into().expect("eight bytes"))
        };
        self.state = State { commands: number(0), digest: number(8) };
        self.compacted = self.state.commands;
        self.applied = restore.index;
    }
}

pub struct Syncing {
    pub done_at: Instant,
    ready: Ready,
}

pub struct Machine {
    pub identity: ReplicaId,
    pub replica: Option<Replica>,
    pub application: Application,
    pub disk: Disk,
    pub inbox: VecDeque<Message>,
    /// Commands of clients that wait; they are lost if the machine is not the leader.
    pub commands: VecDeque<Vec<u8>>,
    pub rejected: u64,
    pub frozen: bool,
    pub syncing: Option<Syncing>,
    /// Counts the starts, so that events of an earlier incarnation are void.
    pub life: u64,
    pub wake_scheduled: Instant,
    /// The size of snapshots beyond their content.
    pub filler: usize,
    /// States loaded from a leader or the own disk in this incarnation.
    pub loads: u64,
    /// Syncs so far.
    pub syncs: u64,
    /// By how much its clock runs fast, in millionths.
    rate: i64,
}

impl Machine {
    pub fn off(identity: ReplicaId, rate: i64) -> Machine {
        Machine {
            identity,
            replica: None,
            application: Application::default(),
            disk: Disk::default(),
            inbox: VecDeque::new(),
            commands: VecDeque::new(),
            rejected: 0,
            frozen: false,
            syncing: None,
            life: 0,
            wake_scheduled: Instant(0),
            filler: 0,
            loads: 0,
            syncs: 0,
            rate,
        }
    }

    /// The machine's own clock.
    pub fn local(&self, now: Instant) -> Instant {
        let drift = (now.0 as i128 * self.rate as i128) / 1_000_000;
        Instant((now.0 as i128 + drift) as u64)
    }

    fn global(&self, local: Instant) -> Instant {
        let now = (local.0 as i128 * 1_000_000) / (1_000_000 + self.rate as i128);
        Instant(now as u64 + 1000)
    }

    pub fn start(&mut self, now: Instant, seed: u64, timing: Timing, fault: Fault) {
        let local = self.local(now);
        let local = match fault {
            Fault::RestartedVotesAtOnce => local - timing.election_timeout_min,
            _ => local,
        };
        self.replica = Some(Replica::new(self.identity, self.disk.restored(), timing, seed, local));
        self.application = Application::default();
        self.life += 1;
        self.loads = 0;
        self.frozen = false;
        self.wake_scheduled = Instant(0);
    }

    pub fn lose_power(&mut self, rng: Option<&mut SmallRng>) {
        self.disk.lose_power(rng);
        self.replica = None;
        self.syncing = None;
        self.inbox.clear();
        self.commands.clear();
        self.life += 1;
        self.frozen = false;
    }

    /// Runs, and waits for nothing.
    pub fn is_free(&self) -> bool {
        self.replica.is_some() && !self.frozen && self.syncing.is_none()
    }

    pub fn take_in(&mut self, now: Instant, fault: Fault) {
        let now = self.local(now);
        let Some(replica) = &mut self.replica else { return };
        for message in self.inbox.drain(..) {
            let message = faulty(message, replica, now, fault);
            replica.receive(now, message.from, message);
        }
        replica.tick(now);
        for command in self.commands.drain(..) {
            if replica.propose(now, command).is_err() {
                self.rejected += 1;
            }
        }
    }

    pub fn has_ready(&self) -> bool {
        self.replica.as_ref().is_some_and(Replica::has_ready)
    }

    /// Takes a batch: the messages that leave at once, and whether there is a sync to wait for.
    pub fn take_batch(&mut self, done_at: Instant, fault: Fault) -> Option<(Vec<Message>, bool)> {
        let replica = self.replica.as_mut()?;
        if !replica.has_ready() {
            return None;
        }
        let mut ready = replica.take_ready();
        assert!(ready.must_sync || ready.writes.is_empty(), "what is written is synced");
        self.disk.write(std::mem::take(&mut ready.writes));
        let mut messages = std::mem::take(&mut ready.immediate_messages);
        if fault == Fault::AnswersBeforeSync {
            messages.append(&mut ready.messages);
        }
        let syncs = ready.must_sync;
        self.syncing = Some(Syncing { done_at, ready });
        Some((unaddressed(messages), syncs))
    }

    pub fn finish_sync(&mut self, oracle: &mut Oracle, now: Instant, site: Site) -> Vec<Message> {
        let Some(syncing) = self.syncing.take() else { return Vec::new() };
        let Some(replica) = self.replica.as_mut() else { return Vec::new() };
        let ready = syncing.ready;
        if ready.must_sync {
            self.disk.sync();
            self.syncs += 1;
        }
        replica.synced();
        if let Some(restore) = &ready.restore {
            self.application.load(restore);
            self.loads += 1;
            oracle.check_state(restore.index, self.application.state, site);
        }
        for committed in &ready.committed {
            self.application.apply(committed.index, committed.payload.as_slice());
            oracle.check_committed(committed, site);
            oracle.check_state(committed.index, self.application.state, site);
        }
        self.application.applied = self.application.applied.max(ready.applied);
        if replica.is_leader() && !ready.committed.is_empty() {
            oracle.acknowledge(self.application.applied, now);
        }
        unaddressed(ready.messages)
    }

    pub fn compact_if_due(&mut self, every: u64) {
        let Some(replica) = self.replica.as_mut() else { return };
        if self.application.state.commands >= self.application.compacted + every {
            let bytes = self.application.snapshot(self.filler);
            if replica.compact(self.application.applied, bytes).is_ok() {
                self.application.compacted = self.application.state.commands;
            }
        }
    }

    pub fn lease_holds(&self, now: Instant) -> bool {
        let now = self.local(now);
        self.replica.as_ref().is_some_and(|replica| replica.lease_holds(now))
    }

    pub fn next_wake(&self) -> Option<Instant> {
        let wake = self.replica.as_ref()?.next_wake();
        (wake < Instant(u64::MAX)).then(|| self.global(wake))
    }

    pub fn picture(&self, now: Instant) -> String {
        let Some(replica) = &self.replica else { return format!("{:?}: off", self.identity) };
        format!(
            "{:?}: term {:?} leader {} lease {} hint {:?} last {:?} commit {:?} group {:?} frozen {}",
            self.identity,
            replica.term(),
            replica.is_leader(),
            self.lease_holds(now),
            replica.leader_hint(),
            replica.last(),
            replica.commit_index(),
            replica.group(),
            self.frozen,
        )
    }
}

fn unaddressed(messages: Vec<(ReplicaId, Message)>) -> Vec<Message> {
    messages
        .into_iter()
        .map(|(to, message)| {
            assert_eq!(to, message.to);
            let bytes = grebeusher_quorum::encode(&message);
            let read = grebeusher_quorum::decode(&bytes).expect("what is sent can be read");
            assert_eq!(read, message);
            read
        })
        .collect()
}

/// The message as a receiver with a fault sees it.
fn faulty(mut message: Message, replica: &Replica, now: Instant, fault: Fault) -> Message {
    match fault {
        Fault::TermsNotChecked => message.term = message.term.max(replica.term()),
        Fault::LeaseFromArrival => match &mut message.body {
            Body::AppendResponse(response) => response.sent = LeaderTimestamp(now.0),
            Body::SnapshotChunkResponse(response) => response.sent = LeaderTimestamp(now.0),
            _ => {}
        },
        _ => {}
    }
    message
}
