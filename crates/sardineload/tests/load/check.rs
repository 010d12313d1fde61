use {
    rstest::rstest,
    sardineload::check::{Checker, StreamEnd, ViolationKind},
};

const FINGERPRINT: u32 = 0x00ab_cdef;
const DONE: &str = "data: [DONE]\n\n";

fn token(generation: &str, fingerprint: u32, id: u64, index: u64) -> String {
    format!(
        "id: {generation}.{id}\ndata: {{\"id\":\"chatcmpl-{generation}\",\"choices\":[{{\"delta\":{{\"content\":\"{fingerprint:08x}.{index} \"}}}}]}}\n\n"
    )
}

fn tokens(indices: &[u64]) -> String {
    let own_token = |index: &u64| token("g", FINGERPRINT, *index, *index);
    indices.iter().map(own_token).collect()
}

fn usage(tokens: u64) -> String {
    format!(
        "event: usage\ndata: {{\"id\":\"chatcmpl-g\",\"choices\":[],\"usage\":{{\"completion_tokens\":{tokens}}},\"preemptions\":2}}\n\n"
    )
}

fn check(stream: &str, chunk: usize) -> Checker {
    let mut checker = Checker::new("r".into(), FINGERPRINT, 4);
    for part in stream.as_bytes().chunks(chunk) {
        checker.push(part);
    }
    checker.finish();
    checker
}

/// Guards against a checker that reports a correct answer, whatever the chunk size, or ignores its
/// usage event.
#[rstest]
fn intact_answer_passes(#[values(1, 7, 100_000)] chunk: usize) {
    let stream = format!(
        ": keep-alive\n\n{}{}{DONE}",
        tokens(&[0, 1, 2, 3]),
        usage(4)
    );
    for text in [stream.clone(), stream.replace('\n', "\r\n")] {
        let checker = check(&text, chunk);
        assert_eq!(checker.violations, []);
        assert_eq!((checker.tokens(), checker.preemptions), (4, 2));
        assert_eq!(checker.end, StreamEnd::Done);
    }
}

/// Guards against a checker that misses a fault in a stream or reports it as another one.
#[rstest]
#[case::duplicate(tokens(&[0, 1, 1, 2, 3]) + DONE, ViolationKind::Duplicate)]
#[case::reordered(tokens(&[0, 1, 2, 3, 2]) + DONE, ViolationKind::Duplicate)]
#[case::gap(tokens(&[0, 1, 3]) + DONE, ViolationKind::Gap)]
#[case::missing_start(tokens(&[1, 2, 3]) + DONE, ViolationKind::Gap)]
#[case::crossed(tokens(&[0, 1, 2, 3]) + &token("g", 7, 4, 4) + DONE, ViolationKind::Crossed)]
#[case::spliced(tokens(&[0, 1, 2]) + &token("h", FINGERPRINT, 3, 3) + DONE, ViolationKind::MixedGenerations)]
#[case::misnumbered(tokens(&[0, 1, 2]) + &token("g", FINGERPRINT, 9, 3) + DONE, ViolationKind::Misnumbered)]
#[case::malformed(tokens(&[0, 1, 2, 3]) + "data: {\n\n" + DONE, ViolationKind::Malformed)]
#[case::truncated_with_end(tokens(&[0, 1, 2]) + DONE, ViolationKind::Truncated)]
#[case::truncated_without_end(tokens(&[0, 1, 2, 3]), ViolationKind::Truncated)]
#[case::empty(String::new(), ViolationKind::Truncated)]
#[case::cut_within_an_event(tokens(&[0, 1, 2, 3]) + "data: [DO", ViolationKind::Truncated)]
#[case::usage_differs(tokens(&[0, 1, 2, 3]) + &usage(5) + DONE, ViolationKind::Truncated)]
#[case::overlong(tokens(&[0, 1, 2, 3, 4, 5]) + DONE, ViolationKind::Overlong)]
#[case::after_end(tokens(&[0, 1, 2, 3]) + DONE + &tokens(&[4]), ViolationKind::AfterEnd)]
fn planted_fault_is_found(#[case] stream: String, #[case] expected: ViolationKind) {
    let checker = check(&stream, 64);
    let kinds: Vec<ViolationKind> = checker
        .violations
        .iter()
        .map(|violation| violation.kind)
        .collect();
    assert_eq!(kinds, [expected], "{:?}", checker.violations);
}

/// Guards against counting an error event as a violation. It is a failure that the caller is told
/// about.
#[test]
fn typed_error_is_no_violation() {
    let error = "data: {\"error\":{\"code\":\"generation_lost\",\"run\":\"unknown\"}}\n\n";
    let checker = check(&(tokens(&[0, 1]) + error), 64);
    assert_eq!(checker.violations, []);
    assert!(matches!(checker.end, StreamEnd::Failed(error) if error.code == "generation_lost"));
}
