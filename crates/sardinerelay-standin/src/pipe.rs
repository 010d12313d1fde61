//! A single proxied connection with its injected faults.
//!
//! Data held back by a fault stays queued and is forwarded once the fault is cleared, as TCP would
//! retransmit it; only a silent connection never forwards data again. Ends of stream and resets are
//! held back like data, so that a partitioned peer does not notice them.

use {
    bytes::{Bytes, BytesMut},
    rand::{Rng, SeedableRng, rngs::StdRng},
    serde::{Deserialize, Serialize},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpStream,
            tcp::{ReadHalf, WriteHalf},
        },
        sync::{mpsc, watch},
        time::{Instant, sleep_until},
    },
};

/// Maximum number of bytes per read.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Chunks queued in each direction of a connection before reading from the sender pauses.
const MAX_QUEUED_CHUNKS: usize = 64;
/// Maximum number of bytes per write under a bandwidth limit, so that connections share the limit
/// evenly.
const MAX_THROTTLED_WRITE_BYTES: usize = 1024;

/// Direction of data on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the caller to the target.
    Up,
    /// From the target to the caller.
    Down,
}

/// Which data a route forwards.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// All data.
    #[default]
    Pass,
    /// None: new connections are refused and open ones are reset.
    Cut,
    /// None: connections are accepted and stay open, but no data is forwarded.
    BlackHole,
    /// Only data in the given direction.
    HalfOpen(Direction),
}

/// Faults of a route that are currently in effect.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Fault {
    /// Which data the route forwards.
    pub mode: Mode,
    /// Delay of each chunk.
    pub delay: Duration,
    /// Upper bound of a random addition to the delay.
    pub jitter: Duration,
    /// Bandwidth limit in each direction, shared by all connections of the route.
    pub bytes_per_second: Option<u64>,
    /// Connections with a lower number no longer forward data.
    pub silent_before: u64,
    /// Number of cuts so far. A connection ends when it increases.
    pub cuts: u64,
}

/// Counters of a route.
#[derive(Debug, Default)]
pub struct Counters {
    /// Bytes forwarded to the target.
    pub bytes_up: AtomicU64,
    /// Bytes forwarded to the caller.
    pub bytes_down: AtomicU64,
    /// Number of connections accepted, which is also the number of the next connection.
    pub accepted_connections: AtomicU64,
    /// Number of open connections, including silent ones.
    pub open_connections: AtomicU64,
    /// Time from which the bandwidth limit allows the next byte, for each direction.
    next_free: [Mutex<Option<Instant>>; 2],
}

/// What a connection needs from its route.
#[derive(Debug, Clone)]
pub struct Connection {
    /// Number of the connection on its route, from 0.
    pub number: u64,
    /// Number of cuts of the route when the connection was accepted.
    pub cuts: u64,
    /// Faults of the route.
    pub fault: watch::Receiver<Fault>,
    /// Counters of the route, shared by all its connections.
    pub counters: Arc<Counters>,
    /// Seed of the jitter.
    pub seed: u64,
}

enum Chunk {
    Data(Bytes),
    End,
    Reset,
}

struct QueuedChunk {
    due: Instant,
    chunk: Chunk,
}

/// Forwards a caller's connection to the target until both directions have ended, one fails, or the
/// route is cut. A failure or a cut resets both sides.
pub async fn forward_connection(
    mut caller: TcpStream,
    target: SocketAddr,
    mut connection: Connection,
) {
    let mut fault = connection.fault.clone();
    let cuts = connection.cuts;
    let cut = async move {
        let is_cut = |fault: &Fault| fault.cuts != cuts || fault.mode == Mode::Cut;
        let _ = fault.wait_for(is_cut).await;
    };
    tokio::pin!(cut);
    let connected = tokio::select! {
        biased;
        () = &mut cut => Err(io::ErrorKind::ConnectionReset.into()),
        connected = connection.connect(target) => connected,
    };
    let mut server = match connected {
        Ok(server) => server,
        Err(_) => return reset_on_close(&caller),
    };
    let forwarded = tokio::select! {
        biased;
        () = &mut cut => Err(io::ErrorKind::ConnectionReset.into()),
        forwarded = connection.forward(&mut caller, &mut server) => forwarded,
    };
    if forwarded.is_err() {
        reset_on_close(&caller);
        reset_on_close(&server);
    }
}

/// Sleeps until the given time. Returns immediately if it has passed, since the runtime's timer
/// would wait until the next millisecond.
async fn sleep_until_due(time: Instant) {
    if time > Instant::now() {
        sleep_until(time).await;
    }
}

/// Makes the socket send a reset when it is closed.
fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::debug!("set_zero_linger failed: {error}");
    }
}

impl Connection {
    async fn connect(&mut self, target: SocketAddr) -> io::Result<TcpStream> {
        let number = self.number;
        self.fault
            .wait_for(|fault| fault.mode != Mode::BlackHole && number >= fault.silent_before)
            .await
            .map_err(io::Error::other)?;
        let server = TcpStream::connect(target).await?;
        server.set_nodelay(true)?;
        Ok(server)
    }

    async fn forward(&self, caller: &mut TcpStream, server: &mut TcpStream) -> io::Result<()> {
        caller.set_nodelay(true)?;
        let (from_caller, to_caller) = caller.split();
        let (from_server, to_server) = server.split();
        tokio::try_join!(
            self.transfer(Direction::Up, from_caller, to_server),
            self.transfer(Direction::Down, from_server, to_caller),
        )?;
        Ok(())
    }

    async fn transfer(
        &self,
        direction: Direction,
        from: ReadHalf<'_>,
        to: WriteHalf<'_>,
    ) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        tokio::try_join!(
            self.read(direction, from, sender),
            self.write(direction, receiver, to),
        )?;
        Ok(())
    }

    async fn read(
        &self,
        direction: Direction,
        mut from: ReadHalf<'_>,
        queue: mpsc::Sender<QueuedChunk>,
    ) -> io::Result<()> {
        let salt = self.number * 2 + direction as u64;
        let mut random = StdRng::seed_from_u64(self.seed ^ salt);
        let mut due = Instant::now();
        loop {
            let mut buffer = BytesMut::with_capacity(MAX_READ_BYTES);
            let chunk = match from.read_buf(&mut buffer).await {
                Ok(0) => Chunk::End,
                Ok(_) => Chunk::Data(buffer.freeze()),
                Err(_) => Chunk::Reset,
            };
            let is_last = !matches!(chunk, Chunk::Data(_));
            // A chunk must not overtake the one before it.
            due = due.max(Instant::now() + self.delay(&mut random));
            if queue.send(QueuedChunk { due, chunk }).await.is_err() || is_last {
                return Ok(());
            }
        }
    }

    async fn write(
        &self,
        direction: Direction,
        mut queue: mpsc::Receiver<QueuedChunk>,
        mut to: WriteHalf<'_>,
    ) -> io::Result<()> {
        while let Some(QueuedChunk { due, chunk }) = queue.recv().await {
            sleep_until_due(due).await;
            match chunk {
                Chunk::Data(data) => self.write_data(direction, data, &mut to).await?,
                Chunk::End => {
                    self.wait_until_open(direction).await;
                    let _ = to.shutdown().await;
                }
                Chunk::Reset => {
                    self.wait_until_open(direction).await;
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
            }
        }
        Ok(())
    }

    async fn write_data(
        &self,
        direction: Direction,
        mut data: Bytes,
        to: &mut WriteHalf<'_>,
    ) -> io::Result<()> {
        while !data.is_empty() {
            let limit = self.fault.borrow().bytes_per_second;
            let part = match limit {
                Some(limit) => {
                    let part = data.split_to(data.len().min(MAX_THROTTLED_WRITE_BYTES));
                    let free = self
                        .counters
                        .reserve_bandwidth(direction, part.len(), limit);
                    sleep_until_due(free).await;
                    part
                }
                None => data.split_to(data.len()),
            };
            self.wait_until_open(direction).await;
            if let Err(error) = to.write_all(&part).await {
                // The receiver has closed its side. The sender may only notice if the opposite
                // direction is open.
                self.wait_until_open(direction.opposite()).await;
                return Err(error);
            }
            self.counters
                .bytes(direction)
                .fetch_add(part.len() as u64, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits until the route forwards this connection's data in the given direction.
    async fn wait_until_open(&self, direction: Direction) {
        let number = self.number;
        let mut fault = self.fault.clone();
        let is_forwarded = |fault: &Fault| {
            number >= fault.silent_before
                && match fault.mode {
                    Mode::Pass => true,
                    Mode::Cut | Mode::BlackHole => false,
                    Mode::HalfOpen(open) => open == direction,
                }
        };
        // The sender lives as long as the route, so that an error means the proxy is stopping.
        let _ = fault.wait_for(is_forwarded).await;
    }

    fn delay(&self, random: &mut StdRng) -> Duration {
        let fault = self.fault.borrow();
        let share: f64 = random.random();
        fault.delay + fault.jitter.mul_f64(share)
    }
}

impl Counters {
    /// Returns the counter of bytes forwarded in the given direction.
    pub fn bytes(&self, direction: Direction) -> &AtomicU64 {
        match direction {
            Direction::Up => &self.bytes_up,
            Direction::Down => &self.bytes_down,
        }
    }

    /// Reserves bandwidth for a number of bytes and returns the time from which they may be sent.
    fn reserve_bandwidth(&self, direction: Direction, bytes: usize, per_second: u64) -> Instant {
        let now = Instant::now();
        let mut free = self.next_free[direction as usize]
            .lock()
            .expect("no thread panics while it holds the lock");
        let start = free.map_or(now, |free| free.max(now));
        let end = start
            + Duration::try_from_secs_f64(bytes as f64 / per_second.max(1) as f64)
                .unwrap_or_default();
        *free = Some(end);
        end
    }
}

impl Direction {
    /// Returns the opposite direction.
    pub fn opposite(self) -> Self {
        match self {
            Self::Up => Self::Down,
            Self::Down => Self::Up,
        }
    }
}
