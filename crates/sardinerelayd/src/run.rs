//! Builds the components of the daemon from its settings, and runs them until it stops.

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
        operator, orders, panics,
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
        unix_time::unix_ms,
        wal,
    },
    std::{
        sync::Arc,
        time::{Duration, SystemTime},
    },
    tempfile::TempDir,
    tokio::{net::TcpListener, runtime::Builder, sync::watch, time::sleep},
};

/// How long a resume token is valid. The longest answers take minutes.
const RESUME_TOKEN_LIFETIME: Duration = Duration::from_secs(3600);

/// Interval of the leader's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Election timeout without its random part. With it, a lost leader is replaced in under 2 s.
const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(600);

/// Time to record the leave and transfer leadership on a planned stop.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time to commit a command that this process itself proposes.
const OWN_COMMAND_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause before this process retries a command of its own.
const OWN_COMMAND_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Runs the daemon until it stops, and returns the exit code.
pub fn run(config: &Config) -> ExitCode {
    let runtime = Builder::new_multi_thread()
        .worker_threads(config.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            error!("can't start the traffic threads: {error}");
            return ExitCode::General;
        }
    };
    let incarnation = unix_ms(SystemTime::now());
    // Dropping the temporary directory deletes it, so it must exist until the daemon ends.
    let (settings, _temporary_directory) = match control_settings(config, incarnation) {
        Ok(settings) => settings,
        Err(error) => {
            error!("{error:#}");
            return ExitCode::General;
        }
    };
    let control = match control::spawn(settings) {
        Ok(control) => control,
        Err(error) => return log_fatal_error(&error),
    };
    let code = runtime.block_on(serve_traffic(config, &control, incarnation));
    let code = code.unwrap_or_else(|error| {
        error!("{error:#}");
        ExitCode::General
    });
    runtime.block_on(control.stop(LEAVE_TIMEOUT));
    info!("stopped");
    code
}

/// Serves requests and operators until the daemon stops.
async fn serve_traffic(
    config: &Config,
    control: &Handle,
    incarnation: Incarnation,
) -> Result<ExitCode> {
    let listener = match TcpListener::bind(config.listen).await {
        Ok(listener) => listener,
        Err(error) => {
            error!("can't listen on {} (--listen): {error}", config.listen);
            return Ok(ExitCode::Bind);
        }
    };
    let components = Components::new(config, control, incarnation)?;
    let _operator_server = match components.start_operator_api(config).await? {
        Ok(server) => server,
        Err(error) => {
            error!(
                "can't listen on {} (--operator-listen): {error}",
                config.operator_listen
            );
            return Ok(ExitCode::Bind);
        }
    };
    components.start_background_tasks(config);
    tokio::spawn(record_earlier_exits(control.clone(), components.owner));
    if config.dev {
        start_development_engine(config, control).await?;
    }
    let address = listener.local_addr()?;
    info!("listening on {address}");
    println!("listening on {address}");
    let mut code = ExitCode::Success;
    let stop = async {
        code = components.drain_on_stop(config).await;
    };
    let served = (config, &components.drain);
    let closed = serve::run(listener, components.api(config)?.router(), served, stop).await;
    match (closed, code) {
        (Err(unwritten), ExitCode::Success) => {
            warn!("{unwritten}");
            Ok(ExitCode::Forced)
        }
        (_, code) => Ok(code),
    }
}

/// The components that several others share.
struct Components {
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

impl Components {
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

    /// Starts the tasks that run beside the requests: publishing the control state, polling
    /// engines, claiming limit shares, sending orders and polling the platform's list.
    fn start_background_tasks(&self, config: &Config) {
        let publisher = publish::run(
            self.control.published(),
            self.view.clone(),
            self.changes.clone(),
            self.scheduler.clone(),
        );
        panics::spawn_essential("publish the control state", publisher);
        let changes = self.changes.subscribe();
        let polling = targets::run(
            self.view.clone(),
            changes,
            self.scheduler.clone(),
            self.client.clone(),
        );
        panics::spawn_essential("poll engines", polling);
        panics::spawn_essential("schedule", self.scheduler.clone().run());
        let limiting = self.limits.clone().run(self.changes.subscribe());
        panics::spawn_essential("claim limit shares", limiting);
        let orders = orders::Controller {
            collector: self.collector(),
            client: self.client.clone(),
            metrics: self.metrics.clone(),
            store: config.store,
            send_delay: config.order_pause,
        };
        panics::spawn_essential("send orders", orders.run());
        if let Some(url) = &config.hosts_url {
            let listing = platform::run(url.clone(), self.scheduler.clone(), self.client.clone());
            panics::spawn_essential("poll the list", listing);
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

    /// Starts the API for operators and sets the reporter of this host. The inner error means that
    /// the address can't be bound.
    async fn start_operator_api(&self, config: &Config) -> Result<Result<Server, std::io::Error>> {
        let collector = self.collector();
        let report_collector = collector.clone();
        self.control.set_reporter(Arc::new(move || {
            let collector = report_collector.clone();
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
            reported_stops: operator::ReportedStops::default(),
        };
        let methods = operator::methods(context)?;
        let secrets = peer_secrets(config);
        let secrets = match secrets.is_empty() {
            true => None,
            false => Some(Secrets::new(&secrets).context("--secret-file")?),
        };
        // Clients of the API send no notifications.
        let notification_handler = NotificationHandler::new(|_, _| ());
        let counters = SharedCounters::default();
        Ok(Server::start(
            config.operator_listen,
            secrets,
            (methods, notification_handler),
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
            slow_reader_timeout: config.slow_reader,
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

    /// Waits for a signal, a planned stop or the end of the control thread, then drains. If an essential task
    /// panics, returns at once.
    async fn drain_on_stop(&self, config: &Config) -> ExitCode {
        tokio::select! {
            signalled = stop::termination_signal() => {
                if let Err(error) = signalled {
                    error!("can't listen for signals: {error}");
                }
            }
            () = publish::await_planned_stop(self.control.published(), self.owner) => {
                info!("stopping: an operator planned a stop of this host");
            }
            task = panics::essential_failed() => {
                error!(task = task; "an essential task panicked");
                return ExitCode::General;
            }
            ended = self.control.ended() => {
                return match &*ended {
                    Ok(()) => ExitCode::General,
                    Err(error) => log_fatal_error(error),
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

/// Records that earlier processes of this host have ended. The calls that they had begun then count
/// as "outcome unknown" at once and not only after their deadline.
async fn record_earlier_exits(control: Handle, owner: Owner) {
    let leave = Command::LeaveHost {
        host: owner.host,
        incarnation: owner.incarnation - 1,
    };
    while let Err(error) = control.propose(leave.clone(), OWN_COMMAND_TIMEOUT).await {
        debug!("can't record the end of earlier processes yet: {error}");
        sleep(OWN_COMMAND_RETRY_PAUSE).await;
    }
}

/// Starts the stand-in engine and submits a sheet for it.
async fn start_development_engine(config: &Config, control: &Handle) -> Result<()> {
    let sheet = dev::start(&config.zone, unix_ms(SystemTime::now())).await?;
    let digest = sheet.digest();
    let submit = Command::Submit {
        digest,
        sheet: Arc::new(sheet),
    };
    control
        .propose(submit, OWN_COMMAND_TIMEOUT)
        .await
        .context("submitting the sheet")?;
    info!("development mode: API key '{}'", dev::API_KEY);
    Ok(())
}

/// Builds the sealer of resume tokens from the shared secrets. A system of one host without secrets
/// uses a random key.
fn sealer(config: &Config) -> Result<Sealer, resume::Error> {
    if config.secrets.is_empty() {
        return Sealer::new(&[rand::random::<[u8; 32]>()], RESUME_TOKEN_LIFETIME);
    }
    Sealer::new(&config.secrets, RESUME_TOKEN_LIFETIME)
}

fn peer_secrets(config: &Config) -> Vec<Secret> {
    config
        .secrets
        .iter()
        .map(|secret| Secret::from(secret.clone()))
        .collect()
}

/// Derives the settings of the control thread. A system of one host without a data directory gets a
/// temporary one, which is deleted when the daemon ends.
fn control_settings(
    config: &Config,
    incarnation: Incarnation,
) -> Result<(control::Settings, Option<TempDir>)> {
    let is_single_host = config.voters.is_empty();
    let temporary_directory = match (&config.data_dir, is_single_host) {
        (None, true) => {
            warn!("no --data-dir: all state of this host is lost when this process ends");
            Some(TempDir::new().context("creating a temporary data directory")?)
        }
        _ => None,
    };
    let temporary_path = temporary_directory
        .as_ref()
        .map(|directory| directory.path().to_owned());
    let own_peer = control::Peer {
        id: config.host,
        zone: config.zone.clone(),
        address: config.peer_listen,
    };
    let data_dir = config.data_dir.clone().or(temporary_path);
    let settings = control::Settings {
        host: config.host,
        zone: config.zone.clone(),
        listen: config.peer_listen,
        voters: if is_single_host {
            vec![own_peer]
        } else {
            control_peers(&config.voters)
        },
        hosts: control_peers(&config.hosts),
        bootstrap: config.bootstrap,
        learner: config.learner,
        secrets: peer_secrets(config),
        heartbeat_interval: HEARTBEAT_INTERVAL,
        election_timeout: MIN_ELECTION_TIMEOUT,
        data_dir: data_dir.clone(),
        ..control::Settings::single_host(data_dir.unwrap_or_default(), incarnation)
    };
    Ok((settings, temporary_directory))
}

fn control_peers(peers: &[Peer]) -> Vec<control::Peer> {
    let control_peer = |peer: &Peer| control::Peer {
        id: peer.host,
        zone: peer.zone.clone(),
        address: peer.address,
    };
    peers.iter().map(control_peer).collect()
}

/// Logs the error that ended the control thread, and returns its exit code.
fn log_fatal_error(error: &FatalError) -> ExitCode {
    error!("{:#}", anyhow::Error::msg(with_causes(error)));
    match error {
        FatalError::Settings(_) | FatalError::RaftConfig(_) => ExitCode::Settings,
        FatalError::Listen { .. } => ExitCode::Bind,
        FatalError::Storage(wal::Error::Io { .. } | wal::Error::Poisoned { .. })
        | FatalError::View { .. } => ExitCode::Sync,
        FatalError::Storage(_)
        | FatalError::Locked { .. }
        | FatalError::NoReplica { .. }
        | FatalError::AlreadyBootstrapped { .. }
        | FatalError::AlreadyMember { .. }
        | FatalError::WrongHost { .. }
        | FatalError::State(_) => ExitCode::Data,
        FatalError::Thread(_) | FatalError::Panic => ExitCode::General,
    }
}

/// Formats an error with all its causes.
fn with_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
