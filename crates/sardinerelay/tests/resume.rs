//! Tests of the resume token.

use {
    rand::{SeedableRng as _, rngs::StdRng},
    rstest::rstest,
    sardinerelay::resume::{Claim, Error, Sealer, event_id},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
    uuid::Uuid,
};

const LIFETIME: Duration = Duration::from_secs(600);

fn time(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_800_000_000 + seconds)
}

fn claim() -> Claim {
    Claim {
        organisation: "brakeline".into(),
        target: "engine-1".into(),
        address: "10.0.0.1:8000".parse().unwrap(),
        generation: Uuid::from_u128(5),
        model: "bend:segmented".into(),
        issued: time(0),
    }
}

fn sealed(secrets: &[&str]) -> String {
    let sealer = Sealer::new(secrets, LIFETIME).unwrap();
    let mut rng = StdRng::seed_from_u64(1);
    event_id(&sealer.seal(&claim(), &mut rng).unwrap(), 41)
}

// Guards against streams that can't be resumed while secrets are rotated host by host.
#[rstest]
#[case::same(&["new", "old"], &["new", "old"])]
#[case::not_yet_rotated(&["old"], &["new", "old"])]
#[case::sealed_with_new(&["new", "old"], &["old", "new"])]
fn rotated_secrets_open(#[case] seal: &[&str], #[case] open: &[&str]) {
    let opener = Sealer::new(open, LIFETIME).unwrap();
    let position = opener.open(&sealed(seal), "brakeline", time(600)).unwrap();
    assert_eq!((claim(), 41), (position.claim, position.index));
}

// Guards against a stream that another organisation can resume, or that can be resumed with a token
// of a removed secret or of an age beyond its lifetime.
#[rstest]
#[case::organisation(&["a"], "harakeke", 0, Error::WrongOrganisation)]
#[case::secret(&["b"], "brakeline", 0, Error::Undecryptable)]
#[case::age(&["a"], "brakeline", 601, Error::Expired { by: Duration::from_secs(1) })]
fn token_is_refused(
    #[case] secrets: &[&str],
    #[case] organisation: &str,
    #[case] seconds: u64,
    #[case] expected: Error,
) {
    let opener = Sealer::new(secrets, LIFETIME).unwrap();
    let refused = opener.open(&sealed(&["a"]), organisation, time(seconds));
    assert_eq!(Err(expected), refused);
}

// Guards against a token that opens although a byte was changed, and against malformed text that
// causes a panic.
#[test]
fn changed_token_is_refused() {
    let opener = Sealer::new(&["a"], LIFETIME).unwrap();
    let id = sealed(&["a"]);
    for position in 0..id.len() {
        let mut bytes = id.clone().into_bytes();
        bytes[position] = if bytes[position] == b'A' { b'B' } else { b'A' };
        let text = String::from_utf8(bytes).unwrap();
        assert!(
            opener.open(&text, "brakeline", time(0)).is_err(),
            "byte {position}"
        );
    }
    for text in ["", ".", ".1", "AAAA.1", "a", &"A".repeat(9000)] {
        assert!(opener.open(text, "brakeline", time(0)).is_err(), "{text:?}");
    }
    assert_eq!(
        Some(Error::NoSecret),
        Sealer::new::<&str>(&[], LIFETIME).err()
    );
}
