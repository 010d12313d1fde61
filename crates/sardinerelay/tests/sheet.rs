//! Tests of the sheet's validation, digest and differences.

use {
    rstest::rstest,
    sardinerelay::sheet::{self, ErrorKind},
};

#[path = "sheet/digest.rs"]
mod digest;

const BRAKELINE: &str = include_str!("../../../examples/brakeline.toml");
const HARAKEKE: &str = include_str!("../../../examples/harakeke.toml");

/// A small sheet with one entry or two of each kind.
const SMALL: &str = r#"number = 7

[[class]]
name = "plan"
priority = 0
max_wait_ms = 20000

[[target]]
name = "e1"
zone = "lakes-a"
address = "10.0.0.1:8000"
memory_tokens = 1000

[[target]]
name = "s1"
zone = "lakes-a"
address = "10.0.0.2:8080"

[[model]]
name = "bend"
version = "1"
targets = ["e1"]

[[service]]
name = "shop"
path = "/shop"
targets = ["s1"]
repeatable = ["GET"]

[[organisation]]
name = "erie"
key_sha256 = ["0000000000000000000000000000000000000000000000000000000000000000"]
classes = ["plan"]
tokens_per_minute = 1000
requests_per_minute = 10
"#;

fn error_texts(text: &str) -> Vec<String> {
    match sheet::parse(text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(ToString::to_string).collect(),
    }
}

/// Guards against examples that are not valid, so that a new operator can't submit them.
#[rstest]
#[case(BRAKELINE)]
#[case(HARAKEKE)]
#[case(SMALL)]
fn examples_are_valid(#[case] text: &str) {
    assert_eq!(error_texts(text), Vec::<String>::new());
    assert_eq!(sheet::warnings(text), Vec::new());
}

/// Guards against examples in the documentation of the format that are not valid.
#[test]
fn examples_in_the_documentation_are_valid() {
    let page = include_str!("../../../docs/SHEET.md");
    let examples: Vec<_> = page.split("```toml\n").skip(1).collect();
    assert_eq!(examples.len(), 2);
    for example in examples {
        let (text, _) = example.split_once("```").unwrap();
        assert_eq!(error_texts(text), Vec::<String>::new());
    }
}

/// Guards against a rule that is not checked, or an error that is reported twice: each edit of a
/// valid sheet gives exactly one error.
#[rstest]
#[case(
    "number = 7",
    "number = 0",
    "line 1, column 10: number: \"0\" is outside the range 1 to 9007199254740991"
)]
#[case(
    "number = 7",
    "number = -7",
    "line 1, column 10: number: \"-7\" is outside"
)]
#[case("number = 7", "number = 99999999999999999999", "is outside the range")]
#[case(
    "number = 7",
    "number = \"7\"",
    "number: expected an integer, found a string"
)]
#[case("number = 7", "", "number: required field is missing")]
#[case(
    "zone = \"lakes-a\"\naddress = \"10.0.0.1:8000\"",
    "address = \"10.0.0.1:8000\"",
    "line 8, column 1: target[0].zone: required field is missing"
)]
#[case(
    "memory_tokens = 1000",
    "memory_token = 1000\nmemory_tokens = 9",
    "line 12, column 1: target[0].memory_token: unknown field; allowed here: name, zone"
)]
#[case(
    "memory_tokens = 1000",
    "",
    "target[0].memory_tokens: model \"bend\" runs on this target"
)]
#[case(
    "memory_tokens = 1000",
    "checks_fencing = 1\nmemory_tokens = 1",
    "checks_fencing: expected true or false, found an integer"
)]
#[case(
    "memory_tokens = 1000",
    "memory_tokens = 99999999999",
    "target[0].memory_tokens: \"99999999999\" is outside"
)]
#[case(
    "10.0.0.2:8080",
    "10.0.0.1:8000",
    "target[1].address: \"10.0.0.1:8000\" is listed twice, first on line 11"
)]
#[case(
    "10.0.0.2:8080",
    "shop.example:80",
    "target[1].address: \"shop.example:80\" is not an address"
)]
#[case("10.0.0.2:8080", "10.0.0.2:0", "is not an address")]
#[case("10.0.0.2:8080", "0.0.0.0:80", "is not an address")]
#[case(
    "targets = [\"e1\"]",
    "targets = []",
    "model[0].targets: at least one entry is required"
)]
#[case(
    "targets = [\"e1\"]",
    "targets = [\"e1\", \"e2\"]",
    "model[0].targets[1]: no target is named \"e2\""
)]
#[case(
    "targets = [\"e1\"]",
    "targets = [\"e1\", \"e1\"]",
    "line 22, column 18: model[0].targets[1]: \"e1\" is listed twice, first on line 22"
)]
#[case(
    "targets = [\"s1\"]",
    "targets = [\"e1\"]",
    "service[0].targets[0]: target \"e1\" is an engine"
)]
#[case(
    "targets = [\"e1\"]",
    "targets = \"e1\"",
    "model[0].targets: expected a list of strings, found a string"
)]
#[case(
    "targets = [\"e1\"]",
    "targets = [1]",
    "model[0].targets[0]: expected a string, found an integer"
)]
#[case(
    "name = \"bend\"",
    "name = \"bend:x\"",
    "model[0].name: `:` is not allowed"
)]
#[case(
    "version = \"1\"",
    "version = \"1\"\nadapters = [\"a:b\"]",
    "model[0].adapters[0]: `:` is not allowed"
)]
#[case(
    "version = \"1\"",
    "version = \"1\"\nadapters = [\"a\", \"a\"]",
    "model[0].adapters[1]: \"a\" is listed twice"
)]
#[case(
    "version = \"1\"",
    "version = \"\"",
    "model[0].version: the text is empty"
)]
#[case(
    "name = \"erie\"",
    "name = \"erie works\"",
    "organisation[0].name: character ' ' is not allowed"
)]
#[case(
    "\"/shop\"",
    "\"shop\"",
    "service[0].path: the path must start with `/`"
)]
#[case("\"/shop\"", "\"/\"", "at least one segment")]
#[case("\"/shop\"", "\"/shop/\"", "must not end with `/`")]
#[case("\"/shop\"", "\"/a/../v1\"", "must not contain empty segments")]
#[case("\"/shop\"", "\"/sh%6fp\"", "character '%' is not allowed")]
#[case(
    "\"/shop\"",
    "\"/v1\"",
    "service[0].path: \"/v1\" overlaps the daemon's own path /v1"
)]
#[case("\"/shop\"", "\"/v1/shop\"", "overlaps the daemon's own path /v1")]
#[case("\"/shop\"", "\"/livez\"", "overlaps the daemon's own path /livez")]
#[case("\"/shop\"", "\"/readyz/x\"", "overlaps the daemon's own path /readyz")]
#[case("\"/shop\"", "\"/metrics\"", "overlaps the daemon's own path /metrics")]
#[case(
    "[\"GET\"]",
    "[\"get\"]",
    "service[0].repeatable[0]: \"get\" is not an HTTP method"
)]
#[case(
    "classes = [\"plan\"]",
    "classes = [\"plans\"]",
    "organisation[0].classes[0]: no class is named \"plans\""
)]
#[case(
    "classes = [\"plan\"]",
    "classes = []",
    "organisation[0].classes: at least one entry"
)]
#[case(
    "\"0000",
    "\"ABCD",
    "organisation[0].key_sha256[0]: expected 64 lower-case"
)]
#[case("\"0000", "\"000", "expected 64 lower-case")]
#[case(
    "requests_per_minute = 10",
    "requests_per_minute = 0",
    "requests_per_minute: \"0\" is outside"
)]
#[case(
    "tokens_per_minute = 1000",
    "tokens_per_minute = 1e3",
    "expected an integer, found a decimal number"
)]
#[case(
    "priority = 0",
    "priority = 256",
    "class[0].priority: \"256\" is outside the range 0 to 255"
)]
#[case("max_wait_ms = 20000", "max_wait_ms = 3600001", "class[0].max_wait_ms")]
#[case(
    "[[class]]",
    "[class]",
    "class: expected a list of tables, found a table"
)]
#[case("priority = 0", "priority = = 0", "line 5")]
#[case(
    "priority = 0",
    "priority = 0\npriority = 1",
    "line 6, column 1: duplicate key"
)]
fn each_error_is_reported_once(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    assert!(SMALL.contains(from), "the sheet has no text to replace");
    let found = error_texts(&SMALL.replacen(from, to, 1));
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].contains(expected), "{}", found[0]);
}

/// Guards against accepting two entries with the same name, key or overlapping paths, in each kind
/// of table.
#[rstest]
#[case(
    "[[class]]\nname = \"plan\"\npriority = 1\nmax_wait_ms = 1\n",
    "class[1].name: \"plan\" is listed twice, first on line 4"
)]
#[case(
    "[[target]]\nname = \"e1\"\nzone = \"z\"\naddress = \"10.0.0.9:1\"\n",
    "target[2].name: \"e1\" is listed twice, first on line 9"
)]
#[case(
    "[[model]]\nname = \"bend\"\nversion = \"2\"\ntargets = [\"e1\"]\n",
    "model[1].name: \"bend\" is listed twice"
)]
#[case(
    "[[service]]\nname = \"shop\"\npath = \"/b\"\ntargets = [\"s1\"]\n",
    "service[1].name: \"shop\" is listed twice"
)]
#[case(
    "[[service]]\nname = \"b\"\npath = \"/shop\"\ntargets = [\"s1\"]\n",
    "service[1].path: \"/shop\" overlaps \"/shop\" of service \"shop\", on line 26"
)]
#[case(
    "[[service]]\nname = \"b\"\npath = \"/shop/x\"\ntargets = [\"s1\"]\n",
    "service[1].path: \"/shop/x\" overlaps \"/shop\""
)]
#[case(
    "[[service]]\nname = \"b\"\npath = \"/x/y\"\ntargets = [\"s1\"]\n[[service]]\nname = \"c\"\npath = \"/x\"\ntargets = [\"s1\"]\n",
    "service[2].path: \"/x\" overlaps \"/x/y\" of service \"b\""
)]
#[case(
    "[[organisation]]\nname = \"b\"\nkey_sha256 = [\"0000000000000000000000000000000000000000000000000000000000000000\"]\nclasses = [\"plan\"]\ntokens_per_minute = 1\nrequests_per_minute = 1\n",
    "organisation[1].key_sha256[0]: organisation \"erie\" has the same key, on line 32"
)]
fn shared_names_are_reported(#[case] extra: &str, #[case] expected: &str) {
    let found = error_texts(&format!("{SMALL}\n{extra}"));
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].contains(expected), "{}", found[0]);
}

/// Guards against rejecting `/shopping` beside `/shop`, although no request matches both.
#[test]
fn paths_overlap_by_whole_segments() {
    let other = "\n[[service]]\nname = \"b\"\npath = \"/shopping\"\ntargets = [\"s1\"]\n";
    assert_eq!(
        error_texts(&format!("{SMALL}{other}")),
        Vec::<String>::new()
    );
}

/// Guards against a report that stops at the first error or is out of order.
#[test]
fn all_errors_are_reported_in_the_order_of_the_file() {
    let text = SMALL
        .replace("priority = 0", "priority = 300")
        .replace("[\"e1\"]", "[\"e7\"]")
        .replace("\"/shop\"", "\"shop\"")
        .replace("tokens_per_minute = 1000", "");
    let lines: Vec<_> = sheet::parse(&text)
        .unwrap_err()
        .iter()
        .map(|error| error.line)
        .collect();
    assert_eq!(lines, [5, 22, 26, 30]);
}

/// Guards against a syntax error that hides others, or whose consequences are reported as errors of
/// their own.
#[test]
fn several_syntax_errors_are_reported_without_consequences() {
    let text = SMALL
        .replace("name = \"e1\"", "name = e1")
        .replace("version = \"1\"", "version = \"1")
        .replace("\"/shop\"", "\"shop\"");
    let errors = sheet::parse(&text).unwrap_err();
    let lines: Vec<_> = errors.iter().map(|error| error.line).collect();
    assert!(lines.contains(&9) && lines.contains(&21), "{errors:#?}");
    assert!(lines.contains(&26), "{errors:#?}");
    assert!(
        lines.iter().all(|line| [9, 21, 26].contains(line)),
        "{errors:#?}"
    );
}

/// Guards against reporting everything as missing that the parser skipped after a line that can't
/// be read.
#[test]
fn skipped_text_is_not_reported_as_missing() {
    let errors = sheet::parse(&SMALL.replace("version = \"1\"", "version 1")).unwrap_err();
    let lines: Vec<_> = errors.iter().map(|error| error.line).collect();
    assert_eq!(lines, [21], "{errors:#?}");
}

/// Guards against a misspelt table name whose entries are silently dropped.
#[test]
fn misspelt_table_is_reported() {
    let found = error_texts(&SMALL.replace("[[organisation]]", "[[organization]]"));
    assert_eq!(found.len(), 2, "{found:#?}");
    assert!(found[0].contains("organisation: at least one entry"));
    assert!(
        found[1].contains("line 30, column 3: organization: unknown field"),
        "{}",
        found[1]
    );
}

/// Guards against accepting an export that was cut short, which would take everything out of
/// service.
#[test]
fn empty_sheet_is_rejected() {
    let found = error_texts("number = 8\n");
    assert_eq!(found.len(), 2, "{found:#?}");
    assert!(error_texts("").len() == 3);
}

/// Guards against files that exhaust memory: too long, nested too deeply, or with too many entries.
#[test]
fn oversized_files_are_rejected() {
    let long = "#".repeat(sheet::limit::MAX_FILE_BYTES + 1);
    let kind = &sheet::parse(&long).unwrap_err()[0].kind;
    assert!(matches!(kind, ErrorKind::FileTooLarge { .. }));
    let zeros = "0,".repeat(sheet::limit::MAX_SEPARATORS);
    let kind = &sheet::parse(&format!("number = [{zeros}]")).unwrap_err()[0].kind;
    assert!(matches!(kind, ErrorKind::TooManySeparators { .. }));
    assert!(sheet::parse(&format!("number = {}", "[".repeat(100_000))).is_err());
    let keys = "{}, ".repeat(sheet::limit::MAX_CLASSES + 1);
    let many = SMALL.replace(
        "[[class]]\nname = \"plan\"\npriority = 0\nmax_wait_ms = 20000",
        "",
    );
    let found = error_texts(&format!("class = [{keys}]\n{many}"));
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(
        found[0].contains("65 entries, the limit is 64"),
        "{}",
        found[0]
    );
    let junk = "]\n".repeat(sheet::limit::MAX_ERRORS * 2);
    assert_eq!(
        sheet::parse(&junk).unwrap_err().len(),
        sheet::limit::MAX_ERRORS + 1
    );
}

/// Guards against a missing warning, and a warning that rejects the sheet.
#[test]
fn doubtful_entries_are_warned_about() {
    let text = SMALL.replace("[\"GET\"]", "[\"GET\", \"POST\"]").replace(
        "\"0000000000000000000000000000000000000000000000000000000000000000\"",
        "",
    );
    let extra = "[[class]]\nname = \"idle\"\npriority = 3\nmax_wait_ms = 1\n\
                 [[target]]\nname = \"spare\"\nzone = \"z\"\naddress = \"10.0.0.9:1\"\n";
    let text = format!("{text}\n{extra}");
    assert_eq!(error_texts(&text), Vec::<String>::new());
    let fields: Vec<_> = sheet::warnings(&text)
        .into_iter()
        .map(|warning| warning.field)
        .collect();
    let expected = [
        "service[0].repeatable[1]",
        "organisation[0].key_sha256",
        "class[1].name",
        "target[2].name",
    ];
    assert_eq!(fields, expected);
}
