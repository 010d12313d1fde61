//! The platform's list of targets, as the daemon reads it.

use {
    rstest::rstest,
    sardinerelayd::platform::{TargetList, leaving_entries},
};

/// Guards against a leave that the daemon doesn't notice because of an odd entry beside it.
#[rstest]
#[case::unknown_state(r#"{"incarnation":"1","state":"asleep"}"#)]
#[case::other_type(r#"{"incarnation":1,"state":"live"}"#)]
#[case::missing_field(r#"{"state":"leaving"}"#)]
#[case::no_object("17")]
#[case::no_number(r#"{"incarnation":"first","state":"leaving"}"#)]
fn an_odd_entry_hides_no_other(#[case] odd: &str) {
    let text = format!(
        r#"{{"targets":{{"a":{odd},"b":{{"incarnation":"7","state":"leaving"}},"c":{{"incarnation":"8"}}}}}}"#
    );
    let list: TargetList = serde_json::from_str(&text).expect("a list");
    let leaving = leaving_entries(list);
    let [entry] = &leaving[..] else {
        panic!("{leaving:?}");
    };
    assert_eq!((entry.target.as_str(), entry.incarnation), ("b", 7));
}
