//! Builds the parts from the settings and runs them until a stop.

use {
    crate::{
        api::Api,
        config::{Config, Peer},
        control::{self, FatalError, Handle},
        dev,
        engine::{Client, reader::Timeouts},
        exit_code::ExitCode,
        filter::{
            admit::Admit, dispatch::Dispatch, identify::Identify, limit::Limit, relay::Relay,
        },
        intent::LedgerClient,
        limits::Limits,
        metrics::Metrics,
        operator, orders,
        peer::{NotificationHandler, Secret, Secrets, Server, SharedCounters},
        platform, publish,
        report::Collector,
        request_stats::RequestStats,
        resume::Resumer,
        schedule::Scheduler,
        serve,
        service::Proxy,
        snapshot::{SharedView, View},
        stop::{self, Drain},
        targets,
    },
    anyhow::{Context as _, Result},
    arc_swap::ArcSwap,
    log::{debug, error, info, warn},
    sardinerelay::{
        id::Incarnation,
        ledger::Owner,
        resume::{self, Sealer},
        state::Command,
        wal,
    },
    std::{
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tempfile::TempDir,
    tokio::{net::TcpListener, runtime::Builder, sync::watch, time::sleep},
};

/// Time that a resume token is accepted. The longest answers take minutes.
const RESUME_LIFETIME: Duration = Duration::from_secs(3600);

/// Interval between a leader's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(100);

/// Least election timeout. With the random part on top, a leader is replaced in under 2 s.
const ELECTION: Duration = Duration::from_millis(600);

/// Time that leaving the group may take on a planned stop.
const LEAVE: Duration = Duration::from_secs(3);

/// Time to commit a command of this process itself.
const COMMIT: Duration = Duration::from_secs(10);

/// Pause before such a command is proposed again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Runs the daemon and returns why it ended.
pub fn run(config: &Config) -> ExitCode {
    let runtime = Builder::new_multi_thread()
        .worker_threads(config.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(failure) => {
            error!("starting the traffic threads failed: {failure}");
            return ExitCode::General;
        }
    };
    let incarnation = unix_ms();
    // Kept until the end, because it deletes the directory of a system without one.
    let (settings, _directory) = match settings(config, incarnation) {
        Ok(settings) => settings,
        Err(failure) => {
            error!("{failure:#}");
            return ExitCode::General;
        }
    };
    let control = match control::spawn(settings) {
        Ok(control) => control,
        Err(failure) => return failed(&failure),
    };
    let code = runtime.block_on(traffic(config, &control, incarnation));
    let code = code.unwrap_or_else(|failure| {
        error!("{failure:#}");
        ExitCode::General
    });
    runtime.block_on(control.stop(LEAVE));
    info!("stopped");
    code
}

/// Serves traffic until a stop.
async fn traffic(config: &Config, control: &Handle, incarnation: Incarnation) -> Result<ExitCode> {
    let listener = match TcpListener::bind(config.listen).await {
        Ok(listener) => listener,
        Err(failure) => {
            error!("--listen {}: {failure}", config.listen);
            return Ok(ExitCode::Bind);
        }
    };
    let parts = Parts::new(config, control, incarnation)?;
    let _operators = match parts.operators(config).await? {
        Ok(server) => server,
        Err(failure) => {
            error!("--operator-listen {}: {failure}", config.operator_listen);
            return Ok(ExitCode::Bind);
        }
    };
    parts.start_controllers(config);
    tokio::spawn(end_earlier_runs(control.clone(), parts.owner));
    if config.dev {
        develop(config, control).await?;
    }
    let address = listener.local_addr()?;
    info!("listening on {address}");
    println!("listening on {address}");
    let mut code = ExitCode::Success;
    let stop = async {
        code = parts.stop(config).await;
    };
    serve::run(listener, parts.api(config)?.router(), config, stop).await;
    Ok(code)
}

/// The parts that several others share.
struct Parts {
    control: Handle,
    view: SharedView,
    changes: watch::Sender<u64>,
    metrics: Arc<Metrics>,
    request_stats: Arc<RequestStats>,
    scheduler: Arc<Scheduler>,
    limits: Arc<Limits>,
    client: Client,
    proxy: Proxy,
    drain: Drain,
    owner: Owner,
}

impl Parts {
    fn new(config: &Config, control: &Handle, incarnation: Incarnation) -> Result<Self> {
        let view: SharedView = Arc::new(ArcSwap::from_pointee(View::default()));
        let metrics = Arc::new(Metrics::new()?);
        let request_stats = Arc::new(RequestStats::default());
        let owner = Owner {
            host: config.host,
            incarnation,
        };
        let ledger = LedgerClient::new(control.clone(), owner);
        let hosts = control.hosts().len() as u64;
        Ok(Self {
            scheduler: Arc::new(Scheduler::new(
                config,
                view.clone(),
                metrics.clone(),
                request_stats.clone(),
            )),
            limits: Arc::new(Limits::new(
                view.clone(),
                control.clone(),
                config.host,
                hosts,
            )),
            proxy: Proxy::new(view.clone(), ledger, config.zone.clone(), config.max_body),
            client: Client::new(),
            changes: watch::Sender::new(0),
            drain: Drain::default(),
            control: control.clone(),
            view,
            metrics,
            request_stats,
            owner,
        })
    }

    fn start_controllers(&self, config: &Config) {
        let publisher = publish::run(
            self.control.published(),
            self.view.clone(),
            self.changes.clone(),
            self.scheduler.clone(),
        );
        tokio::spawn(publisher);
        let changes = self.changes.subscribe();
        tokio::spawn(targets::run(
            self.view.clone(),
            changes,
            self.scheduler.clone(),
            self.client.clone(),
        ));
        tokio::spawn(self.scheduler.clone().run());
        tokio::spawn(self.limits.clone().run(self.changes.subscribe()));
        let orders = orders::Controller {
            collector: self.collector(),
            client: self.client.clone(),
            metrics: self.metrics.clone(),
            store: config.store,
            send_delay: config.order_pause,
        };
        tokio::spawn(orders.run());
        if let Some(url) = &config.hosts_url {
            tokio::spawn(platform::run(
                url.clone(),
                self.scheduler.clone(),
                self.client.clone(),
            ));
        }
    }

    fn collector(&self) -> Collector {
        Collector {
            control: self.control.clone(),
            scheduler: self.scheduler.clone(),
            request_stats: self.request_stats.clone(),
            proxy: self.proxy.clone(),
            drain: self.drain.clone(),
            host: self.owner.host,
            incarnation: self.owner.incarnation,
        }
    }

    /// Serves operators. The inner error is that of binding the address.
    async fn operators(&self, config: &Config) -> Result<Result<Server, std::io::Error>> {
        let collector = self.collector();
        let reported = collector.clone();
        self.control.serve_reports(Arc::new(move || {
            let collector = reported.clone();
            Box::pin(async move { collector.report().await })
        }));
        let context = operator::Context {
            control: self.control.clone(),
            collector,
            view: self.view.clone(),
            scheduler: self.scheduler.clone(),
            limits: self.limits.clone(),
            request_stats: self.request_stats.clone(),
            zone: config.zone.clone(),
            stops: operator::ReportedStops::default(),
        };
        let methods = operator::methods(context)?;
        let secrets = secrets(config);
        let secrets = match secrets.is_empty() {
            true => None,
            false => Some(Secrets::new(&secrets).context("--secret-file")?),
        };
        // Operators' tools send no notifications.
        let receiver = NotificationHandler::new(|_, _| ());
        let counters = SharedCounters::default();
        Ok(Server::start(
            config.operator_listen,
            secrets,
            (methods, receiver),
            counters,
        )
        .await)
    }

    fn api(&self, config: &Config) -> Result<Api> {
        let sealer = Arc::new(sealer(config)?);
        let timeouts = Timeouts {
            token_gap: config.token_gap,
            engine_loss: config.engine_loss,
        };
        let dispatch = Dispatch::new(
            self.client.clone(),
            self.scheduler.clone(),
            timeouts,
            sealer.clone(),
        );
        let admit = Admit::new(dispatch, self.scheduler.clone());
        let limit = Limit::new(admit, self.limits.clone(), self.request_stats.clone());
        let chain = Identify::new(limit, self.view.clone(), config.max_body);
        let relay = Relay {
            slow_reader: config.slow_reader,
            metrics: self.metrics.clone(),
        };
        let resumer = Resumer {
            sealer,
            client: self.client.clone(),
            timeouts,
        };
        Ok(Api {
            chain,
            relay,
            resumer,
            proxy: self.proxy.clone(),
            view: self.view.clone(),
            max_headers: config.max_headers,
            drain: self.drain.clone(),
            metrics: self.metrics.clone(),
        })
    }

    /// Waits for a reason to stop, and drains.
    async fn stop(&self, config: &Config) -> ExitCode {
        tokio::select! {
            signalled = stop::termination_signal() => {
                if let Err(failure) = signalled {
                    error!("listening for signals failed: {failure}");
                }
            }
            () = publish::stop_planned(self.control.published(), self.owner) => {
                info!("an operator planned a stop of this host");
            }
            ended = self.control.ended() => {
                return match &*ended {
                    Ok(()) => ExitCode::General,
                    Err(failure) => failed(failure),
                };
            }
        }
        match self
            .drain
            .run(config.drain_delay, config.drain_deadline)
            .await
        {
            Ok(()) => ExitCode::Success,
            Err(unfinished) => {
                warn!("{unfinished}");
                ExitCode::Forced
            }
        }
    }
}

/// Records that earlier processes of this host have ended, so that the calls they had begun count
/// as "outcome unknown" at once and not only after their deadline.
async fn end_earlier_runs(control: Handle, owner: Owner) {
    let leave = Command::LeaveHost {
        host: owner.host,
        incarnation: owner.incarnation - 1,
    };
    while let Err(failure) = control.propose(leave.clone(), COMMIT).await {
        debug!("the end of earlier runs is not recorded yet: {failure}");
        sleep(RETRY_PAUSE).await;
    }
}

/// Starts the stand-in engine and submits a sheet for it, unless an earlier run left one.
async fn develop(config: &Config, control: &Handle) -> Result<()> {
    let sheet = dev::start(&config.zone, unix_ms()).await?;
    let digest = sheet.digest();
    let submit = Command::Submit {
        digest,
        sheet: Arc::new(sheet),
    };
    control
        .propose(submit, COMMIT)
        .await
        .context("submitting the sheet")?;
    info!("development mode: API key '{}'", dev::API_KEY);
    Ok(())
}

/// Seals with the shared secrets, or with a random one on a host that has no others beside it.
fn sealer(config: &Config) -> Result<Sealer, resume::Error> {
    if config.secrets.is_empty() {
        return Sealer::new(&[rand::random::<[u8; 32]>()], RESUME_LIFETIME);
    }
    Sealer::new(&config.secrets, RESUME_LIFETIME)
}

fn secrets(config: &Config) -> Vec<Secret> {
    config
        .secrets
        .iter()
        .map(|secret| Secret::from(secret.clone()))
        .collect()
}

/// The control thread's settings. A system of one host without a data directory gets one that is
/// deleted at its end.
fn settings(
    config: &Config,
    incarnation: Incarnation,
) -> Result<(control::Settings, Option<TempDir>)> {
    let alone = config.voters.is_empty();
    let directory = match (&config.data_dir, alone) {
        (None, true) => {
            warn!("no --data-dir: nothing that is accepted here survives this process");
            Some(TempDir::new().context("making a temporary data directory")?)
        }
        _ => None,
    };
    let temporary = directory
        .as_ref()
        .map(|directory| directory.path().to_owned());
    let own = control::Peer {
        id: config.host,
        zone: config.zone.clone(),
        address: config.peer_listen,
    };
    let data = config.data_dir.clone().or(temporary);
    let settings = control::Settings {
        host: config.host,
        zone: config.zone.clone(),
        listen: config.peer_listen,
        voters: if alone {
            vec![own]
        } else {
            members(&config.voters)
        },
        hosts: members(&config.hosts),
        bootstrap: config.bootstrap,
        learner: config.learner,
        secrets: secrets(config),
        heartbeat_interval: HEARTBEAT,
        election_timeout: ELECTION,
        data_dir: data.clone(),
        ..control::Settings::single_host(data.unwrap_or_default(), incarnation)
    };
    Ok((settings, directory))
}

fn members(peers: &[Peer]) -> Vec<control::Peer> {
    let member = |peer: &Peer| control::Peer {
        id: peer.host,
        zone: peer.zone.clone(),
        address: peer.address,
    };
    peers.iter().map(member).collect()
}

/// Logs why the control thread failed, and returns the exit code for it.
fn failed(failure: &FatalError) -> ExitCode {
    error!("{:#}", anyhow::Error::msg(chain(failure)));
    match failure {
        FatalError::Settings(_) | FatalError::RaftConfig(_) => ExitCode::Settings,
        FatalError::Listen { .. } => ExitCode::Bind,
        FatalError::Storage(wal::Error::Io { .. } | wal::Error::Poisoned { .. })
        | FatalError::View { .. } => ExitCode::Sync,
        FatalError::Storage(_)
        | FatalError::Locked { .. }
        | FatalError::NoReplica { .. }
        | FatalError::AlreadyFounded { .. }
        | FatalError::AlreadyMember { .. }
        | FatalError::WrongHost { .. }
        | FatalError::State(_) => ExitCode::Data,
        FatalError::Thread(_) | FatalError::Panic => ExitCode::General,
    }
}

/// An error with its causes.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}

fn unix_ms() -> Incarnation {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    elapsed.as_millis() as Incarnation
}
