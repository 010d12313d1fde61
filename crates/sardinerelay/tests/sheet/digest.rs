//! Digest of a sheet, and differences between two sheets.

use {
    super::{BRAKELINE, SMALL},
    sardinerelay::{
        operator::{CheckReport, Digest},
        sheet,
    },
};

/// Guards against a digest that depends on formatting or ignores a value, and against a change of
/// its encoding, which would make hosts of different releases disagree.
#[test]
fn digest_depends_on_content_only() {
    let digest = |text: &str| Digest(sheet::parse(text).unwrap().digest());
    let original = digest(BRAKELINE);
    let sheet = sheet::parse(BRAKELINE).unwrap();
    assert_eq!(digest(&sheet.to_toml()), original);
    let mut reversed = sheet.clone();
    reversed.classes.reverse();
    reversed.targets.reverse();
    reversed.models.reverse();
    reversed
        .models
        .iter_mut()
        .for_each(|model| model.targets.reverse());
    reversed.organisations.reverse();
    assert_eq!(Digest(reversed.digest()), original);
    reversed.organisations[5].classes.reverse();
    assert_ne!(
        Digest(reversed.digest()),
        original,
        "the first class is the default"
    );
    let spaced = SMALL
        .replace(" = ", "=")
        .replace("number=7", "number=0x7 # seven\r");
    let stated = spaced.replace(
        "name=\"s1\"",
        "checks_fencing=false\nmemory_tokens=0\nname=\"s1\"",
    );
    assert_eq!(digest(&stated), digest(SMALL));
    assert_eq!(
        digest(SMALL).to_string(),
        "279cf05c9ebc288e4ce4f17faa21e0880b79b6de6c9eeef6a567f129552d52f9"
    );
}

/// Guards against differences that are missing, or named by positions, which shift.
#[test]
fn differences_are_listed_by_name() {
    let new = SMALL
        .replace("number = 7", "number = 8")
        .replace("[\"e1\"]", "[\"e2\"]")
        .replace("name = \"e1\"", "name = \"e2\"")
        .replace("memory_tokens = 1000", "memory_tokens = 2000")
        .replace("tokens_per_minute = 1000", "tokens_per_minute = 5")
        .replace("[\"GET\"]", "[]");
    let changes = sheet::diff(&sheet::parse(SMALL).unwrap(), &sheet::parse(&new).unwrap());
    let lines: Vec<_> = changes.iter().map(ToString::to_string).collect();
    let expected = [
        "~ number: 7 -> 8",
        "- target \"e1\"",
        "+ target \"e2\"",
        "- model \"bend\".targets: \"e1\"",
        "+ model \"bend\".targets: \"e2\"",
        "- service \"shop\".repeatable: \"GET\"",
        "~ organisation \"erie\".tokens_per_minute: 1000 -> 5",
    ];
    assert_eq!(lines, expected);
    let old = sheet::parse(BRAKELINE).unwrap();
    assert_eq!(
        sheet::diff(&old, &sheet::parse(&old.to_toml()).unwrap()),
        Vec::new()
    );
    assert!(CheckReport::new(SMALL, None).changes.len() > 5);
}
