//! Reads the platform's list, page by page.

use {
    super::{
        Observer, READ_TIMEOUT,
        paging::{Failure, List, Paging},
    },
    crate::{codec::ParseError, observations::Instance, pool::Purpose},
    http::StatusCode,
    log::{info, warn},
    sardinerelay::id::Target,
    std::{
        cmp::Ordering,
        collections::{HashMap, HashSet},
        time::Instant,
    },
    tokio::time::sleep,
};

impl Observer {
    pub(super) async fn poll_list(&self) {
        let mut is_failing = false;
        let mut skipped_count = 0;
        let mut is_active = self.is_active.clone();
        let mut paging = Paging::new(self.max_list_rate, Instant::now());
        loop {
            if is_active.wait_for(|active| *active).await.is_err() {
                return;
            }
            match self.read_page(&mut paging).await {
                Ok(None) => {}
                Ok(Some(List {
                    instances,
                    mut skipped,
                    began,
                })) => {
                    let (instances, errors) = distinct(instances);
                    skipped.extend(errors);
                    if std::mem::take(&mut is_failing) {
                        info!("the platform's list can be read again");
                    }
                    if std::mem::replace(&mut skipped_count, skipped.len()) != skipped.len() {
                        log_skipped(&skipped, instances.len());
                    }
                    self.close_unlisted(&instances);
                    let mut state = self.state();
                    state.instances = instances;
                    state.list_read = Some(began);
                    drop(state);
                    self.changed.notify_one();
                }
                Err(reason) => {
                    if !std::mem::replace(&mut is_failing, true) {
                        warn!(reason = reason.as_str(); "the platform's list can't be read");
                    }
                }
            }
            sleep(paging.wait(Instant::now())).await;
        }
    }

    /// Closes the idle connections to targets that are no longer listed.
    pub(super) fn close_unlisted(&self, instances: &[Instance]) {
        let listed: HashSet<&Target> = instances.iter().map(|instance| &instance.target).collect();
        let list_server = &self.list_server.target;
        self.pool
            .retain_targets(|target| target == list_server || listed.contains(target));
    }

    /// Reads the next page of the list. Returns the list after its last page. The error is a text for the
    /// log.
    async fn read_page(&self, paging: &mut Paging) -> Result<Option<List>, String> {
        let token = paging.begin(*self.is_leader.borrow(), Instant::now());
        let request = (self.codec.list_request)(self.list_server.address, token);
        let response = self
            .pool
            .call(&self.list_server, (request, Purpose::Read), READ_TIMEOUT)
            .await;
        let now = Instant::now();
        let read = match response {
            Err(error) => Err((Failure::NoResponse, error.to_string())),
            Ok(response) if response.status().is_success() => {
                let page = (self.codec.parse_list)(response.body());
                page.map_err(|error| (Failure::NoResponse, error.to_string()))
            }
            Ok(response) => {
                let status = response.status();
                let failure = match status {
                    StatusCode::TOO_MANY_REQUESTS => Failure::Limited,
                    _ if status.is_client_error() => Failure::Refused,
                    _ => Failure::NoResponse,
                };
                Err((failure, format!("status {status}")))
            }
        };
        match read {
            Ok(page) => {
                self.metrics.record_list_page("read");
                paging.record(page, now)
            }
            Err((failure, reason)) => {
                self.metrics.record_list_page(failure.label());
                paging.record_failure(failure, now);
                Err(reason)
            }
        }
    }
}

/// Returns one instance of each target: the newest incarnation, as its last entry says. None of a target if
/// entries of that incarnation name several services, since its requests could then run at a wrong one; these
/// targets are in the errors.
pub fn distinct(instances: Vec<Instance>) -> (Vec<Instance>, Vec<ParseError>) {
    let mut newest: HashMap<Target, (usize, bool)> = HashMap::new();
    for (position, instance) in instances.iter().enumerate() {
        let Some((best, is_clear)) = newest.get_mut(&instance.target) else {
            newest.insert(instance.target.clone(), (position, true));
            continue;
        };
        let known = &instances[*best];
        match instance.incarnation.cmp(&known.incarnation) {
            Ordering::Less => {}
            Ordering::Equal => {
                *is_clear &= instance.service == known.service;
                *best = position;
            }
            Ordering::Greater => (*best, *is_clear) = (position, true),
        }
    }
    let (mut used, mut errors) = (Vec::new(), Vec::new());
    for (position, instance) in instances.into_iter().enumerate() {
        match newest[&instance.target] {
            (best, _) if best != position => {}
            (_, true) => used.push(instance),
            (_, false) => {
                let error = ParseError::new(instance.target, "it is listed for several services");
                errors.push(error);
            }
        }
    }
    (used, errors)
}

/// Logs that another number of entries of the list are skipped than before, and why the first of them is.
fn log_skipped(skipped: &[ParseError], used: usize) {
    match skipped.first() {
        Some(first) => warn!(
            skipped = skipped.len(), used = used, first:% = first;
            "entries of the platform's list can't be used"
        ),
        None => info!(used = used; "all entries of the platform's list can be used again"),
    }
}
