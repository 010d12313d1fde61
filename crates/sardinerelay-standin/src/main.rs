//! Program that runs one stand-in, with a subcommand for each.

mod cli;

use {
    anyhow::{Context, Result},
    cli::StandIn,
    sardinerelay_standin::{engine::Engine, hosts, proxy, service},
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

#[tokio::main]
async fn main() -> Result<()> {
    init_logging()?;
    let config = cli::parse()?;
    let listener = TcpListener::bind(config.listen)
        .await
        .with_context(|| format!("listening on {}", config.listen))?;
    // Tests and scripts read the address from this line.
    println!("listening on {}", listener.local_addr()?);
    let stop = CancellationToken::new();
    match config.stand_in {
        StandIn::Engine(config) => Engine::new(*config).run(listener).await?,
        StandIn::Service(config) => service::serve(config, listener, stop).await,
        StandIn::Hosts(list, lag) => hosts::serve(list, lag, listener, stop).await,
        StandIn::Proxy(routes, seed) => proxy::serve(routes, seed, listener, stop)
            .await
            .context("listening on the routes")?,
    }
    Ok(())
}

fn init_logging() -> Result<(), fern::InitError> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!(
                "{} {} {message}",
                humantime::format_rfc3339_millis(std::time::SystemTime::now()),
                record.level()
            ));
        })
        .level(log::LevelFilter::Info)
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}
