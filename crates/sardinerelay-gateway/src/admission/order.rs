//! The order in which the requests of the queue are placed, and the waits that follow from it.

use {
    super::{Queue, Waiter, cost, service::Service},
    crate::targets::RunId,
    sardinerelay::id::{self, Organisation},
    std::{
        collections::{BTreeSet, HashMap},
        time::{Duration, Instant},
    },
};

impl Queue {
    /// Returns the positions of the requests in the order in which they are placed.
    pub(super) fn order(&self) -> Vec<usize> {
        let mut by_arrival: Vec<usize> = (0..self.waiters.len()).collect();
        by_arrival.sort_by_key(|index| self.waiters[*index].since);
        let mut starts: HashMap<(u8, &Organisation), f64> = HashMap::new();
        let start = |index: usize| {
            let need = &self.waiters[index].waiter.need;
            let flow = (need.priority, &need.organisation);
            let next = starts.entry(flow);
            let next = next.or_insert_with(|| self.clock.next_start(flow.0, flow.1));
            let start = *next;
            *next += cost(need).0 / self.clock.weight(flow.1);
            (need.priority, start, index)
        };
        let mut order: Vec<(u8, f64, usize)> = by_arrival.into_iter().map(start).collect();
        // The sort is stable, so that arrival decides between equal virtual times.
        order.sort_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
        order.into_iter().map(|(_, _, index)| index).collect()
    }

    /// Returns the order in which requests are tried, and whether each goes first because its
    /// priority is owed a share. One request of each service and priority does so at a time, once
    /// half of its waiting time has passed: short requests cost so little that they would otherwise
    /// always go before the urgent long ones that they take room from.
    pub(super) fn order_with_owed(&self, now: Instant) -> Vec<(usize, bool)> {
        let mut owed = BTreeSet::new();
        let mut seen: BTreeSet<(&id::Service, u8)> = BTreeSet::new();
        let order = self.order();
        for index in &order {
            let waiter = &self.waiters[*index].waiter;
            let need = &waiter.need;
            let service = self.services.get(&need.service);
            let covers = |service: &Service| {
                waiter.is_overdue(now) && service.guarantee.covers(need.priority, cost(need))
            };
            if seen.insert((&need.service, need.priority)) && service.is_some_and(covers) {
                owed.insert(*index);
            }
        }
        let first = owed.iter().map(|index| (*index, true));
        let rest = order.iter().filter(|index| !owed.contains(index));
        first.chain(rest.map(|index| (*index, false))).collect()
    }

    /// Returns the expected wait of a request in the queue.
    pub(super) fn expected_wait(&self, run: RunId) -> Duration {
        let (mut ahead, mut ahead_of_priority) = (0, 0);
        let Some(own) = self.waiters.iter().find(|queued| queued.waiter.run == run) else {
            return Duration::ZERO;
        };
        let own = &own.waiter.need;
        for index in self.order() {
            let Waiter {
                run: other, need, ..
            } = &self.waiters[index].waiter;
            if *other == run {
                break;
            }
            if need.service == own.service {
                ahead += need.total_tokens();
                ahead_of_priority += need.total_tokens() * u64::from(need.priority == own.priority);
            }
        }
        let service = self.services.get(&own.service);
        service.map_or(Duration::ZERO, |service| {
            service.expected_wait(ahead, ahead_of_priority)
        })
    }
}
