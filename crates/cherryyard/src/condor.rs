//! `cherryyard condor`: submit files from the command line.

use crate::cli::query_status;
use cherryyard_condor::{Cluster, Options, Source, SourceError, SubmitError, read};
use cherryyard_core::pools::Explanation;
use cherryyard_wire::condor::{Chunk, ChunkPost, SubmissionList, SubmissionView, check_name};
use cherryyard_wire::job::job_number;
use clap::Subcommand;
use comfy_table::{Table, presets};
use miette::{GraphicalReportHandler, GraphicalTheme};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How long a request is tried again while the service refuses it.
const PATIENCE: Duration = Duration::from_secs(60);

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
struct Local(PathBuf);

impl Source for Local {
    fn file(&mut self, path: &str) -> Result<String, SourceError> {
        let path = self.0.join(path);
        std::fs::read_to_string(&path)
            .map_err(|error| SourceError::new(path.display().to_string(), error))
    }

    fn matching(&mut self, pattern: &str, directories: bool) -> Result<Vec<String>, SourceError> {
        let whole = self.0.join(pattern);
        let found = glob::glob(&whole.to_string_lossy())
            .map_err(|error| SourceError::new(pattern, error))?;
        let found = found
            .filter_map(Result::ok)
            .filter(|p| p.is_dir() == directories);
        // As the pattern names them, from where it is.
        let bare = |p: PathBuf| {
            let own = p
                .strip_prefix(&self.0)
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

fn load(file: &Path, team: Option<String>, append: Vec<String>) -> Result<Cluster, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let options = Options {
        team,
        before: append,
        seed: rand::random(),
    };
    let beside = file.parent().map(Path::to_path_buf).unwrap_or_default();
    let name = file.display().to_string();
    let cluster = read(&name, &text, &options, &mut Local(beside)).map_err(|e| report(&e))?;
    for w in &cluster.warnings {
        eprintln!("WARNING: {}:{}: {}", w.file, w.line, w.message);
    }
    Ok(cluster)
}

/// A request that is tried again, later each time, while the service refuses it.
async fn insist(
    method: &str,
    server: &str,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<(u16, String), String> {
    let since = Instant::now();
    let mut pause = 1.0;
    loop {
        let answer = query_status(method, server, path, body.clone()).await;
        let later = match &answer {
            Ok((status, _)) => matches!(status, 429 | 503 | 504),
            Err(_) => true,
        };
        if !later || since.elapsed() > PATIENCE {
            return answer;
        }
        let jitter: f64 = rand::random_range(0.7..1.3);
        tokio::time::sleep(Duration::from_secs_f64(pause * jitter)).await;
        pause = f64::min(pause * 1.5, 10.0);
    }
}

fn good(answer: (u16, String)) -> Result<String, String> {
    match answer {
        (200..=299, text) => Ok(text),
        (404, _) => Err("no such submission, or the service does not serve submit files".into()),
        (status, text) => {
            let said: Option<serde_json::Value> = serde_json::from_str(&text).ok();
            let said = said.and_then(|v| v["error"].as_str().map(str::to_string));
            Err(format!("{status}: {}", said.unwrap_or(text)))
        }
    }
}

fn parsed<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, String> {
    serde_json::from_str(text).map_err(|e| format!("a bad answer: {e}"))
}

async fn send(server: &str, name: &str, cluster: &Cluster) -> Result<SubmissionView, String> {
    let list = good(insist("GET", server, "/v2/condor", None).await?)?;
    let list: SubmissionList = parsed(&list)?;
    let chunks: Vec<Chunk> = cluster.chunks(list.chunk_bytes);
    let of = chunks.len() as u32;
    let mut last = None;
    for (chunk, jobs) in (0..).zip(chunks) {
        let post = ChunkPost {
            name: name.into(),
            chunk,
            of,
            jobs,
        };
        let body = serde_json::to_vec(&post).map_err(|e| e.to_string())?;
        let answer = insist("POST", server, "/v2/condor", Some(body)).await?;
        let known = answer.0 == 200;
        last = Some(parsed::<SubmissionView>(&good(answer)?)?);
        if known {
            break;
        }
    }
    last.ok_or_else(|| "nothing was sent".into())
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
    for group in cluster.groups.iter().take(50) {
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
    let more = cluster.groups.len().saturating_sub(50);
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
pub async fn execute(command: Condor) -> Result<(), String> {
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
            let Some(server) = server.filter(|_| !dry_run) else {
                println!("{}", table_of(&cluster));
                println!(
                    "{} proc(s) as {} job(s)",
                    cluster.procs(),
                    cluster.groups.len()
                );
                return Ok(());
            };
            if cluster.groups.is_empty() {
                println!("0 job(s) submitted.");
                return Ok(());
            }
            let name = name.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
            check_name(&name).map_err(|e| e.to_string())?;
            println!("Submitting job(s).");
            let view = send(&server, &name, &cluster).await?;
            let first = view.first.unwrap_or_default();
            if let Some(path) = describe {
                let number = job_number(&first).ok_or("a bad answer: no first job")?;
                let lines = cluster.descriptions(number).map(|d| format!("{d}\n"));
                std::fs::write(&path, lines.collect::<String>())
                    .map_err(|e| format!("{}: {e}", path.display()))?;
            }
            println!("{} job(s) submitted to cluster {name}.", cluster.procs());
            println!("They are {} job(s) from {first} on.", view.jobs);
            Ok(())
        }
        Condor::Q { server, name } => {
            let views = match name {
                Some(name) => {
                    check_name(&name).map_err(|e| e.to_string())?;
                    let path = format!("/v2/condor/submissions/{name}");
                    vec![parsed(&good(insist("GET", &server, &path, None).await?)?)?]
                }
                None => {
                    let list = good(insist("GET", &server, "/v2/condor", None).await?)?;
                    parsed::<SubmissionList>(&list)?.submissions
                }
            };
            println!("{}", table_of_views(&views));
            Ok(())
        }
        Condor::Rm { server, name } => {
            check_name(&name).map_err(|e| e.to_string())?;
            let path = format!("/v2/condor/submissions/{name}/cancel");
            let body = Some(b"{}".to_vec());
            let answer = insist("POST", &server, &path, body).await?;
            let over = answer.0 == 200;
            good(answer)?;
            if over {
                println!("All jobs of cluster {name} are over.");
            } else {
                println!("All jobs of cluster {name} have been marked for removal.");
            }
            Ok(())
        }
        Condor::Match { file, server, team } => {
            let cluster = load(&file, team, Vec::new())?;
            let mut none = false;
            for (i, template) in cluster.templates.iter().enumerate() {
                let body = serde_json::to_vec(template).map_err(|e| e.to_string())?;
                let answer = insist("POST", &server, "/v2/condor/match", Some(body)).await?;
                let explanation: Explanation = parsed(&good(answer)?)?;
                none |= explanation.matching.is_empty();
                print!("{}", explained(&cluster, i, &explanation));
            }
            if none {
                return Err("some of the jobs match no machine".into());
            }
            Ok(())
        }
    }
}
