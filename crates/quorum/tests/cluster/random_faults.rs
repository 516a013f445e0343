//! Random faults from a seed, followed by a time without faults in which the partition has to recover.

use grebeusher_quorum::ReplicaId;
use grebeusher_time::Duration;
use rand::Rng;

use super::{Cluster, Fault, MachineId};

/// The kinds of faults in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKinds {
    /// Link cuts, lost messages, freezes, restarts, and power losses of all machines at once.
    Basic,
    /// The faults of `Basic`, and sometimes one disk is wiped while others lose power. It is replaced in the group.
    DiskLoss,
    /// The faults of `Basic`, and changes to random groups.
    GroupChanges,
}

/// Runs a cluster with random faults for 3 seconds, ends the faults, and checks that the cluster recovers. Returns the
/// cluster for its counts.
pub fn run_with_random_faults(seed: u64, fault_kinds: FaultKinds, fault: Fault) -> Cluster {
    let mut cluster = Cluster::with_fault(seed, 3, 2, fault);
    cluster.elect();
    cluster.oracle.collect_violations = fault != Fault::None;
    cluster.network.loss = [0.0, 0.02, 0.2][cluster.rng.random_range(0..3)];
    cluster.network.duplication = [0.0, 0.05][cluster.rng.random_range(0..2)];
    cluster.network.long_delay_probability = [0.0, 0.01, 0.1][cluster.rng.random_range(0..3)];
    cluster.commands_between_snapshots = [5, 40, 1_000_000][cluster.rng.random_range(0..3)];
    let snapshot_padding = [0, 700_000][usize::from(cluster.rng.random_bool(0.1))];
    cluster.machines.iter_mut().for_each(|machine| machine.snapshot_padding = snapshot_padding);
    let end = cluster.now + Duration::from_millis(3_000);
    while cluster.now < end {
        inject_fault(&mut cluster, fault_kinds);
        let span = Duration::from_millis(cluster.rng.random_range(1..120));
        run_with_clients(&mut cluster, span, fault_kinds);
    }
    end_all_faults(&mut cluster, fault_kinds);
    cluster
}

/// Processes the events of the next `span` while clients propose and read.
fn run_with_clients(cluster: &mut Cluster, span: Duration, fault_kinds: FaultKinds) {
    let end = cluster.now + span;
    while cluster.now < end {
        read_and_propose(cluster);
        if fault_kinds == FaultKinds::DiskLoss {
            replace_lost(cluster);
        }
        let step = Duration::from_millis(cluster.rng.random_range(1..8));
        cluster.run(step);
    }
}

/// Lets clients read at all machines and propose at those that take themselves for the leader.
fn read_and_propose(cluster: &mut Cluster) {
    cluster.read_everywhere();
    for machine_id in cluster.machine_ids() {
        let is_leader = cluster.machines[machine_id.0]
            .replica
            .as_ref()
            .is_some_and(grebeusher_quorum::Replica::is_leader);
        if is_leader && cluster.rng.random_bool(0.5) {
            cluster.propose(machine_id);
        }
    }
    cluster.read_everywhere();
}

fn random_machine(cluster: &mut Cluster) -> MachineId {
    MachineId(cluster.rng.random_range(0..cluster.machines.len()))
}

fn inject_fault(cluster: &mut Cluster, fault_kinds: FaultKinds) {
    let machine_id = random_machine(cluster);
    let other = random_machine(cluster);
    match cluster.rng.random_range(0..14) {
        0 => cluster.restart(machine_id),
        1 => cluster.lose_power(machine_id),
        2 | 3 => start_all(cluster),
        4 => cluster.freeze(machine_id),
        5 | 6 => wake_all(cluster),
        7 => cluster.isolate(machine_id),
        8 => cluster.network.cut(machine_id, other),
        9 | 10 => cluster.reconnect_all_links(),
        11 => all_lose_power(cluster, machine_id, fault_kinds),
        12 => transfer_leadership(cluster, machine_id),
        _ => change_group(cluster, fault_kinds),
    }
}

fn start_all(cluster: &mut Cluster) {
    for machine_id in cluster.machine_ids() {
        if cluster.machines[machine_id.0].replica.is_none() {
            cluster.start(machine_id);
        }
    }
}

fn wake_all(cluster: &mut Cluster) {
    for machine_id in cluster.machine_ids() {
        if cluster.machines[machine_id.0].frozen {
            cluster.wake(machine_id);
        }
    }
}

fn all_lose_power(cluster: &mut Cluster, wiped: MachineId, fault_kinds: FaultKinds) {
    for machine_id in cluster.machine_ids() {
        cluster.lose_power(machine_id);
    }
    if fault_kinds == FaultKinds::DiskLoss && is_complete(cluster) {
        cluster.wipe(wiped);
    }
    start_all(cluster);
}

fn transfer_leadership(cluster: &mut Cluster, machine_id: MachineId) {
    if cluster.machines[machine_id.0].is_free() {
        let _ = cluster.call(machine_id, |replica, now| replica.transfer_leadership(now, None));
    }
}

fn change_group(cluster: &mut Cluster, fault_kinds: FaultKinds) {
    match fault_kinds {
        FaultKinds::Basic => {}
        FaultKinds::DiskLoss => {
            let machine_id = random_machine(cluster);
            if is_complete(cluster) {
                cluster.wipe(machine_id);
                cluster.start(machine_id);
            }
        }
        FaultKinds::GroupChanges => {
            let machine_ids: Vec<MachineId> =
                cluster.machine_ids().into_iter().filter(|_| cluster.rng.random_bool(0.6)).collect();
            let voters = cluster.group_of(machine_ids).voters;
            for machine_id in cluster.machine_ids() {
                if cluster.machines[machine_id.0].is_free() {
                    let voters = voters.clone();
                    let _ = cluster.call(machine_id, |replica, now| replica.change_group(now, voters));
                }
            }
        }
    }
}

/// Whether the committed group is not joint and the disks of all its voters exist, so that one may be lost.
fn is_complete(cluster: &Cluster) -> bool {
    let group = cluster.oracle.committed_group();
    !group.is_joint() && group.voters.iter().all(|voter| cluster.machine_of(*voter).is_some())
}

/// Asks the leader to replace the voters whose disks are lost by machines that exist.
fn replace_lost(cluster: &mut Cluster) {
    let Some(leader) = cluster.leader() else { return };
    let Some(group) = cluster.machines[leader.0].replica.as_ref().map(|replica| replica.group().clone())
    else {
        return;
    };
    let is_lost = |voter: &ReplicaId| cluster.machine_of(*voter).is_none();
    if group.is_joint() || !group.voters.iter().any(is_lost) {
        return;
    }
    let mut voters: Vec<ReplicaId> = group.voters.iter().copied().filter(|voter| !is_lost(voter)).collect();
    let spares = cluster.machines.iter().map(|machine| machine.identity);
    let spare = spares.filter(|spare| !group.contains(*spare)).nth(cluster.now.0 as usize % 2);
    voters.extend(spare);
    let _ = cluster.call(leader, |replica, now| replica.change_group(now, voters));
}

/// Ends all faults, and checks that the partition gets a leader and a complete group and commits commands.
fn end_all_faults(cluster: &mut Cluster, fault_kinds: FaultKinds) {
    cluster.reconnect_all_links();
    cluster.network.loss = 0.0;
    cluster.network.long_delay_probability = 0.0;
    start_all(cluster);
    wake_all(cluster);
    if cluster.oracle.collect_violations {
        run_with_clients(cluster, Duration::from_millis(1_500), fault_kinds);
        return;
    }
    let end = cluster.now + Duration::from_millis(10_000);
    while !has_recovered(cluster) {
        assert!(cluster.now < end, "the cluster does not recover after the faults\n{}", cluster.describe());
        run_with_clients(cluster, Duration::from_millis(50), fault_kinds);
    }
    let before = cluster.oracle.last_committed();
    while cluster.oracle.last_committed() == before {
        assert!(cluster.now < end, "nothing is committed\n{}", cluster.describe());
        // The leader rejects commands while it transfers its leadership, so a client tries again.
        let leader = cluster.elect();
        cluster.propose(leader);
        cluster.run(Duration::from_millis(50));
    }
    let leader = cluster.elect();
    let members =
        cluster.machines[leader.0].replica.as_ref().expect("the machine is running").group().voters.clone();
    let machine_ids: Vec<MachineId> =
        members.into_iter().filter_map(|member| cluster.machine_of(member)).collect();
    cluster.settle(&machine_ids, Duration::from_millis(3_000));
}

fn has_recovered(cluster: &Cluster) -> bool {
    let Some(leader) = cluster.leader() else { return false };
    let Some(replica) = cluster.machines[leader.0].replica.as_ref() else { return false };
    let group = replica.group();
    !group.is_joint()
        && replica.pending_change().is_none()
        && group.voters.iter().all(|voter| cluster.machine_of(*voter).is_some())
}
