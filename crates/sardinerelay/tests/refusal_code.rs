//! Tests of the refusal codes and of the error codes of the operator interface.

use sardinerelay::{
    operator::{Digest, ErrorCode},
    refusal_code::{Code, TABLE},
};

/// Guards against a row that was inserted out of order, so that one code is described as another.
#[test]
fn table_follows_the_order_of_the_variants() {
    for (index, entry) in TABLE.iter().enumerate() {
        assert_eq!(entry.code as usize, index, "{}", entry.text);
        assert_eq!(Code::from_name(entry.text), Some(entry.code));
        let json = serde_json::to_value(entry.code).unwrap();
        assert_eq!(json, entry.text, "serde name and table text differ");
    }
}

/// Guards against a documentation page that lacks a code or contradicts the table.
#[test]
fn page_agrees_with_the_table() {
    let page = include_str!("../../../docs/REFUSALS.md");
    let words = |text: &str| text.split_whitespace().collect::<Vec<_>>().join(" ");
    let page_words = words(page);
    for entry in TABLE {
        let code = entry.text;
        let retry = entry.retry.as_str().replace('_', " ");
        let row = format!(
            "| [`{code}`](#{code}) | {} | {} | {retry} |",
            entry.status, entry.run
        );
        assert!(page.contains(&row), "{row}");
        let section = format!("### {code} {} To do: {}", entry.meaning, entry.advice);
        assert!(page_words.contains(&words(&section)), "{section}");
    }
    assert_eq!(page.matches("\n### ").count(), TABLE.len());
}

/// Guards against error numbers that clients take for another code or for a protocol error.
#[test]
fn operator_error_numbers_are_distinct_and_outside_the_reserved_range() {
    for code in ErrorCode::ALL {
        assert_eq!(ErrorCode::from_number(code.number()), Some(code));
        assert!(!(-32768..=-32000).contains(&code.number()));
    }
    assert_eq!(ErrorCode::from_number(-32601), None);
}

/// Guards against a digest that is accepted in two spellings, and against input that causes a
/// panic.
#[test]
fn digest_text_is_strict() {
    let text = "0f".repeat(32);
    let digest: Digest = text.parse().unwrap();
    assert_eq!(digest.to_string(), text);
    for wrong in [
        "",
        "0f",
        &"0F".repeat(32),
        &"é".repeat(32),
        &"0g".repeat(32),
    ] {
        assert!(wrong.parse::<Digest>().is_err(), "{wrong}");
    }
}
