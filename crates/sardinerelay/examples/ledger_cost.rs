//! Measures the memory and snapshot time of the ledger.
//!
//! `cargo run --release -p sardinerelay --example ledger_cost -- [RECORDS [tombstones]]`
//!
//! Prints the resident memory for each record, and how long a snapshot, a restore and a copy of the
//! state machine take. With `tombstones`, it prints the resident memory for each tombstone instead.

use {
    sardinerelay::{
        ledger::{Intent, Key, Ledger, Owner, Quota, RECORD_LIFETIME},
        state::{Command, Entry, Machine},
    },
    std::{
        env, fs,
        hint::black_box,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    uuid::Uuid,
};

const PAGE_BYTES: usize = 4096;
const BATCH_RECORDS: usize = 1000;

fn main() {
    let records = env::args()
        .nth(1)
        .and_then(|records| records.parse().ok())
        .unwrap_or(1_000_000);
    let quota = Quota {
        records,
        untimed: records,
        ..Quota::default()
    };
    println!("{records} records");
    println!("fields of a record: {} bytes", Ledger::RECORD_BYTES);
    if env::args().any(|argument| argument == "tombstones") {
        tombstones(quota, records);
        return;
    }
    let before = resident_bytes();
    let mut machine = Machine::new(quota);
    for number in 0..records {
        machine.apply(number as u64 + 1, &begin(number, Duration::ZERO));
    }
    print("record", before, records);
    let start = Instant::now();
    let bytes = machine.snapshot().expect("encodes");
    println!("snapshot: {} bytes in {:?}", bytes.len(), start.elapsed());
    let start = Instant::now();
    black_box(Machine::restore(&bytes).expect("decodes"));
    println!("restore: {:?}", start.elapsed());
    let start = Instant::now();
    let copy = machine.clone();
    println!("copy: {:?}", start.elapsed());
    black_box((copy, machine));
}

/// Expires records in small batches, so that the memory of live records hardly counts.
fn tombstones(quota: Quota, records: usize) {
    let before = resident_bytes();
    let mut ledger = Ledger::new(quota);
    for number in 0..records {
        let after = RECORD_LIFETIME * (number / BATCH_RECORDS) as u32;
        let entry = begin(number, after);
        if let Command::Begin(intent) = entry.command {
            ledger.begin(&intent, entry.at, |_| false);
        }
    }
    print("tombstone", before, records);
    black_box(ledger);
}

fn begin(number: usize, after: Duration) -> Entry {
    let at = time(after);
    let intent = Intent {
        key: Key {
            organisation: "brakeline".into(),
            key: format!("order-{number}").into(),
        },
        fingerprint: [1; 32],
        owner: Owner {
            host: 1,
            incarnation: 1,
        },
        attempt: Uuid::from_u128(number as u128),
        deadline: at + Duration::from_secs(60),
    };
    Entry {
        proposal: None,
        at,
        shard: 0,
        command: Command::Begin(intent),
    }
}

fn time(after: Duration) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_800_000_000) + after
}

fn print(name: &str, before: usize, count: usize) {
    let bytes = resident_bytes().saturating_sub(before);
    println!("{name}: {:.1} bytes resident", bytes as f64 / count as f64);
}

fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
