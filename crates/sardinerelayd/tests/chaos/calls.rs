//! Callers of the plain service, with and without idempotency keys.

use {
    crate::{
        client,
        harness::api_key,
        history::{Attempt, CallKind, Outcome},
        testbed::{Context, HostAddresses},
    },
    http::Method,
    rand::{Rng, rngs::StdRng},
    sardinerelayd::filter::identify::sha256_hex,
    serde_json::Value,
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
    uuid::Uuid,
};

/// How long a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Rounds of attempts at one order. A round sends the order once or twice at the same time.
const MAX_ATTEMPTS: u32 = 5;

/// Sends calls with idempotency keys until the run ends. Resends some of them: at the same time,
/// after a refusal, after a lost answer and after an answer.
pub async fn place_orders(context: Arc<Context>, task: u64) {
    let mut rng = context.task_rng(task);
    for count in 0u64.. {
        if !context.is_running() {
            return;
        }
        let id = match rng.random_bool(0.5) {
            true => Uuid::now_v7().to_string(),
            false => format!("order-{}-{task}-{count}", context.seed),
        };
        place_order(&context, &id, &mut rng).await;
        random_pause(&mut rng).await;
    }
}

/// Sends one call up to [`MAX_ATTEMPTS`] times, each time through a random host.
async fn place_order(context: &Context, id: &str, rng: &mut StdRng) {
    for _ in 0..MAX_ATTEMPTS {
        let first = make_call(context, context.random_host(rng), CallKind::Keyed, id);
        let resend = match rng.random_bool(0.15) {
            true => {
                let second = make_call(context, context.random_host(rng), CallKind::Keyed, id);
                let (first, second) = tokio::join!(first, second);
                should_resend(&first, rng) && should_resend(&second, rng)
            }
            false => should_resend(&first.await, rng),
        };
        if !resend || !context.is_running() {
            return;
        }
        random_pause(rng).await;
    }
}

/// Decides at random whether to resend a call, less often if it was acknowledged.
fn should_resend(outcome: &Outcome, rng: &mut StdRng) -> bool {
    let probability = match outcome {
        Outcome::Acknowledged { .. } => 0.3,
        _ => 0.8,
    };
    rng.random_bool(probability)
}

/// Makes calls without a key until the run ends. The service permits repeats of some of them only.
pub async fn make_unkeyed_calls(context: Arc<Context>, task: u64) {
    let mut rng = context.task_rng(task);
    for count in 0u64.. {
        if !context.is_running() {
            return;
        }
        let kind = match rng.random_bool(0.5) {
            true => CallKind::Repeatable,
            false => CallKind::NonRepeatable,
        };
        let host = context.random_host(&mut rng);
        let id = format!("call-{}-{task}-{count}", context.seed);
        make_call(&context, host, kind, &id).await;
        random_pause(&mut rng).await;
    }
}

/// Waits between two attempts, so that the callers' requests mix.
async fn random_pause(rng: &mut StdRng) {
    sleep(Duration::from_millis(rng.random_range(5..80))).await;
}

/// Makes one attempt and records it.
async fn make_call(context: &Context, host: HostAddresses, kind: CallKind, id: &str) -> Outcome {
    let authorization = format!("Bearer {}", api_key("brakeline"));
    let identifier = match kind {
        CallKind::Keyed => "idempotency-key",
        CallKind::Repeatable | CallKind::NonRepeatable => "x-request-id",
    };
    let headers = [("authorization", authorization.as_str()), (identifier, id)];
    let (method, body) = match kind {
        CallKind::Repeatable => (Method::GET, String::new()),
        CallKind::Keyed | CallKind::NonRepeatable => (Method::POST, format!("punch for {id}")),
    };
    let begin = context.recorder.now_us();
    let sent = client::send(host.listen, method, "/shop/orders", &headers, &body);
    let outcome = match timeout(ANSWER_TIMEOUT, sent).await {
        Ok((status, text)) => classify(status, text),
        Err(_) => Outcome::Lost,
    };
    context.recorder.history().attempts.push(Attempt {
        key: id.to_owned(),
        kind,
        host: host.id,
        digest: sha256_hex(&body),
        span: context.recorder.span_since(begin),
        outcome: outcome.clone(),
    });
    outcome
}

/// The outcome that a response states. Status 0 means that no response arrived.
fn classify(status: u16, text: String) -> Outcome {
    let answer: Value = serde_json::from_str(&text).unwrap_or_default();
    let code = answer["error"]["code"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    match (status, answer["error"]["run"].as_str()) {
        (0, _) => Outcome::Lost,
        (200, _) if answer["key"].is_string() => Outcome::Acknowledged {
            key: answer["key"].as_str().unwrap_or_default().to_owned(),
            digest: answer["digest"].as_str().unwrap_or_default().to_owned(),
            text,
        },
        (400.., Some("not_run")) if code != "key_conflict" => Outcome::NotRun(code),
        (400.., Some("unknown")) => Outcome::Unknown(code),
        _ => Outcome::Unexpected(format!("{status} {text}")),
    }
}
