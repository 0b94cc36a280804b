//! Lists the commands of submit files and how each of them is handled.

use std::collections::HashMap;
use std::sync::LazyLock;

/// Lower bound on the Jaro-Winkler similarity of a name that is reported as a possible
/// misspelling of a command.
const MIN_SIMILARITY: f64 = 0.92;

/// The treatment of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handling {
    /// The command decides where or how the job runs.
    Honoured,
    /// The command is passed on in the job's description, which its user uploads to the
    /// workers.
    PassedOn,
    /// The command is accepted but has no effect, for this reason.
    NoEffect(&'static str),
    /// The command is refused, for this reason.
    Refused(&'static str),
}

/// A command of the submit language.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Command {
    /// The command's names in lower case, the usual one first.
    pub names: &'static [&'static str],
    /// The treatment of the command.
    pub handling: Handling,
}

impl Command {
    /// Finds the command with this name, which is in lower case.
    pub(crate) fn find(name: &str) -> Option<&'static Self> {
        BY_NAME.get(name).copied()
    }

    /// Returns the command's usual name.
    pub(crate) fn name(&self) -> &'static str {
        self.names[0]
    }

    /// Returns whether jobs use the command's value.
    pub(crate) fn is_used(&self) -> bool {
        match self.handling {
            Handling::Honoured | Handling::PassedOn => true,
            Handling::NoEffect(_) | Handling::Refused(_) => false,
        }
    }
}

const fn honoured(names: &'static [&'static str]) -> Command {
    Command {
        names,
        handling: Handling::Honoured,
    }
}

const fn passed_on(names: &'static [&'static str]) -> Command {
    Command {
        names,
        handling: Handling::PassedOn,
    }
}

const fn no_effect(names: &'static [&'static str], reason: &'static str) -> Command {
    Command {
        names,
        handling: Handling::NoEffect(reason),
    }
}

const fn refused(names: &'static [&'static str], reason: &'static str) -> Command {
    Command {
        names,
        handling: Handling::Refused(reason),
    }
}

const RETRIES_ARE_AUTOMATIC: &str =
    "failing tasks are tried again by themselves, ever further apart";
const NO_POLICY_EXPRESSIONS: &str = "jobs are neither held nor removed by expressions";
const NOTHING_RUNS_AT_SUBMITTER: &str = "the scheduler runs nothing at the submitting side";

/// All commands that submit files may use.
pub const COMMANDS: &[Command] = &[
    honoured(&["universe"]),
    honoured(&["executable", "cmd"]),
    passed_on(&["arguments", "args", "arguments2"]),
    passed_on(&["environment", "env", "environment2"]),
    passed_on(&["getenv"]),
    passed_on(&["input", "stdin"]),
    passed_on(&["output", "stdout"]),
    passed_on(&["error", "stderr"]),
    passed_on(&["initialdir", "initial_dir", "iwd"]),
    passed_on(&["transfer_input_files", "transferinputfiles"]),
    passed_on(&["transfer_output_files", "transferoutputfiles"]),
    passed_on(&["transfer_output_remaps", "transferoutputremaps"]),
    passed_on(&["transfer_executable", "transferexecutable"]),
    passed_on(&["should_transfer_files", "shouldtransferfiles"]),
    passed_on(&["when_to_transfer_output", "whentotransferoutput"]),
    passed_on(&["stream_input"]),
    passed_on(&["stream_output"]),
    passed_on(&["stream_error"]),
    passed_on(&["kill_sig", "killsig"]),
    passed_on(&["encrypt_input_files"]),
    passed_on(&["preserve_relative_paths"]),
    honoured(&["request_cpus", "requestcpus", "request_cpu"]),
    honoured(&["request_memory", "requestmemory"]),
    honoured(&["request_disk", "requestdisk"]),
    honoured(&["request_gpus", "requestgpus", "request_gpu"]),
    honoured(&["requirements"]),
    honoured(&["rank", "preferences"]),
    honoured(&["priority", "prio"]),
    honoured(&["nice_user", "niceuser"]),
    honoured(&["accounting_group", "acctgroup"]),
    honoured(&["accounting_group_user", "acctgroupuser"]),
    honoured(&["container_image"]),
    honoured(&["docker_image"]),
    honoured(&["batch_name", "jobbatchname", "batchname"]),
    no_effect(
        &["log"],
        "no event log is written; ask `cherryyard condor q`",
    ),
    no_effect(&["log_xml"], "no event log is written"),
    no_effect(&["notification"], "no mail is sent"),
    no_effect(&["notify_user", "notifyuser"], "no mail is sent"),
    no_effect(&["email_attributes"], "no mail is sent"),
    no_effect(&["max_retries", "maxretries"], RETRIES_ARE_AUTOMATIC),
    no_effect(&["retry_until", "retryuntil"], RETRIES_ARE_AUTOMATIC),
    no_effect(
        &["success_exit_code", "successexitcode"],
        RETRIES_ARE_AUTOMATIC,
    ),
    no_effect(&["on_exit_remove", "onexitremove"], NO_POLICY_EXPRESSIONS),
    no_effect(&["on_exit_hold", "onexithold"], NO_POLICY_EXPRESSIONS),
    no_effect(&["on_exit_hold_reason"], NO_POLICY_EXPRESSIONS),
    no_effect(&["on_exit_hold_subcode"], NO_POLICY_EXPRESSIONS),
    no_effect(&["periodic_hold", "periodichold"], NO_POLICY_EXPRESSIONS),
    no_effect(&["periodic_hold_reason"], NO_POLICY_EXPRESSIONS),
    no_effect(&["periodic_hold_subcode"], NO_POLICY_EXPRESSIONS),
    no_effect(
        &["periodic_release", "periodicrelease"],
        NO_POLICY_EXPRESSIONS,
    ),
    no_effect(
        &["periodic_remove", "periodicremove"],
        NO_POLICY_EXPRESSIONS,
    ),
    no_effect(&["leave_in_queue", "leaveinqueue"], "ends are kept anyway"),
    no_effect(
        &["job_lease_duration"],
        "workers' leases are the platform's",
    ),
    no_effect(&["job_max_vacate_time"], "the image's time to save counts"),
    no_effect(&["keep_claim_idle"], "machines are not claimed by users"),
    no_effect(&["image_size", "imagesize"], "say request_memory"),
    no_effect(&["copy_to_spool"], NOTHING_RUNS_AT_SUBMITTER),
    no_effect(&["dagman_log"], NOTHING_RUNS_AT_SUBMITTER),
    no_effect(&["submit_event_notes"], "no event log is written"),
    passed_on(&["description"]),
    no_effect(
        &["want_graceful_removal"],
        "tasks that save are given time for it",
    ),
    refused(&["hold"], "a job cannot be queued on hold"),
    refused(
        &["concurrency_limits", "concurrencylimits"],
        "there are limits of teams only",
    ),
    refused(
        &["concurrency_limits_expr"],
        "there are limits of teams only",
    ),
    refused(
        &["deferral_time", "deferraltime"],
        "a start cannot be put off to a time",
    ),
    refused(&["deferral_window"], "a start cannot be put off to a time"),
    refused(
        &["deferral_prep_time"],
        "a start cannot be put off to a time",
    ),
    refused(&["cron_minute"], "there are no recurring jobs"),
    refused(&["cron_hour"], "there are no recurring jobs"),
    refused(&["cron_day_of_month"], "there are no recurring jobs"),
    refused(&["cron_month"], "there are no recurring jobs"),
    refused(&["cron_day_of_week"], "there are no recurring jobs"),
    refused(&["machine_count", "node_count"], "there are no gangs"),
    refused(&["next_job_start_delay"], "starts are not spaced out"),
    refused(
        &["max_materialize"],
        "say how many with `queue`; limits are teams'",
    ),
    refused(
        &["max_idle"],
        "say how many with `queue`; limits are teams'",
    ),
    refused(&["grid_resource"], "there is no grid universe"),
    refused(&["vm_type"], "there is no vm universe"),
    refused(&["x509userproxy"], "no credentials are handed on"),
    refused(&["use_oauth_services"], "no credentials are handed on"),
    refused(&["run_as_owner"], "workers run tasks as their own user"),
    refused(&["allowed_execute_duration"], "tasks have no limit of time"),
    refused(&["allowed_job_duration"], "jobs have no limit of time"),
];

static BY_NAME: LazyLock<HashMap<&'static str, &'static Command>> = LazyLock::new(|| {
    COMMANDS
        .iter()
        .flat_map(|command| command.names.iter().map(move |name| (*name, command)))
        .collect()
});

/// Returns whether a command or attribute decides where or how a job runs, rather than what
/// it runs; the names of attributes begin with `+`.
pub(crate) fn decides_placement(name: &str) -> bool {
    name.starts_with('+')
        || Command::find(name).is_some_and(|command| command.handling == Handling::Honoured)
}

/// Returns the name of the command that is most similar to this name, if any is similar
/// enough; of two equally similar names the first in alphabetical order.
pub(crate) fn similar_name(name: &str) -> Option<&'static str> {
    BY_NAME
        .keys()
        .map(|known| (strsim::jaro_winkler(known, name), *known))
        .filter(|(similarity, _)| *similarity > MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(a.1)))
        .map(|(_, known)| known)
}
