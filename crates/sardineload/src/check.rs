//! Checks an answer stream against guarantees G1 and G2 of `docs/design.md`.

use {
    crate::events::{Event, Parser},
    compact_str::{CompactString, format_compact},
    serde::{Deserialize, Serialize},
};

/// Kind of violation of a guarantee.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// A token index was repeated or arrived out of order.
    Duplicate,
    /// Token indices are missing before a token.
    Gap,
    /// A token or a plain response belongs to another request.
    Crossed,
    /// Tokens come from more than one generation.
    MixedGenerations,
    /// The id of an event and the token in its text have different indices.
    Misnumbered,
    /// An event or a response cannot be parsed.
    Malformed,
    /// The answer ended as if complete, but tokens are missing or differ in number from the usage
    /// event.
    Truncated,
    /// The answer has more tokens than requested.
    Overlong,
    /// An event arrived after the end of the answer.
    AfterEnd,
    /// A call with an idempotency key was executed more than once.
    RanTwice,
    /// A request was executed although it was refused as "not run".
    RefusedButRan,
    /// A call got a successful response but was never executed.
    AcknowledgedNotRun,
}

/// A violation found in an answer or in the records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    pub kind: ViolationKind,
    /// Request id or idempotency key of the request.
    pub request: CompactString,
    /// What was expected and what was found.
    pub detail: CompactString,
}

/// Error of a refused request, or error event that ended a stream.
#[derive(Debug, Default, Clone, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct ApiError {
    /// Error code; empty if absent.
    pub code: CompactString,
    /// Whether the request was executed: `not_run` or `unknown`; empty if absent.
    pub run: CompactString,
}

/// How a stream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEnd {
    /// The stream has not ended.
    Open,
    /// It ended with `[DONE]`.
    Done,
    /// It ended with an error event.
    Failed(ApiError),
}

/// Checks the events of one stream as they arrive.
#[derive(Debug)]
pub struct Checker {
    request: CompactString,
    fingerprint: u32,
    expected_tokens: u64,
    parser: Parser,
    generation: Option<CompactString>,
    next_index: u64,
    /// How the stream has ended, if it has.
    pub end: StreamEnd,
    /// Number of preemptions that the usage event states.
    pub preemptions: u64,
    /// Violations found so far.
    pub violations: Vec<Violation>,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    id: CompactString,
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
    #[serde(default)]
    preemptions: u64,
    error: Option<ApiError>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    delta: Delta,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Usage {
    completion_tokens: u64,
}

impl Checker {
    /// Creates a checker for an answer of `tokens` tokens with the given fingerprint.
    pub fn new(request: CompactString, fingerprint: u32, tokens: u64) -> Self {
        Self {
            request,
            fingerprint,
            expected_tokens: tokens,
            parser: Parser::default(),
            generation: None,
            next_index: 0,
            end: StreamEnd::Open,
            preemptions: 0,
            violations: Vec::new(),
        }
    }

    /// Checks the next bytes of the stream and returns the number of tokens in them.
    pub fn push(&mut self, bytes: &[u8]) -> u64 {
        let events = self.parser.push(bytes);
        events.iter().map(|event| self.check_event(event)).sum()
    }

    /// Reports a truncated answer if the stream ended before `[DONE]` or within an event. Call it
    /// when the connection has ended without a failure.
    pub fn finish(&mut self) {
        if matches!(self.end, StreamEnd::Failed(_)) {
            return;
        }
        if self.end == StreamEnd::Open || self.parser.is_partial() {
            let next = self.next_index;
            self.add_violation(
                ViolationKind::Truncated,
                format_compact!("ended after {next} tokens without [DONE]"),
            );
        }
    }

    /// Number of tokens received, as the highest index plus one.
    pub fn tokens(&self) -> u64 {
        self.next_index
    }

    fn check_event(&mut self, event: &Event) -> u64 {
        if self.end != StreamEnd::Open {
            self.add_violation(ViolationKind::AfterEnd, excerpt(&event.data));
            return 0;
        }
        if event.data == "[DONE]" {
            self.check_done();
            return 0;
        }
        let chunk: Chunk = match serde_json::from_str(&event.data) {
            Ok(chunk) => chunk,
            Err(_) => {
                self.add_violation(ViolationKind::Malformed, excerpt(&event.data));
                return 0;
            }
        };
        if let Some(error) = chunk.error {
            self.end = StreamEnd::Failed(error);
            return 0;
        }
        self.check_generation(&chunk.id);
        if let Some(usage) = chunk.usage {
            self.preemptions = chunk.preemptions;
            self.check_usage(&usage);
        }
        let texts = chunk.choices.iter().map(Choice::text);
        texts.map(|text| self.check_text(text, &event.id)).sum()
    }

    fn check_text(&mut self, text: &str, event_id: &str) -> u64 {
        let mut tokens = 0;
        for word in text.split_ascii_whitespace() {
            tokens += 1;
            self.check_token(word);
        }
        let stated = event_id.rsplit_once('.').map(|(_, index)| index.parse());
        if tokens > 0
            && let Some(Ok(stated)) = stated
            && text
                .rsplit_once('.')
                .and_then(|(_, index)| index.trim().parse::<u64>().ok())
                != Some(stated)
        {
            self.add_violation(
                ViolationKind::Misnumbered,
                format_compact!("id states {stated}, text is {}", excerpt(text)),
            );
        }
        tokens
    }

    fn check_token(&mut self, word: &str) {
        let parsed = word.split_once('.').and_then(|(fingerprint, index)| {
            let fingerprint = u32::from_str_radix(fingerprint, 16).ok()?;
            Some((fingerprint, index.parse::<u64>().ok()?))
        });
        let Some((fingerprint, index)) = parsed else {
            return self.add_violation(ViolationKind::Malformed, excerpt(word));
        };
        if fingerprint != self.fingerprint {
            let own = self.fingerprint;
            return self.add_violation(
                ViolationKind::Crossed,
                format_compact!("expected fingerprint {own:08x}, got {word}"),
            );
        }
        let next = self.next_index;
        if index < next {
            let detail = format_compact!("expected index {next}, got {index}");
            return self.add_violation(ViolationKind::Duplicate, detail);
        }
        if index > next {
            self.add_violation(
                ViolationKind::Gap,
                format_compact!("expected index {next}, got {index}"),
            );
        }
        if index >= self.expected_tokens && next <= self.expected_tokens {
            let expected = self.expected_tokens;
            self.add_violation(
                ViolationKind::Overlong,
                format_compact!("expected {expected} tokens, got index {index}"),
            );
        }
        self.next_index = index + 1;
    }

    fn check_generation(&mut self, id: &CompactString) {
        if id.is_empty() {
            return;
        }
        match &self.generation {
            None => self.generation = Some(id.clone()),
            Some(first) if first == id => {}
            Some(first) => {
                let detail = format_compact!("began with {first}, then {id}");
                self.add_violation(ViolationKind::MixedGenerations, detail);
                self.generation = Some(id.clone());
            }
        }
    }

    fn check_usage(&mut self, usage: &Usage) {
        if usage.completion_tokens != self.next_index {
            let (next, stated) = (self.next_index, usage.completion_tokens);
            self.add_violation(
                ViolationKind::Truncated,
                format_compact!("usage states {stated} tokens, {next} arrived"),
            );
        }
    }

    fn check_done(&mut self) {
        self.end = StreamEnd::Done;
        let (next, expected) = (self.next_index, self.expected_tokens);
        if next < expected {
            self.add_violation(
                ViolationKind::Truncated,
                format_compact!("[DONE] after {next} of {expected} tokens"),
            );
        }
    }

    fn add_violation(&mut self, kind: ViolationKind, detail: CompactString) {
        let request = self.request.clone();
        self.violations.push(Violation {
            kind,
            request,
            detail,
        });
    }
}

impl Choice {
    fn text(&self) -> &str {
        self.delta.content.as_deref().unwrap_or(&self.text)
    }
}

fn excerpt(text: &str) -> CompactString {
    text.chars().take(80).collect()
}
