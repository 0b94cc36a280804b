//! The command line.

use crate::condor::{self, Condor};
use crate::{account, operator, run};
use cherryyard_clients::http::HttpClient;
use cherryyard_core::{Config, Tuning};
use cherryyard_wire::job::JobSpec;
use cherryyard_wire::settings::Settings;
use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

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

fn read(path: &Path) -> Result<Vec<u8>, String> {
    std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn load(config: &Path, operator_file: Option<&Path>) -> Result<(Settings, Tuning), String> {
    let settings =
        Settings::parse(&read(config)?).map_err(|e| format!("{}: {e}", config.display()))?;
    let tuning = match operator_file {
        None => Tuning::default(),
        Some(path) => {
            let text = String::from_utf8(read(path)?)
                .map_err(|_| format!("{}: not UTF-8", path.display()))?;
            operator::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?
        }
    };
    Ok((settings, tuning))
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

fn runtime() -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("cannot start: {e}"))
}

/// A request's status and answer.
pub async fn query_status(
    method: &str,
    server: &str,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<(u16, String), String> {
    let http = HttpClient::new(Duration::from_secs(2), 1);
    let method = method.parse().map_err(|_| "bad method".to_string())?;
    let url = format!("http://{server}{path}");
    let (status, body) = http
        .call(
            method,
            &url,
            body,
            Duration::from_secs(5),
            cherryyard_wire::MAX_BODY,
        )
        .await
        .map_err(|e| format!("{server}: {e}"))?;
    Ok((status, String::from_utf8_lossy(&body).trim().to_string()))
}

async fn query(
    method: &str,
    server: &str,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<String, String> {
    let (status, text) = query_status(method, server, path, body).await?;
    if status < 300 {
        Ok(text)
    } else {
        Err(format!("{server}: {status} {text}"))
    }
}

fn execute(cli: Cli) -> Result<(), String> {
    match cli.command {
        None => {
            let config = cli.config.ok_or("--config is missing")?;
            let (settings, tuning) = load(&config, cli.operator.as_deref())?;
            start_log();
            runtime()?
                .block_on(run::run(settings, tuning))
                .map_err(|e| e.to_string())
        }
        Some(Command::Check { config, operator }) => {
            let (settings, tuning) = load(&config, operator.as_deref())?;
            let shards = Config::new(&settings, tuning).shards();
            println!(
                "{}: good, controller {} of {shards}",
                config.display(),
                settings.label
            );
            Ok(())
        }
        Some(Command::Submit {
            server,
            file,
            waits_on,
        }) => {
            let body = submission(&file, waits_on)?;
            let answer = runtime()?.block_on(query("POST", &server, "/v2/runs", Some(body)))?;
            println!("{answer}");
            Ok(())
        }
        Some(Command::Status { server, id }) => {
            let path = format!("/v2/runs/{}", job(&id)?);
            println!(
                "{}",
                runtime()?.block_on(query("GET", &server, &path, None))?
            );
            Ok(())
        }
        Some(Command::Cancel { server, id }) => {
            let path = format!("/v2/runs/{}/cancel", job(&id)?);
            let body = Some(b"{}".to_vec());
            println!(
                "{}",
                runtime()?.block_on(query("POST", &server, &path, body))?
            );
            Ok(())
        }
        Some(Command::History { server }) => {
            println!(
                "{}",
                runtime()?.block_on(query("GET", &server, "/v2/history", None))?
            );
            Ok(())
        }
        Some(Command::Condor(command)) => runtime()?.block_on(condor::execute(command)),
        Some(Command::Account { logs }) => {
            println!(
                "{}",
                account::of_logs(logs.iter().map(PathBuf::as_path)).map_err(|e| e.to_string())?
            );
            Ok(())
        }
    }
}

/// The body of a submission: the file's, with further jobs that it waits for.
fn submission(file: &Path, waits_on: Vec<String>) -> Result<Vec<u8>, String> {
    let body = read(file)?;
    let mut spec = JobSpec::parse(&body).map_err(|e| format!("{}: {e}", file.display()))?;
    if waits_on.is_empty() {
        return Ok(body);
    }
    spec.waits_on.extend(waits_on);
    spec.check().map_err(|e| format!("--waits-on: {e}"))?;
    // What the program does not know of the file stays as it is.
    let mut value: serde_json::Value =
        serde_json::from_slice(&body).map_err(|e| format!("{}: {e}", file.display()))?;
    value["waits_on"] = spec.waits_on.into();
    Ok(value.to_string().into_bytes())
}

fn job(id: &str) -> Result<&str, String> {
    match cherryyard_wire::job::job_number(id) {
        Some(_) => Ok(id),
        None => Err(format!("id: `{id}` is not a job id such as j-000412")),
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
