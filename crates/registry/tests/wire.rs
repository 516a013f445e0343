//! Messages: their binary encoding, and the rejection of invalid bytes.

use grebeusher_registry::{
    Class, DecodeError, Executor, ExecutorState, Heartbeat, HeartbeatReport, Losses, MAX_MESSAGE, Member,
    MemberState, Message, Model, NodeId, NodeMetadata, Register, Registry, Relay, Settings, Summary, Timings,
};
use grebeusher_time::Instant;
use nanoserde::{DeBin, SerBin};
use proptest::prelude::*;
use std::net::{Ipv4Addr, SocketAddrV4};

fn addresses() -> impl Strategy<Value = SocketAddrV4> {
    (any::<u32>(), any::<u16>()).prop_map(|(ip, port)| SocketAddrV4::new(Ipv4Addr::from(ip), port))
}

fn members() -> impl Strategy<Value = Member> {
    let states = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Dead),
        Just(MemberState::Leaving),
        Just(MemberState::Left)
    ];
    let classes = prop_oneof![Just(Class::Edge), Just(Class::Storage)];
    let numbers = (any::<u64>(), 0..4_u64, any::<Option<u64>>(), any::<bool>());
    ("[a-c]{1,2}", addresses(), numbers, classes, "[a-z]{0,12}", proptest::option::of(addresses()), states)
        .prop_map(
            |(
                name,
                address,
                (incarnation, status_version, replica, bootstrap),
                class,
                zone,
                control,
                state,
            )| Member {
                name,
                address,
                incarnation,
                status_version,
                class,
                zone,
                control,
                replica,
                bootstrap,
                state,
            },
        )
}

fn executors() -> impl Strategy<Value = Executor> {
    let states =
        prop_oneof![Just(ExecutorState::Up), Just(ExecutorState::Draining), Just(ExecutorState::Gone)];
    let models = proptest::collection::vec(
        ("[a-z]{0,9}", any::<u64>()).prop_map(|(name, config_version)| Model { name, config_version }),
        0..4,
    );
    let numbers = (any::<u32>(), any::<u64>(), 0..6_u64, any::<bool>());
    ("i-[0-3]", "[a-z]{0,9}", addresses(), "[a-z]{0,9}", numbers, states, models, "[a-c]{1,2}").prop_map(
        |(
            id,
            service,
            address,
            zone,
            (slot_count, cold_left_ms, call_seq, unresponsive),
            state,
            models,
            reporter,
        )| Executor {
            report: HeartbeatReport {
                id,
                service,
                address,
                zone,
                slot_count,
                config_version: "v1".to_owned(),
                pipeline_stage: "both".to_owned(),
                state,
                cold_left_ms,
                call_seq,
                models,
            },
            reporter,
            unresponsive,
        },
    )
}

fn registers() -> impl Strategy<Value = Register> {
    let node_metadata =
        ("[a-c]{1,2}", any::<u64>(), any::<u64>(), proptest::collection::vec(any::<u8>(), 0..512)).prop_map(
            |(node, incarnation, counter, payload)| NodeMetadata { node, incarnation, counter, payload },
        );
    prop_oneof![
        members().prop_map(Register::Member),
        executors().prop_map(Register::Executor),
        node_metadata.prop_map(Register::NodeMetadata)
    ]
}

fn messages() -> impl Strategy<Value = Message> {
    let registers = || proptest::collection::vec(registers(), 0..6);
    let nodes = || any::<u64>().prop_map(NodeId);
    let heartbeat = (nodes(), any::<u64>(), any::<u64>(), any::<u64>(), any::<u64>(), any::<bool>())
        .prop_map(|(node, incarnation, status_version, digest, configuration_version, answer)| Heartbeat {
            node,
            incarnation,
            status_version,
            digest,
            configuration_version,
            answer,
        });
    let relay = (nodes(), any::<u64>(), any::<u64>(), any::<bool>(), registers()).prop_map(
        |(origin, incarnation, sequence, confirm, registers)| Relay {
            origin,
            incarnation,
            sequence,
            confirm,
            registers,
        },
    );
    let summaries = proptest::collection::vec(
        (any::<u64>(), any::<u64>()).prop_map(|(key, version)| Summary { key, version }),
        0..9,
    );
    prop_oneof![
        members().prop_map(Message::Join),
        proptest::collection::vec(members(), 0..6).prop_map(Message::Welcome),
        heartbeat.prop_map(Message::Heartbeat),
        proptest::option::of(nodes()).prop_map(|asker| Message::Ping { asker }),
        nodes().prop_map(Message::PingFor),
        (nodes(), proptest::option::of(nodes()))
            .prop_map(|(subject, asker)| Message::Pong { subject, asker }),
        relay.prop_map(Message::Relay),
        (any::<u64>(), any::<u64>())
            .prop_map(|(incarnation, sequence)| Message::Confirm { incarnation, sequence }),
        proptest::collection::vec(any::<u64>(), 64..=64).prop_map(Message::Buckets),
        (any::<u64>(), summaries).prop_map(|(complete, entries)| Message::Summaries { complete, entries }),
        proptest::collection::vec(any::<u64>(), 0..9).prop_map(Message::Want),
        registers().prop_map(Message::Registers),
    ]
}

fn registry() -> Registry {
    let member = Member {
        name: "a".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7_660),
        incarnation: 5,
        status_version: 0,
        class: Class::Edge,
        zone: "z".to_owned(),
        control: None,
        replica: None,
        bootstrap: true,
        state: MemberState::Alive,
    };
    let settings =
        Settings { member, seeds: Vec::new(), timings: Timings::default(), losses: Losses::default() };
    Registry::new(settings, 1, Instant(1_000_000_000))
}

proptest! {
    #[test]
    fn messages_round_trip(message in messages()) {
        prop_assert_eq!(Message::decode(&message.encode()).expect("a message"), message.clone());
        let mut bytes = message.serialize_bin();
        bytes.extend_from_slice(&message.serialize_bin());
        let mut offset = 0;
        prop_assert_eq!(Message::de_bin(&mut offset, &bytes).expect("a message"), message.clone());
        prop_assert_eq!(Message::de_bin(&mut offset, &bytes).expect("a message"), message);
        prop_assert_eq!(offset, bytes.len());
    }

    #[test]
    fn arbitrary_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        if let Ok(message) = Message::decode(&bytes) {
            prop_assert_eq!(message.encode(), bytes);
        }
    }

    #[test]
    fn a_message_cut_short_or_changed_never_panics(
        message in messages(), at in any::<prop::sample::Index>(), bits in 1..=255_u8,
    ) {
        let mut bytes = message.encode();
        let position = at.index(bytes.len());
        prop_assert!(Message::decode(&bytes[..position]).is_err());
        bytes[position] ^= bits;
        let _ = Message::decode(&bytes);
        let _ = Message::deserialize_bin(&bytes);
    }

    /// Whatever messages arrive, from any sender and in any order: the registry does not panic and its messages keep
    /// their size limit.
    #[test]
    fn any_message_sequence_is_accepted(
        messages in proptest::collection::vec((messages(), 0..4_u8, 0..900_u64), 0..80),
    ) {
        let mut registry = registry();
        let mut now = Instant(1_000_000_000);
        for (message, from, wait) in messages {
            now = Instant(now.0 + wait * 1_000_000);
            let from = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, from + 1), 7_660);
            registry.receive(now, from, message);
            registry.tick(now);
            registry.take_completed_calls(now);
            for (_, message) in registry.take_output().messages {
                prop_assert!(message.encode().len() <= MAX_MESSAGE);
            }
            prop_assert!(registry.next_wake() > now);
        }
        prop_assert!(registry.own_member().serves());
    }

    /// Two nodes that receive the same registers in different orders have the same state.
    #[test]
    fn registers_merge_in_any_order(
        registers in proptest::collection::vec(executors(), 1..12), order in any::<u64>(),
    ) {
        use rand::{SeedableRng, seq::SliceRandom};
        let mut shuffled = registers.clone();
        shuffled.shuffle(&mut rand_pcg::Pcg64Mcg::seed_from_u64(order));
        let merge_all = |registers: Vec<Executor>| -> Vec<Executor> {
            let mut registry = registry();
            let from = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 2), 7_660);
            for mut executor in registers {
                // The reporter is another node, because a node prefers its own observations of executors that it
                // reports.
                executor.reporter = "b".to_owned();
                let message = Message::Registers(vec![Register::Executor(executor)]);
                registry.receive(Instant(1_000_000_000), from, message);
            }
            registry.executors().cloned().collect()
        };
        prop_assert_eq!(merge_all(registers), merge_all(shuffled));
    }
}

#[test]
fn oversized_length_prefixes_are_rejected() {
    // The message claims a list of 65,535 registers in a few bytes.
    assert_eq!(
        Message::decode(&[11, 255, 255, 0]).err().map(|error| error.to_string().contains("65535")),
        Some(true)
    );
    assert_eq!(Message::decode(&[8, 64, 0, 1]), Err(DecodeError::Truncated));
    assert!(matches!(Message::decode(&vec![0; MAX_MESSAGE + 1]), Err(DecodeError::TooLong { .. })));
    assert_eq!(Message::decode(&[99]), Err(DecodeError::UnknownVariant { what: "a message", tag: 99 }));
    assert!(Message::deserialize_bin(&[255, 255, 255, 255, 1]).is_err());
}
