//! Creates the template of the jobs that a set of expanded commands describes.

mod commands;
mod resources;

use crate::error::{CommandError, SubmitErrorKind, SubmitResult, Warning};
use crate::expanded::ExpandedCommands;
use crate::location::Location;
use crate::options::Options;
use cherryyard_classad::{Value, fold};
use cherryyard_wire::condor::{NO_ID, Template};
use cherryyard_wire::job::{JobSpec, Rank, Shape};
use cherryyard_wire::rules::{MAX_EXPRESSION, Rules};
use commands::JobCommands;
use resources::{MB, Resources};

/// Universes in which this scheduler runs jobs; 5 is the number of `vanilla`.
const UNIVERSES: [&str; 4] = ["vanilla", "container", "docker", "5"];
/// Value of the attribute `JobUniverse` of all jobs.
const VANILLA_UNIVERSE: i64 = 5;
/// Class of jobs for which the file names none.
const DEFAULT_JOB_CLASS: &str = "condor";

/// Creates the template that the commands describe. `location` is that of the `queue`
/// statement; warnings of statements without effect are added to `warnings`.
pub(crate) fn template(
    commands: &ExpandedCommands,
    location: &Location,
    options: &Options,
    warnings: &mut Vec<Warning>,
) -> SubmitResult<Template> {
    let mut commands = JobCommands::new(commands, location);
    check_universe(&commands)?;
    commands.check_machine_attributes(warnings)?;
    commands.parse_attributes()?;
    let resources = Resources::new(&mut commands, warnings)?;
    let accounting = Accounting::new(&commands, options)?;
    let priority = priority(&mut commands, warnings)?;
    let spec = job_spec(&mut commands, &resources, &accounting.team, priority)?;
    set_attributes(&mut commands, &resources, &accounting, priority);
    let rules = Rules {
        pools: Vec::new(),
        requirements: folded_rule(&mut commands, "requirements")?,
        rank: folded_rule(&mut commands, "rank")?,
    };
    let rules = Some(rules).filter(|rules| !rules.is_empty());
    Ok(Template { spec, rules })
}

fn check_universe(commands: &JobCommands<'_>) -> SubmitResult<()> {
    match commands.text("universe") {
        Some(universe) if !UNIVERSES.contains(&universe.to_ascii_lowercase().as_str()) => {
            let error = CommandError::UnsupportedUniverse(universe.to_string());
            Err(commands.error("universe", error))
        }
        _ => Ok(()),
    }
}

/// The team and group to which a job is accounted.
struct Accounting {
    /// The accounting group as named in the file: the team, optionally followed by
    /// subgroups separated by dots.
    group: Option<String>,
    team: String,
}

impl Accounting {
    fn new(commands: &JobCommands<'_>, options: &Options) -> SubmitResult<Self> {
        let group = commands
            .text("accounting_group")
            .map(|group| group.trim_matches('"').to_string());
        let team = group
            .as_deref()
            .and_then(|group| group.split('.').next())
            .map(str::to_string);
        match team.or_else(|| options.team.clone()) {
            Some(team) => Ok(Self { group, team }),
            None => {
                let error = commands.location.error(SubmitErrorKind::MissingTeam);
                Err(error.with_help("say `accounting_group = TEAM`, or give --team"))
            }
        }
    }
}

fn priority(commands: &mut JobCommands<'_>, warnings: &mut Vec<Warning>) -> SubmitResult<f64> {
    let priority = commands.number("priority")?.unwrap_or(0.0);
    if priority > 0.0 {
        let message = "priority above 0 is taken as 0: it would stop other teams' work";
        warnings.push(commands.location_of("priority").warning(message));
    }
    Ok(priority)
}

fn job_spec(
    commands: &mut JobCommands<'_>,
    resources: &Resources,
    team: &str,
    priority: f64,
) -> SubmitResult<JobSpec> {
    let is_nice = commands
        .text("nice_user")
        .is_some_and(|nice| nice.eq_ignore_ascii_case("true"));
    let image = commands
        .text("container_image")
        .or(commands.text("docker_image"));
    let Some(bundle) = image.or(commands.text("executable")) else {
        let error = commands.location.error(SubmitErrorKind::MissingExecutable);
        return Err(error.with_help("name an executable or a container_image"));
    };
    let job_class = commands
        .attribute("JobClass")
        .map(|(_, text)| text.trim_matches('"').to_string());
    let spec = JobSpec {
        id: NO_ID.into(),
        job_class: job_class.unwrap_or_else(|| DEFAULT_JOB_CLASS.into()),
        team: team.to_string(),
        shape: Shape::Array,
        rank: if priority < 0.0 || is_nice {
            Rank::BestEffort
        } else {
            Rank::Standard
        },
        task_count: 1,
        cores: resources.cores,
        accelerators: resources.gpus,
        ram_gb: resources.memory_gb(),
        image: bundle.trim_matches('"').to_string(),
        image_gb: commands.non_negative_number("ImageGB")?.unwrap_or(0.0),
        machine_types: None,
        zone: None,
        together: commands.flag("Together")?,
        apart: commands.flag("Apart")?,
        spot: commands.flag("WantSpot")?,
        expected_s: commands
            .non_negative_number("ExpectedSeconds")?
            .unwrap_or(0.0),
        snapshot_every_s: commands
            .non_negative_number("CheckpointSeconds")?
            .unwrap_or(0.0),
        snapshot_cost_s: commands
            .non_negative_number("CheckpointCostSeconds")?
            .unwrap_or(0.0),
        due_s: commands.non_negative_number("DueSeconds")?,
        waits_on: Vec::new(),
    };
    spec.check().map_err(|error| {
        let kind = SubmitErrorKind::InvalidJob(error.to_string());
        commands.location.error(kind)
    })?;
    Ok(spec)
}

/// Sets the attributes of the job's ad that its commands imply.
fn set_attributes(
    commands: &mut JobCommands<'_>,
    resources: &Resources,
    accounting: &Accounting,
    priority: f64,
) {
    commands.set_default("RequestCpus", number_value(resources.cores));
    commands.set_default("RequestGPUs", number_value(resources.gpus));
    let memory_mb = (resources.memory / MB).ceil();
    commands.set_default("RequestMemory", number_value(memory_mb));
    if let Some(disk) = resources.disk {
        let disk_kb = (disk / resources::KB).ceil();
        commands.set_default("RequestDisk", number_value(disk_kb));
    }
    commands.set_default("JobPrio", number_value(priority));
    commands.set_default("JobUniverse", Value::Int(VANILLA_UNIVERSE));
    let group = accounting.group.as_deref().unwrap_or(&accounting.team);
    commands.set_default("AccountingGroup", Value::text(group));
    if let Some(user) = commands.text("accounting_group_user") {
        commands.set_default("AcctGroupUser", Value::text(user));
        commands.set_default("Owner", Value::text(user));
    }
    if let Some(executable) = commands.text("executable") {
        commands.set_default("Cmd", Value::text(executable));
    }
}

/// Converts a number to an integer value if it is whole, as expressions expect, else to a
/// real value.
fn number_value(x: f64) -> Value {
    if x.fract() == 0.0 {
        Value::Int(x as i64)
    } else {
        Value::Real(x)
    }
}

/// Returns an expression over machines, in which the parts that the job alone decides are
/// folded; `None` if the expression does not depend on the machine and allows all of them.
fn folded_rule(commands: &mut JobCommands<'_>, name: &str) -> SubmitResult<Option<String>> {
    let Some(text) = commands.text(name) else {
        return Ok(None);
    };
    let expr = commands.parse(name, text)?;
    let folded = fold(&expr, &commands.ad);
    if let Some(value) = folded.as_constant() {
        return match (name, value.truth()) {
            ("rank", _) | (_, Some(true)) => Ok(None),
            _ => Err(commands.error(name, CommandError::NeverTrue(value.clone()))),
        };
    }
    if !folded.refers_only_to_target() {
        return Err(commands.error(name, CommandError::NestedAds));
    }
    let printed = folded.print(&commands.names);
    if printed.len() > MAX_EXPRESSION {
        return Err(commands.error(name, CommandError::TooLong));
    }
    Ok(Some(printed))
}
