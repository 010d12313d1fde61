//! Tests of the load tool: the checker on planted faults, and whole runs against stand-ins.

mod check;
mod measure;
mod program;
mod run;
