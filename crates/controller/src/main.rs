//! walnutlug: a cluster scheduler that never starts a task twice.

mod cli;
mod cloud;
#[cfg(test)]
#[path = "../../scheduler/tests/golden_file/mod.rs"]
mod golden_file;
mod http;
mod node;
mod peers;
mod script;
mod serving;
mod settings;
mod state;
mod users;
mod workers;

fn main() -> std::process::ExitCode {
    cli::main()
}
