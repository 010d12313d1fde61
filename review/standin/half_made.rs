//! A core machine that has lost its disk is killed while it makes its files anew. Later another core
//! machine loses its disk. Is the acknowledged configuration still there?

mod common;

use {
    common::*,
    std::{
        fs,
        path::Path,
        thread,
        time::{Duration, Instant},
    },
};

/// Time from a kill to the next start of the process.
const RESTART: Duration = Duration::from_millis(500);
/// Time that a lost machine has before another one may be lost: `catchUpS`, and some more.
const CATCH_UP: Duration = Duration::from_secs(8);
/// How often the first machine loses its disk until the kill falls into the moment.
const MAX_TRIES: usize = 12;
/// Time in which a process makes its files.
const CREATION: Duration = Duration::from_secs(3);
/// Starts of a process that ends by itself again and again.
const STARTS: usize = 6;
/// Time after which the configuration is read back: `recoverS` after the last loss.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time in which it is read back, longer than `contactMs`.
const READ_BACK: Duration = Duration::from_secs(8);

fn configuration(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-order","host":"h.example","pathPrefix":"/order/","type":"unsafe","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"service":"shop-app","maxAttempts":1}}],"services":[{{"name":"shop-app","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"t1","apiKeys":["k1"]}}]}}"#
    )
}

/// Whether the folder has a part of a log but not the file that is written last.
fn is_half_made(folder: &Path) -> Option<bool> {
    let names = fs::read_dir(folder)
        .ok()?
        .flatten()
        .map(|entry| entry.file_name());
    let names: Vec<String> = names
        .map(|name| name.to_string_lossy().into_owned())
        .collect();
    let has_identity = names.iter().any(|name| name == "identity");
    let has_segment = names.iter().any(|name| name.starts_with("segment-"));
    match (has_segment, has_identity) {
        (_, true) => Some(false),
        (true, false) => Some(true),
        (false, false) => None,
    }
}

/// Starts a voter with an empty disk, as after the loss of its disk.
fn lose_disk(cluster: &mut Cluster, number: u8) {
    cluster.kill(&format!("voter-{number}"));
    let _ = fs::remove_dir_all(cluster.data_dir(number));
    cluster
        .record
        .line(&format!("voter-{number} lost its disk"));
    thread::sleep(RESTART);
    cluster.start("voter", number, false);
}

/// Waits until the process makes its files, and kills it before they are complete. Returns false if
/// they were complete first.
fn kill_in_creation(cluster: &mut Cluster, number: u8) -> bool {
    let folder = cluster.data_dir(number).join("replica");
    let until = Instant::now() + CREATION;
    while Instant::now() < until {
        if let Some(is_half_made_now) = is_half_made(&folder) {
            if is_half_made_now {
                cluster.kill(&format!("voter-{number}"));
            }
            return is_half_made_now && is_half_made(&folder) == Some(true);
        }
    }
    false
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create(&case_folder().join("record.txt"));
    let mut cluster = Cluster::new(&record);
    serve_list(cluster.list_address(), Shared::default());
    cluster.start_all(1);
    let limit = Duration::from_secs(10);
    if !cluster.submit(&configuration(7), limit) || cluster.read_configuration(limit).is_none() {
        record.say("the deployment did not start");
        return COULD_NOT_RUN;
    }
    record.line("version 7 was acknowledged");
    let mut own_ends = Vec::new();
    lose_disk(&mut cluster, 2);
    if has_trouble() {
        let mut tries = 1;
        while !kill_in_creation(&mut cluster, 2) {
            if tries == MAX_TRIES {
                record.say("the kill never fell into the moment");
                return COULD_NOT_RUN;
            }
            tries += 1;
            lose_disk(&mut cluster, 2);
        }
        record.say(&format!(
            "voter-2 was killed while it made its files, at loss {tries} of its disk"
        ));
        for _ in 0..STARTS {
            thread::sleep(RESTART);
            cluster.start("voter", 2, false);
            thread::sleep(Duration::from_millis(300));
            if let Some(status) = cluster.own_end("voter-2") {
                own_ends.push(status);
                record.line(&format!(
                    "its last line: {}",
                    cluster.last_log_line("voter-2")
                ));
            }
        }
    }
    thread::sleep(CATCH_UP);
    if !cluster.submit(&configuration(9), limit) {
        record.say("version 9 was not acknowledged");
        return COULD_NOT_RUN;
    }
    record.line("version 9 was acknowledged");
    lose_disk(&mut cluster, 3);
    let until = Instant::now() + RECOVERY;
    while Instant::now() < until {
        thread::sleep(RESTART);
        // The platform starts again what has ended.
        if !own_ends.is_empty() {
            cluster.own_end("voter-2");
            cluster.start("voter", 2, false);
        }
    }
    let read = cluster.read_configuration(READ_BACK);
    let newest = read.as_deref().map(|text| text.contains("\"version\":9"));
    let is_accepted = cluster.submit(&configuration(11), Duration::from_secs(5));
    record.say(&format!(
        "processes that ended by themselves: voter-2, {} of {} starts; read back at the end: {}; \
         a further version is acknowledged: {is_accepted}",
        own_ends.len(),
        if has_trouble() { STARTS } else { 0 },
        match newest {
            Some(true) => "version 9",
            Some(false) => "another version",
            None => "nothing (503 or no answer)",
        },
    ));
    match newest {
        Some(true) => HELD,
        _ => BROKEN,
    }
}
