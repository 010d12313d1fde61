//! Callers of the models.

use {
    crate::{
        client::{self, Event},
        harness::key,
        history::{Delivery, End, Part},
        scene::{Entry, Scene},
    },
    rand::{Rng, rngs::StdRng},
    serde_json::{Value, json},
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
    uuid::Uuid,
};

/// How long a caller waits for the next token. Longer than the product's own deadlines.
const PATIENCE: Duration = Duration::from_secs(12);

/// Connections of one resumable stream.
const CONNECTIONS: usize = 6;

/// Asks for streams. Some are resumable; the caller continues those elsewhere when they break.
pub async fn read(scene: Arc<Scene>, task: u64) {
    let mut random = scene.random(task);
    for count in 0u64.. {
        if !scene.is_running() {
            return;
        }
        let prompt = format!("bend {} {task} {count}", scene.seed);
        let delivery = one(&scene, &prompt, &mut random).await;
        scene.recorder.history().deliveries.push(delivery);
        sleep(Duration::from_millis(random.random_range(5..100))).await;
    }
}

async fn one(scene: &Scene, prompt: &str, random: &mut StdRng) -> Delivery {
    let tokens = random.random_range(1..400);
    let resumable = random.random_bool(0.6);
    let text = json!(prompt).to_string();
    let fingerprint = sardinerelay_standin::engine::fingerprint(&text);
    let mut delivery = Delivery {
        fingerprint: format!("{fingerprint:08x}"),
        tokens,
        parts: Vec::new(),
    };
    let mut last_id = None;
    while delivery.parts.len() < CONNECTIONS {
        let host = scene.pick(random);
        let part = match &last_id {
            None => begin(scene, host, prompt, tokens, resumable, &mut last_id).await,
            Some(_) => resume(scene, host, &mut last_id).await,
        };
        let ended = matches!(part.end, End::Done | End::Error(_));
        let resumed = !delivery.parts.is_empty();
        delivery.parts.push(part);
        if ended || !resumable || last_id.is_none() {
            return delivery;
        }
        if resumed {
            sleep(Duration::from_millis(200)).await;
        }
    }
    delivery
}

async fn begin(
    scene: &Scene,
    host: Entry,
    prompt: &str,
    tokens: usize,
    resumable: bool,
    last_id: &mut Option<String>,
) -> Part {
    let request = Uuid::new_v4().simple().to_string();
    let mut headers = vec![("x-request-id", request.as_str())];
    if resumable {
        headers.push(("x-sardinerelay-resume", "true"));
    }
    let at = scene.recorder.now();
    let key = key("harakeke");
    let opened = client::stream(host.listen, &key, prompt, tokens as u64, &headers);
    let opened = timeout(PATIENCE, opened).await;
    collect(scene, host, &request, at, opened, last_id).await
}

async fn resume(scene: &Scene, host: Entry, last_id: &mut Option<String>) -> Part {
    let at = scene.recorder.now();
    let id = last_id.clone().unwrap_or_default();
    let key = key("harakeke");
    let opened = timeout(PATIENCE, client::resume(host.listen, &key, &id)).await;
    collect(scene, host, "resumed", at, opened, last_id).await
}

type Opened =
    Result<Result<client::Stream, (http::StatusCode, Value)>, tokio::time::error::Elapsed>;

async fn collect(
    scene: &Scene,
    host: Entry,
    request: &str,
    begin: u64,
    opened: Opened,
    last_id: &mut Option<String>,
) -> Part {
    let mut tokens = Vec::new();
    let end = match opened {
        Ok(Ok(mut stream)) => {
            let end = tail(&mut stream, &mut tokens).await;
            if let Some(id) = stream.last_id {
                *last_id = Some(id);
            }
            end
        }
        Ok(Err((_, answer))) => End::Refused {
            not_run: answer["error"]["run"] == "not_run",
            code: answer["error"]["code"]
                .as_str()
                .unwrap_or("none")
                .to_owned(),
        },
        Err(_) => End::Abandoned,
    };
    Part {
        request: request.to_owned(),
        host: host.id,
        span: scene.recorder.since(begin),
        tokens,
        end,
    }
}

async fn tail(stream: &mut client::Stream, tokens: &mut Vec<String>) -> End {
    loop {
        match timeout(PATIENCE, stream.next()).await {
            Ok(Event::Token(text)) => tokens.push(text),
            Ok(Event::Usage(_)) => {}
            Ok(Event::Error(code)) => return End::Error(code),
            Ok(Event::Done) => return End::Done,
            Ok(Event::Closed) => return End::Closed,
            Err(_) => return End::Abandoned,
        }
    }
}
