//! Tests of the replicated state machine.

use {
    proptest::prelude::*,
    rstest::rstest,
    sardinerelay::{
        id::Host,
        ledger::{Begin, Intent, Key, Owner, Quota},
        sheet::{Account, Sheet},
        state::{
            AcceptedSheet, Command, Digest, Entry, Error, LeaseRequest, Machine, ProposalKey,
            Reply, SessionId, Stop, Subject, Update, View,
        },
    },
    std::{
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    uuid::Uuid,
};

fn time(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_800_000_000 + seconds)
}

fn sheet(number: u64) -> Arc<Sheet> {
    Arc::new(Sheet {
        number,
        classes: Vec::new(),
        targets: Vec::new(),
        models: Vec::new(),
        services: Vec::new(),
        organisations: vec![Account {
            name: "brakeline".into(),
            key_sha256: Vec::new(),
            classes: Vec::new(),
            tokens_per_minute: 100,
            requests_per_minute: 10,
        }],
    })
}

fn submit(number: u64, mark: u8) -> Command {
    Command::Submit {
        digest: [mark; 32],
        sheet: sheet(number),
    }
}

fn unnumbered(command: Command) -> Entry {
    Entry {
        proposal: None,
        at: time(0),
        shard: 0,
        command,
    }
}

fn proposed(session: SessionId, sequence: u64, acknowledged: u64, command: Command) -> Entry {
    let proposal = ProposalKey {
        session,
        sequence,
        acknowledged,
    };
    Entry {
        proposal: Some(proposal),
        ..unnumbered(command)
    }
}

fn open(host: Host, incarnation: u64) -> Entry {
    unnumbered(Command::Open {
        host,
        incarnation,
        nonce: Uuid::from_u64_pair(host, incarnation),
    })
}

fn restored(machine: &Machine) -> Machine {
    Machine::restore(&machine.snapshot().unwrap()).unwrap()
}

fn accepted(reply: Reply) -> AcceptedSheet {
    match reply {
        Reply::Accepted(accepted) => accepted,
        other => panic!("not accepted: {other:?}"),
    }
}

// Guards against accepting two sheets under one number, and against a resubmission that is rejected
// or gets another reply after a snapshot and restore.
#[rstest]
fn equal_numbers_have_one_winner(#[values(false, true)] restore: bool) {
    let mut machine = Machine::new(Quota::default());
    let first = accepted(machine.apply(1, &unnumbered(submit(7, 1))));
    if restore {
        machine = restored(&machine);
    }
    assert_eq!(first, accepted(machine.apply(2, &unnumbered(submit(7, 1)))));
    let conflict = Reply::Conflict {
        winner: first.clone(),
        earlier: None,
    };
    assert_eq!(conflict, machine.apply(3, &unnumbered(submit(7, 2))));
    assert_eq!(conflict, machine.apply(4, &unnumbered(submit(6, 3))));
    assert_eq!(1, machine.view().version);
    assert_eq!(
        Some(7),
        machine.view().sheet.as_ref().map(|sheet| sheet.number)
    );
}

// Guards against a late retry of a superseded sheet that reverts the newer one (G7).
#[test]
fn superseded_sheet_stays_superseded() {
    let mut machine = Machine::new(Quota::default());
    let first = accepted(machine.apply(1, &unnumbered(submit(7, 1))));
    let winner = accepted(machine.apply(2, &unnumbered(submit(8, 2))));
    let reply = restored(&machine).apply(3, &unnumbered(submit(7, 1)));
    let earlier = Some(first);
    assert_eq!(Reply::Conflict { winner, earlier }, reply);
}

// Guards against a retried proposal that is applied twice, or that gets another reply after the
// state has changed or was restored.
#[rstest]
fn repeated_proposal_is_applied_once(#[values(false, true)] restore: bool) {
    let mut machine = Machine::new(Quota::default());
    assert_eq!(Reply::Opened(1), machine.apply(1, &open(4, 0)));
    let begin = proposed(1, 1, 0, Command::Begin(intent(4)));
    assert_eq!(Reply::Begun(Begin::New), machine.apply(2, &begin));
    if restore {
        machine = restored(&machine);
    }
    assert_eq!(Reply::Begun(Begin::New), machine.apply(3, &begin));
    let other = proposed(1, 2, 0, Command::Begin(intent(4)));
    let running = Begin::InProgress(intent(4).owner);
    assert_eq!(Reply::Begun(running), machine.apply(4, &other));
}

// Guards against applying a proposal again whose reply was dropped: after its acknowledgement,
// after too many later replies, after a new session of the host, and after too many sessions.
#[test]
fn forgotten_proposal_is_rejected() {
    let mut machine = Machine::new(Quota::default());
    machine.apply(1, &open(4, 1));
    let first = proposed(1, 1, 0, submit(1, 1));
    machine.apply(2, &first);
    machine.apply(3, &proposed(1, 2, 1, submit(2, 1)));
    assert_eq!(Reply::Forgotten, machine.apply(4, &first));
    for sequence in 3..4000 {
        machine.apply(2 + sequence, &proposed(1, sequence, 1, submit(sequence, 1)));
    }
    let reply = machine.apply(5000, &proposed(1, 3, 1, submit(9000, 1)));
    assert_eq!(Reply::Forgotten, reply);
    assert_eq!(Reply::Opened(5001), machine.apply(5001, &open(4, 2)));
    let reply = machine.apply(5002, &proposed(1, 5000, 1, submit(9000, 1)));
    assert_eq!(Reply::Forgotten, reply);
    for host in 0..2000 {
        machine.apply(6000 + host, &open(100 + host, 0));
    }
    let reply = machine.apply(9000, &proposed(5001, 1, 0, submit(9000, 1)));
    assert_eq!(Reply::Forgotten, reply);
    assert_eq!(
        Some(3999),
        machine.view().accepted.as_ref().map(|sheet| sheet.number)
    );
}

// Guards against a retry of an opening, after a lost reply, that closes the session just opened.
#[test]
fn repeated_opening_keeps_the_session() {
    let mut machine = Machine::new(Quota::default());
    assert_eq!(Reply::Opened(1), machine.apply(1, &open(4, 1)));
    assert_eq!(Reply::Opened(1), machine.apply(2, &open(4, 1)));
    assert_eq!(Reply::Opened(3), machine.apply(3, &open(4, 2)));
}

fn intent(host: Host) -> Intent {
    Intent {
        key: Key {
            organisation: "brakeline".into(),
            key: "order-1".into(),
        },
        fingerprint: [1; 32],
        owner: Owner {
            host,
            incarnation: 5,
        },
        attempt: Uuid::from_u128(1),
        deadline: time(600),
    }
}

// Guards against running a call again because the host that ran it has restarted or left.
#[rstest]
#[case::restart(open(4, 6))]
#[case::leave(unnumbered(Command::LeaveHost { host: 4, incarnation: 5 }))]
fn calls_of_a_host_that_left_are_unknown(#[case] gone: Entry) {
    let mut machine = Machine::new(Quota::default());
    machine.apply(1, &unnumbered(Command::Begin(intent(4))));
    machine.apply(2, &gone);
    let reply = machine.apply(3, &unnumbered(Command::Begin(intent(9))));
    assert_eq!(Reply::Begun(Begin::Unknown), reply);
}

// Guards against a late leave of an older incarnation that hides a newer leave (G5).
#[test]
fn leave_holds_up_to_its_incarnation() {
    let leave = |incarnation| {
        unnumbered(Command::LeaveTarget {
            target: "engine-1".into(),
            incarnation,
        })
    };
    let mut machine = Machine::new(Quota::default());
    let stop = Stop {
        subject: Subject::Target("engine-1".into()),
        incarnation: 3,
        at: time(60),
        grace: Duration::from_secs(30),
    };
    assert_eq!(
        Reply::Recorded(1),
        machine.apply(1, &unnumbered(Command::PlanStop(stop)))
    );
    assert_eq!(Reply::Recorded(2), machine.apply(2, &leave(3)));
    assert_eq!(Reply::Recorded(2), machine.apply(3, &leave(2)));
    let view = machine.view();
    assert!(view.stops.is_empty());
    assert!(
        view.leaves.has_target_left("engine-1", 3) && !view.leaves.has_target_left("engine-1", 4)
    );
}

// Guards against a planned stop that is reverted by a plan for an older incarnation, which comes
// from a host that didn't know the newer one.
#[test]
fn a_stop_of_an_older_run_does_not_replace_a_later_one() {
    let stop = |incarnation, at| {
        unnumbered(Command::PlanStop(Stop {
            subject: Subject::Target("engine-1".into()),
            incarnation,
            at: time(at),
            grace: Duration::from_secs(30),
        }))
    };
    let planned = |machine: &Machine| {
        let subject = Subject::Target("engine-1".into());
        machine.view().stops.get(&subject).cloned()
    };
    let mut machine = Machine::new(Quota::default());
    assert_eq!(Reply::Recorded(1), machine.apply(1, &stop(3, 60)));
    let first = planned(&machine);
    assert_eq!(Reply::Recorded(1), machine.apply(2, &stop(0, 61)));
    assert_eq!(Reply::Recorded(1), machine.apply(3, &stop(3, 62)));
    assert_eq!(planned(&machine), first);
    assert_eq!(Reply::Recorded(2), machine.apply(4, &stop(4, 63)));
    assert_eq!(planned(&machine).map(|stop| stop.incarnation), Some(4));
}

// Guards against leases that together exceed an organisation's limit. That includes a host whose
// smaller lease was lost on the way, so that it still spends the larger one.
#[test]
fn shares_stay_within_the_limit() {
    let request = |host, tokens, seconds| LeaseRequest {
        host,
        organisation: "brakeline".into(),
        tokens_per_minute: tokens,
        requests_per_minute: 1,
        lifetime: Duration::from_secs(seconds),
    };
    let mut machine = Machine::new(Quota::default());
    machine.apply(1, &unnumbered(submit(1, 1)));
    let mut granted = |at, request| {
        let entry = Entry {
            at: time(at),
            ..unnumbered(Command::Grant(vec![request]))
        };
        match machine.apply(2, &entry) {
            Reply::Granted(leases) => leases[0].tokens_per_minute,
            other => panic!("not granted: {other:?}"),
        }
    };
    assert_eq!(80, granted(0, request(1, 80, 60)));
    assert_eq!(20, granted(1, request(2, 50, 60)));
    assert_eq!(10, granted(2, request(1, 10, 90)));
    assert_eq!(20, granted(3, request(2, 50, 60)));
    assert_eq!(50, granted(60, request(2, 50, 60)));
}

// Guards against an older release that misreads a newer snapshot, and against a damaged snapshot
// that is restored.
#[test]
fn unreadable_snapshot_is_rejected() {
    let mut bytes = Machine::new(Quota::default()).snapshot().unwrap();
    bytes[0] += 1;
    let refused = Machine::restore(&bytes).unwrap_err();
    assert_eq!(Error::Format { found: 2 }, refused);
    assert!(matches!(Machine::restore(&[1]), Err(Error::Encoding(_))));
}

fn command() -> impl Strategy<Value = Command> {
    let target = prop_oneof![Just("engine-1"), Just("engine-2")];
    prop_oneof![
        (1..40u64, 0..3u8).prop_map(|(number, mark)| submit(number, mark)),
        (target, 0..20u64).prop_map(|(target, incarnation)| Command::LeaveTarget {
            target: target.into(),
            incarnation,
        }),
        (0..5u64, 0..20u64)
            .prop_map(|(host, incarnation)| Command::LeaveHost { host, incarnation }),
        (0..5u64, 0..20u64, 0..9u64).prop_map(|(host, incarnation, at)| {
            Command::PlanStop(Stop {
                subject: Subject::Host(host),
                incarnation,
                at: time(at),
                grace: Duration::ZERO,
            })
        }),
    ]
}

proptest! {
    // Guards against a view that differs depending on whether a host pulled single changes or the
    // whole view, for any order of changes, pulls and restores.
    #[test]
    fn changes_and_whole_views_agree(
        commands in prop::collection::vec((command(), any::<bool>(), 0..20u8), 0..120)
    ) {
        let mut machine = Machine::new(Quota::default());
        let mut host = View::default();
        for (index, (command, pull, restore)) in commands.into_iter().enumerate() {
            machine.apply(index as u64 + 1, &unnumbered(command));
            if restore == 0 {
                machine = restored(&machine);
            }
            if pull {
                let update = machine.update_since(host.version, &host.digest);
                host = updated(host, update)?;
                prop_assert_eq!(&host, machine.view());
            }
        }
    }
}

fn updated(mut host: View, update: Update) -> Result<View, TestCaseError> {
    match update {
        Update::Current => {}
        Update::Whole(view) => host = *view,
        Update::Changes(changes) => {
            for change in &changes {
                host.apply(change)
                    .map_err(|error| TestCaseError::fail(error.to_string()))?;
            }
        }
    }
    Ok(host)
}

// Guards against a host whose view has diverged at an equal version and is reported as current.
#[test]
fn divergence_yields_a_whole_view() {
    let mut machine = Machine::new(Quota::default());
    for number in 1..2000 {
        machine.apply(number, &unnumbered(submit(number, 1)));
    }
    let digest = machine.view().digest;
    let wrong: Digest = [9; 32];
    assert_eq!(Update::Current, machine.update_since(1999, &digest));
    for (version, digest) in [(1999, wrong), (1990, wrong), (3, wrong), (2000, digest)] {
        let update = machine.update_since(version, &digest);
        assert!(matches!(update, Update::Whole(_)), "version {version}");
    }
}
