//! A part of a prompt crashes servers shortly after a planned stop of the voter that leads.
//!
//! A caller's sound requests share their first part with those that crash servers. Exit codes: 1 if less than
//! half of the sound requests begin from 2 x contactMs after the last crash on, 0 if more do, 2 if the case
//! could not run.

mod common;
mod model;

use {
    common::{
        BROKEN, FIRST_ENTRY, FIRST_SERVER, FRONT_PORT, HELD, HOST, KEY, List, Listed, NOT_RUN,
        Network, Record, SERVER_PORT, System,
    },
    model::{Behaviour, Copies, Crashing, Model},
    std::{
        io::{Read, Write},
        net::TcpStream,
        process,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// The first part of all of the caller's prompts, and the part that crashes servers.
const FIRST_PART: &str = "5c1e07a2:800";
const DEADLY_PART: &str = "91bd3f06:410";
const CONTACT: Duration = Duration::from_millis(4000);
/// Model servers.
const SERVERS: u8 = 12;
/// Pause between two sound requests of the caller.
const SOUND_PAUSE: Duration = Duration::from_millis(600);
/// Pause between two deadly requests, after the first ones.
const DEADLY_PAUSE: Duration = Duration::from_millis(1500);
/// Deadly requests that come within half a second.
const FIRST_DEADLY: usize = 6;
/// Sound requests by which the shares are measured, before and after.
const MEASURED: usize = 24;

/// A sound request: when it was sent, and whether it began.
type Sound = (Instant, bool);

fn main() {
    let record = Record::create();
    let network = Network::find();
    let list = List::default();
    list.start(network);
    let behaviour = Behaviour {
        events: 4,
        event_bytes: 400,
        first: Duration::from_millis(250),
        step: Duration::from_millis(28),
        is_chunked: true,
        stop_delay: Duration::from_millis(20),
    };
    let (copies, crashes) = (Copies::default(), Arc::new(AtomicU64::new(0)));
    for number in 0..SERVERS {
        let id = format!("i-{number}");
        let address = network.at(FIRST_SERVER + number, SERVER_PORT);
        let crashing = Crashing {
            part: DEADLY_PART,
            down: Duration::from_secs(3),
            list: list.clone(),
            crashes: Arc::clone(&crashes),
        };
        Model::start_crashing(&id, address, behaviour, &copies, &record, Some(crashing));
        list.add(Listed {
            id,
            service: "models",
            address,
            zone: common::zone_of(FIRST_SERVER + number),
            slots: 64,
            is_draining: false,
            born: 1_700_000_000_000,
        });
    }
    let mut system = System::start(network, (3, 2), &common::configuration(1, ""), &record);
    let sound: Arc<Mutex<Vec<Sound>>> = Arc::default();
    ask_soundly(network, MEASURED, &sound, &record);
    let before = common::lock(&sound).clone();
    let Some(leader) = system.leader() else {
        record.line("no voter leads");
        drop(system);
        process::exit(NOT_RUN);
    };
    if common::has_trouble() {
        hand_over(&mut system, leader, &record);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let deadly = {
        let (record, is_over) = (record.clone(), Arc::clone(&is_over));
        thread::spawn(move || send_deadly(network, &is_over, &record))
    };
    // The caller's next sound request comes a little later, as its requests do.
    thread::sleep(SOUND_PAUSE);
    let began = Instant::now();
    while began.elapsed() < CONTACT * 2 + Duration::from_secs(1) {
        ask_soundly(network, 1, &sound, &record);
    }
    let measured_from = Instant::now();
    let (last_crashes, crashed) = (crashes.load(Ordering::SeqCst), MEASURED);
    ask_soundly(network, crashed, &sound, &record);
    is_over.store(true, Ordering::Relaxed);
    let _ = deadly.join();
    let late_crashes = crashes.load(Ordering::SeqCst) - last_crashes;
    drop(system);
    let after: Vec<Sound> = common::lock(&sound)
        .iter()
        .filter(|(sent, _)| *sent >= measured_from)
        .copied()
        .collect();
    let share = |sound: &[Sound]| {
        let began = sound.iter().filter(|(_, began)| *began).count();
        began as f64 / sound.len().max(1) as f64
    };
    let line = format!(
        "{last_crashes} crashes, {late_crashes} later; of sound requests {:.0} in 100 began before, {:.0} in 100 after",
        100.0 * share(&before),
        100.0 * share(&after)
    );
    record.line(&line);
    println!("{line}");
    if share(&before) < 0.9 || last_crashes < 3 {
        process::exit(NOT_RUN);
    }
    let is_broken = share(&after) < 0.5 * share(&before);
    process::exit(if is_broken { BROKEN } else { HELD });
}

/// Stops the leading voter as planned, starts it again, and waits until the entry hosts know the next one.
fn hand_over(system: &mut System, leader: u8, record: &Record) {
    let entries = [FIRST_ENTRY, FIRST_ENTRY + 1];
    let known: Vec<usize> = entries.iter().map(|entry| system.allocator_changes(*entry)).collect();
    system.signal(leader, "TERM");
    let began = Instant::now();
    let mut is_started = false;
    loop {
        thread::sleep(Duration::from_millis(10));
        if !is_started && let Some(status) = system.ended(leader) {
            record.line(format!("voter {leader} ended: {status}"));
            system.kill(leader);
            system.start_host(leader, false);
            is_started = true;
        }
        let mut changed = entries.iter().zip(&known);
        if is_started && changed.all(|(entry, known)| system.allocator_changes(*entry) > *known) {
            record.line("both entry hosts know the next leader");
            return;
        }
        if began.elapsed() > Duration::from_secs(15) {
            record.line("no other voter leads");
            system.stop_all();
            process::exit(NOT_RUN);
        }
    }
}

/// Sends sound requests one after the other, at both entry hosts in turn.
fn ask_soundly(network: Network, count: usize, sound: &Mutex<Vec<Sound>>, record: &Record) {
    for number in 0..count {
        let sent = Instant::now();
        let entry = FIRST_ENTRY + (number % 2) as u8;
        let (status, events) = ask(network, entry, FIRST_PART, record);
        common::lock(sound).push((sent, status == 200 && events > 0));
        thread::sleep(SOUND_PAUSE.saturating_sub(sent.elapsed()));
    }
}

/// Sends deadly requests, no two alike: some at once, then one now and then.
fn send_deadly(network: Network, is_over: &AtomicBool, record: &Record) {
    let prefix = format!("{FIRST_PART},{DEADLY_PART}");
    let first: Vec<_> = (0..FIRST_DEADLY)
        .map(|number| {
            let (record, prefix) = (record.clone(), prefix.clone());
            thread::sleep(Duration::from_millis(60));
            thread::spawn(move || ask(network, FIRST_ENTRY + (number % 2) as u8, &prefix, &record))
        })
        .collect();
    first.into_iter().for_each(|asking| drop(asking.join()));
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        ask(network, FIRST_ENTRY + (number % 2) as u8, &prefix, record);
        number += 1;
        thread::sleep(DEADLY_PAUSE);
    }
}

/// Sends one request, as the first attempt of its client. Returns the status and the number of events.
fn ask(network: Network, entry: u8, prefix: &str, record: &Record) -> (u16, usize) {
    let attempt = common::next_attempt();
    let kind = if prefix.contains(DEADLY_PART) { "deadly" } else { "sound" };
    let mut bytes = Vec::new();
    if let Ok(mut stream) = TcpStream::connect(network.at(entry, FRONT_PORT)) {
        let request = format!(
            "POST /plan/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 1460,16\r\nPrompt-Prefix: {prefix},{attempt}:250\r\nDeadline-Ms: 6000\r\nAuthorization: Token {KEY}\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        let _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
        let _ = stream.write_all(request.as_bytes());
        let _ = stream.read_to_end(&mut bytes);
    }
    let received = common::parse_answer(&bytes);
    let events = common::event_ids(&received.body).len();
    let text = match received.status {
        200 => format!("{events} events"),
        _ => String::from_utf8_lossy(&received.body).trim().to_owned(),
    };
    record.line(format!(
        "client: {kind} {attempt} at host {entry} got {}: {text}",
        received.status
    ));
    (received.status, events)
}
