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

fn plain(command: Command) -> Entry {
    Entry {
        proposal: None,
        at: time(0),
        shard: 0,
        command,
    }
}

fn numbered(session: SessionId, sequence: u64, acknowledged: u64, command: Command) -> Entry {
    let proposal = ProposalKey {
        session,
        sequence,
        acknowledged,
    };
    Entry {
        proposal: Some(proposal),
        ..plain(command)
    }
}

fn open(host: Host, incarnation: u64) -> Entry {
    plain(Command::Open {
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

// Guards against two sheets in force under one number, and against a resend that is refused or
// gets another answer after compaction and restore.
#[rstest]
fn equal_numbers_have_one_winner(#[values(false, true)] restore: bool) {
    let mut machine = Machine::new(Quota::default());
    let first = accepted(machine.apply(1, &plain(submit(7, 1))));
    if restore {
        machine = restored(&machine);
    }
    assert_eq!(first, accepted(machine.apply(2, &plain(submit(7, 1)))));
    let conflict = Reply::Conflict {
        winner: first.clone(),
        earlier: None,
    };
    assert_eq!(conflict, machine.apply(3, &plain(submit(7, 2))));
    assert_eq!(conflict, machine.apply(4, &plain(submit(6, 3))));
    assert_eq!(1, machine.view().version);
    assert_eq!(
        Some(7),
        machine.view().sheet.as_ref().map(|sheet| sheet.number)
    );
}

// Guards against a late resend of a superseded sheet that reverts the newer one (G7).
#[test]
fn superseded_sheet_stays_superseded() {
    let mut machine = Machine::new(Quota::default());
    let first = accepted(machine.apply(1, &plain(submit(7, 1))));
    let winner = accepted(machine.apply(2, &plain(submit(8, 2))));
    let reply = restored(&machine).apply(3, &plain(submit(7, 1)));
    let earlier = Some(first);
    assert_eq!(Reply::Conflict { winner, earlier }, reply);
}

// Guards against a repeated proposal that is applied twice, or whose first answer is lost when
// the state moves on or is restored.
#[rstest]
fn repeated_proposal_is_applied_once(#[values(false, true)] restore: bool) {
    let mut machine = Machine::new(Quota::default());
    assert_eq!(Reply::Opened(1), machine.apply(1, &open(4, 0)));
    let begin = numbered(1, 1, 0, Command::Begin(intent(4)));
    assert_eq!(Reply::Begun(Begin::New), machine.apply(2, &begin));
    if restore {
        machine = restored(&machine);
    }
    assert_eq!(Reply::Begun(Begin::New), machine.apply(3, &begin));
    let other = numbered(1, 2, 0, Command::Begin(intent(4)));
    let running = Begin::InProgress(intent(4).owner);
    assert_eq!(Reply::Begun(running), machine.apply(4, &other));
}

// Guards against a bounded table of proposals that applies a forgotten one again: after
// acknowledgement, overflow, a new session of the host, and eviction by other hosts.
#[test]
fn forgotten_proposal_is_refused() {
    let mut machine = Machine::new(Quota::default());
    machine.apply(1, &open(4, 1));
    let first = numbered(1, 1, 0, submit(1, 1));
    machine.apply(2, &first);
    machine.apply(3, &numbered(1, 2, 1, submit(2, 1)));
    assert_eq!(Reply::Forgotten, machine.apply(4, &first));
    for sequence in 3..4000 {
        machine.apply(2 + sequence, &numbered(1, sequence, 1, submit(sequence, 1)));
    }
    let reply = machine.apply(5000, &numbered(1, 3, 1, submit(9000, 1)));
    assert_eq!(Reply::Forgotten, reply);
    assert_eq!(Reply::Opened(5001), machine.apply(5001, &open(4, 2)));
    let reply = machine.apply(5002, &numbered(1, 5000, 1, submit(9000, 1)));
    assert_eq!(Reply::Forgotten, reply);
    for host in 0..2000 {
        machine.apply(6000 + host, &open(100 + host, 0));
    }
    let reply = machine.apply(9000, &numbered(5001, 1, 0, submit(9000, 1)));
    assert_eq!(Reply::Forgotten, reply);
    assert_eq!(
        Some(3999),
        machine.view().accepted.as_ref().map(|sheet| sheet.number)
    );
}

// Guards against a lost answer to an opening that closes the session just opened.
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
        body: [1; 32],
        owner: Owner {
            host,
            incarnation: 5,
        },
        attempt: Uuid::from_u128(1),
        deadline: time(600),
    }
}

// Guards against a call that is run again because the host that ran it restarted or left.
#[rstest]
#[case::restart(open(4, 6))]
#[case::leave(plain(Command::LeaveHost { host: 4, incarnation: 5 }))]
fn calls_of_a_gone_host_are_unknown(#[case] gone: Entry) {
    let mut machine = Machine::new(Quota::default());
    machine.apply(1, &plain(Command::Begin(intent(4))));
    machine.apply(2, &gone);
    let reply = machine.apply(3, &plain(Command::Begin(intent(9))));
    assert_eq!(Reply::Begun(Begin::Unknown), reply);
}

// Guards against a late leave of an older run that hides a newer leave (G5).
#[test]
fn leave_is_sticky_by_incarnation() {
    let leave = |incarnation| {
        plain(Command::LeaveTarget {
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
        machine.apply(1, &plain(Command::PlanStop(stop)))
    );
    assert_eq!(Reply::Recorded(2), machine.apply(2, &leave(3)));
    assert_eq!(Reply::Recorded(2), machine.apply(3, &leave(2)));
    let view = machine.view();
    assert!(view.stops.is_empty());
    assert!(
        view.leaves.has_target_left("engine-1", 3) && !view.leaves.has_target_left("engine-1", 4)
    );
}

// Guards against a stop that another plan reverts: one that was made through a host that knew only
// an older run of the target.
#[test]
fn a_stop_of_an_older_run_does_not_replace_a_later_one() {
    let stop = |incarnation, at| {
        plain(Command::PlanStop(Stop {
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

// Guards against hosts that together exceed an organisation's limit, also when a host's answer to
// a smaller claim was lost and it still spends the larger share.
#[test]
fn shares_stay_within_the_limit() {
    let claim = |host, tokens, seconds| LeaseRequest {
        host,
        organisation: "brakeline".into(),
        tokens_per_minute: tokens,
        requests_per_minute: 1,
        lifetime: Duration::from_secs(seconds),
    };
    let mut machine = Machine::new(Quota::default());
    machine.apply(1, &plain(submit(1, 1)));
    let mut tokens = |at, claim| {
        let entry = Entry {
            at: time(at),
            ..plain(Command::Grant(vec![claim]))
        };
        match machine.apply(2, &entry) {
            Reply::Granted(leases) => leases[0].tokens_per_minute,
            other => panic!("not granted: {other:?}"),
        }
    };
    assert_eq!(80, tokens(0, claim(1, 80, 60)));
    assert_eq!(20, tokens(1, claim(2, 50, 60)));
    assert_eq!(10, tokens(2, claim(1, 10, 90)));
    assert_eq!(20, tokens(3, claim(2, 50, 60)));
    assert_eq!(50, tokens(60, claim(2, 50, 60)));
}

// Guards against a downgrade that misreads a newer snapshot, and against damage taken for state.
#[test]
fn foreign_snapshot_is_refused() {
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
    // Guards against a host that pulled changes and holds another view than one that pulled a
    // whole view, wherever pulls and restores fall between the changes.
    #[test]
    fn changes_and_whole_views_agree(
        commands in prop::collection::vec((command(), any::<bool>(), 0..20u8), 0..120)
    ) {
        let mut machine = Machine::new(Quota::default());
        let mut host = View::default();
        for (index, (command, pull, restore)) in commands.into_iter().enumerate() {
            machine.apply(index as u64 + 1, &plain(command));
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
                    .map_err(|mismatch| TestCaseError::fail(mismatch.to_string()))?;
            }
        }
    }
    Ok(host)
}

// Guards against a host whose view diverged at an equal version and that is told it is current.
#[test]
fn divergence_yields_a_whole_view() {
    let mut machine = Machine::new(Quota::default());
    for number in 1..2000 {
        machine.apply(number, &plain(submit(number, 1)));
    }
    let digest = machine.view().digest;
    let wrong: Digest = [9; 32];
    assert_eq!(Update::Current, machine.update_since(1999, &digest));
    for (version, digest) in [(1999, wrong), (1990, wrong), (3, wrong), (2000, digest)] {
        let update = machine.update_since(version, &digest);
        assert!(matches!(update, Update::Whole(_)), "version {version}");
    }
}
