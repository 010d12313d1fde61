//! Mixes of requests, modelled on the two users of `docs/design.md`, section 1.1.

use {
    compact_str::CompactString,
    rand::Rng,
    sardinerelay_standin::engine::{chat_prompt, fingerprint},
    serde::Serialize,
    serde_json::{Value, json},
    std::{fmt::Write as _, ops::RangeInclusive},
};

/// Bytes of the instructions that all prompts of an organisation begin with.
const MIN_INSTRUCTION_BYTES: usize = 1_200;

/// A user's mix of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Workload {
    /// Bend plans beside short questions, tooling orders and stock look-ups.
    Brakeline,
    /// Collection notes and sorting, claims and look-ups.
    Harakeke,
}

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// A bend sequence of 10 to 80 steps.
    Plan,
    /// A short question.
    Question,
    /// A tooling order, which must not be repeated.
    Order,
    /// A stock look-up.
    Stock,
    /// A collection note for a donor.
    Draft,
    /// The sorting of an incoming request.
    Sort,
    /// A claim of a load, which must not be repeated.
    Claim,
    /// A look at what is left.
    Look,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Payload {
    /// A generation.
    Generate(Prompt),
    /// A call of a plain service.
    Call(Call),
}

/// A generation's request.
#[derive(Debug, Clone, PartialEq)]
pub struct Prompt {
    /// Path of the API.
    pub path: &'static str,
    /// Body as JSON.
    pub body: String,
    /// Fingerprint that each token of the answer must carry.
    pub fingerprint: u32,
    /// Tokens that the answer must have.
    pub tokens: u64,
}

/// A plain call.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// HTTP method.
    pub method: &'static str,
    /// Path.
    pub path: String,
    /// Body as JSON; empty for look-ups.
    pub body: String,
    /// Random part of the idempotency key, for calls that must not be repeated.
    pub key: Option<[u8; 10]>,
}

impl Workload {
    /// Kinds of request with their weights.
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

    /// Model that the workload asks for unless told otherwise.
    pub fn model(self) -> &'static str {
        match self {
            Self::Brakeline => "bend-planner",
            Self::Harakeke => "offcuts",
        }
    }
}

impl RequestKind {
    /// Whether the request is a call of a plain service.
    pub fn is_plain(self) -> bool {
        matches!(self, Self::Order | Self::Stock | Self::Claim | Self::Look)
    }

    /// Name in reports.
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

    /// Draws a request of this kind. `number` makes its content unique within the run.
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
    /// `max_tokens` is far above the true length, as callers routinely request it.
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

/// Text that is the same for all prompts of an organisation, so that prefix caches matter.
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
