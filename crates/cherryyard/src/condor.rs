//! `cherryyard condor`: submit files from the command line.

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

/// How long a request is retried while the service refuses it.
const RETRY_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause before the first retry, in seconds; each further one is longer.
const FIRST_PAUSE_S: f64 = 1.0;
/// By how much each pause is longer than the one before.
const PAUSE_GROWTH: f64 = 1.5;
/// Longest pause between two retries, in seconds.
const MAX_PAUSE_S: f64 = 10.0;
/// Groups of jobs that a table shows.
const MAX_ROWS: usize = 50;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CondorError {
    /// A file cannot be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// The submit file is wrong; the text shows its line, with a caret under the place.
    #[error("{report}")]
    SubmitFile {
        /// The text.
        report: String,
    },
    /// A name is not one that a submission can have.
    #[error(transparent)]
    Name(#[from] InvalidField),
    /// There is no response.
    #[error(transparent)]
    Server(#[from] ServerError),
    /// 404.
    #[error("no such submission, or the service does not serve submit files")]
    NotFound,
    /// Another refusal.
    #[error("{status}: {reason}")]
    Refused {
        /// The status.
        status: u16,
        /// What the service says.
        reason: String,
    },
    /// A response cannot be read.
    #[error("a bad answer: {0}")]
    BadResponse(serde_json::Error),
    /// A submission's state without its first job.
    #[error("a bad answer: no first job")]
    NoFirstJob,
    /// A request has no JSON form.
    #[error("{0}")]
    Encode(serde_json::Error),
    /// The submit file has no chunks.
    #[error("nothing was sent")]
    NothingSent,
    /// Some jobs could run nowhere.
    #[error("some of the jobs match no machine")]
    NoMatch,
}

/// Commands for HTCondor submit files.
#[derive(Debug, Subcommand)]
pub enum Condor {
    /// Queue a submit file's jobs
    Submit {
        /// The submit file
        file: PathBuf,
        /// Address of a controller with `condor = true`, such as 127.0.0.1:8080
        #[arg(long, value_name = "ADDR", required_unless_present = "dry_run")]
        server: Option<String>,
        /// The submission's name: sent again under it, nothing is queued twice
        #[arg(long)]
        name: Option<String>,
        /// The team, where the file has no accounting_group
        #[arg(long)]
        team: Option<String>,
        /// A statement that comes before the file's, such as `x = 3`
        #[arg(short = 'a', long = "append", value_name = "STATEMENT")]
        append: Vec<String>,
        /// Print what would be queued, and send nothing
        #[arg(long)]
        dry_run: bool,
        /// Write what each job runs, a line of JSON each, for uploading to the workers
        #[arg(long, value_name = "FILE")]
        describe: Option<PathBuf>,
    },
    /// Print submissions and how far they are
    Q {
        /// Address of a controller
        #[arg(long, value_name = "ADDR")]
        server: String,
        /// One submission's name
        name: Option<String>,
    },
    /// Remove a submission: all of its jobs are cancelled
    Rm {
        /// Address of a controller
        #[arg(long, value_name = "ADDR")]
        server: String,
        /// Its name
        name: String,
    },
    /// Print which machines match a submit file's jobs, and what others lack
    Match {
        /// The submit file
        file: PathBuf,
        /// Address of a controller
        #[arg(long, value_name = "ADDR")]
        server: String,
        /// The team, where the file has no accounting_group
        #[arg(long)]
        team: Option<String>,
    },
}

/// Files beside the submit file, and this process's environment.
struct LocalFiles {
    /// Where the submit file is.
    directory: PathBuf,
}

impl Source for LocalFiles {
    fn file(&mut self, path: &str) -> Result<String, SourceError> {
        let path = self.directory.join(path);
        std::fs::read_to_string(&path)
            .map_err(|error| SourceError::new(path.display().to_string(), error))
    }

    fn matching(&mut self, pattern: &str, directories: bool) -> Result<Vec<String>, SourceError> {
        let whole = self.directory.join(pattern);
        let found = glob::glob(&whole.to_string_lossy())
            .map_err(|error| SourceError::new(pattern, error))?;
        let found = found
            .filter_map(Result::ok)
            .filter(|p| p.is_dir() == directories);
        // As the pattern names them, from where it is.
        let bare = |p: PathBuf| {
            let own = p
                .strip_prefix(&self.directory)
                .map(Path::to_path_buf)
                .unwrap_or(p.clone());
            own.to_string_lossy().into_owned()
        };
        Ok(found.map(bare).collect())
    }

    fn variable(&mut self, name: &str) -> Option<String> {
        std::env::var(name).ok()
    }
}

/// An error with its line and a caret under its place.
fn report(error: &SubmitError) -> String {
    let theme = GraphicalTheme::unicode_nocolor();
    let mut text = String::new();
    let handler = GraphicalReportHandler::new_themed(theme);
    match handler.render_report(&mut text, error) {
        Ok(()) => format!("line {}, column {}\n{text}", error.line, error.column),
        Err(_) => format!("line {}, column {}: {error}", error.line, error.column),
    }
}

fn load(file: &Path, team: Option<String>, append: Vec<String>) -> Result<Cluster, CondorError> {
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

/// A request that is retried, after longer pauses each time, while the service refuses it.
async fn request_with_retries(
    method: Method,
    server: &str,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<ServerResponse, ServerError> {
    let since = Instant::now();
    let mut pause_s = FIRST_PAUSE_S;
    loop {
        let response = request(method.clone(), server, path, body.clone()).await;
        let retry = match &response {
            Ok(response) => matches!(response.status, 429 | 503 | 504),
            Err(_) => true,
        };
        if !retry || since.elapsed() > RETRY_TIMEOUT {
            return response;
        }
        let jitter: f64 = rand::random_range(0.7..1.3);
        tokio::time::sleep(Duration::from_secs_f64(pause_s * jitter)).await;
        pause_s = f64::min(pause_s * PAUSE_GROWTH, MAX_PAUSE_S);
    }
}

/// The body of a response; a refusal is an error.
fn accepted(response: ServerResponse) -> Result<String, CondorError> {
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

fn parsed<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, CondorError> {
    serde_json::from_str(text).map_err(CondorError::BadResponse)
}

/// Reads what is at a path of the service.
async fn get<T: serde::de::DeserializeOwned>(server: &str, path: &str) -> Result<T, CondorError> {
    let response = request_with_retries(Method::GET, server, path, None).await?;
    parsed(&accepted(response)?)
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

/// Sends a submission chunk by chunk; returns its state.
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
        let known = response.status == 200;
        last = Some(parsed::<SubmissionView>(&accepted(response)?)?);
        if known {
            break;
        }
    }
    last.ok_or(CondorError::NothingSent)
}

fn table_of(cluster: &Cluster) -> String {
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
        let t = &cluster.templates[group.template];
        let rules = t.rules.as_ref().and_then(|r| r.requirements.clone());
        table.add_row([
            format!("{}", group.first),
            group.tasks.to_string(),
            t.spec.team.clone(),
            t.spec.cores.to_string(),
            format!("{:.3} GB", t.spec.ram_gb),
            t.spec.image.clone(),
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

fn table_of_views(views: &[SubmissionView]) -> String {
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
    for v in views {
        table.add_row([
            v.name.clone(),
            format!("{:?}", v.phase).to_lowercase(),
            v.first.clone().unwrap_or_default(),
            v.jobs.to_string(),
            v.created.to_string(),
            v.queued.to_string(),
            v.running.to_string(),
            v.over.to_string(),
        ]);
    }
    table.to_string()
}

fn explained(cluster: &Cluster, of: usize, e: &Explanation) -> String {
    let mut out = String::new();
    let t = &cluster.templates[of];
    let rules = t.rules.as_ref().and_then(|r| r.requirements.as_deref());
    out += &format!("requirements: {}\n", rules.unwrap_or("any machine"));
    for pool in &e.matching {
        out += &format!("  matches {pool}\n");
    }
    if !e.unknown.is_empty() {
        out += &format!("  no machine advertises {}\n", e.unknown.join(", "));
    }
    for (pool, lacks) in &e.near {
        out += &format!("  not {pool}: {}\n", lacks.join("; "));
    }
    out
}

/// Carries out a command.
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
            let cluster = load(&file, team, append)?;
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
            let cluster = load(&file, team, Vec::new())?;
            print_matches(&cluster, &server).await
        }
    }
}

fn print_dry_run(cluster: &Cluster) {
    println!("{}", table_of(cluster));
    let (procs, jobs) = (cluster.procs(), cluster.groups.len());
    println!("{procs} proc(s) as {jobs} job(s)");
}

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

/// Writes what each job runs, a line of JSON each.
fn write_descriptions(cluster: &Cluster, first: &str, path: &Path) -> Result<(), CondorError> {
    let number = job_number(first).ok_or(CondorError::NoFirstJob)?;
    let lines = cluster.descriptions(number).map(|d| format!("{d}\n"));
    std::fs::write(path, lines.collect::<String>()).map_err(|source| CondorError::File {
        path: path.display().to_string(),
        source,
    })
}

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
    println!("{}", table_of_views(&views));
    Ok(())
}

async fn remove(server: &str, name: &str) -> Result<(), CondorError> {
    check_name(name)?;
    let path = format!("/v2/condor/submissions/{name}/cancel");
    let response = post(server, &path, &serde_json::json!({})).await?;
    let all_over = response.status == 200;
    accepted(response)?;
    if all_over {
        println!("All jobs of cluster {name} are over.");
    } else {
        println!("All jobs of cluster {name} have been marked for removal.");
    }
    Ok(())
}

async fn print_matches(cluster: &Cluster, server: &str) -> Result<(), CondorError> {
    let mut all_match = true;
    for (i, template) in cluster.templates.iter().enumerate() {
        let response = post(server, "/v2/condor/match", template).await?;
        let explanation: Explanation = parsed(&accepted(response)?)?;
        all_match &= !explanation.matching.is_empty();
        print!("{}", explained(cluster, i, &explanation));
    }
    if !all_match {
        return Err(CondorError::NoMatch);
    }
    Ok(())
}
