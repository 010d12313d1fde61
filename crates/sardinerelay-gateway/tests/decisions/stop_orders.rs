//! Whether the end of a stream is the generation's own, whatever becomes of the orders to stop it.

use {
    proptest::prelude::*,
    sardinerelay::id::Target,
    sardinerelay_gateway::stop_order::{End, Ledger, Outcome},
};

/// How an order to stop the generation went, for the engine and for the relay.
#[derive(Debug, Clone, Copy)]
enum Order {
    /// It arrived, was carried out, and its answer came.
    Answered,
    /// It arrived and may be carried out at any time. The relay never learns.
    Late,
    /// The engine never gets it or has forgotten it, and the relay never learns.
    Lost,
    /// The engine says that it doesn't carry it out.
    Rejected,
}

/// What happens to a generation, in any sequence.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The relay sends an order to the engine with this number.
    Send(usize, Order),
    /// The engine carries out an order that it still has, and closes the stream.
    CarryOut,
    /// The generation reaches its own end.
    Finish,
    /// The generation goes on at the engine with this number.
    Switch(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let order = prop_oneof![
        Just(Order::Answered),
        Just(Order::Late),
        Just(Order::Lost),
        Just(Order::Rejected)
    ];
    prop_oneof![
        4 => (0..3_usize, order).prop_map(|(engine, order)| Step::Send(engine, order)),
        2 => Just(Step::CarryOut),
        1 => Just(Step::Finish),
        2 => (0..3_usize).prop_map(Step::Switch),
    ]
}

fn engine(number: usize) -> Target {
    format!("i-{number}").as_str().into()
}

/// Sends an order and records what the relay learns of it.
fn send(ledger: &mut Ledger, waiting: &mut Vec<usize>, number: usize, order: Order) {
    ledger.record_sent(&engine(number));
    match order {
        Order::Answered | Order::Rejected => {
            ledger.record_outcome(&engine(number), Outcome::Settled)
        }
        Order::Late => {
            waiting.push(number);
            ledger.record_outcome(&engine(number), Outcome::Unknown);
        }
        Order::Lost => ledger.record_outcome(&engine(number), Outcome::Unknown),
    }
}

fn unframed_end(ledger: &Ledger, number: usize) -> End {
    End {
        is_clean: true,
        is_framed: false,
        is_between_events: true,
        has_begun: true,
        may_be_stopped: ledger.may_stop(&engine(number)),
    }
}

proptest! {
    /// Guards against the end of a stream that an engine stopped being taken for the generation's own.
    #[test]
    fn an_end_that_an_order_caused_is_never_complete(steps in prop::collection::vec(step(), 1..24)) {
        let mut ledger = Ledger::default();
        // Engines that still have an order, once for each.
        let mut waiting: Vec<usize> = Vec::new();
        let mut unknown = [false; 3];
        let mut current = 0;
        for step in steps {
            match step {
                Step::Send(number, order) => {
                    unknown[number] |= matches!(order, Order::Late | Order::Lost);
                    send(&mut ledger, &mut waiting, number, order);
                }
                Step::CarryOut => {
                    if waiting.contains(&current) {
                        prop_assert!(!unframed_end(&ledger, current).is_complete());
                        break;
                    }
                }
                Step::Finish => {
                    // Streams are broken off only if there is doubt.
                    let end = unframed_end(&ledger, current);
                    prop_assert_eq!(end.is_complete(), !unknown[current]);
                    // With framing there is none.
                    let framed = End { is_framed: true, ..end };
                    prop_assert!(framed.is_complete());
                    break;
                }
                Step::Switch(number) => current = number,
            }
        }
    }

    /// Guards against a stream that counts as complete in the middle of an event, after an error, or without any
    /// event.
    #[test]
    fn an_end_that_breaks_off_is_never_complete(
        is_framed: bool, has_begun: bool, may_be_stopped: bool, is_clean: bool, is_between_events: bool,
    ) {
        let end = End { is_clean, is_framed, is_between_events, has_begun, may_be_stopped };
        let is_broken = !is_clean || !is_between_events || (!is_framed && !has_begun);
        prop_assert!(!(is_broken && end.is_complete()));
    }
}
