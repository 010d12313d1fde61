//! The digest by which a follower sees whether its list is the publisher's.

use {
    super::Instance,
    sha2::{Digest as _, Sha256},
};

/// Digest of a list: the sum of the digests of its instances, so that it doesn't depend on their
/// order and changes with each of them at little cost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Digest(u64);

impl Digest {
    /// Adds an instance to the list.
    pub fn add(&mut self, instance: &Instance) {
        self.0 = self.0.wrapping_add(of(instance));
    }

    /// Removes an instance from the list.
    pub fn remove(&mut self, instance: &Instance) {
        self.0 = self.0.wrapping_sub(of(instance));
    }

    /// Returns the digest as it is sent.
    pub fn value(self) -> u32 {
        self.0 as u32
    }
}

/// Returns the digest of all that is sent of an instance except the time for which it is slow. The
/// hash function is the same in all releases, since two of them run side by side.
fn of(instance: &Instance) -> u64 {
    let mut hasher = Sha256::new();
    for text in [
        &instance.target,
        &instance.service,
        &instance.zone,
        &instance.build,
    ] {
        hasher.update((text.len() as u64).to_le_bytes());
        hasher.update(text);
    }
    hasher.update(instance.incarnation.to_le_bytes());
    hasher.update(instance.address.to_string());
    hasher.update(instance.slots.to_le_bytes());
    hasher.update([u8::from(instance.leaving)]);
    let digest: [u8; 32] = hasher.finalize().into();
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(head)
}
