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

/// A cluster scheduler: runs a controller, or sends requests to one.
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
    /// Settings of the operators, in addition to the settings file (HCL)
    #[arg(long, value_name = "FILE", requires = "config")]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check settings files without running a controller
    Check {
        /// Settings file (JSON)
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Settings of the operators, in addition to the settings file (HCL)
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
        /// Ids of jobs that must be done before this job starts, in addition to those in the file
        #[arg(long, value_name = "ID", value_delimiter = ',')]
        waits_on: Vec<String>,
    },
    /// Print a job's state, with the jobs that it waits for and the job whose cancellation cancelled it
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
    /// Print how many jobs are open, ended, and in the history
    History {
        /// Address of a controller with `history = true`
        #[arg(long, value_name = "ADDR")]
        server: String,
    },
    /// Submit, list, remove and match jobs of HTCondor submit files
    #[command(subcommand)]
    Condor(Condor),
    /// Sum up how cores were used, from the logs of controllers with `account = true`
    Account {
        /// Log files of controllers
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
}

/// Error of a command.
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
    /// A settings file or a job is invalid.
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

/// Returns a path as error messages show it.
fn path_text(path: &Path) -> String {
    path.display().to_string()
}

fn read_file(path: &Path) -> Result<Vec<u8>, CliError> {
    std::fs::read(path).map_err(|source| CliError::Unreadable {
        path: path_text(path),
        source,
    })
}

/// Reads the settings file, and the operators' settings if there is such a file.
fn load_settings(
    config: &Path,
    operator_file: Option<&Path>,
) -> Result<(Settings, Tuning), CliError> {
    let settings = Settings::parse(&read_file(config)?).map_err(|source| CliError::Invalid {
        path: path_text(config),
        source,
    })?;
    let tuning = match operator_file {
        None => Tuning::default(),
        Some(path) => load_operator_settings(path)?,
    };
    Ok((settings, tuning))
}

fn load_operator_settings(path: &Path) -> Result<Tuning, CliError> {
    let path_name = path_text(path);
    let Ok(text) = String::from_utf8(read_file(path)?) else {
        return Err(CliError::NotUtf8 { path: path_name });
    };
    operator::parse(&text).map_err(|source| CliError::Operator {
        path: path_name,
        source,
    })
}

/// Starts logging to stderr at the level that the variable `LOG_LEVEL` gives (default: info).
fn init_logging() {
    use tracing_subscriber::filter::{LevelFilter, Targets};
    use tracing_subscriber::layer::SubscriberExt;
    use tracing_subscriber::util::SubscriberInitExt;
    let level = std::env::var("LOG_LEVEL").unwrap_or_default();
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::INFO);
    // Messages of libraries below the level of warnings are left out: an operator cannot act on
    // them.
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

/// Creates a single-threaded async runtime.
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

/// Runs the command, or a controller if there is no command.
fn execute(cli: Cli) -> Result<(), CliError> {
    match cli.command {
        None => {
            let config = cli.config.ok_or(CliError::NoConfig)?;
            let (settings, tuning) = load_settings(&config, cli.operator.as_deref())?;
            init_logging();
            Ok(runtime()?.block_on(run::run(settings, tuning, cli.operator))?)
        }
        Some(Command::Check { config, operator }) => check_settings(&config, operator.as_deref()),
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
            println!(
                "{}",
                account::summarize_logs(logs.iter().map(PathBuf::as_path))?
            );
            Ok(())
        }
    }
}

/// Checks settings files and prints a summary of them.
fn check_settings(config: &Path, operator_file: Option<&Path>) -> Result<(), CliError> {
    let (settings, tuning) = load_settings(config, operator_file)?;
    let shards = Config::new(&settings, tuning).shards();
    let (path, label) = (config.display(), &settings.label);
    println!("{path}: good, controller {label} of {shards}");
    Ok(())
}

/// Returns the body of a submission: the file's content, with `waits_on` added to the jobs that
/// it waits for.
fn submission(file: &Path, waits_on: Vec<String>) -> Result<Vec<u8>, CliError> {
    let body = read_file(file)?;
    let mut spec = JobSpec::parse(&body).map_err(|source| CliError::Invalid {
        path: path_text(file),
        source,
    })?;
    if waits_on.is_empty() {
        return Ok(body);
    }
    spec.waits_on.extend(waits_on);
    spec.check().map_err(CliError::WaitsOn)?;
    // Edits the JSON value instead of serializing `spec`, to keep fields of the file that are not
    // in `JobSpec`.
    let value: Result<serde_json::Value, _> = serde_json::from_slice(&body);
    let mut value = value.map_err(|source| CliError::NotJson {
        path: path_text(file),
        source,
    })?;
    value["waits_on"] = spec.waits_on.into();
    Ok(value.to_string().into_bytes())
}

/// Returns the id if it is a valid job id.
fn checked_id(id: &str) -> Result<&str, CliError> {
    match cherryyard_wire::job::job_number(id) {
        Some(_) => Ok(id),
        None => Err(CliError::NotAJobId(id.into())),
    }
}

/// Parses the command line and runs the program.
pub fn run() -> ExitCode {
    match execute(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cherryyard: {e}");
            ExitCode::FAILURE
        }
    }
}
