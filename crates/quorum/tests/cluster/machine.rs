//! A simulated machine with a replica, an application, a disk and a clock, and the program's loop around the replica.

use std::collections::VecDeque;

use grebeusher_quorum::{Body, Index, LeaderTimestamp, Message, Ready, Replica, ReplicaId, Restore, Timing};
use grebeusher_time::Instant;
use rand::rngs::SmallRng;

use super::{Disk, Fault, MachineId, Oracle};

/// The state of the application: the number of commands applied and a digest of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    pub commands: u64,
    pub digest: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Application {
    pub state: State,
    /// The index up to which the log is applied.
    pub applied: Index,
    /// The number of commands in the newest snapshot.
    compacted_commands: u64,
}

impl Application {
    fn apply(&mut self, index: Index, command: &[u8]) {
        assert!(index > self.applied, "entries must be applied in order and once");
        self.applied = index;
        self.state.commands += 1;
        for byte in command {
            self.state.digest = self.state.digest.rotate_left(5).wrapping_mul(31) ^ u64::from(*byte);
        }
    }

    /// Returns a snapshot with `padding` more bytes, so that it can take several chunks.
    fn snapshot(&self, padding: usize) -> Vec<u8> {
        let mut bytes = self.state.commands.to_le_bytes().to_vec();
        bytes.extend(self.state.digest.to_le_bytes());
        bytes.resize(bytes.len() + padding, 9);
        bytes
    }

    fn load(&mut self, restore: &Restore) {
        let number_at = |offset: usize| {
            let bytes = &restore.bytes.as_slice()[offset..offset + 8];
            u64::from_le_bytes(bytes.try_into().expect("eight bytes"))
        };
        self.state = State { commands: number_at(0), digest: number_at(8) };
        self.compacted_commands = self.state.commands;
        self.applied = restore.index;
    }
}

/// A batch whose sync has not finished.
pub struct Syncing {
    pub finishes_at: Instant,
    ready: Ready,
}

pub struct Machine {
    pub identity: ReplicaId,
    pub replica: Option<Replica>,
    pub application: Application,
    pub disk: Disk,
    pub inbox: VecDeque<Message>,
    /// The commands of clients that are not proposed yet. They are rejected if the machine is not the leader.
    pub commands: VecDeque<Vec<u8>>,
    /// The number of commands that the replica rejected.
    pub rejected: u64,
    pub frozen: bool,
    pub syncing: Option<Syncing>,
    /// Increases with each start and power loss, so that events scheduled before are ignored.
    pub incarnation: u64,
    /// The time of the timer event that was scheduled last.
    pub wake_scheduled: Instant,
    /// The number of bytes that are added to each snapshot.
    pub snapshot_padding: usize,
    /// The number of snapshots loaded since the last start, from a leader or the machine's own disk.
    pub snapshots_loaded: u64,
    /// The number of syncs since the machine was created.
    pub syncs: u64,
    /// The rate by which the machine's clock is fast, in parts per million.
    clock_rate_ppm: i64,
}

impl Machine {
    pub fn powered_off(identity: ReplicaId, clock_rate_ppm: i64) -> Machine {
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
            incarnation: 0,
            wake_scheduled: Instant(0),
            snapshot_padding: 0,
            snapshots_loaded: 0,
            syncs: 0,
            clock_rate_ppm,
        }
    }

    /// Returns the time on the machine's own clock.
    pub fn local_time(&self, now: Instant) -> Instant {
        let drift = (now.0 as i128 * self.clock_rate_ppm as i128) / 1_000_000;
        Instant((now.0 as i128 + drift) as u64)
    }

    /// Returns the simulation's time for a time on the machine's own clock, plus 1 µs so that it is not too early.
    fn global_time(&self, local_time: Instant) -> Instant {
        let now = (local_time.0 as i128 * 1_000_000) / (1_000_000 + self.clock_rate_ppm as i128);
        Instant(now as u64 + 1000)
    }

    pub fn start(&mut self, now: Instant, seed: u64, timing: Timing, fault: Fault) {
        let local_time = self.local_time(now);
        let local_time = match fault {
            Fault::RestartedVotesAtOnce => local_time - timing.election_timeout_min,
            _ => local_time,
        };
        self.replica = Some(Replica::new(self.identity, self.disk.restored(), timing, seed, local_time));
        self.application = Application::default();
        self.incarnation += 1;
        self.snapshots_loaded = 0;
        self.frozen = false;
        self.wake_scheduled = Instant(0);
    }

    pub fn lose_power(&mut self, rng: Option<&mut SmallRng>) {
        self.disk.lose_power(rng);
        self.replica = None;
        self.syncing = None;
        self.inbox.clear();
        self.commands.clear();
        self.incarnation += 1;
        self.frozen = false;
    }

    /// Whether the machine is running, not frozen, and not waiting for a sync.
    pub fn is_free(&self) -> bool {
        self.replica.is_some() && !self.frozen && self.syncing.is_none()
    }

    /// Gives the replica all waiting messages and commands, and the time.
    pub fn process_inputs(&mut self, now: Instant, fault: Fault) {
        let now = self.local_time(now);
        let Some(replica) = &mut self.replica else { return };
        for message in self.inbox.drain(..) {
            let message = apply_fault(message, replica, now, fault);
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

    /// Takes a batch. Returns the messages to send at once, and whether the batch needs a sync.
    pub fn take_batch(&mut self, finishes_at: Instant, fault: Fault) -> Option<(Vec<Message>, bool)> {
        let replica = self.replica.as_mut()?;
        if !replica.has_ready() {
            return None;
        }
        let mut ready = replica.take_ready();
        assert!(ready.must_sync || ready.writes.is_empty(), "a batch with writes must be synced");
        self.disk.write(std::mem::take(&mut ready.writes));
        let mut messages = std::mem::take(&mut ready.immediate_messages);
        if fault == Fault::ResponsesBeforeSync {
            messages.append(&mut ready.messages);
        }
        let syncs = ready.must_sync;
        self.syncing = Some(Syncing { finishes_at, ready });
        Some((without_receivers(messages), syncs))
    }

    /// Finishes a batch after its sync. Returns the messages to send then.
    pub fn finish_sync(&mut self, oracle: &mut Oracle, now: Instant, machine_id: MachineId) -> Vec<Message> {
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
            self.snapshots_loaded += 1;
            oracle.check_state(restore.index, self.application.state, machine_id);
        }
        for committed in &ready.committed {
            self.application.apply(committed.index, committed.payload.as_slice());
            oracle.check_committed(committed, machine_id);
            oracle.check_state(committed.index, self.application.state, machine_id);
        }
        self.application.applied = self.application.applied.max(ready.applied);
        if replica.is_leader() && !ready.committed.is_empty() {
            oracle.acknowledge(self.application.applied, now);
        }
        without_receivers(ready.messages)
    }

    pub fn compact_if_due(&mut self, commands_between_snapshots: u64) {
        let Some(replica) = self.replica.as_mut() else { return };
        if self.application.state.commands >= self.application.compacted_commands + commands_between_snapshots
        {
            let bytes = self.application.snapshot(self.snapshot_padding);
            if replica.compact(self.application.applied, bytes).is_ok() {
                self.application.compacted_commands = self.application.state.commands;
            }
        }
    }

    pub fn lease_holds(&self, now: Instant) -> bool {
        let now = self.local_time(now);
        self.replica.as_ref().is_some_and(|replica| replica.lease_holds(now))
    }

    pub fn next_wake(&self) -> Option<Instant> {
        let wake = self.replica.as_ref()?.next_wake();
        (wake < Instant(u64::MAX)).then(|| self.global_time(wake))
    }

    /// Describes the machine in one line, for messages of failed tests.
    pub fn describe(&self, now: Instant) -> String {
        let Some(replica) = &self.replica else { return format!("{:?}: powered off", self.identity) };
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

/// Drops the separate receivers and checks that each message survives encoding.
fn without_receivers(messages: Vec<(ReplicaId, Message)>) -> Vec<Message> {
    messages
        .into_iter()
        .map(|(to, message)| {
            assert_eq!(to, message.to);
            let bytes = grebeusher_quorum::encode(&message);
            let decoded = grebeusher_quorum::decode(&bytes).expect("an encoded message can be decoded");
            assert_eq!(decoded, message);
            decoded
        })
        .collect()
}

/// Returns the message as a replica with a fault reads it.
fn apply_fault(mut message: Message, replica: &Replica, now: Instant, fault: Fault) -> Message {
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
