//! The gateway's decisions, without sockets and clocks.

mod decisions {
    mod leaving;
    mod moves;
    mod placement;
    mod register;
    mod repair;
    mod scene;
    mod sse;
    mod table;
    mod waiting;
}
