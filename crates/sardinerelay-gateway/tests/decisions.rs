//! The gateway's decisions, without sockets and clocks.

mod decisions {
    mod fixtures;
    mod leaving;
    mod moves;
    mod placement;
    mod register;
    mod repair;
    mod sse;
    mod table;
    mod waiting;
}
