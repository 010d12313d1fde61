//! Which voters read load reports, and which engines each of them reads.
//!
//! With few engines the leader reads all reports. With more, the leader divides the engines among itself and
//! the voters that offer to read. See `docs/design/load-reports.md`.

use {
    crate::observations::Instance,
    sardinerelay::id::Service,
    std::{
        collections::{BTreeMap, BTreeSet, HashSet},
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
};

/// Largest number of engines whose reports the leader reads alone. The messages to the leader cost more
/// than they save then.
pub const MAX_UNDIVIDED_ENGINES: usize = 100;
/// Time without a message, or without a read in the messages, after which a reader's engines are given to
/// others.
pub const MAX_SILENCE: Duration = Duration::from_secs(1);
/// Time for which a voter that was silent as a reader isn't chosen again. Messages that were queued while it was
/// cut off arrive before, and one that can't reach engines takes them away only for a fourth of the time.
pub const RETRY_DELAY: Duration = Duration::from_secs(3);
/// Smallest number of engines for which the ages of reports are computed while several hosts read. The
/// ages then cover the longest regular interval (1,000 ms), the silence of a reader that ended (1,000 ms), and the
/// ways of a report and of the changed readers.
const MIN_DIVIDED_ENGINES: usize = 300;
/// Largest number of voters beside the leader that read. With it, 12,000 engines are read in 3 s.
const MAX_READERS: usize = 32;
/// Parameters of the 64-bit FNV-1a hash. Hosts of several releases must agree, which the standard library's
/// hasher doesn't promise.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the engines that the host at address `own` reads: all if there are no `readers`, and otherwise
/// those for which it has the highest hash of reader and target.
pub fn share<'a>(
    readers: &[Ipv4Addr],
    mut engines: Vec<&'a Instance>,
    own: Ipv4Addr,
) -> Vec<&'a Instance> {
    if !readers.is_empty() {
        engines.retain(|engine| {
            let hash = fnv(engine.target.as_bytes());
            let reader = readers
                .iter()
                .max_by_key(|reader| (mixed(hash, **reader), **reader));
            reader == Some(&own)
        });
    }
    engines
}

/// Returns the number of engines: all targets of the services of which any has reported its load. Most may not
/// have been read yet. Each item is a target's service and whether the target has reported.
pub fn count_engines<'a, Targets>(targets: Targets) -> usize
where
    Targets: Iterator<Item = (&'a Service, bool)> + Clone,
{
    let reporting = targets.clone().filter(|(_, has_reported)| *has_reported);
    let services: HashSet<&Service> = reporting.map(|(service, _)| service).collect();
    let engines = targets.filter(|(service, _)| services.contains(service));
    engines.count()
}

/// Returns an upper bound of the number of engines whose reports one of these hosts reads, from which the ages
/// of reports are computed. Shares differ by about the square root of their size.
pub fn engines_per_reader(engines: usize, readers: usize) -> usize {
    if readers <= 1 {
        return engines;
    }
    let mean = engines as f64 / readers as f64;
    let largest = (mean + 3.0 * mean.sqrt()).ceil() as usize;
    largest.min(engines).max(MIN_DIVIDED_ENGINES)
}

fn fnv(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Combines a target's hash with a reader's address, by the finalizer of the SplitMix64 generator.
fn mixed(hash: u64, reader: Ipv4Addr) -> u64 {
    let mut mixed = hash ^ fnv(&reader.octets());
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// What the leader knows of a voter as a reader.
#[derive(Debug, Default)]
struct Voter {
    /// When its last message arrived.
    heard: Option<Instant>,
    /// When its last message with a read arrived, or when it became a reader.
    delivered: Option<Instant>,
    /// Until when it isn't chosen.
    barred_until: Option<Instant>,
}

/// The readers that the leader chooses.
#[derive(Debug, Default)]
pub struct Readers {
    voters: BTreeMap<Ipv4Addr, Voter>,
    chosen: Vec<Ipv4Addr>,
}

impl Readers {
    /// Returns the readers that were chosen last; none if the leader reads all reports.
    pub fn chosen(&self) -> &[Ipv4Addr] {
        &self.chosen
    }

    /// Records a message from a voter. Returns whether its reads are to be used, which is the case if it is a
    /// reader.
    pub fn record(&mut self, from: Ipv4Addr, has_reads: bool, now: Instant) -> bool {
        let is_known = self.voters.contains_key(&from);
        if !is_known && self.voters.len() >= MAX_READERS {
            return false;
        }
        let voter = self.voters.entry(from).or_default();
        voter.heard = Some(now);
        if has_reads {
            voter.delivered = Some(now);
        }
        self.chosen.contains(&from)
    }

    /// Chooses the readers of this many engines among the leader at address `own` and the voters in `heard`,
    /// from which the group's messages arrive. Returns whether they have changed.
    pub fn choose(
        &mut self,
        own: Ipv4Addr,
        engines: usize,
        heard: &BTreeSet<Ipv4Addr>,
        now: Instant,
    ) -> bool {
        let is_recent = |at: Option<Instant>| {
            at.is_some_and(|at| now.saturating_duration_since(at) < MAX_SILENCE)
        };
        let mut chosen = Vec::new();
        for (address, voter) in &mut self.voters {
            let was_chosen = self.chosen.contains(address);
            let is_present = heard.contains(address) && is_recent(voter.heard);
            let is_barred = voter.barred_until.is_some_and(|until| now < until);
            if was_chosen && !(is_present && is_recent(voter.delivered)) {
                voter.barred_until = Some(now + RETRY_DELAY);
            } else if is_present && !is_barred && *address != own {
                if !was_chosen {
                    voter.delivered = Some(now);
                }
                chosen.push(*address);
            }
        }
        self.voters.retain(|_, voter| {
            is_recent(voter.heard) || voter.barred_until.is_some_and(|until| now < until)
        });
        if engines <= MAX_UNDIVIDED_ENGINES || chosen.is_empty() {
            chosen.clear();
        } else {
            chosen.push(own);
            chosen.sort_unstable();
        }
        let has_changed = chosen != self.chosen;
        self.chosen = chosen;
        has_changed
    }
}
