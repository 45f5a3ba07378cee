//! Fault-injection scenarios for the controller. Real controller processes run on the loopback
//! interface against in-process fakes of the key-value service, the cloud and the workers.
//!
//! One scenario freezes the leader, one overloads the cluster, and one changes leadership between
//! two versions of the program. A checker examines the log of cloud requests afterwards.

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
