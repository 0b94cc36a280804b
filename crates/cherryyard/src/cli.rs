//! The command line.

use crate::account::AccountError;
use crate::condor::{self, Condor, CondorError};
use crate::operator::OperatorError;
use crate::run::StartError;
use crate::server::{ServerError, query};
use crate::{account, operator, run};
use cherryyard_core::{Config, Tuning};
use cherryyard_wire::job::JobSpec;
use cherryyard_wire::settings::Settings;
use cherryyard_wire::{InvalidField, ReadError};
use clap::{Parser, Subcommand};
use salvo::http::Method;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// A cluster scheduler: runs a controller, or talks to one.
#[derive(Debug, Parser)]
#[command(
    version,
    about,
    args_conflicts_with_subcommands = true,
    arg_required_else_help = true
)]
struct Cli {
    /// Run a controller with this settings file (JSON)
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Operators' own settings (HCL)
    #[arg(long, value_name = "FILE", requires = "config")]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check settings files without running anything
    Check {
        /// Settings file (JSON)
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Operators' own settings (HCL)
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Submit a job and print its state
    Submit {
        /// Address of a controller, such as 127.0.0.1:8080
        #[arg(long, value_name = "ADDR")]
        server: String,
        /// The job (JSON)
        file: PathBuf,
        /// Jobs that must be done before it starts, beside those that the file names
        #[arg(long, value_name = "ID", value_delimiter = ',')]
        waits_on: Vec<String>,
    },
    /// Print a job's state: what it waits for, and with which job it was cancelled
    Status {
        /// Address of a controller
        #[arg(long, value_name = "ADDR")]
        server: String,
        /// The job's id, such as j-000412
        id: String,
    },
    /// Cancel a job and print its state
    Cancel {
        /// Address of a controller
        #[arg(long, value_name = "ADDR")]
        server: String,
        /// The job's id
        id: String,
    },
    /// Print how many jobs are open, over, and in the history
    History {
        /// Address of a controller with `history = true`
        #[arg(long, value_name = "ADDR")]
        server: String,
    },
    /// HTCondor submit files: queue, look, remove, match
    #[command(subcommand)]
    Condor(Condor),
    /// Sum up what cores did, from the logs of controllers that keep account
    Account {
        /// Logs of controllers
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
}

/// Why a command failed.
#[derive(Debug, Error)]
enum CliError {
    #[error("--config is missing")]
    NoConfig,
    #[error("{path}: {source}")]
    Unreadable {
        path: String,
        source: std::io::Error,
    },
    #[error("{path}: not UTF-8")]
    NotUtf8 { path: String },
    /// A settings file or a job.
    #[error("{path}: {source}")]
    Invalid { path: String, source: ReadError },
    #[error("{path}: {source}")]
    NotJson {
        path: String,
        source: serde_json::Error,
    },
    #[error("{path}: {source}")]
    Operator { path: String, source: OperatorError },
    #[error("--waits-on: {0}")]
    WaitsOn(InvalidField),
    #[error("id: `{0}` is not a job id such as j-000412")]
    NotAJobId(String),
    #[error("cannot start: {0}")]
    Runtime(std::io::Error),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Server(#[from] ServerError),
    #[error(transparent)]
    Condor(#[from] CondorError),
    #[error(transparent)]
    Account(#[from] AccountError),
}

/// A path as errors name it.
fn name_of(path: &Path) -> String {
    path.display().to_string()
}

fn read(path: &Path) -> Result<Vec<u8>, CliError> {
    std::fs::read(path).map_err(|source| CliError::Unreadable {
        path: name_of(path),
        source,
    })
}

fn load(config: &Path, operator_file: Option<&Path>) -> Result<(Settings, Tuning), CliError> {
    let settings = Settings::parse(&read(config)?).map_err(|source| CliError::Invalid {
        path: name_of(config),
        source,
    })?;
    let tuning = match operator_file {
        None => Tuning::default(),
        Some(path) => load_operator_settings(path)?,
    };
    Ok((settings, tuning))
}

fn load_operator_settings(path: &Path) -> Result<Tuning, CliError> {
    let path_name = name_of(path);
    let Ok(text) = String::from_utf8(read(path)?) else {
        return Err(CliError::NotUtf8 { path: path_name });
    };
    operator::parse(&text).map_err(|source| CliError::Operator {
        path: path_name,
        source,
    })
}

fn start_log() {
    use tracing_subscriber::filter::{LevelFilter, Targets};
    use tracing_subscriber::layer::SubscriberExt;
    use tracing_subscriber::util::SubscriberInitExt;
    let level = std::env::var("LOG_LEVEL").unwrap_or_default();
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::INFO);
    // The libraries' own messages say nothing that an operator can act on.
    let targets = Targets::new()
        .with_default(level.min(LevelFilter::WARN))
        .with_target("cherryyard", level)
        .with_target("cherryyard_core", level)
        .with_target("cherryyard_clients", level);
    let format = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false);
    tracing_subscriber::registry()
        .with(targets)
        .with(format)
        .init();
}

fn runtime() -> Result<tokio::runtime::Runtime, CliError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CliError::Runtime)
}

/// Sends a request and prints the body of its response.
fn print_response(
    method: Method,
    server: &str,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<(), CliError> {
    let text = runtime()?.block_on(query(method, server, path, body))?;
    println!("{text}");
    Ok(())
}

fn execute(cli: Cli) -> Result<(), CliError> {
    match cli.command {
        None => {
            let config = cli.config.ok_or(CliError::NoConfig)?;
            let (settings, tuning) = load(&config, cli.operator.as_deref())?;
            start_log();
            Ok(runtime()?.block_on(run::run(settings, tuning))?)
        }
        Some(Command::Check { config, operator }) => check(&config, operator.as_deref()),
        Some(Command::Submit {
            server,
            file,
            waits_on,
        }) => {
            let body = submission(&file, waits_on)?;
            print_response(Method::POST, &server, "/v2/runs", Some(body))
        }
        Some(Command::Status { server, id }) => {
            let path = format!("/v2/runs/{}", checked_id(&id)?);
            print_response(Method::GET, &server, &path, None)
        }
        Some(Command::Cancel { server, id }) => {
            let path = format!("/v2/runs/{}/cancel", checked_id(&id)?);
            print_response(Method::POST, &server, &path, Some(b"{}".to_vec()))
        }
        Some(Command::History { server }) => {
            print_response(Method::GET, &server, "/v2/history", None)
        }
        Some(Command::Condor(command)) => Ok(runtime()?.block_on(condor::execute(command))?),
        Some(Command::Account { logs }) => {
            println!("{}", account::of_logs(logs.iter().map(PathBuf::as_path))?);
            Ok(())
        }
    }
}

fn check(config: &Path, operator_file: Option<&Path>) -> Result<(), CliError> {
    let (settings, tuning) = load(config, operator_file)?;
    let shards = Config::new(&settings, tuning).shards();
    let (path, label) = (config.display(), &settings.label);
    println!("{path}: good, controller {label} of {shards}");
    Ok(())
}

/// The body of a submission: the file's, with further jobs that it waits for.
fn submission(file: &Path, waits_on: Vec<String>) -> Result<Vec<u8>, CliError> {
    let body = read(file)?;
    let mut spec = JobSpec::parse(&body).map_err(|source| CliError::Invalid {
        path: name_of(file),
        source,
    })?;
    if waits_on.is_empty() {
        return Ok(body);
    }
    spec.waits_on.extend(waits_on);
    spec.check().map_err(CliError::WaitsOn)?;
    // Fields of the file that this program does not know stay as they are.
    let value: Result<serde_json::Value, _> = serde_json::from_slice(&body);
    let mut value = value.map_err(|source| CliError::NotJson {
        path: name_of(file),
        source,
    })?;
    value["waits_on"] = spec.waits_on.into();
    Ok(value.to_string().into_bytes())
}

fn checked_id(id: &str) -> Result<&str, CliError> {
    match cherryyard_wire::job::job_number(id) {
        Some(_) => Ok(id),
        None => Err(CliError::NotAJobId(id.into())),
    }
}

/// Runs the program.
pub fn run() -> ExitCode {
    match execute(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cherryyard: {e}");
            ExitCode::FAILURE
        }
    }
}
