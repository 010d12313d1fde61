//! The state that replicas in memory apply to.

use {
    bytes::Bytes,
    sardinerelay::{
        id::{Host, Index},
        raft::Entry,
    },
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// Larger than a chunk, so that a snapshot takes several messages.
const SNAPSHOT_PADDING_BYTES: usize = 5000;

/// Applied state: enough to compare two machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Machine {
    pub applied: Index,
    pub digest: u64,
}

impl Machine {
    pub fn apply(&mut self, entry: &Entry) {
        assert_eq!(entry.position.index, self.applied + 1, "applied with a gap");
        let mut hasher = DefaultHasher::new();
        self.digest.hash(&mut hasher);
        format!("{entry:?}").hash(&mut hasher);
        self.digest = hasher.finish();
        self.applied += 1;
    }

    /// The encoding differs between hosts, as that of a hash map may.
    pub fn save(&self, host: Host) -> Bytes {
        let mut data = self.applied.to_le_bytes().to_vec();
        data.extend(self.digest.to_le_bytes());
        data.resize(SNAPSHOT_PADDING_BYTES, host as u8);
        Bytes::from(data)
    }

    pub fn restore(data: &[u8]) -> Self {
        let padding = &data[16..];
        assert_eq!(data.len(), SNAPSHOT_PADDING_BYTES);
        let mixed = padding.iter().any(|byte| *byte != padding[0]);
        assert!(!mixed, "snapshot with parts of two encodings");
        let number = |range| u64::from_le_bytes(<[u8; 8]>::try_from(&data[range]).unwrap());
        Self {
            applied: number(0..8),
            digest: number(8..16),
        }
    }
}
