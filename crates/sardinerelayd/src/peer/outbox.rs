//! A bounded queue of messages to one other host.

use {
    super::{Client, Packed},
    log::debug,
    sardinerelay::{
        id::Host,
        raft::{Body, Message, Payload},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{sync::Notify, time::sleep},
};

/// The notification that carries messages of the consensus.
pub const STEP: &str = "raft.step";

/// Bytes that wait for one host. It exceeds what a leader sends without an answer.
const QUEUE_BYTES: usize = 8 << 20;

/// Bytes in one notification, unless a single message is larger.
const BATCH_BYTES: usize = 1 << 20;

/// Bytes that a message takes beside its content.
const OVERHEAD_BYTES: usize = 64;

/// A batch of messages.
#[derive(Debug, Serialize, Deserialize)]
pub struct Step {
    /// The sender.
    pub from: Host,
    /// The replica that the messages are for. Another one may run at its address by now.
    pub to: Host,
    /// The messages, in the order in which they were sent.
    pub messages: Packed<Vec<Message>>,
}

/// A bounded queue of messages to one other host. When it is full, the oldest messages are
/// dropped: the consensus tolerates loss, and newer messages supersede them.
#[derive(Debug, Default)]
pub struct Outbox {
    queue: Mutex<Queue>,
    filled: Notify,
}

#[derive(Debug, Default)]
struct Queue {
    messages: VecDeque<Message>,
    bytes: usize,
}

impl Outbox {
    /// Adds a message.
    pub fn push(&self, message: Message) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.bytes += size(&message);
        queue.messages.push_back(message);
        while queue.bytes > QUEUE_BYTES && queue.messages.len() > 1 {
            queue.pop();
        }
        self.filled.notify_one();
    }

    /// Sends what is queued, for ever. `pause` is the time to wait after a failure.
    pub async fn run(
        self: Arc<Self>,
        (from, to): (Host, Host),
        client: Arc<Client>,
        pause: Duration,
    ) {
        loop {
            let messages = self.batch();
            if messages.is_empty() {
                self.filled.notified().await;
                continue;
            }
            let step = Step {
                from,
                to,
                messages: Packed(messages),
            };
            if let Err(error) = client.notify(STEP, &step, pause * 10).await {
                debug!("messages to {} are lost: {error}", client.address());
                sleep(pause).await;
            }
        }
    }

    fn batch(&self) -> Vec<Message> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let mut bytes = 0;
        let mut batch = Vec::new();
        while let Some(message) = queue.messages.front() {
            bytes += size(message);
            if bytes > BATCH_BYTES && !batch.is_empty() {
                break;
            }
            batch.extend(queue.pop());
        }
        batch
    }
}

impl Queue {
    fn pop(&mut self) -> Option<Message> {
        let message = self.messages.pop_front()?;
        self.bytes -= size(&message);
        Some(message)
    }
}

fn size(message: &Message) -> usize {
    let content = match &message.body {
        Body::Append(append) => append
            .entries
            .iter()
            .map(|entry| match &entry.payload {
                Payload::Data(data) => OVERHEAD_BYTES + data.len(),
                Payload::Empty | Payload::Membership(_) => OVERHEAD_BYTES,
            })
            .sum(),
        Body::Chunk(chunk) => chunk.data.len(),
        _ => 0,
    };
    OVERHEAD_BYTES + content
}
