//! Tests of the gateway's decisions, which need no sockets and no clock.

mod decisions {
    mod allocating_host;
    mod builds;
    mod candidates;
    mod cold;
    mod distribution;
    mod evacuation;
    mod even;
    mod fixtures;
    mod homes;
    mod late_crashes;
    mod leaving;
    mod limits;
    mod list;
    mod moves;
    mod origins;
    mod overload;
    mod paging;
    mod placement;
    mod proposals;
    mod quarantine;
    mod read_times;
    mod readers;
    mod reads;
    mod register;
    mod repair;
    mod repair_model;
    mod requests;
    mod sse;
    mod stop_orders;
    mod table;
    mod update_bytes;
    mod updates;
    mod waiting;
}
