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
        schedule::Scheduler,
        serve,
        snapshot::{Shared, View},
        stop::{self, Drain},
    },
    anyhow::Result,
    arc_swap::ArcSwap,
    log::{error, info, warn},
    std::{collections::BTreeSet, sync::Arc},
    tokio::{net::TcpListener, runtime::Builder},
};

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
    let api = api(config, view, drain.clone())?;
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

fn api(config: &Config, view: Shared, drain: Drain) -> Result<Api> {
    let metrics = Arc::new(Metrics::new()?);
    let scheduler = Arc::new(Scheduler::new(view.clone()));
    let patience = Patience {
        token_gap: config.token_gap,
        engine_loss: config.engine_loss,
    };
    let dispatch = Dispatch::new(Client::new(), scheduler.clone(), patience);
    let admit = Admit::new(dispatch, scheduler);
    let limit = Limit::new(admit, Arc::new(Limits::new(view.clone())));
    let chain = Identify::new(limit, view.clone(), config.max_body);
    let relay = Relay {
        slow_reader: config.slow_reader,
        metrics: metrics.clone(),
    };
    Ok(Api {
        chain,
        relay,
        view,
        drain,
        metrics,
    })
}
