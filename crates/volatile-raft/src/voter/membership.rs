//! Replaces, on the leader, the incarnations of voters that have restarted.

use grebeusher_dispatch::time::{Duration, Instant};
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};

use super::Voter;
use crate::incarnation::Incarnation;
use crate::{Host, StateMachine};

/// A leader waits at least this long between two proposals of membership changes.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(200);

impl<M: StateMachine, H: Host<M>> Voter<M, H> {
    /// If this voter is the leader, proposes to replace the former incarnations of a voter with `incarnation`, which
    /// belongs to no group yet.
    pub(super) fn replace_incarnation(&mut self, now: Instant, incarnation: Incarnation) {
        let Some(group) = self.group.as_mut().filter(|group| group.is_leader()) else { return };
        let members = group.node.store().members();
        let is_too_soon = now.since(group.last_membership_change_at) < MIN_CHANGE_INTERVAL;
        if members.contains(&incarnation.0) || is_too_soon {
            return;
        }
        group.last_membership_change_at = now;
        // raft-rs rejects the proposal while another change is in progress; the next hello of the incarnation retries
        // it.
        let _ = group.node.propose_conf_change(Vec::new(), replacement_change(&members, incarnation));
        self.process_ready(now);
    }
}

/// Returns the membership change that removes all former incarnations of a voter and adds this one.
fn replacement_change(members: &[u64], incarnation: Incarnation) -> ConfChangeV2 {
    let former = members.iter().filter(|member| Incarnation(**member).voter() == incarnation.voter());
    let mut changes: Vec<ConfChangeSingle> =
        former.map(|member| single_change(ConfChangeType::RemoveNode, *member)).collect();
    changes.push(single_change(ConfChangeType::AddNode, incarnation.0));
    let mut change = ConfChangeV2::default();
    change.set_changes(changes.into());
    change
}

fn single_change(change_type: ConfChangeType, member: u64) -> ConfChangeSingle {
    let mut change = ConfChangeSingle::default();
    change.set_change_type(change_type);
    change.node_id = member;
    change
}
