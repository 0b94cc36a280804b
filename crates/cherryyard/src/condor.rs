//! The `condor` commands: submit, list, remove and match the jobs of HTCondor submit files.

use crate::server::{ServerError, ServerResponse, request};
use cherryyard_condor::{Cluster, Options, Source, SourceError, SubmitError, read};
use cherryyard_core::pools::Explanation;
use cherryyard_wire::InvalidField;
use cherryyard_wire::condor::{Chunk, ChunkPost, SubmissionList, SubmissionView, check_name};
use cherryyard_wire::job::job_number;
use clap::Subcommand;
use comfy_table::{Table, presets};
use miette::{GraphicalReportHandler, GraphicalTheme};
use salvo::http::Method;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Time for which a request is retried while it gets no response or a temporary refusal.
const RETRY_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause before the first retry, in seconds.
const FIRST_PAUSE_S: f64 = 1.0;
/// Factor by which each pause is longer than the one before.
const PAUSE_GROWTH: f64 = 1.5;
/// Longest pause between two retries, in seconds.
const MAX_PAUSE_S: f64 = 10.0;
/// Most groups of jobs that a table shows.
const MAX_ROWS: usize = 50;

/// Error of a `condor` command.
#[derive(Debug, Error)]
pub enum CondorError {
    /// A file cannot be read or written.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The submit file has an error.
    #[error("{report}")]
    SubmitFile {
        /// Report that shows the line, with a caret under the error.
        report: String,
    },
    /// The name is not valid for a submission.
    #[error(transparent)]
    Name(#[from] InvalidField),
    /// No response was received.
    #[error(transparent)]
    Server(#[from] ServerError),
    /// The service responded with 404.
    #[error("no such submission, or the service does not serve submit files")]
    NotFound,
    /// The service refused the request with another status.
    #[error("{status}: {reason}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Reason in the response.
        reason: String,
    },
    /// A response cannot be parsed.
    #[error("a bad answer: {0}")]
    BadResponse(serde_json::Error),
    /// The state of an accepted submission does not contain its first job.
    #[error("a bad answer: no first job")]
    NoFirstJob,
    /// A request cannot be serialized.
    #[error("{0}")]
    Encode(serde_json::Error),
    /// The submit file has no chunks.
    #[error("nothing was sent")]
    NothingSent,
    /// Some of the jobs could not run on any machine.
    #[error("some of the jobs match no machine")]
    NoMatch,
}

/// Commands for HTCondor submit files.
#[derive(Debug, Subcommand)]
pub enum Condor {
    /// Submit the jobs of a submit file
    Submit {
        /// The submit file
        file: PathBuf,
        /// Address of a controller with `condor = true`, such as 127.0.0.1:8080
        #[arg(long, value_name = "ADDR", required_unless_present = "dry_run")]
        server: Option<String>,
        /// Name of the submission; submitting again under the same name queues nothing twice (default: random)
        #[arg(long)]
        name: Option<String>,
        /// Team of the jobs, if the file has no accounting_group
        #[arg(long)]
        team: Option<String>,
        /// Statement to insert before those of the file, such as `x = 3`
        #[arg(short = 'a', long = "append", value_name = "STATEMENT")]
        append: Vec<String>,
        /// Print what would be submitted, without sending it
        #[arg(long)]
        dry_run: bool,
        /// Write what each job runs to this file, one line of JSON per job, for uploading to the workers
        #[arg(long, value_name = "FILE")]
        describe: Option<PathBuf>,
    },
    /// Print submissions and their progress
    Q {
        /// Address of a controller
        #[arg(long, value_name = "ADDR")]
        server: String,
        /// Name of a submission; without it, all are printed
        name: Option<String>,
    },
    /// Remove a submission: all of its jobs are cancelled
    Rm {
        /// Address of a controller
        #[arg(long, value_name = "ADDR")]
        server: String,
        /// Name of the submission
        name: String,
    },
    /// Print which machines match the jobs of a submit file, and what the other machines lack
    Match {
        /// The submit file
        file: PathBuf,
        /// Address of a controller
        #[arg(long, value_name = "ADDR")]
        server: String,
        /// Team of the jobs, if the file has no accounting_group
        #[arg(long)]
        team: Option<String>,
    },
}

/// Source of included files, found relative to the submit file, and of this process's environment
/// variables.
struct LocalFiles {
    /// Directory of the submit file.
    directory: PathBuf,
}

impl Source for LocalFiles {
    fn file(&mut self, path: &str) -> Result<String, SourceError> {
        let path = self.directory.join(path);
        std::fs::read_to_string(&path)
            .map_err(|error| SourceError::new(path.display().to_string(), error))
    }

    fn matching(&mut self, pattern: &str, directories: bool) -> Result<Vec<String>, SourceError> {
        let full_pattern = self.directory.join(pattern);
        let paths = glob::glob(&full_pattern.to_string_lossy())
            .map_err(|error| SourceError::new(pattern, error))?;
        let paths = paths
            .filter_map(Result::ok)
            .filter(|p| p.is_dir() == directories);
        // Relative to the submit file, as the pattern is.
        let relative_name = |p: PathBuf| {
            let relative = p
                .strip_prefix(&self.directory)
                .map(Path::to_path_buf)
                .unwrap_or(p.clone());
            relative.to_string_lossy().into_owned()
        };
        Ok(paths.map(relative_name).collect())
    }

    fn variable(&mut self, name: &str) -> Option<String> {
        std::env::var(name).ok()
    }
}

/// Returns a report of an error that shows its line, with a caret under the error.
fn report(error: &SubmitError) -> String {
    let theme = GraphicalTheme::unicode_nocolor();
    let mut text = String::new();
    let handler = GraphicalReportHandler::new_themed(theme);
    match handler.render_report(&mut text, error) {
        Ok(()) => format!("line {}, column {}\n{text}", error.line, error.column),
        Err(_) => format!("line {}, column {}: {error}", error.line, error.column),
    }
}

/// Reads a submit file and prints its warnings.
fn load_cluster(
    file: &Path,
    team: Option<String>,
    append: Vec<String>,
) -> Result<Cluster, CondorError> {
    let text = std::fs::read_to_string(file).map_err(|source| CondorError::File {
        path: file.display().to_string(),
        source,
    })?;
    let options = Options {
        team,
        before: append,
        seed: rand::random(),
    };
    let directory = file.parent().map(Path::to_path_buf).unwrap_or_default();
    let name = file.display().to_string();
    let cluster = read(&name, &text, &options, &mut LocalFiles { directory });
    let cluster = cluster.map_err(|e| CondorError::SubmitFile { report: report(&e) })?;
    for warning in &cluster.warnings {
        let (file, line, message) = (&warning.file, warning.line, &warning.message);
        eprintln!("WARNING: {file}:{line}: {message}");
    }
    Ok(cluster)
}

/// Sends a request, and retries it after growing pauses while there is no response or a temporary
/// refusal (429, 503, 504).
async fn request_with_retries(
    method: Method,
    server: &str,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<ServerResponse, ServerError> {
    let started_at = Instant::now();
    let mut pause_s = FIRST_PAUSE_S;
    loop {
        let response = request(method.clone(), server, path, body.clone()).await;
        let retry = match &response {
            Ok(response) => matches!(response.status, 429 | 503 | 504),
            Err(_) => true,
        };
        if !retry || started_at.elapsed() > RETRY_TIMEOUT {
            return response;
        }
        let jitter: f64 = rand::random_range(0.7..1.3);
        tokio::time::sleep(Duration::from_secs_f64(pause_s * jitter)).await;
        pause_s = f64::min(pause_s * PAUSE_GROWTH, MAX_PAUSE_S);
    }
}

/// Returns the body of a response; a refusal is an error.
fn success_body(response: ServerResponse) -> Result<String, CondorError> {
    match response.status {
        200..=299 => Ok(response.text),
        404 => Err(CondorError::NotFound),
        status => {
            let body: Option<serde_json::Value> = serde_json::from_str(&response.text).ok();
            let reason = body.and_then(|v| v["error"].as_str().map(str::to_string));
            Err(CondorError::Refused {
                status,
                reason: reason.unwrap_or(response.text),
            })
        }
    }
}

/// Parses a JSON response.
fn parse_response<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, CondorError> {
    serde_json::from_str(text).map_err(CondorError::BadResponse)
}

/// Gets a path of the service and parses the response.
async fn get<T: serde::de::DeserializeOwned>(server: &str, path: &str) -> Result<T, CondorError> {
    let response = request_with_retries(Method::GET, server, path, None).await?;
    parse_response(&success_body(response)?)
}

/// Posts a value to a path of the service.
async fn post(
    server: &str,
    path: &str,
    value: &impl serde::Serialize,
) -> Result<ServerResponse, CondorError> {
    let body = serde_json::to_vec(value).map_err(CondorError::Encode)?;
    Ok(request_with_retries(Method::POST, server, path, Some(body)).await?)
}

/// Sends a submission chunk by chunk; returns its state. Stops at a 200, which means that the
/// submission was accepted before.
async fn send(server: &str, name: &str, cluster: &Cluster) -> Result<SubmissionView, CondorError> {
    let list: SubmissionList = get(server, "/v2/condor").await?;
    let chunks: Vec<Chunk> = cluster.chunks(list.chunk_bytes);
    let of = chunks.len() as u32;
    let mut last = None;
    for (chunk, jobs) in (0..).zip(chunks) {
        let chunk = ChunkPost {
            name: name.into(),
            chunk,
            of,
            jobs,
        };
        let response = post(server, "/v2/condor", &chunk).await?;
        let already_accepted = response.status == 200;
        last = Some(parse_response::<SubmissionView>(&success_body(response)?)?);
        if already_accepted {
            break;
        }
    }
    last.ok_or(CondorError::NothingSent)
}

/// Returns a table of the groups of jobs in a submit file.
fn jobs_table(cluster: &Cluster) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header([
        "procs",
        "tasks",
        "team",
        "cores",
        "memory",
        "image",
        "requirements",
    ]);
    for group in cluster.groups.iter().take(MAX_ROWS) {
        let template = &cluster.templates[group.template];
        let rules = template.rules.as_ref().and_then(|r| r.requirements.clone());
        table.add_row([
            format!("{}", group.first),
            group.tasks.to_string(),
            template.spec.team.clone(),
            template.spec.cores.to_string(),
            format!("{:.3} GB", template.spec.ram_gb),
            template.spec.image.clone(),
            rules.unwrap_or_else(|| "any".into()),
        ]);
    }
    let more = cluster.groups.len().saturating_sub(MAX_ROWS);
    let more = if more > 0 {
        format!("\n... and {more} more")
    } else {
        String::new()
    };
    format!("{table}{more}")
}

/// Returns a table of submissions with their progress.
fn submissions_table(views: &[SubmissionView]) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header([
        "name",
        "phase",
        "first job",
        "jobs",
        "created",
        "idle",
        "run",
        "over",
    ]);
    for view in views {
        table.add_row([
            view.name.clone(),
            format!("{:?}", view.phase).to_lowercase(),
            view.first.clone().unwrap_or_default(),
            view.jobs.to_string(),
            view.created.to_string(),
            view.queued.to_string(),
            view.running.to_string(),
            view.over.to_string(),
        ]);
    }
    table.to_string()
}

/// Returns a text about which machines match a template of a submit file.
fn match_report(cluster: &Cluster, template_index: usize, explanation: &Explanation) -> String {
    let mut out = String::new();
    let template = &cluster.templates[template_index];
    let rules = template
        .rules
        .as_ref()
        .and_then(|r| r.requirements.as_deref());
    out += &format!("requirements: {}\n", rules.unwrap_or("any machine"));
    for pool in &explanation.matching {
        out += &format!("  matches {pool}\n");
    }
    if !explanation.unknown.is_empty() {
        out += &format!(
            "  no machine advertises {}\n",
            explanation.unknown.join(", ")
        );
    }
    for (pool, missing) in &explanation.near {
        out += &format!("  not {pool}: {}\n", missing.join("; "));
    }
    out
}

/// Runs a `condor` command.
pub async fn execute(command: Condor) -> Result<(), CondorError> {
    match command {
        Condor::Submit {
            file,
            server,
            name,
            team,
            append,
            dry_run,
            describe,
        } => {
            let cluster = load_cluster(&file, team, append)?;
            match server.filter(|_| !dry_run) {
                Some(server) => submit(&cluster, &server, name, describe.as_deref()).await,
                None => {
                    print_dry_run(&cluster);
                    Ok(())
                }
            }
        }
        Condor::Q { server, name } => print_queue(&server, name).await,
        Condor::Rm { server, name } => remove(&server, &name).await,
        Condor::Match { file, server, team } => {
            let cluster = load_cluster(&file, team, Vec::new())?;
            print_matches(&cluster, &server).await
        }
    }
}

fn print_dry_run(cluster: &Cluster) {
    println!("{}", jobs_table(cluster));
    let (procs, jobs) = (cluster.procs(), cluster.groups.len());
    println!("{procs} proc(s) as {jobs} job(s)");
}

/// Submits the jobs of a submit file, and writes their descriptions if wanted.
async fn submit(
    cluster: &Cluster,
    server: &str,
    name: Option<String>,
    describe: Option<&Path>,
) -> Result<(), CondorError> {
    if cluster.groups.is_empty() {
        println!("0 job(s) submitted.");
        return Ok(());
    }
    let name = name.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    check_name(&name)?;
    println!("Submitting job(s).");
    let view = send(server, &name, cluster).await?;
    let first = view.first.unwrap_or_default();
    if let Some(path) = describe {
        write_descriptions(cluster, &first, path)?;
    }
    println!("{} job(s) submitted to cluster {name}.", cluster.procs());
    println!("They are {} job(s) from {first} on.", view.jobs);
    Ok(())
}

/// Writes what each job runs to a file, one line of JSON per job. `first` is the id of the first
/// job.
fn write_descriptions(cluster: &Cluster, first: &str, path: &Path) -> Result<(), CondorError> {
    let number = job_number(first).ok_or(CondorError::NoFirstJob)?;
    let lines = cluster.descriptions(number).map(|d| format!("{d}\n"));
    std::fs::write(path, lines.collect::<String>()).map_err(|source| CondorError::File {
        path: path.display().to_string(),
        source,
    })
}

/// Prints one submission, or all of them.
async fn print_queue(server: &str, name: Option<String>) -> Result<(), CondorError> {
    let views = match name {
        Some(name) => {
            check_name(&name)?;
            let path = format!("/v2/condor/submissions/{name}");
            vec![get(server, &path).await?]
        }
        None => {
            let list: SubmissionList = get(server, "/v2/condor").await?;
            list.submissions
        }
    };
    println!("{}", submissions_table(&views));
    Ok(())
}

/// Removes a submission and prints whether its jobs have all ended.
async fn remove(server: &str, name: &str) -> Result<(), CondorError> {
    check_name(name)?;
    let path = format!("/v2/condor/submissions/{name}/cancel");
    let response = post(server, &path, &serde_json::json!({})).await?;
    let all_over = response.status == 200;
    success_body(response)?;
    if all_over {
        println!("All jobs of cluster {name} are over.");
    } else {
        println!("All jobs of cluster {name} have been marked for removal.");
    }
    Ok(())
}

/// Prints which machines match each template of a submit file; a template without any is an
/// error.
async fn print_matches(cluster: &Cluster, server: &str) -> Result<(), CondorError> {
    let mut all_match = true;
    for (i, template) in cluster.templates.iter().enumerate() {
        let response = post(server, "/v2/condor/match", template).await?;
        let explanation: Explanation = parse_response(&success_body(response)?)?;
        all_match &= !explanation.matching.is_empty();
        print!("{}", match_report(cluster, i, &explanation));
    }
    if !all_match {
        return Err(CondorError::NoMatch);
    }
    Ok(())
}
