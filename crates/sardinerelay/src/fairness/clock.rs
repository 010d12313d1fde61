//! Virtual times of organisations.

use {
    super::Cost,
    crate::id::Organisation,
    std::{
        collections::{BTreeMap, HashMap},
        time::Instant,
    },
};

/// Virtual times of organisations, for each priority.
#[derive(Debug, Default)]
pub struct Clock {
    flows: HashMap<(u8, Organisation), Flow>,
    /// Largest virtual time at which a request of the priority was placed.
    present: BTreeMap<u8, f64>,
    weights: HashMap<Organisation, f64>,
}

/// The requests of one organisation and priority.
#[derive(Debug)]
struct Flow {
    /// Virtual time at which its next request starts.
    next_start: f64,
    waiting: u32,
    used: Instant,
}

impl Clock {
    /// Largest number of organisations and priorities that are remembered.
    pub const MAX_FLOWS: usize = 4_096;
    /// Lead, in token-seconds per weight, that an organisation keeps over the others for having been
    /// idle. Three long generations take about that much.
    pub const MAX_CREDIT: f64 = 100_000.0;

    /// Sets the weights of organisations. The weight of others is 1.
    pub fn set_weights(&mut self, weights: HashMap<Organisation, f64>) {
        self.weights = weights;
    }

    /// Returns an organisation's weight.
    pub fn weight(&self, organisation: &str) -> f64 {
        self.weights.get(organisation).copied().unwrap_or(1.0)
    }

    /// Records that a request begins to wait. An organisation none of whose requests waited loses
    /// the lead beyond `MAX_CREDIT`; a new one has none.
    pub fn join(&mut self, priority: u8, organisation: &Organisation, now: Instant) {
        let present = self.present.get(&priority).copied().unwrap_or_default();
        let flow = self.flow(priority, organisation, now);
        if flow.waiting == 0 {
            flow.next_start = flow.next_start.max(present - Self::MAX_CREDIT);
        }
        flow.waiting += 1;
        flow.used = now;
    }

    /// Records that a request no longer waits.
    pub fn leave(&mut self, priority: u8, organisation: &Organisation) {
        if let Some(flow) = self.flows.get_mut(&(priority, organisation.clone())) {
            flow.waiting = flow.waiting.saturating_sub(1);
        }
    }

    /// Returns the virtual time at which the organisation's next request starts. The organisation
    /// with the smallest one goes first.
    pub fn next_start(&self, priority: u8, organisation: &Organisation) -> f64 {
        let present = self.present.get(&priority).copied().unwrap_or_default();
        let flow = self.flows.get(&(priority, organisation.clone()));
        flow.map_or(present, |flow| match flow.waiting {
            0 => flow.next_start.max(present - Self::MAX_CREDIT),
            _ => flow.next_start,
        })
    }

    /// Charges a request that was placed with its expected cost.
    pub fn charge(&mut self, priority: u8, organisation: &Organisation, cost: Cost, now: Instant) {
        let weight = self.weight(organisation);
        let flow = self.flow(priority, organisation, now);
        let start = flow.next_start;
        flow.next_start += cost.0 / weight;
        flow.used = now;
        let present = self.present.entry(priority).or_default();
        *present = present.max(start);
    }

    /// Replaces the charged cost of a request by its real one, or by what it is at least.
    pub fn settle(
        &mut self,
        priority: u8,
        organisation: &Organisation,
        (charged, real): (Cost, Cost),
    ) {
        let weight = self.weight(organisation);
        if let Some(flow) = self.flows.get_mut(&(priority, organisation.clone())) {
            flow.next_start += (real.0 - charged.0) / weight;
        }
    }

    /// Returns how far an organisation's virtual time is ahead of the priority's present one, in
    /// token-seconds per weight. It is negative for an organisation that has a lead.
    pub fn debt(&self, priority: u8, organisation: &Organisation) -> f64 {
        let present = self.present.get(&priority).copied().unwrap_or_default();
        self.next_start(priority, organisation) - present
    }

    /// Returns the number of organisations and priorities that are remembered.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no organisation is remembered.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns a flow, which starts at the present virtual time if it is new.
    fn flow(&mut self, priority: u8, organisation: &Organisation, now: Instant) -> &mut Flow {
        let key = (priority, organisation.clone());
        if self.flows.len() >= Self::MAX_FLOWS && !self.flows.contains_key(&key) {
            self.evict();
        }
        let present = self.present.get(&priority).copied().unwrap_or_default();
        self.flows.entry(key).or_insert(Flow {
            next_start: present,
            waiting: 0,
            used: now,
        })
    }

    /// Forgets the flow that has been idle for longest, or the oldest one if requests of all wait.
    fn evict(&mut self) {
        let oldest = self
            .flows
            .iter()
            .min_by_key(|(_, flow)| (flow.waiting > 0, flow.used));
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.flows.remove(&key);
        }
    }
}
