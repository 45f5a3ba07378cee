//! Real controllers on loopback against stand-ins for everything around them, a harness that freezes the
//! leader, a play with two versions of the program, and a checker of what the cloud was asked.

pub mod check;
pub mod cloud;
pub mod controllers;
pub mod elections;
pub mod freeze;
pub mod overload;
pub mod run;
pub mod state;
pub mod store;
pub mod user;
pub mod versions;
pub mod worker;
pub mod workload;
