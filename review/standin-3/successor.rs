//! A core machine is replaced as planned: its successor has run for longer than `catchUpS` when it gets SIGTERM
//! and leaves. A second later another core machine loses its disk.

#[path = "common.rs"]
mod common;

use {
    common::*,
    std::{path::PathBuf, thread::sleep, time::Duration, time::Instant},
};

/// `catchUpS` of the settings.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time for which the operator tries to change and to read the configuration at the end.
const END: Duration = Duration::from_secs(45);
/// `graceS` of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// The machine that is replaced, by its position.
const GONE: usize = 2;

fn configuration(version: u32) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","host":"h.example","pathPrefix":"/look/","type":"safe","timeoutMs":800,"targetLatencyMs":150,"priority":2,"service":"shop","maxAttempts":2,"public":false}}],"services":[{{"name":"shop","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"t1","apiKeys":["k1"]}}]}}"#
    )
}

fn zone(host: u8) -> &'static str {
    ["lakes-a", "lakes-b", "lakes-c"][usize::from((host - 1) % 3)]
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::create(&folder.join("record.txt")).expect("a record");
    std::process::exit(run(&record));
}

fn run(record: &Record) -> i32 {
    let Some(net) = Net::find(4) else {
        record.line("no free addresses");
        return NOT_RUN;
    };
    let scratch = Scratch::new("review-successor");
    let cloud = serve_list(String::new);
    let settings = Settings { net: &net, seeds: &[1, 2, 3], cloud, zone };
    let mut machines: Vec<Machine> =
        (1..=4).map(|host| Machine::new(&scratch.0, "voter", host)).collect();
    for machine in &mut machines[..3] {
        machine.start(&settings.of(machine, true));
    }
    record.line("machines 1, 2 and 3 start, for the first time");
    if put_until(record, &net, &[1, 2, 3], &configuration(1), Duration::from_secs(15)).is_none() {
        return NOT_RUN;
    }
    sleep(Duration::from_secs(5));
    let text = settings.of(&machines[3], false);
    machines[3].start(&text);
    let started = Instant::now();
    record.line("machine 4 starts with an empty disk, as the successor of machine 3");
    sleep(CATCH_UP + Duration::from_secs(2));
    machines[GONE].signal("TERM");
    record.line(format!("machine 3 gets SIGTERM, {:?} after the successor's start", started.elapsed()));
    if !machines[GONE].wait_for_end(GRACE) {
        machines[GONE].kill();
    }
    record.line("machine 3 has ended and is gone for good");
    let staying = [1, 2, 4];
    sleep(Duration::from_secs(1));
    let acknowledged =
        put_until(record, &net, &[1, 2], &configuration(2), Duration::from_secs(15));
    let Some(acknowledged) = acknowledged else {
        record.line("no change is acknowledged before the second loss");
        return NOT_RUN;
    };
    record.line(format!("{:?} after the successor's start", started.elapsed()));
    if has_trouble() {
        let lost = acknowledged;
        let machine = &mut machines[usize::from(lost) - 1];
        machine.kill();
        machine.wipe();
        record.line(format!("machine {lost} loses its disk"));
        sleep(Duration::from_secs(1));
        let text = settings.of(machine, false);
        machine.start(&text);
        record.line(format!("machine {lost} starts again with an empty disk"));
    }
    let put = put_until(record, &net, &staying, &configuration(3), END);
    let read = operate_until(record, &net, &staying, ("GET", "/config", ""), Duration::from_secs(15));
    for host in &staying {
        let text = machines[usize::from(*host) - 1].log_text();
        let lines = text.lines().filter(|line| {
            ["leadership changed", "repairing", "membership changed", "creating a replica"]
                .iter()
                .any(|part| line.contains(part))
        });
        for line in lines {
            record.line(format!("log of machine {host}: {line}"));
        }
    }
    let version = read.map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
    match (put, &version) {
        (Some(_), Some(text)) if text.starts_with(r#"{"version":3,"#) => {
            record.line("HELD: the configuration is changed and read back");
            HELD
        }
        (_, Some(text)) => {
            record.line(format!("BROKEN: read back: {}", &text[..text.len().min(40)]));
            BROKEN
        }
        (_, None) => {
            record.line("BROKEN: version 2 was acknowledged, and no machine gives it back any more");
            BROKEN
        }
    }
}
