//! Development mode: a stand-in engine within this process, and a sheet that contains it.

use {
    crate::filter::identify::sha256_hex,
    anyhow::{Context, Result},
    sardinerelay::sheet::{Account, Deployment, RequestClass, Server, Sheet},
    sardinerelay_standin::{
        batch::Limits,
        engine::{Config, Engine},
    },
    std::net::SocketAddr,
    tokio::net::TcpListener,
};

/// The API key of the development organisation.
pub const API_KEY: &str = "dev-key";

/// The model that the engine serves.
const MODEL: &str = "bend-planner";

/// Memory of the engine in tokens.
const MEMORY_TOKENS: u64 = 60_000;

/// Starts the stand-in engine and returns the sheet for it. `number` is the number of the sheet and
/// must be higher than that of any earlier run.
///
/// # Errors
///
/// If no loopback port can be bound.
pub async fn start(zone: &str, number: u64) -> Result<Sheet> {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .context("binding the stand-in engine")?;
    let address = listener.local_addr()?;
    let engine = Engine::new(Config {
        name: "engine-dev".into(),
        models: vec![MODEL.into()],
        limits: Limits {
            memory_tokens: MEMORY_TOKENS,
            ..Config::default().limits
        },
        ..Config::default()
    });
    tokio::spawn(engine.run(listener));
    Ok(sheet(zone, number, address))
}

fn sheet(zone: &str, number: u64, address: SocketAddr) -> Sheet {
    Sheet {
        number,
        classes: vec![RequestClass {
            name: "interactive".into(),
            priority: 0,
            max_wait_ms: 10_000,
        }],
        targets: vec![Server {
            name: "engine-dev".into(),
            zone: zone.into(),
            address,
            memory_tokens: MEMORY_TOKENS,
            checks_fencing: true,
        }],
        models: vec![Deployment {
            name: MODEL.into(),
            version: "1".into(),
            adapters: Vec::new(),
            targets: vec!["engine-dev".into()],
        }],
        services: Vec::new(),
        organisations: vec![Account {
            name: "development".into(),
            key_sha256: vec![sha256_hex(API_KEY).into()],
            classes: vec!["interactive".into()],
            tokens_per_minute: 1_000_000,
            requests_per_minute: 10_000,
        }],
    }
}
