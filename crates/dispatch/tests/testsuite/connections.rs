//! Tests of the decisions on connections, under clients that stop short of an end and stay.

use std::time::Duration;

use cowslipwing_dispatch::{
    ConnectionId, ConnectionLimits, ConnectionPhase, ConnectionTable, Room,
};
use cowslipwing_types::ByteSize;
use quickcheck::quickcheck;

use crate::support::ms;

const MIB: u64 = 1 << 20;
const HEAD_BYTES: u64 = 16 << 10;
/// Memory that an open connection counts for, with a head.
const CONNECTION_BYTES: u64 = 64 << 10;
/// Size of a body, the limit of the platform's configuration.
const BODY_BYTES: u64 = 256 << 10;
const PIECE_BYTES: u64 = 4 << 10;

fn limits() -> ConnectionLimits {
    ConnectionLimits {
        connections: 256,
        memory: ByteSize::new(32 * MIB),
        connection_memory: ByteSize::new(CONNECTION_BYTES - HEAD_BYTES),
        head: ByteSize::new(HEAD_BYTES),
        header_timeout: ms(3000),
        idle_timeout: ms(15_000),
        min_rate: ByteSize::new(1 << 10),
    }
}

/// Opens a connection and returns it with those that make room.
fn open(table: &mut ConnectionTable, now: Duration) -> Option<(ConnectionId, Vec<ConnectionId>)> {
    match table.open(now) {
        Room::Granted(id, closed) => Some((id, closed.iter().map(|closed| closed.id).collect())),
        Room::Refused => None,
    }
}

/// Opens a connection in a phase, without the need of room.
fn connect(table: &mut ConnectionTable, now: Duration, phase: ConnectionPhase) -> ConnectionId {
    let (id, closed) = open(table, now).expect("there is room");
    assert_eq!(closed, []);
    table.set_phase(now, id, phase);
    id
}

/// Receives a part of a body; returns whether the connection may keep it.
fn receive(table: &mut ConnectionTable, now: Duration, id: ConnectionId, bytes: u64) -> bool {
    table.on_progress(now, id, bytes as usize);
    matches!(table.reserve(now, id, ByteSize::new(bytes)), Room::Granted(..))
}

/// The load of the incident: 600 bodies that arrive piece by piece, side by side, and stop short.
#[test]
fn an_ordinary_request_gets_in_beside_bodies_that_stop_short() {
    let mut table = ConnectionTable::new(limits());
    let mut now = ms(0);
    let mut crowd = Vec::new();
    for _ in 0..600 {
        crowd.extend(open(&mut table, now).map(|(id, _)| id));
        let id = crowd[crowd.len() - 1];
        table.set_phase(now, id, ConnectionPhase::Body);
    }
    for _ in 0..BODY_BYTES / PIECE_BYTES {
        for id in &crowd {
            receive(&mut table, now, *id, PIECE_BYTES);
            assert!(table.usage().memory <= limits().memory);
        }
        now += ms(5);
    }
    assert!(table.usage().memory.bytes() > 31 * MIB, "the crowd takes up the memory");
    assert_eq!(table.usage().connections, limits().connections, "and all connections");
    for wait in [ms(0), ms(2000)] {
        now += wait;
        let (id, closed) = open(&mut table, now).expect("there is room for a request");
        assert_eq!(closed.len(), 1);
        table.set_phase(now, id, ConnectionPhase::Body);
        assert!(receive(&mut table, now, id, PIECE_BYTES));
        table.set_phase(now, id, ConnectionPhase::Serving);
        assert!(table.usage().memory <= limits().memory);
    }
}

#[test]
fn the_connection_furthest_from_an_answer_makes_room() {
    struct Case {
        name: &'static str,
        /// Phases and held bytes of the connections, opened one second after another.
        connections: &'static [(ConnectionPhase, u64)],
        /// Those with progress just now.
        active: &'static [usize],
        closed: Option<usize>,
    }
    use ConnectionPhase::{Answer, Body, Closing, Head, Idle, Serving, Stream};
    let cases = [
        Case {
            name: "a stalled request before an idle connection",
            connections: &[(Idle, 0), (Body, 9000)],
            active: &[],
            closed: Some(1),
        },
        Case {
            name: "the longest stall first",
            connections: &[(Head, 0), (Body, 90_000), (Answer, 0)],
            active: &[],
            closed: Some(0),
        },
        Case {
            name: "an idle connection before a request with progress",
            connections: &[(Body, 90_000), (Idle, 0)],
            active: &[0],
            closed: Some(1),
        },
        Case {
            name: "the largest request with progress",
            connections: &[(Body, 9000), (Body, 90_000), (Body, 10_000)],
            active: &[0, 1, 2],
            closed: Some(1),
        },
        Case {
            name: "one that is being closed before all others",
            connections: &[(Body, 9000), (Idle, 0), (Closing, 0)],
            active: &[],
            closed: Some(2),
        },
        Case {
            name: "none that is served",
            connections: &[(Serving, 90_000), (Serving, 0)],
            active: &[],
            closed: None,
        },
        Case {
            name: "a peer with an unfinished message before a silent one",
            connections: &[(Stream, 0), (Stream, 90_000)],
            active: &[],
            closed: Some(1),
        },
        Case {
            name: "the peer that is silent for the longest time",
            connections: &[(Stream, 0), (Stream, 0), (Stream, 0)],
            active: &[0],
            closed: Some(1),
        },
        Case {
            name: "no peer that is in touch",
            connections: &[(Stream, 4096), (Stream, 8192)],
            active: &[0, 1],
            closed: None,
        },
        Case {
            name: "a peer without a call before one in touch",
            connections: &[(Stream, 0), (Idle, 0)],
            active: &[0],
            closed: Some(1),
        },
    ];
    for case in cases {
        let mut table = ConnectionTable::new(ConnectionLimits {
            connections: case.connections.len(),
            ..limits()
        });
        let mut now = ms(0);
        let mut ids = Vec::new();
        for (phase, bytes) in case.connections {
            now += ms(1000);
            let id = connect(&mut table, now, *phase);
            assert!(matches!(table.reserve(now, id, ByteSize::new(*bytes)), Room::Granted(..)));
            ids.push(id);
        }
        now += ms(2000);
        for index in case.active {
            table.on_progress(now, ids[*index], 1 << 20);
        }
        let closed = open(&mut table, now).map(|(_, closed)| closed);
        assert_eq!(closed, case.closed.map(|index| vec![ids[index]]), "{}", case.name);
    }
}

#[test]
fn a_slow_request_keeps_its_place_while_there_is_room() {
    let mut table = ConnectionTable::new(limits());
    let slow = connect(&mut table, ms(0), ConnectionPhase::Body);
    let mut now = ms(0);
    // A byte each 10 s is far below the minimum rate.
    for _ in 0..30 {
        now += ms(10_000);
        assert!(receive(&mut table, now, slow, 1));
        assert_eq!(table.take_expired(now), []);
    }
    assert_eq!(table.phase(slow), Some(ConnectionPhase::Body));
}

#[test]
fn connections_without_progress_are_closed() {
    struct Case {
        phase: ConnectionPhase,
        /// Time from which on it is closed, with a byte of progress at 2 s.
        expires_ms: Option<u64>,
    }
    let cases = [
        Case { phase: ConnectionPhase::Head, expires_ms: Some(3000) },
        Case { phase: ConnectionPhase::Body, expires_ms: Some(17_000) },
        Case { phase: ConnectionPhase::Answer, expires_ms: Some(17_000) },
        Case { phase: ConnectionPhase::Closing, expires_ms: Some(1000) },
        Case { phase: ConnectionPhase::Serving, expires_ms: None },
        Case { phase: ConnectionPhase::Stream, expires_ms: None },
    ];
    for case in cases {
        let mut table = ConnectionTable::new(limits());
        let id = connect(&mut table, ms(0), case.phase);
        table.on_progress(ms(2000), id, 1);
        let expired = case.expires_ms.map(|expires_ms| {
            assert_eq!(table.take_expired(ms(expires_ms - 1)), [], "{:?}", case.phase);
            table.take_expired(ms(expires_ms)).len()
        });
        assert_eq!(expired, case.expires_ms.map(|_| 1), "{:?}", case.phase);
        assert_eq!(table.take_expired(ms(100_000)), [], "{:?}", case.phase);
    }
    let mut table = ConnectionTable::new(limits());
    open(&mut table, ms(0)).expect("there is room");
    assert_eq!(table.take_expired(ms(14_999)), []);
    assert_eq!(table.take_expired(ms(15_000)).len(), 1);
}

/// A connection that has just been accepted holds no request yet, while bodies grow beside it.
#[test]
fn a_new_connection_is_not_closed_for_a_growing_body() {
    let limits = ConnectionLimits { memory: ByteSize::new(MIB), ..limits() };
    let mut table = ConnectionTable::new(limits);
    let large = connect(&mut table, ms(0), ConnectionPhase::Body);
    assert!(receive(&mut table, ms(0), large, MIB - 2 * CONNECTION_BYTES));
    let (new, closed) = open(&mut table, ms(1)).expect("there is room");
    assert_eq!(closed, []);
    assert!(!receive(&mut table, ms(2), large, PIECE_BYTES));
    table.set_phase(ms(3), new, ConnectionPhase::Serving);
    assert_eq!(table.phase(new), Some(ConnectionPhase::Serving));
}

#[test]
fn a_configuration_with_a_huge_head_leaves_room_for_connections() {
    let mut table = ConnectionTable::new(limits());
    table.set_request_limits(ByteSize::new(1 << 30), ms(3000), ms(15_000));
    for _ in 0..64 {
        connect(&mut table, ms(0), ConnectionPhase::Serving);
    }
    assert!(table.limits().head.bytes() >= HEAD_BYTES);
}

/// Another entry forwards jobs, each of which is a call until its answer.
#[test]
fn a_peer_with_many_calls_keeps_its_place() {
    let call = ByteSize::new(4096);
    let mut table = ConnectionTable::new(ConnectionLimits { connections: 1, ..limits() });
    let peer = connect(&mut table, ms(0), ConnectionPhase::Stream);
    for _ in 0..200 {
        assert!(matches!(table.reserve_call(ms(0), peer, call), Room::Granted(..)));
    }
    assert!(open(&mut table, ms(500)).is_none(), "the peer is in touch");
    assert!(matches!(table.reserve(ms(500), peer, ByteSize::new(MIB)), Room::Granted(..)));
    let closed = open(&mut table, ms(500)).map(|(_, closed)| closed);
    assert_eq!(closed, Some(vec![peer]), "it holds a large message");
}

#[test]
fn a_request_does_not_take_the_room_of_smaller_ones() {
    let mut table =
        ConnectionTable::new(ConnectionLimits { memory: ByteSize::new(MIB), ..limits() });
    let small = connect(&mut table, ms(0), ConnectionPhase::Body);
    let large = connect(&mut table, ms(0), ConnectionPhase::Body);
    assert!(receive(&mut table, ms(1), large, MIB - 2 * CONNECTION_BYTES));
    assert!(receive(&mut table, ms(2), small, PIECE_BYTES), "the large one makes room");
    assert_eq!(table.phase(large), None);
    let large = connect(&mut table, ms(2), ConnectionPhase::Body);
    let rest = MIB - 2 * CONNECTION_BYTES - PIECE_BYTES;
    assert!(receive(&mut table, ms(3), large, rest));
    assert!(!receive(&mut table, ms(3), large, 1), "the small one keeps its place");
    assert_eq!(table.phase(small), Some(ConnectionPhase::Body));
}

quickcheck! {
    /// Sums stay within the limits, and nothing is left of what was closed, in any order of events.
    fn sums_stay_within_the_limits(events: Vec<(u8, u8, u32)>) -> bool {
        let limits = ConnectionLimits {
            connections: 8,
            memory: ByteSize::new(MIB),
            ..limits()
        };
        let mut table = ConnectionTable::new(limits);
        let mut ids: Vec<ConnectionId> = Vec::new();
        let mut now = Duration::ZERO;
        for (kind, pick, amount) in events {
            now += ms(u64::from(pick) * 10);
            let picked = (!ids.is_empty()).then(|| ids[usize::from(pick) % ids.len()]);
            let size = ByteSize::new(u64::from(amount % 300_000));
            match (kind % 6, picked) {
                (0, _) | (_, None) => ids.extend(open(&mut table, now).map(|(id, _)| id)),
                (1, Some(id)) => drop(table.reserve(now, id, size)),
                (2, Some(id)) => table.release(id, size),
                (3, Some(id)) => table.on_progress(now, id, 100),
                (4, Some(id)) => table.set_phase(now, id, ConnectionPhase::Body),
                (_, Some(id)) => table.on_closed(id),
            }
            let usage = table.usage();
            if usage.connections > limits.connections || usage.memory > limits.memory {
                return false;
            }
        }
        for id in ids {
            table.on_closed(id);
        }
        table.usage().connections == 0 && table.usage().memory == ByteSize::new(0)
    }
}
