//! Property tests with hostile and random sheets. Proptest prints the input and seed of a failure.

use {
    proptest::prelude::*,
    sardinerelay::sheet::{self, Account, Deployment, RequestClass, Server, Sheet},
};

const BRAKELINE: &str = include_str!("../../../examples/brakeline.toml");

/// Tokens that random files are made of, so that some of them get past the TOML parser.
const TOKENS: [&str; 24] = [
    "number",
    "class",
    "target",
    "model",
    "service",
    "organisation",
    "name",
    "targets",
    "path",
    "[[",
    "]]",
    "[",
    "]",
    "{",
    "}",
    "=",
    ",",
    "\n",
    "\"e1\"",
    "\"/v1\"",
    "1",
    "é",
    ".",
    "'''",
];

/// Checks that a valid sheet survives formatting, and that errors are within the file and short.
fn check(text: &str) {
    let outcome = sheet::parse(text);
    let warnings = sheet::warnings(text);
    match outcome {
        Ok(sheet) => assert_eq!(
            sheet::parse(&sheet.to_toml()).map(|again| again.digest()),
            Ok(sheet.digest())
        ),
        Err(errors) => {
            assert!(!errors.is_empty() && warnings.is_empty());
            let lines = text.matches('\n').count() as u32 + 1;
            assert!(errors.iter().all(|error| (1..=lines).contains(&error.line)));
            assert!(errors.iter().all(|error| error.to_string().len() < 2000));
        }
    }
}

fn sheets() -> impl Strategy<Value = Sheet> {
    let count = 1..20_usize;
    let limits = (1..1000_u64, 1..1000_u64, any::<bool>());
    (1..1_000_000_u64, count, limits).prop_map(|(number, count, (memory, wait, fencing))| {
        let name = |kind: &str, index: usize| format!("{kind}{index}").into();
        Sheet {
            number,
            classes: (0..count)
                .map(|index| RequestClass {
                    name: name("c", index),
                    priority: index as u8,
                    max_wait_ms: wait,
                })
                .collect(),
            targets: (0..count)
                .map(|index| Server {
                    name: name("t", index),
                    zone: name("z", index % 3),
                    address: ([10, 0, 0, index as u8], 8000).into(),
                    memory_tokens: memory,
                    checks_fencing: fencing,
                })
                .collect(),
            models: vec![Deployment {
                name: "m".into(),
                version: "sha256:\"\\x".into(),
                adapters: vec!["ō".into()],
                targets: (0..count).map(|index| name("t", index)).collect(),
            }],
            services: Vec::new(),
            organisations: vec![Account {
                name: "o".into(),
                key_sha256: Vec::new(),
                classes: (0..count).rev().map(|index| name("c", index)).collect(),
                tokens_per_minute: wait,
                requests_per_minute: memory,
            }],
        }
    })
}

proptest! {
    /// Guards against a panic or an endless loop on arbitrary text.
    #[test]
    fn arbitrary_text_never_panics(text in any::<String>()) {
        check(&text);
    }

    /// Guards against a panic on text that resembles a sheet.
    #[test]
    fn random_tokens_never_panic(tokens in prop::collection::vec(prop::sample::select(&TOKENS[..]), 0..200)) {
        check(&tokens.join(" "));
        check(&tokens.concat());
    }

    /// Guards against a panic on a sheet that was damaged in transfer.
    #[test]
    fn damaged_sheet_never_panics(
        at in 0..BRAKELINE.len(),
        length in 0..200_usize,
        token in prop::sample::select(&TOKENS[..]),
    ) {
        let mut bytes = BRAKELINE.as_bytes().to_vec();
        let end = (at + length).min(bytes.len());
        bytes.splice(at..end, token.bytes());
        check(&String::from_utf8_lossy(&bytes));
    }

    /// Guards against a sheet that changes when it is formatted and parsed, or whose digest depends
    /// on the order of its tables.
    #[test]
    fn sheets_survive_formatting_and_reordering(sheet in sheets(), rotation in 0..20_usize) {
        let read = sheet::parse(&sheet.to_toml());
        prop_assert_eq!(read.as_ref().map(Sheet::digest), Ok(sheet.digest()));
        prop_assert_eq!(sheet::diff(&sheet, &read.unwrap()), Vec::new());
        let mut rotated = sheet.clone();
        let by = rotation % rotated.targets.len();
        rotated.targets.rotate_left(by);
        rotated.models[0].targets.rotate_left(by);
        rotated.classes.rotate_left(by);
        prop_assert_eq!(rotated.digest(), sheet.digest());
        rotated.targets[by].memory_tokens += 1;
        prop_assert_ne!(rotated.digest(), sheet.digest());
    }
}
