//! Tests of the gateway's decisions, which need no sockets and no clock.

mod decisions {
    mod builds;
    mod distribution;
    mod fixtures;
    mod leaving;
    mod limits;
    mod list;
    mod moves;
    mod overload;
    mod placement;
    mod quarantine;
    mod reads;
    mod register;
    mod repair;
    mod requests;
    mod sse;
    mod table;
    mod waiting;
}
