//! Bounded queue of consensus messages to one other host.

use {
    super::{Client, Packed},
    crate::panics::keep_running,
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

/// The notification that carries a [`Step`].
pub const STEP: &str = "raft.step";

/// Bytes of messages that may wait for one host. The limit exceeds what a leader sends to a
/// follower that doesn't answer.
const MAX_QUEUED_BYTES: usize = 8 << 20;

/// Bytes of messages in one notification, unless a single message is larger.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// Estimated size of a message or log entry without its content.
const MESSAGE_OVERHEAD_BYTES: usize = 64;

/// A batch of consensus messages.
#[derive(Debug, Serialize, Deserialize)]
pub struct Step {
    /// The sending host.
    pub from: Host,
    /// The host that the messages are for. Another host may use its address by now.
    pub to: Host,
    /// The messages in the order of sending.
    pub messages: Packed<Vec<Message>>,
}

/// A bounded queue of messages to one other host. When it is full, it drops the oldest messages,
/// since the consensus tolerates loss and newer messages supersede older ones.
#[derive(Debug, Default)]
pub struct Outbox {
    queue: Mutex<Queue>,
    not_empty: Notify,
}

#[derive(Debug, Default)]
struct Queue {
    messages: VecDeque<Message>,
    bytes: usize,
}

impl Outbox {
    /// Queues a message, and drops older ones while the queue exceeds `MAX_QUEUED_BYTES`. The new
    /// one is always kept.
    pub fn push(&self, message: Message) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.bytes += estimated_size(&message);
        queue.messages.push_back(message);
        while queue.bytes > MAX_QUEUED_BYTES && queue.messages.len() > 1 {
            queue.pop();
        }
        self.not_empty.notify_one();
    }

    /// Sends queued messages until the task is dropped. `retry_pause` is the pause after a failure;
    /// a notification times out after ten times as long.
    pub async fn run(
        self: Arc<Self>,
        hosts: (Host, Host),
        client: Arc<Client>,
        retry_pause: Duration,
    ) {
        keep_running("send to a host", || {
            self.send_all(hosts, &client, retry_pause)
        })
        .await;
    }

    async fn send_all(&self, (from, to): (Host, Host), client: &Client, retry_pause: Duration) {
        loop {
            let messages = self.next_batch();
            if messages.is_empty() {
                self.not_empty.notified().await;
                continue;
            }
            let step = Step {
                from,
                to,
                messages: Packed(messages),
            };
            if let Err(error) = client.notify(STEP, &step, retry_pause * 10).await {
                debug!("lost messages to {}: {error}", client.address());
                sleep(retry_pause).await;
            }
        }
    }

    fn next_batch(&self) -> Vec<Message> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let mut bytes = 0;
        let mut batch = Vec::new();
        while let Some(message) = queue.messages.front() {
            bytes += estimated_size(message);
            if bytes > MAX_BATCH_BYTES && !batch.is_empty() {
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
        self.bytes -= estimated_size(&message);
        Some(message)
    }
}

fn estimated_size(message: &Message) -> usize {
    let content = match &message.body {
        Body::Append(append) => append
            .entries
            .iter()
            .map(|entry| match &entry.payload {
                Payload::Data(data) => MESSAGE_OVERHEAD_BYTES + data.len(),
                Payload::Empty | Payload::Membership(_) => MESSAGE_OVERHEAD_BYTES,
            })
            .sum(),
        Body::Chunk(chunk) => chunk.data.len(),
        _ => 0,
    };
    MESSAGE_OVERHEAD_BYTES + content
}
