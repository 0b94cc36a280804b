//! cherryyard: a cluster scheduler.

mod account;
mod app;
mod cli;
mod condor;
mod operator;
mod routes;
mod run;
mod server;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
