//! Real controllers on loopback against fakes for everything around them, a harness that freezes the
//! leader, a play with two versions of the program, and a checker of what the cloud was asked.

pub mod action_checker;
pub mod controllers;
pub mod elections;
pub mod fake_cloud;
pub mod fake_key_value_service;
pub mod fake_key_value_store;
pub mod fake_workers;
pub mod freeze;
pub mod freeze_scenario;
pub mod overload_scenario;
pub mod user;
pub mod version_scenario;
pub mod workload;
