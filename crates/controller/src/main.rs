//! The controller of walnutlug, a cluster scheduler that never starts a task twice.

// Tests that script a long sequence of requests are easier to follow in one function.
#![cfg_attr(test, allow(clippy::too_many_lines))]

mod cli;
mod cloud_client;
mod count_guard;
#[cfg(test)]
#[path = "../../scheduler/tests/golden_file/mod.rs"]
mod golden_file;
mod heartbeat_delegation;
mod http;
mod key_value_client;
mod node;
mod operator_script;
mod peers;
mod settings;
mod user_api;
mod worker_api;

fn main() -> std::process::ExitCode {
    cli::main()
}
