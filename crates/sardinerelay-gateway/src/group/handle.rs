//! Requests to the group through a [`Handle`].

use {
    super::{
        Error, Handle, Settings,
        channels::{Input, MemberStatus, Outcome},
        discovery::Search,
        evacuation::{Order, Revision},
        links::Clients,
        member,
        method::{self, StatusRequest},
        register::Document,
    },
    log::{info, warn},
    sardinerelay::{
        id::{Host, Version, Zone},
        raft::{Role, SoftState},
    },
    std::{
        collections::BTreeSet,
        net::Ipv4Addr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        sync::{oneshot, watch},
        time::{Instant, sleep, timeout},
    },
};

/// Delay before a retry if no leader has accepted a request.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Interval at which a voter that is about to end asks to be replaced.
const LEAVE_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a leader after which it no longer does.
const MAX_LEADERLESS_TIME: Duration = Duration::from_secs(1);
/// Timeout of one request to a leader on another host.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(700);

impl Handle {
    /// Returns a channel with the newest configuration that this replica knows to be committed.
    pub fn newest(&self) -> watch::Receiver<Option<Arc<Document>>> {
        self.newest.clone()
    }

    /// Returns a channel with this replica's own status in the group.
    pub fn status(&self) -> watch::Receiver<MemberStatus> {
        self.status.clone()
    }

    /// Returns a channel that says whether this replica is the leader or knows of none.
    ///
    /// Tasks that one host should do for the group run where this is true. They thereby go on while
    /// there is no leader.
    pub fn leads_or_leaderless(&self) -> watch::Receiver<bool> {
        self.watch_leadership(|soft| soft.role == Role::Leader || soft.leader.is_none())
    }

    /// Returns a channel that says whether this replica is the leader.
    pub fn leads(&self) -> watch::Receiver<bool> {
        self.watch_leadership(|soft| soft.role == Role::Leader)
    }

    /// Returns a channel with a property of the leadership.
    fn watch_leadership<Property>(
        &self,
        property: fn(&SoftState) -> Property,
    ) -> watch::Receiver<Property>
    where
        Property: Copy + PartialEq + Send + Sync + 'static,
    {
        let mut leadership = self.leadership.clone();
        let (sender, receiver) = watch::channel(property(&leadership.borrow()));
        tokio::spawn(async move {
            loop {
                let value = property(&leadership.borrow_and_update());
                sender.send_if_modified(|known| std::mem::replace(known, value) != value);
                if leadership.changed().await.is_err() {
                    return;
                }
            }
        });
        receiver
    }

    /// Returns a channel with the leader on another host whose observations this host follows. None if
    /// this host is the leader or knows of none, that is, where [`Self::leads_or_leaderless`] is true.
    pub fn followed_leader(&self) -> watch::Receiver<Option<Ipv4Addr>> {
        self.watch_leadership(|soft| match soft.role {
            Role::Leader => None,
            _ => soft.leader.map(member::address),
        })
    }

    /// Returns a channel with the addresses of the other voters from which messages arrived within a second.
    /// None while this replica isn't the leader.
    pub fn heard(&self) -> watch::Receiver<BTreeSet<Ipv4Addr>> {
        self.heard.clone()
    }

    /// Returns the clients of the peer servers of other hosts.
    pub fn clients(&self) -> &Arc<Clients> {
        &self.clients
    }

    /// Stores a configuration, unless the group already has the same or a higher version. Returns
    /// the version that the group has afterwards.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoQuorum`] if this is not confirmed within `time_limit`. Submitting again
    /// is safe.
    pub async fn submit(&self, document: Document, time_limit: Duration) -> Result<Version, Error> {
        let request = method::Submit {
            document: sardinerelayd::peer::Packed(document),
        };
        let attempt = |leader: Option<Host>| {
            let request = &request;
            async move {
                match leader {
                    None => {
                        let document = request.document.0.clone();
                        self.call_local(|reply| Input::Submit(document, reply))
                            .await
                    }
                    Some(leader) => self.forward(leader, method::SUBMIT_METHOD, request).await,
                }
            }
        };
        self.call_leader(attempt, time_limit).await
    }

    /// Reads the newest configuration. The read is linearizable: it returns a configuration at
    /// least as new as any that was acknowledged before this call.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if there is no configuration, or if no quorum confirms the read within
    /// `time_limit`.
    pub async fn read(&self, time_limit: Duration) -> Result<Arc<Document>, Error> {
        let deadline = Instant::now() + time_limit;
        let attempt = |leader: Option<Host>| async move {
            match leader {
                None => self.call_local(Input::Confirm).await,
                Some(leader) => self.forward(leader, method::CONFIRM_METHOD, &()).await,
            }
        };
        let version = self.call_leader(attempt, time_limit).await?;
        if version == 0 {
            return Err(Error::Empty);
        }
        let mut newest = self.newest.clone();
        let is_recent = |newest: &Option<Arc<Document>>| {
            newest
                .as_ref()
                .is_some_and(|document| document.version >= version)
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        let applied = timeout(remaining, newest.wait_for(is_recent)).await;
        match applied {
            Ok(Ok(document)) => document.clone().ok_or(Error::Empty),
            _ => Err(Error::NoQuorum(time_limit)),
        }
    }

    /// Evacuates a zone or ends its evacuation. Returns the revision at which the zone got into that state.
    ///
    /// A quorum first confirms which order for the zone is the last. This one takes effect only if no other
    /// has done so in between, however long it is delayed.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if this is not confirmed within `time_limit`, or if another order took effect
    /// first. Ordering again is safe.
    pub async fn order_zone(
        &self,
        zone: Zone,
        is_evacuated: bool,
        time_limit: Duration,
    ) -> Result<Revision, Error> {
        let began = Instant::now();
        let query = &method::ZoneQuery { zone: zone.clone() };
        let attempt = |leader: Option<Host>| async move {
            match leader {
                None => self.confirmed_revision(&query.zone).await,
                Some(leader) => self.forward(leader, method::ZONE_STATE_METHOD, query).await,
            }
        };
        let base = self.call_leader(attempt, time_limit).await?;
        let order = &Order {
            zone,
            is_evacuated,
            base,
        };
        let attempt = |leader: Option<Host>| async move {
            match leader {
                None => {
                    self.call_local(|reply| Input::Order(order.clone(), reply))
                        .await
                }
                Some(leader) => self.forward(leader, method::ORDER_METHOD, order).await,
            }
        };
        let remaining = time_limit.saturating_sub(began.elapsed());
        match self.call_leader(attempt, remaining).await? {
            0 => Err(Error::OutOfDate),
            revision => Ok(revision),
        }
    }

    /// Returns the revision of a zone after a quorum has confirmed that this replica is the leader.
    pub(super) async fn confirmed_revision(&self, zone: &str) -> Outcome {
        match self.call_local(Input::Confirm).await {
            Outcome::Done(_) => match self.evacuations.borrow().as_deref() {
                Some(evacuations) => Outcome::Done(evacuations.revision_of(zone)),
                None => Outcome::Unknown,
            },
            outcome => outcome,
        }
    }

    /// Asks the replica to transfer leadership to another voter, before a planned stop.
    pub async fn transfer(&self) {
        // Sending fails only if the driver has ended. Then there is no leadership to transfer.
        let _ = self.inputs.send(Input::Transfer).await;
    }

    /// Asks the leader to replace this voter by a learner that has caught up, before a planned stop, and waits for
    /// that up to `time_limit`. Without such a learner there is nothing to wait for.
    pub async fn leave(&self, time_limit: Duration) {
        self.is_stopping.store(true, Ordering::Relaxed);
        if !self.status.borrow().is_voter {
            return;
        }
        let began = Instant::now();
        let mut last_found = began;
        let request = StatusRequest {
            host: self.own_id,
            is_leaving: true,
            ..StatusRequest::default()
        };
        while began.elapsed() < time_limit {
            let members = self.status.borrow().members.clone();
            let search = Search {
                clients: &self.clients,
                known: members.into_iter().map(member::address).collect(),
                excluded: Some(member::address(self.own_id)),
                max_parallel: usize::MAX,
            };
            let remaining = time_limit.saturating_sub(began.elapsed());
            let found = search.find(&request, |status| status.is_leader);
            match timeout(remaining, found).await {
                Ok(Some(status)) if !status.is_voter => {
                    info!(took_ms = began.elapsed().as_millis() as u64; "this voter was replaced before its stop");
                    return;
                }
                Ok(Some(status)) if !status.has_successor => return,
                Ok(Some(_)) => last_found = Instant::now(),
                Ok(None) | Err(_) if last_found.elapsed() > MAX_LEADERLESS_TIME => {
                    warn!("no leader was found that could replace this voter");
                    return;
                }
                Ok(None) | Err(_) => {}
            }
            sleep(LEAVE_INTERVAL).await;
        }
    }

    /// Makes a request to the leader, and retries it until it is done or `time_limit` has passed.
    ///
    /// `attempt` makes the request to the leader with the given ID, or to the replica on this host
    /// if that is `None`.
    async fn call_leader<Attempt, Response>(
        &self,
        attempt: Attempt,
        time_limit: Duration,
    ) -> Result<Version, Error>
    where
        Attempt: Fn(Option<Host>) -> Response,
        Response: Future<Output = Outcome>,
    {
        let deadline = Instant::now() + time_limit;
        let mut leader = None;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match timeout(remaining, attempt(leader)).await {
                Ok(Outcome::Done(version)) => return Ok(version),
                Ok(Outcome::NotLeader(known)) if leader.is_none() => leader = known,
                Ok(Outcome::NotLeader(_) | Outcome::Unknown) => leader = None,
                Err(_) => return Err(Error::NoQuorum(time_limit)),
            }
            if leader.is_none() {
                if remaining <= LEADER_RETRY_DELAY {
                    return Err(Error::NoQuorum(time_limit));
                }
                sleep(LEADER_RETRY_DELAY).await;
            }
        }
    }

    /// Makes a request to the replica on this host.
    pub(super) async fn call_local<Make>(&self, make: Make) -> Outcome
    where
        Make: FnOnce(oneshot::Sender<Outcome>) -> Input,
    {
        let (reply, outcome) = oneshot::channel();
        if self.inputs.send(make(reply)).await.is_err() {
            return Outcome::Unknown;
        }
        outcome.await.unwrap_or(Outcome::Unknown)
    }

    /// Makes a request to a leader on another host.
    async fn forward<P>(&self, leader: Host, method: &'static str, request: &P) -> Outcome
    where
        P: serde::Serialize,
    {
        let client = self.clients.get(member::address(leader));
        match client.call(method, request, FORWARD_TIMEOUT).await {
            Ok(outcome) => outcome,
            Err(error) => {
                warn!(leader = leader, method = method; "the call to the leader failed: {error}");
                Outcome::Unknown
            }
        }
    }

    /// Asks for the status of a host, starting with the known members and the seeds. Returns the
    /// leader's response, none if no leader is found.
    pub(super) async fn query_status(
        &self,
        settings: &Settings,
        request: StatusRequest,
    ) -> Option<MemberStatus> {
        let members = self.status.borrow().members.clone();
        let members = members.into_iter().map(member::address);
        let search = Search {
            clients: &self.clients,
            known: settings
                .reloadable
                .seeds()
                .into_iter()
                .chain(members)
                .collect(),
            excluded: Some(settings.address),
            max_parallel: usize::MAX,
        };
        search.find(&request, |status| status.is_leader).await
    }
}
