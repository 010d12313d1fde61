//! Callers of the plain service.

use {
    crate::{
        client,
        harness::key,
        history::{Attempt, Kind, Outcome},
        scene::{Entry, Scene},
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
const PATIENCE: Duration = Duration::from_secs(5);

/// Attempts at one order.
const ATTEMPTS: u32 = 5;

/// Places orders under keys, and sends some again: at once, after a refusal, after a lost answer,
/// and after the answer.
pub async fn order(scene: Arc<Scene>, task: u64) {
    let mut random = scene.random(task);
    for count in 0u64.. {
        if !scene.is_running() {
            return;
        }
        let id = match random.random_bool(0.5) {
            true => Uuid::now_v7().to_string(),
            false => format!("order-{}-{task}-{count}", scene.seed),
        };
        place(&scene, &id, &mut random).await;
        pause(&mut random).await;
    }
}

async fn place(scene: &Scene, id: &str, random: &mut StdRng) {
    for _ in 0..ATTEMPTS {
        let first = call(scene, scene.pick(random), Kind::Keyed, id);
        let repeat = match random.random_bool(0.15) {
            true => {
                let second = call(scene, scene.pick(random), Kind::Keyed, id);
                let (first, second) = tokio::join!(first, second);
                again(&first, random) && again(&second, random)
            }
            false => again(&first.await, random),
        };
        if !repeat || !scene.is_running() {
            return;
        }
        pause(random).await;
    }
}

fn again(outcome: &Outcome, random: &mut StdRng) -> bool {
    let share = match outcome {
        Outcome::Acknowledged { .. } => 0.3,
        _ => 0.8,
    };
    random.random_bool(share)
}

/// Makes calls without a key: some may be repeated, some must not.
pub async fn ask(scene: Arc<Scene>, task: u64) {
    let mut random = scene.random(task);
    for count in 0u64.. {
        if !scene.is_running() {
            return;
        }
        let kind = match random.random_bool(0.5) {
            true => Kind::Repeatable,
            false => Kind::Single,
        };
        let host = scene.pick(&mut random);
        let id = format!("call-{}-{task}-{count}", scene.seed);
        call(&scene, host, kind, &id).await;
        pause(&mut random).await;
    }
}

async fn pause(random: &mut StdRng) {
    sleep(Duration::from_millis(random.random_range(5..80))).await;
}

async fn call(scene: &Scene, host: Entry, kind: Kind, id: &str) -> Outcome {
    let authorization = format!("Bearer {}", key("brakeline"));
    let identifier = match kind {
        Kind::Keyed => "idempotency-key",
        Kind::Repeatable | Kind::Single => "x-request-id",
    };
    let headers = [("authorization", authorization.as_str()), (identifier, id)];
    let (method, body) = match kind {
        Kind::Repeatable => (Method::GET, String::new()),
        Kind::Keyed | Kind::Single => (Method::POST, format!("punch for {id}")),
    };
    let begin = scene.recorder.now();
    let sent = client::send(host.listen, method, "/shop/orders", &headers, &body);
    let outcome = match timeout(PATIENCE, sent).await {
        Ok((status, text)) => outcome(status, text),
        Err(_) => Outcome::Lost,
    };
    scene.recorder.history().attempts.push(Attempt {
        key: id.to_owned(),
        kind,
        host: host.id,
        digest: sha256_hex(&body),
        span: scene.recorder.since(begin),
        outcome: outcome.clone(),
    });
    outcome
}

/// What an answer says. An answer without a status never arrived.
fn outcome(status: u16, text: String) -> Outcome {
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
