//! How a changed configuration gets to an entry host, without sockets.

use {
    bytes::Bytes,
    proptest::{
        collection::vec,
        prelude::{any, prop_assert, prop_assert_eq, proptest},
        sample::Index,
    },
    rstest::rstest,
    sardinerelay_gateway::{
        distribution::{Download, Error, Fetch, History, MAX_PIECE_BYTES, Piece, Stamp},
        group::Document,
        patch::{self, Patch},
    },
    std::fmt::Write as _,
};

/// A limit of texts that no test reaches.
const ANY_LENGTH: usize = usize::MAX;

fn document(version: u64, body: impl Into<Bytes>) -> Document {
    Document {
        version,
        body: body.into(),
    }
}

/// A text of lines that differ from each other. `changed` is the number of a line that differs in each
/// version.
fn lines(version: u64, count: usize, changed: usize) -> Document {
    let mut text = format!("version {version}\n");
    for number in 0..count {
        let mark = if number == changed { version } else { 0 };
        writeln!(
            text,
            "route {number:07} to service {mark} with a name of its own"
        )
        .expect("text");
    }
    document(version, text)
}

fn history(documents: &[Document]) -> History {
    let mut history = History::default();
    documents.iter().for_each(|document| history.push(document));
    history
}

/// Receives a transfer for a host that holds `held`. Returns the result and the number of bytes.
fn receive(history: &mut History, held: Option<&Document>) -> (Result<Document, Error>, usize) {
    let mut download = None;
    loop {
        let base = held.map(Stamp::of);
        let fetch = Download::request(download.as_ref(), base, MAX_PIECE_BYTES);
        let piece = next_piece(history, &fetch);
        download = Download::add(download, piece);
        let received = download.as_ref().expect("the piece fits");
        if received.is_complete() {
            let bytes = received.total();
            return (received.finish(held.map(|held| &held.body)), bytes);
        }
    }
}

fn next_piece(history: &mut History, fetch: &Fetch) -> Piece {
    let piece = history.piece(fetch).expect("it can be encoded");
    piece.expect("there is a newer configuration")
}

/// Returns the size of the patch that inserts a route of 11 bytes at `position` into a text of about `length`
/// bytes without repetitions, so that each byte of a copy has one source.
fn bytes_of_an_insertion(length: usize, position: usize) -> usize {
    let words = 0..length as u32 / 4;
    let old: Vec<u8> = words
        .flat_map(|word| word.wrapping_mul(0x9e37_79b1).to_le_bytes())
        .collect();
    let mut new = old.clone();
    let position = position.min(new.len());
    new.splice(position..position, *b"a new route");
    let new = Bytes::from(new);
    let patch = Patch::between(&old, &new);
    assert_eq!(patch.apply(&old, ANY_LENGTH), Ok(new));
    patch.bytes()
}

proptest! {
    #[test]
    fn a_patch_makes_the_very_new_text(
        old in vec(any::<u8>(), 0..4_000),
        edits in vec((any::<Index>(), any::<Index>(), vec(any::<u8>(), 0..600)), 0..4),
    ) {
        let mut new = old.clone();
        for (start, end, inserted) in &edits {
            let (start, end) = (start.index(new.len() + 1), end.index(new.len() + 1));
            new.splice(start.min(end)..start.max(end), inserted.iter().copied());
        }
        let new = Bytes::from(new);
        let patch = Patch::between(&old, &new);
        prop_assert_eq!(patch.apply(&old, ANY_LENGTH), Ok(new));
    }

    #[test]
    fn a_patch_is_as_small_as_the_change(length in 20_000_usize..60_000, at in any::<Index>()) {
        let bytes = bytes_of_an_insertion(length, at.index(length));
        prop_assert!(bytes < 3 * 1_024, "{bytes} bytes");
    }

    #[test]
    fn damage_never_yields_another_text(position in any::<Index>(), flipped in 1..=u8::MAX, whole in any::<bool>()) {
        let (old, new) = (lines(1, 200, 50), lines(2, 200, 50));
        let mut history = history(&[old.clone(), new.clone()]);
        let held = (!whole).then_some(&old);
        let fetch = Download::request(None, held.map(Stamp::of), MAX_PIECE_BYTES);
        let mut piece = next_piece(&mut history, &fetch);
        let mut bytes = piece.bytes.0.to_vec();
        let position = position.index(bytes.len());
        bytes[position] ^= flipped;
        piece.bytes.0 = bytes.into();
        let download = Download::add(None, piece).expect("the piece fits");
        if let Ok(result) = download.finish(held.map(|held| &held.body)) {
            prop_assert_eq!(result, new);
        }
    }
}

// 12 boundaries of chunks move behind the first position. Behind the last one, none follows that both texts share.
#[rstest]
#[case::far_from_the_next_common_boundary(40_708, 22_155)]
#[case::at_the_start(40_708, 0)]
#[case::near_the_end(40_708, 40_600)]
#[case::at_the_end(40_708, 40_708)]
fn a_patch_inserts_only_what_is_new(#[case] length: usize, #[case] position: usize) {
    let bytes = bytes_of_an_insertion(length, position);
    assert!(bytes < 64, "{bytes} bytes for an insertion of 11");
}

#[rstest]
#[case::without_a_configuration(None)]
#[case::with_the_version_before(Some(2))]
#[case::with_an_earlier_version(Some(1))]
#[case::with_a_version_that_is_not_known(Some(7))]
fn a_host_receives_the_newest_text(#[case] held: Option<u64>) {
    let documents = [lines(1, 500, 3), lines(2, 500, 400), lines(9, 400, 3)];
    let mut history = history(&documents);
    let held = held.map(|version| lines(version, 500, if version == 2 { 400 } else { 3 }));
    let (received, _) = receive(&mut history, held.as_ref());
    assert_eq!(received.expect("a text"), documents[2]);
}

#[test]
fn a_host_that_was_away_for_100_versions_receives_all_routes() {
    let documents: Vec<Document> = (1..=101).map(|version| lines(version, 5_000, 70)).collect();
    let mut history = history(&documents);
    let (received, bytes) = receive(&mut history, Some(&documents[0]));
    assert_eq!(received.expect("a text"), documents[100]);
    assert!(
        bytes < 29_000,
        "{bytes} bytes are more than control may send in a second"
    );
}

#[test]
fn a_host_with_another_text_of_the_version_gets_patches_for_a_text_it_lacks() {
    let mut history = history(&[lines(1, 500, 3), lines(2, 500, 3)]);
    let (received, _) = receive(&mut history, Some(&lines(1, 500, 499)));
    assert_eq!(received.expect("a text"), lines(2, 500, 3));
}

#[test]
fn a_host_with_the_newest_version_gets_nothing() {
    let mut history = history(&[lines(1, 10, 0), lines(2, 10, 0)]);
    let fetch = Download::request(None, Some(Stamp::of(&lines(2, 10, 0))), MAX_PIECE_BYTES);
    assert_eq!(history.piece(&fetch).expect("no error"), None);
}

#[test]
fn a_transfer_that_another_host_continues_begins_again() {
    let documents = [lines(1, 5_000, 3), lines(2, 9_000, 3)];
    let (mut first, mut second) = (history(&documents), history(&documents));
    let base = Some(Stamp::of(&documents[0]));
    let piece = next_piece(&mut first, &Download::request(None, base, 1_000));
    let download = Download::add(None, piece).expect("the first piece");
    assert!(!download.is_complete());
    // The second host has not sent this transfer to anybody, so it first has to encode it.
    let fetch = Download::request(Some(&download), base, MAX_PIECE_BYTES);
    let piece = next_piece(&mut second, &fetch);
    assert_eq!(piece.offset, 1_000, "the second host sends what is missing");
}

#[test]
fn a_transfer_that_a_newer_version_overtakes_never_ends() {
    let mut documents = vec![lines(1, 5_000, 3), lines(2, 9_000, 3)];
    let mut history = history(&documents);
    let base = Some(Stamp::of(&documents[0]));
    let mut download = None;
    for version in 3..20 {
        let fetch = Download::request(download.as_ref(), base, 4_096);
        download = Download::add(download, next_piece(&mut history, &fetch));
        if download.as_ref().is_some_and(Download::is_complete) {
            break;
        }
        documents.push(lines(version, 9_000, 3));
        history.push(&documents[documents.len() - 1]);
    }
    let download = download.expect("a transfer");
    assert!(download.is_complete(), "a transfer that was begun goes on");
    let received = download.finish(Some(&documents[0].body)).expect("a text");
    assert_eq!(received, documents[1]);
}

#[rstest]
#[case::out_of_order(1)]
#[case::twice(0)]
fn a_lost_or_repeated_piece_makes_a_text_that_nobody_sent(#[case] next: usize) {
    let mut history = history(&[lines(1, 9_000, 3)]);
    let request = |offset, transfer| Fetch {
        base: None,
        transfer,
        offset,
        max_bytes: 1_000,
    };
    let first = next_piece(&mut history, &request(0, None));
    let transfer = Some(first.transfer);
    let download = Download::add(None, first).expect("the first piece");
    let wrong = next_piece(&mut history, &request(next * 2_000, transfer));
    let download = Download::add(Some(download), wrong);
    // The piece at the start begins the transfer anew, another one ends it.
    assert_eq!(download.is_some(), next == 0);
}

#[test]
fn a_patch_for_another_text_is_applied() {
    let old = lines(1, 100, 3).body;
    let patch = Patch::between(&old, &lines(2, 100, 3).body);
    let error = patch
        .apply(&old[..200], ANY_LENGTH)
        .expect_err("the text is too short");
    assert!(matches!(error, patch::Error::OutOfRange { .. }), "{error}");
    let error = patch.apply(&old, 300).expect_err("the result is too long");
    assert_eq!(error, patch::Error::TooLong(300));
}
