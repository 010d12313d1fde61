//! Callers that read streamed answers of a model.

use {
    crate::{
        client::{self, Event},
        harness::api_key,
        history::{Connection, ConnectionEnd, Stream},
        testbed::{Context, HostAddresses},
    },
    rand::{Rng, rngs::StdRng},
    serde_json::{Value, json},
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
    uuid::Uuid,
};

/// How long a caller waits for the next event. It exceeds the daemon's own timeouts, so that a
/// stream ends with an error before.
const EVENT_TIMEOUT: Duration = Duration::from_secs(12);

/// Highest number of connections of one resumable stream.
const MAX_CONNECTIONS: usize = 6;

/// Requests streams until the run ends. Some are resumable, and are resumed through a random host
/// when their connection ends early.
pub async fn open_streams(context: Arc<Context>, task: u64) {
    let mut rng = context.task_rng(task);
    for count in 0u64.. {
        if !context.is_running() {
            return;
        }
        let prompt = format!("bend {} {task} {count}", context.seed);
        let stream = read_stream(&context, &prompt, &mut rng).await;
        context.recorder.history().streams.push(stream);
        sleep(Duration::from_millis(rng.random_range(5..100))).await;
    }
}

/// Requests one stream and reads it until it ends, can't be resumed or has had [`MAX_CONNECTIONS`].
async fn read_stream(context: &Context, prompt: &str, rng: &mut StdRng) -> Stream {
    let tokens = rng.random_range(1..400);
    let resumable = rng.random_bool(0.6);
    let text = json!(prompt).to_string();
    let fingerprint = sardinerelay_standin::engine::fingerprint(&text);
    let mut stream = Stream {
        fingerprint: format!("{fingerprint:08x}"),
        requested_tokens: tokens,
        connections: Vec::new(),
    };
    let mut last_id = None;
    while stream.connections.len() < MAX_CONNECTIONS {
        let host = context.random_host(rng);
        let connection = match &last_id {
            None => begin_stream(context, host, prompt, tokens, resumable, &mut last_id).await,
            Some(_) => resume_stream(context, host, &mut last_id).await,
        };
        let ended = matches!(
            connection.end,
            ConnectionEnd::Done | ConnectionEnd::Error(_)
        );
        let resumed = !stream.connections.is_empty();
        stream.connections.push(connection);
        if ended || !resumable || last_id.is_none() {
            return stream;
        }
        if resumed {
            sleep(Duration::from_millis(200)).await;
        }
    }
    stream
}

/// Opens a stream and reads its first connection.
async fn begin_stream(
    context: &Context,
    host: HostAddresses,
    prompt: &str,
    tokens: usize,
    resumable: bool,
    last_id: &mut Option<String>,
) -> Connection {
    let request = Uuid::new_v4().simple().to_string();
    let mut headers = vec![("x-request-id", request.as_str())];
    if resumable {
        headers.push(("x-sardinerelay-resume", "true"));
    }
    let begin = context.recorder.now_us();
    let key = api_key("harakeke");
    let opened = client::open_stream(host.listen, &key, prompt, tokens as u64, &headers);
    let opened = timeout(EVENT_TIMEOUT, opened).await;
    read_connection(context, host, &request, begin, opened, last_id).await
}

/// Resumes a stream after the event `last_id` and reads the connection.
async fn resume_stream(
    context: &Context,
    host: HostAddresses,
    last_id: &mut Option<String>,
) -> Connection {
    let begin = context.recorder.now_us();
    let id = last_id.clone().unwrap_or_default();
    let key = api_key("harakeke");
    let opened = timeout(EVENT_TIMEOUT, client::resume_stream(host.listen, &key, &id)).await;
    read_connection(context, host, "resumed", begin, opened, last_id).await
}

/// A stream, a refusal with its status and body, or a timeout.
type OpenResult =
    Result<Result<client::EventStream, (http::StatusCode, Value)>, tokio::time::error::Elapsed>;

/// Reads a connection to its end. Sets `last_id` to the ID of the last event.
async fn read_connection(
    context: &Context,
    host: HostAddresses,
    request: &str,
    begin: u64,
    opened: OpenResult,
    last_id: &mut Option<String>,
) -> Connection {
    let mut tokens = Vec::new();
    let end = match opened {
        Ok(Ok(mut stream)) => {
            let end = read_tokens(&mut stream, &mut tokens).await;
            if let Some(id) = stream.last_id {
                *last_id = Some(id);
            }
            end
        }
        Ok(Err((_, answer))) => ConnectionEnd::Refused {
            not_run: answer["error"]["run"] == "not_run",
            code: answer["error"]["code"]
                .as_str()
                .unwrap_or("none")
                .to_owned(),
        },
        Err(_) => ConnectionEnd::Abandoned,
    };
    Connection {
        request: request.to_owned(),
        host: host.id,
        span: context.recorder.span_since(begin),
        tokens,
        end,
    }
}

/// Collects the tokens of a connection and returns how it ended.
async fn read_tokens(stream: &mut client::EventStream, tokens: &mut Vec<String>) -> ConnectionEnd {
    loop {
        match timeout(EVENT_TIMEOUT, stream.next()).await {
            Ok(Event::Token(text)) => tokens.push(text),
            Ok(Event::Usage(_)) => {}
            Ok(Event::Error(code)) => return ConnectionEnd::Error(code),
            Ok(Event::Done) => return ConnectionEnd::Done,
            Ok(Event::Closed) => return ConnectionEnd::Closed,
            Err(_) => return ConnectionEnd::Abandoned,
        }
    }
}
