//! Invariants of a group.

use {
    super::Group,
    sardinerelay::{
        id::Index,
        raft::{Entry, Role},
    },
    std::collections::BTreeMap,
};

impl Group {
    /// Checks that no term has two leaders, that a leader has all entries committed in earlier
    /// terms, and that no newer leader exists while a lease is held.
    pub(super) fn check_leaders(&mut self) {
        let seed = self.seed;
        let mut highest_term = 0;
        for host in self.alive() {
            let replica = self.nodes[&host].replica.as_ref().unwrap();
            let status = replica.status();
            if status.role != Role::Leader {
                continue;
            }
            let known = *self.leader_by_term.entry(status.term).or_insert(host);
            assert_eq!(known, host, "seed {seed}: two leaders in one term");
            let earlier = self.committed.iter().rev();
            let known = earlier
                .map(|entry| entry.position)
                .find(|at| at.term < status.term);
            let is_complete = known <= Some(status.last);
            assert!(is_complete, "seed {seed}: leader lacks entries");
            match replica.lease().map(|lease| lease.expires_at()) {
                Some(Some(until)) => _ = self.leases.insert(host, (status.term, until)),
                Some(None) => {}
                None => _ = self.leases.remove(&host),
            }
            highest_term = highest_term.max(status.term);
        }
        for (&host, &(term, until)) in &self.leases {
            let is_over = term >= highest_term || until <= self.clock(host);
            assert!(
                is_over,
                "seed {seed}: newer leader within the lease of {host}"
            );
        }
    }

    /// Checks the log matching property: if two logs have the same entry at an index, they are
    /// equal up to it.
    pub fn check_logs(&self) {
        let logs = self.nodes.values().map(|node| &node.disk.entries);
        let logs: Vec<BTreeMap<Index, &Entry>> = logs
            .map(|log| {
                log.iter()
                    .map(|entry| (entry.position.index, entry))
                    .collect()
            })
            .collect();
        for (left, right) in logs.iter().flat_map(|l| logs.iter().map(move |r| (l, r))) {
            let mut is_agreed = false;
            for (index, entry) in left.iter().rev() {
                let Some(other) = right.get(index) else {
                    continue;
                };
                is_agreed |= entry.position == other.position;
                assert!(
                    !is_agreed || entry == other,
                    "seed {}: logs differ",
                    self.seed
                );
            }
        }
    }
}
