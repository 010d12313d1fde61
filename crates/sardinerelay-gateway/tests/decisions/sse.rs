//! Splitting of event streams into events.

use sardinerelay_gateway::sse::Splitter;

/// ID and bytes of an event.
type Split = (Option<u64>, Vec<u8>);

/// Splits a stream that arrives in these chunks. Returns the events and whether no bytes are left.
fn split(chunks: &[&[u8]]) -> (Vec<Split>, bool) {
    let mut splitter = Splitter::default();
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
    let mut splitter = Splitter::default();
    let chunk = vec![b'x'; 1 << 19];
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.push(&chunk).is_err());
}
