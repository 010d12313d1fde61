//! What must hold of all replicas after every step.

use {
    super::Group,
    sardinerelay::{
        id::Index,
        raft::{Entry, Role},
    },
    std::collections::BTreeMap,
};

impl Group {
    /// Election safety, leader completeness, and exclusiveness of the lease.
    pub(super) fn check_leaders(&mut self) {
        let seed = self.seed;
        let mut newest = 0;
        for host in self.alive() {
            let replica = self.nodes[&host].replica.as_ref().unwrap();
            let status = replica.status();
            if status.role != Role::Leader {
                continue;
            }
            let known = *self.leaders.entry(status.term).or_insert(host);
            assert_eq!(known, host, "seed {seed}: two leaders in one term");
            let earlier = self.committed.iter().rev();
            let known = earlier
                .map(|entry| entry.position)
                .find(|at| at.term < status.term);
            let complete = known <= Some(status.last);
            assert!(complete, "seed {seed}: leader lacks entries");
            match replica.lease().map(|lease| lease.expires_at()) {
                Some(Some(until)) => _ = self.leases.insert(host, (status.term, until)),
                Some(None) => {}
                None => _ = self.leases.remove(&host),
            }
            newest = newest.max(status.term);
        }
        for (&host, &(term, until)) in &self.leases {
            let over = term >= newest || until <= self.clock(host);
            assert!(over, "seed {seed}: newer leader within the lease of {host}");
        }
    }

    /// Log matching: where two logs agree on a place, they agree on everything before it.
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
            let mut agreed = false;
            for (index, entry) in left.iter().rev() {
                let Some(other) = right.get(index) else {
                    continue;
                };
                agreed |= entry.position == other.position;
                assert!(!agreed || entry == other, "seed {}: logs differ", self.seed);
            }
        }
    }
}
