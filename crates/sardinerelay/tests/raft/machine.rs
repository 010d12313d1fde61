//! The state machine of simulated replicas.

use {
    bytes::Bytes,
    sardinerelay::{
        id::{Host, Index},
        raft::Entry,
    },
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// Size of a snapshot; larger than a chunk, so that it takes several messages.
const SNAPSHOT_BYTES: usize = 5000;

/// Last applied index and a digest of all applied entries, to compare machines.
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

    /// Encodes the state. The padding differs between hosts, so that a snapshot with parts of two
    /// encodings is noticed. A real encoding may differ too, for example that of a hash map.
    pub fn save(&self, host: Host) -> Bytes {
        let mut data = self.applied.to_le_bytes().to_vec();
        data.extend(self.digest.to_le_bytes());
        data.resize(SNAPSHOT_BYTES, host as u8);
        Bytes::from(data)
    }

    pub fn restore(data: &[u8]) -> Self {
        let padding = &data[16..];
        assert_eq!(data.len(), SNAPSHOT_BYTES);
        let is_mixed = padding.iter().any(|byte| *byte != padding[0]);
        assert!(!is_mixed, "snapshot with parts of two encodings");
        let read_u64 = |range| u64::from_le_bytes(<[u8; 8]>::try_from(&data[range]).unwrap());
        Self {
            applied: read_u64(0..8),
            digest: read_u64(8..16),
        }
    }
}
