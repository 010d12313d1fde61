//! Builds the parts from the settings and runs them until a planned stop.

use {
    crate::{
        api::Api,
        config::Config,
        dev,
        engine::{Client, reader::Patience},
        exit_code::ExitCode,
        filter::{
            admit::Admit, dispatch::Dispatch, identify::Identify, limit::Limit, relay::Relay,
        },
        limits::Limits,
        metrics::Metrics,
        resume::Resume,
        schedule::Scheduler,
        serve,
        snapshot::{Shared, View},
        stop::{self, Drain},
        targets,
    },
    anyhow::Result,
    arc_swap::ArcSwap,
    log::{error, info, warn},
    sardinerelay::resume::{self, Sealer},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    tokio::{net::TcpListener, runtime::Builder, sync::watch},
};

/// Time that a resume token is accepted. The longest answers take minutes.
const RESUME_LIFETIME: Duration = Duration::from_secs(3600);

/// Runs the daemon and returns why it ended.
pub fn run(config: &Config) -> ExitCode {
    let runtime = Builder::new_multi_thread()
        .worker_threads(config.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(traffic(config)).unwrap_or_else(|failure| {
            error!("{failure:#}");
            ExitCode::General
        }),
        Err(failure) => {
            error!("starting the traffic threads failed: {failure}");
            ExitCode::General
        }
    }
}

async fn traffic(config: &Config) -> Result<ExitCode> {
    let listener = match TcpListener::bind(config.listen).await {
        Ok(listener) => listener,
        Err(failure) => {
            error!("--listen {}: {failure}", config.listen);
            return Ok(ExitCode::Bind);
        }
    };
    let view: Shared = Arc::new(ArcSwap::from_pointee(View::default()));
    if config.dev {
        let sheet = dev::start(&config.zone).await?;
        view.store(Arc::new(View::new(
            1,
            Some(Arc::new(sheet)),
            BTreeSet::new(),
        )));
        info!("development mode: API key '{}'", dev::KEY);
    }
    let drain = Drain::default();
    let metrics = Arc::new(Metrics::new()?);
    let scheduler = Arc::new(Scheduler::new(config, view.clone(), metrics.clone()));
    let client = Client::new();
    let (_changes, receiver) = watch::channel(0);
    tokio::spawn(targets::run(
        view.clone(),
        receiver,
        scheduler.clone(),
        client.clone(),
    ));
    tokio::spawn(scheduler.clone().run());
    let api = api(config, view, drain.clone(), scheduler, metrics, client)?;
    let address = listener.local_addr()?;
    info!("listening on {address}");
    println!("listening on {address}");
    let mut code = ExitCode::Success;
    let stop = async {
        if let Err(failure) = stop::signalled().await {
            error!("listening for signals failed: {failure}");
        }
        if let Err(unfinished) = drain.run(config.drain_delay, config.drain_deadline).await {
            warn!("{unfinished}");
            code = ExitCode::Forced;
        }
    };
    serve::run(listener, api.router(), config, stop).await;
    info!("stopped");
    Ok(code)
}

fn api(
    config: &Config,
    view: Shared,
    drain: Drain,
    scheduler: Arc<Scheduler>,
    metrics: Arc<Metrics>,
    client: Client,
) -> Result<Api> {
    let sealer = Arc::new(sealer(config)?);
    let patience = Patience {
        token_gap: config.token_gap,
        engine_loss: config.engine_loss,
    };
    let dispatch = Dispatch::new(client.clone(), scheduler.clone(), patience, sealer.clone());
    let admit = Admit::new(dispatch, scheduler);
    let limit = Limit::new(admit, Arc::new(Limits::new(view.clone())));
    let chain = Identify::new(limit, view.clone(), config.max_body);
    let relay = Relay {
        slow_reader: config.slow_reader,
        metrics: metrics.clone(),
    };
    let resume = Resume {
        sealer,
        client,
        patience,
    };
    Ok(Api {
        chain,
        resume,
        relay,
        view,
        drain,
        metrics,
    })
}

/// Seals with the shared secrets, or with a random one on a host that has no others beside it.
fn sealer(config: &Config) -> Result<Sealer, resume::Error> {
    if config.secrets.is_empty() {
        return Sealer::new(&[rand::random::<[u8; 32]>()], RESUME_LIFETIME);
    }
    Sealer::new(&config.secrets, RESUME_LIFETIME)
}
