//! Tests of the load tool: the checker on faulty streams, and whole runs against stand-ins.

mod check;
mod measure;
mod program;
mod run;
