//! Mixes of requests, modelled on the two users in section 1.1 of `docs/design.md`.

use {
    compact_str::CompactString,
    rand::Rng,
    sardinerelay_standin::engine::{chat_prompt, fingerprint},
    serde::Serialize,
    serde_json::{Value, json},
    std::{fmt::Write as _, ops::RangeInclusive},
};

/// Minimum length of the instructions with which all prompts of an organisation begin.
const MIN_INSTRUCTION_BYTES: usize = 1_200;

/// A mix of requests, named after the user that it models.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Workload {
    /// Bend plans, short questions, tooling orders and stock queries.
    Brakeline,
    /// Collection notes, sorting, claims and queries.
    Harakeke,
}

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Generation of a bend sequence of 10 to 80 steps.
    Plan,
    /// Generation of the answer to a short question.
    Question,
    /// Tooling order, which must not be executed twice.
    Order,
    /// Stock query.
    Stock,
    /// Generation of a collection note for a donor.
    Draft,
    /// Generation that sorts an incoming request.
    Sort,
    /// Claim of a load, which must not be executed twice.
    Claim,
    /// Query of the remaining loads.
    Look,
}

/// Content of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Payload {
    /// A request for a generation.
    Generate(Prompt),
    /// A call to a plain service.
    Call(Call),
}

/// A request for a generation.
#[derive(Debug, Clone, PartialEq)]
pub struct Prompt {
    /// Path of the API endpoint.
    pub path: &'static str,
    /// Body as JSON.
    pub body: String,
    /// Fingerprint of the prompt, which each token of the answer must carry.
    pub fingerprint: u32,
    /// Number of tokens that the answer must have.
    pub tokens: u64,
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    pub method: &'static str,
    /// Path, with the query if there is one.
    pub path: String,
    /// Body as JSON; empty for queries.
    pub body: String,
    /// Random part of the idempotency key, for calls that must not be executed twice.
    pub key: Option<[u8; 10]>,
}

impl Workload {
    /// Returns the kinds of request with their weights, which add up to 1.
    pub fn mix(self) -> &'static [(RequestKind, f64)] {
        match self {
            Self::Brakeline => &[
                (RequestKind::Plan, 0.25),
                (RequestKind::Question, 0.55),
                (RequestKind::Order, 0.08),
                (RequestKind::Stock, 0.12),
            ],
            Self::Harakeke => &[
                (RequestKind::Draft, 0.40),
                (RequestKind::Sort, 0.35),
                (RequestKind::Claim, 0.10),
                (RequestKind::Look, 0.15),
            ],
        }
    }

    /// Returns the model that is requested by default.
    pub fn model(self) -> &'static str {
        match self {
            Self::Brakeline => "bend-planner",
            Self::Harakeke => "offcuts",
        }
    }
}

impl RequestKind {
    /// Whether the request is a call to a plain service.
    pub fn is_plain(self) -> bool {
        matches!(self, Self::Order | Self::Stock | Self::Claim | Self::Look)
    }

    /// Returns the name used in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Plan => "plan",
            Self::Question => "question",
            Self::Order => "order",
            Self::Stock => "stock",
            Self::Draft => "draft",
            Self::Sort => "sort",
            Self::Claim => "claim",
            Self::Look => "look",
        }
    }

    /// Creates a random request of this kind. `number` makes its content unique within the run.
    pub fn random_payload<R>(
        self,
        number: u64,
        organisation: &str,
        model: &str,
        random: &mut R,
    ) -> Payload
    where
        R: Rng,
    {
        let builder = RequestBuilder {
            number,
            organisation,
            model,
        };
        match self {
            Self::Plan => {
                let steps = random.random_range(10..=80);
                let tokens = (0..steps).map(|_| random.random_range(30..=50)).sum();
                builder.chat_completion(
                    "bend plan for drawing",
                    800..=3_000,
                    tokens,
                    16_384,
                    random,
                )
            }
            Self::Question => {
                let tokens = random.random_range(15..=120);
                builder.chat_completion("does this die fit", 80..=300, tokens, 2_048, random)
            }
            Self::Draft => {
                let tokens = random.random_range(100..=600);
                builder.chat_completion("collection note for", 200..=800, tokens, 4_096, random)
            }
            Self::Sort => {
                let tokens = random.random_range(4..=20);
                builder.text_completion(400..=1_500, tokens, 256, random)
            }
            Self::Order => builder.keyed_call("/shop/orders", random),
            Self::Claim => builder.keyed_call("/booking/claims", random),
            Self::Stock => builder.lookup("/shop/stock", random),
            Self::Look => builder.lookup("/booking/loads", random),
        }
    }
}

struct RequestBuilder<'a> {
    number: u64,
    organisation: &'a str,
    model: &'a str,
}

impl RequestBuilder<'_> {
    /// Builds a chat request whose `max_tokens` is far above the actual output length, as is common
    /// among callers.
    fn chat_completion<R>(
        &self,
        subject: &str,
        bytes: RangeInclusive<usize>,
        tokens: u64,
        max_tokens: u64,
        random: &mut R,
    ) -> Payload
    where
        R: Rng,
    {
        let system = organisation_instructions(self.organisation);
        let user = format!("{subject} {} {}", self.number, filler_text(bytes, random));
        let messages = [
            json!({ "role": "system", "content": system }),
            json!({ "role": "user", "content": user }),
        ];
        let fingerprint = fingerprint(&chat_prompt(&messages));
        let body = json!({
            "model": self.model,
            "messages": messages,
            "max_tokens": max_tokens,
            "stream": true,
            "metadata": { "standin_tokens": tokens.to_string() },
        });
        Payload::Generate(Prompt {
            path: "/v1/chat/completions",
            body: body.to_string(),
            fingerprint,
            tokens,
        })
    }

    fn text_completion<R>(
        &self,
        bytes: RangeInclusive<usize>,
        tokens: u64,
        max_tokens: u64,
        random: &mut R,
    ) -> Payload
    where
        R: Rng,
    {
        let system = organisation_instructions(self.organisation);
        let prompt = format!(
            "{system} sort {} {}",
            self.number,
            filler_text(bytes, random)
        );
        let prompt = Value::String(prompt);
        let fingerprint = fingerprint(&prompt.to_string());
        let body = json!({
            "model": self.model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": true,
            "metadata": { "standin_tokens": tokens.to_string() },
        });
        Payload::Generate(Prompt {
            path: "/v1/completions",
            body: body.to_string(),
            fingerprint,
            tokens,
        })
    }

    fn keyed_call<R>(&self, path: &str, random: &mut R) -> Payload
    where
        R: Rng,
    {
        let item: u32 = random.random_range(0..1_000);
        let body =
            json!({ "number": self.number, "item": item, "pieces": random.random_range(1..9) });
        Payload::Call(Call {
            method: "POST",
            path: path.to_owned(),
            body: body.to_string(),
            key: Some(random.random()),
        })
    }

    fn lookup<R>(&self, path: &str, random: &mut R) -> Payload
    where
        R: Rng,
    {
        let item: u32 = random.random_range(0..1_000);
        Payload::Call(Call {
            method: "GET",
            path: format!("{path}/{item}?number={}", self.number),
            body: String::new(),
            key: None,
        })
    }
}

/// Returns the instructions that all prompts of an organisation begin with, so that the prefix
/// cache has an effect.
fn organisation_instructions(organisation: &str) -> CompactString {
    let line = format!("instructions of {organisation}. ");
    let repeats = MIN_INSTRUCTION_BYTES.div_ceil(line.len());
    line.repeat(repeats).into()
}

fn filler_text<R>(bytes: RangeInclusive<usize>, random: &mut R) -> String
where
    R: Rng,
{
    let length = random.random_range(bytes);
    let mut text = String::with_capacity(length + 8);
    while text.len() < length {
        let _ = write!(text, "{:07x} ", random.random_range(0..0x1000_0000));
    }
    text
}
