//! The index of partition leaders, by the announcements that a node receives.

use grebeusher_registry::{
    Class, Losses, Member, MemberState, Message, NodeMetadata, Register, Registry, Settings, Timings,
};
use grebeusher_tier::control::leader_index::{LeaderIndex, LedPartition, LedPartitions};
use grebeusher_time::Instant;
use nanoserde::SerBin;
use std::net::{Ipv4Addr, SocketAddrV4};

const NOW: Instant = Instant(1_000_000_000);

fn member(name: &str, host: u8) -> Member {
    Member {
        name: name.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 7_660),
        incarnation: 5,
        status_version: 0,
        class: Class::Storage,
        zone: "z".to_owned(),
        control: None,
        replica: None,
        bootstrap: true,
        state: MemberState::Alive,
    }
}

fn payload(partitions: &[(u8, u64)]) -> Vec<u8> {
    let partitions = partitions.iter().map(|&(partition, term)| LedPartition { partition, term }).collect();
    SerBin::serialize_bin(&LedPartitions { partitions })
}

fn receive(registry: &mut Registry, register: Register) {
    registry.receive(NOW, member("b", 2).address, Message::Registers(vec![register]));
}

fn announcement_of_b(incarnation: u64, counter: u64, partitions: &[(u8, u64)]) -> Register {
    Register::NodeMetadata(NodeMetadata {
        node: "b".to_owned(),
        incarnation,
        counter,
        payload: payload(partitions),
    })
}

#[test]
fn the_leader_is_the_living_node_with_the_highest_term_at_each_moment() {
    // given a registry with one node, which then leads partition 1
    let settings = Settings {
        member: member("a", 1),
        seeds: Vec::new(),
        timings: Timings::default(),
        losses: Losses::default(),
    };
    let (mut registry, index) = (Registry::new(settings, 1, NOW), LeaderIndex::default());
    let (a, b) = (member("a", 1).address, member("b", 2).address);
    assert_eq!(index.leader(&registry, 1), None);
    assert!(registry.set_metadata(NOW, payload(&[(1, 3)])).is_ok());
    assert_eq!(index.leader(&registry, 1), Some(a));
    // when another node joins and announces partition 1 with a higher term, then it is the leader
    receive(&mut registry, Register::Member(member("b", 2)));
    assert_eq!(index.leader(&registry, 1), Some(a));
    receive(&mut registry, announcement_of_b(5, 1, &[(1, 4), (2, 9)]));
    assert_eq!([1, 2, 3].map(|partition| index.leader(&registry, partition)), [Some(b), Some(b), None]);
    // when it hands partition 1 over, then the first node is the leader again
    receive(&mut registry, announcement_of_b(5, 2, &[(2, 9)]));
    assert_eq!([1, 2].map(|partition| index.leader(&registry, partition)), [Some(a), Some(b)]);
    // when it leaves, or restarts with a new incarnation, then its earlier announcements are ignored
    receive(&mut registry, Register::Member(Member { state: MemberState::Left, ..member("b", 2) }));
    assert_eq!(index.leader(&registry, 2), None);
    receive(&mut registry, Register::Member(Member { incarnation: 6, ..member("b", 2) }));
    assert_eq!(index.leader(&registry, 2), None);
    receive(&mut registry, announcement_of_b(6, 1, &[(2, 10)]));
    assert_eq!(index.leader(&registry, 2), Some(b));
}
