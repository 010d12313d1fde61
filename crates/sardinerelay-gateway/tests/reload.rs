//! SIGHUP reloads the settings and does not end the process. A signal affects the whole process, so
//! this test runs in a separate one.

use {
    sardinerelay_gateway::reload::{self, Settings, SharedSettings},
    std::{
        net::Ipv4Addr,
        process::{self, Command},
        sync::Arc,
        time::Duration,
    },
    tokio::time::sleep,
};

const SEED: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 9);

#[tokio::test]
async fn a_hangup_reads_the_settings_again() {
    let current = Arc::new(SharedSettings::default());
    let load = Arc::new(|| Ok(Settings { seeds: vec![SEED] }));
    reload::start(Arc::clone(&current), load).expect("a handler");
    assert!(current.seeds().is_empty());
    let id = process::id().to_string();
    let sent = Command::new("kill").args(["-HUP", &id]).status();
    assert!(sent.expect("kill").success());
    // Waits up to a second, which is shorter than the interval at which the file is reloaded
    // without a signal.
    for _ in 0..100 {
        if !current.seeds().is_empty() {
            break;
        }
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(current.seeds(), [SEED]);
}
