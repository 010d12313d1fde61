//! Splitting of event streams into events.

use sardinerelay_gateway::{body::Memory, sse::Splitter};

/// Memory for the longest event and more.
const MEMORY_BYTES: usize = 4 << 20;

/// ID and bytes of an event.
type Split = (Option<u64>, Vec<u8>);

/// Splits a stream that arrives in these chunks. Returns the events and whether no bytes are left.
fn split(chunks: &[&[u8]]) -> (Vec<Split>, bool) {
    let mut splitter = Splitter::new(&Memory::new(MEMORY_BYTES));
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk).expect("short events");
        while let Some(event) = splitter.next_event() {
            events.push((event.id, event.bytes.to_vec()));
        }
    }
    (events, splitter.is_empty())
}

const STREAM: &[u8] = b"id: 1\ndata: a\n\nversion: 2\nid: 2\ndata: b\n\nid:3\r\ndata: c\r\n\r\n";

#[test]
fn events_are_whole_however_the_bytes_arrive() {
    let (expected, _) = split(&[STREAM]);
    let ids: Vec<_> = expected.iter().map(|(id, _)| *id).collect();
    assert_eq!(ids, [Some(1), Some(2), Some(3)]);
    for cut in 1..STREAM.len() {
        let (events, empty) = split(&[&STREAM[..cut], &STREAM[cut..]]);
        assert_eq!(events, expected, "cut at {cut}");
        assert!(empty);
    }
    let bytes: Vec<&[u8]> = STREAM.chunks(1).collect();
    assert_eq!(split(&bytes).0, expected);
}

#[test]
fn an_incomplete_event_is_not_returned() {
    let (events, empty) = split(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(!empty);
}

#[test]
fn an_event_that_is_too_long_is_refused() {
    let mut splitter = Splitter::new(&Memory::new(MEMORY_BYTES));
    let chunk = vec![b'x'; 1 << 19];
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.push(&chunk).is_err());
}

/// Guards against long events of many streams that take all memory of a host.
#[test]
fn long_events_share_their_memory() {
    let memory = Memory::new(1 << 20);
    let long = vec![b'x'; 600 << 10];
    let mut first = Splitter::new(&memory);
    assert!(first.push(&long).is_ok());
    let mut second = Splitter::new(&memory);
    assert!(second.push(&long).is_err());
    assert!(
        second.push(b"id: 1\n\n").is_ok(),
        "ordinary events need none"
    );
    drop(first);
    let mut third = Splitter::new(&memory);
    assert!(third.push(&long).is_ok());
}
