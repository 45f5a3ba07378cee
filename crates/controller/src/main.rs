//! walnutlug: a cluster scheduler that never starts a task twice.

// A test's script reads best in one piece.
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
