//! Runs one case of the review against the project's programs on loopback addresses.
//!
//! `stand-ins NUMBER RECORD` runs case NUMBER and writes to the file RECORD what was sent, answered
//! and run. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! With `TROUBLE=0` in the environment it does the same without the disruption.

mod cases;
mod cluster;
mod http;
mod json;
mod state;
mod yard;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, number, record] = arguments.as_slice() else {
        eprintln!("usage: stand-ins NUMBER RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let log = yard::Log::new();
    let result = cases::run(number, has_trouble, &log);
    let code = match &result {
        Ok(broken) if broken.is_empty() => 0,
        Ok(_) => 1,
        Err(_) => 2,
    };
    match result {
        Ok(broken) => broken
            .iter()
            .for_each(|text| log.line(format!("rule broken: {text}"))),
        Err(error) => log.line(format!("could not run: {error}")),
    }
    log.line(format!("exit {code}"));
    if std::fs::write(record, log.text()).is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
