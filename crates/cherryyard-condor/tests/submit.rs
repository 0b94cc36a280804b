//! Tests the translation of submit files into jobs, their errors and warnings, and the
//! bounds on hostile files.

use cherryyard_condor::{Cluster, Options, Source, SourceError, SubmitError, read};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A source of files and variables that are kept in memory.
#[derive(Default)]
struct Memory(BTreeMap<&'static str, String>);

impl Source for Memory {
    fn file(&mut self, path: &str) -> Result<String, SourceError> {
        let found = self.0.get(path).cloned();
        found.ok_or_else(|| SourceError::new(path, "no such file"))
    }

    fn matching(&mut self, pattern: &str, directories: bool) -> Result<Vec<String>, SourceError> {
        let (before, after) = pattern.split_once('*').unwrap_or((pattern, ""));
        let names = self.0.keys().filter(|_| !directories);
        let names = names.filter(|n| n.starts_with(before) && n.ends_with(after));
        Ok(names.map(|n| n.to_string()).collect())
    }

    fn variable(&mut self, name: &str) -> Option<String> {
        (name == "HOME").then(|| "/home/posting".to_string())
    }
}

fn memory() -> Memory {
    let mut files = BTreeMap::new();
    files.insert(
        "common.sub",
        "request_memory = 2 GB\naccounting_group = posting.night\n".into(),
    );
    files.insert("loop.sub", "include : loop.sub\n".into());
    files.insert(
        "ledgers.txt",
        "multan, 3\n# closed\nlahore 5\n\nkarachi,8 extra\n".into(),
    );
    files.insert("a.dat", String::new());
    files.insert("b.dat", String::new());
    let lines: String = (0..20_000).map(|i| format!("ledger-{i}\n")).collect();
    files.insert("many.txt", lines);
    Memory(files)
}

fn submit(text: &str) -> Result<Cluster, Box<SubmitError>> {
    let options = Options {
        team: Some("posting".into()),
        ..Options::default()
    };
    read("job.sub", text, &options, &mut memory())
}

fn read_valid(text: &str) -> Cluster {
    submit(text)
        .unwrap_or_else(|error| panic!("{text}\n{}:{}: {}", error.line, error.column, error.kind))
}

/// Reads a file that consists of an `executable` statement and these statements.
fn read_commands(text: &str) -> Cluster {
    read_valid(&format!("executable = post\n{text}\n"))
}

fn arguments(cluster: &Cluster) -> Vec<String> {
    let arguments_of_proc = |proc| {
        let run = cluster.proc(proc).unwrap();
        run.into_iter()
            .find(|d| d.0 == "arguments")
            .map_or(String::new(), |d| d.1)
    };
    (0..cluster.procs()).map(arguments_of_proc).collect()
}

/// Guards against commands and attributes that are dropped or misread on their way into the
/// job's fields and rules: units, accounting, and the folding of requirements.
#[test]
fn commands_and_attributes_set_job_fields() {
    let cluster = read_valid(
        "include : common.sub\n\
         universe = container\nexecutable = post\ncontainer_image = img-07\n\
         request_cpus = 2 * 2\nrequest_gpus=1\npriority = -5\n\
         +JobClass = \"posting\"\n+ImageGB = 2.5\nMY.ExpectedSeconds = 60\n+WantSpot = true\n\
         requirements = TARGET.Memory >= RequestMemory && (Department =?= \"posting\") \\\n\
            && RequestCpus < 100\n\
         rank = Cpus\nqueue\n",
    );
    let template = &cluster.templates[0];
    let spec = &template.spec;
    assert_eq!(
        (spec.cores, spec.accelerators, spec.ram_gb, spec.image_gb),
        (4.0, 1.0, 2.0, 2.5)
    );
    assert_eq!(
        (&*spec.team, &*spec.job_class, &*spec.image),
        ("posting", "posting", "img-07")
    );
    assert_eq!(
        (spec.rank, spec.spot, spec.expected_s),
        (cherryyard_wire::job::Rank::BestEffort, true, 60.0)
    );
    let rules = template.rules.as_ref().unwrap();
    assert_eq!(
        rules.requirements.as_deref(),
        Some("TARGET.Memory >= 2048 && TARGET.Department =?= \"posting\" && true")
    );
    assert_eq!(rules.rank.as_deref(), Some("TARGET.Cpus"));
    for (memory, gb) in [
        ("512", 0.5),
        ("1.5G", 1.5),
        ("1048576 KB", 1.0),
        ("2T", 2048.0),
        ("RequestCpus * 1024", 0.0),
    ] {
        let text = format!("executable = x\nrequest_memory = {memory}\nqueue\n");
        match submit(&text) {
            Ok(cluster) => assert_eq!(cluster.templates[0].spec.ram_gb, gb, "{memory}"),
            // The attribute `RequestCpus` is not in the job's ad yet when `request_memory`
            // is evaluated.
            Err(error) => assert!(
                gb == 0.0 && error.to_string().contains("request_memory"),
                "{}",
                error.kind
            ),
        }
    }
}

/// Guards against arrays that are split although their procs differ only in their numbers,
/// and against procs that share an array although their commands differ.
#[test]
fn procs_that_differ_only_in_numbers_form_one_array() {
    let shape = |text: &str| {
        let cluster = read_commands(text);
        let groups = cluster
            .groups
            .iter()
            .map(|g| format!("{}+{}", g.first, g.tasks));
        format!(
            "{} / {}",
            cluster.templates.len(),
            groups.collect::<Vec<_>>().join(" ")
        )
    };
    let table = [
        ("queue 50000", "1 / 0+50000"),
        (
            "arguments = $(Process) of $(Cluster)\nqueue 50000",
            "1 / 0+50000",
        ),
        ("queue 250000", "1 / 0+100000 100000+100000 200000+50000"),
        ("queue 3\nqueue 4", "1 / 0+7"),
        ("queue 3\narguments = other\nqueue 4", "1 / 0+3 3+4"),
        ("queue 3\nrequest_cpus = 2\nqueue 4", "2 / 0+3 3+4"),
        (
            "arguments = $(item)\nqueue 2 in (a, b c)",
            "1 / 0+2 2+2 4+2",
        ),
        ("queue 2 in (a b)", "1 / 0+4"),
        ("arguments = $(Step)\nqueue 2 in (a b)", "1 / 0+2 2+2"),
        (
            "request_cpus = 1 + $(Process) % 2\nqueue 4",
            "2 / 0+1 1+1 2+1 3+1",
        ),
        (
            "arguments = $(x)\nqueue x from [1:] ledgers.txt",
            "1 / 0+1 1+1",
        ),
        (
            "arguments = $(f)\nqueue f matching files *.dat",
            "1 / 0+1 1+1",
        ),
        ("queue 0", "0 / "),
    ];
    for (text, expected) in table {
        assert_eq!(shape(text), expected, "{text}");
    }
    let cluster = read_commands("arguments = $(item)\nqueue from many.txt");
    assert_eq!((cluster.templates.len(), cluster.groups.len()), (1, 20_000));
    let chunks = cluster.chunks(4000);
    assert_eq!(chunks.len(), 1);
    assert_eq!(chunks[0].runs, [(0, 1, 20_000)]);
}

/// Guards against wrong values of items, variables, slices, macros and their functions.
#[test]
fn items_and_macros_expand_to_their_values() {
    let table: &[(&str, &[&str])] = &[
        (
            "arguments = $(office) $(n)\nqueue office, n from ledgers.txt",
            &["multan 3", "lahore 5", "karachi 8 extra"],
        ),
        (
            "arguments = $(x)\nqueue x from (\na b\n  # no\nc\n)",
            &["a b", "c"],
        ),
        (
            "arguments = $(x)\nqueue x in [::2] (a b c d e)",
            &["a", "c", "e"],
        ),
        ("arguments = $(x)\nqueue x in [-2:] (a b c)", &["b", "c"]),
        ("arguments = $(x)\nqueue x in [1] (a b c)", &["b"]),
        (
            "arguments = $(Process)/$(Step)/$(ItemIndex)\nqueue 2 in (a b)",
            &["0/0/0", "1/1/0", "2/0/1", "3/1/1"],
        ),
        (
            "n = 3\narguments = $(n)$(none)$(none:-$(n)-)\nqueue",
            &["3-3-"],
        ),
        (
            "n = 1\nn = $(n) 2\nn = $(n) 3\narguments = $(n)\nqueue",
            &["1 2 3"],
        ),
        ("arguments = $(n)\nn = late\nqueue", &["late"]),
        (
            "p = /in/ledger.tar.gz\narguments = $Fn(p) $Fx(p) $Fp(p) $Fnx(p) $Fqn(p)\nqueue",
            &["ledger.tar .gz /in/ ledger.tar.gz \"ledger.tar\""],
        ),
        (
            "n = 7\nr = 2.5\narguments = $INT(n,%03d) $REAL(r,%.2f) $INT(r)\nqueue",
            &["007 2.50 2"],
        ),
        (
            "arguments = $ENV(HOME) $ENV(NONE:x)\nqueue",
            &["/home/posting x"],
        ),
        (
            "l = a,b,c\narguments = $CHOICE(1,l) $CHOICE(2,x,y,z) $SUBSTR(l,2,1)\nqueue",
            &["b z b"],
        ),
        (
            "if defined n\narguments = a\nelif true\narguments = b\nelse\narguments = c\nendif\nqueue",
            &["b"],
        ),
        (
            "n = 1\nif defined n\n if ! version >= 99.0\narguments = in\n endif\nelse\narguments = c\nendif\nqueue",
            &["in"],
        ),
        (
            "include ifexist : none.sub\narguments = a $$(OpSys) $(DOLLAR)x\nqueue",
            &["a $$(OpSys) $x"],
        ),
    ];
    for (text, expected) in table {
        assert_eq!(arguments(&read_commands(text)), *expected, "{text}");
    }
    let random = |seed| {
        let options = Options {
            team: Some("t".into()),
            seed,
            ..Options::default()
        };
        let text = "executable = x\narguments = $RANDOM_CHOICE(a,b,c) $RANDOM_INTEGER(1,9,2)\nqueue in (1 2 3 4 5 6 7 8)";
        arguments(&read("x", text, &options, &mut memory()).unwrap())
    };
    assert_eq!(random(1), random(1));
    assert_ne!(random(1), random(2));
}

/// Guards against errors and warnings without the name and position of the faulty
/// statement.
#[test]
fn errors_and_warnings_name_the_statement() {
    let table = [
        (
            "executable = x\nuniverse = grid\nqueue",
            2,
            "universe: grid is not supported",
        ),
        (
            "executable = x\nhold = true\nqueue",
            2,
            "hold is not supported",
        ),
        (
            "executable = x\nconcurrency_limits = licence\nqueue",
            2,
            "concurrency_limits",
        ),
        (
            "executable = x\nrequirements = Cpus >= && 2\nqueue",
            2,
            "requirements: expected",
        ),
        (
            "executable = x\nrequirements = RequestCpus > 5\nqueue",
            2,
            "requirements: is false whatever the machine",
        ),
        (
            "executable = x\n\nrequest_memory = lots\nqueue",
            3,
            "request_memory",
        ),
        ("executable = x\nqueue 2 in", 2, "queue"),
        (
            "executable = x\nqueue x from none.txt",
            2,
            "none.txt: no such file",
        ),
        (
            "executable = x\nqueue x from ls |",
            2,
            "programs are not run",
        ),
        ("executable = x\nqueue x from (\na\n", 2, "not closed"),
        (
            "executable = x\na = $(b)\nb = $(c) $(a)\nc = 1\narguments = $(a)\nqueue",
            5,
            "macros define each other: a -> b -> a",
        ),
        ("executable = x\narguments = $(a\nqueue", 2, "not closed"),
        (
            "executable = x\narguments = $NONE(a)\nqueue",
            2,
            "$NONE() is not known",
        ),
        (
            "executable = x\nif defined x\nqueue",
            3,
            "`endif` is missing",
        ),
        ("executable = x\nendif\nqueue", 2, "there is no `if`"),
        ("executable = x\nif x < 3\nendif\nqueue", 2, "condition"),
        ("include : loop.sub\nqueue", 1, "include each other"),
        ("executable = x\nthis is nothing\nqueue", 2, "neither"),
        ("queue", 1, "executable is missing"),
        ("executable = x", 1, "nothing is queued"),
        (
            "executable = x\nrequest_cpus = $$(Cpus)\nqueue",
            2,
            "before a machine is chosen",
        ),
        ("executable = x\nqueue 99999999", 2, "procs"),
        ("executable = x\nqueue 99999999999", 2, "too many"),
    ];
    for (text, line, what) in table {
        let error = submit(text).expect_err(text);
        assert!(
            error.line == line && error.to_string().contains(what),
            "{text}\n{}:{}: {}",
            error.line,
            error.column,
            error.kind
        );
    }
    let column = submit("executable = x\nrequirements = Cpus >= && 2\nqueue")
        .unwrap_err()
        .column;
    assert_eq!(column, 24);
    let options = Options::default();
    let error = read("x", "executable = x\nqueue", &options, &mut memory()).unwrap_err();
    assert!(
        error.to_string().contains("accounting_group"),
        "{}",
        error.kind
    );
    let cluster = read_commands(
        "log = x.log\nperiodic_remove = true\nrequirments = Cpus > 3\nmax_retries = 3\nqueue",
    );
    let warnings: Vec<String> = cluster
        .warnings
        .iter()
        .map(|w| format!("{}: {}", w.line, w.message))
        .collect();
    assert!(
        warnings[0].starts_with("2: log has no effect"),
        "{warnings:?}"
    );
    assert!(
        warnings[1].starts_with("3: periodic_remove has no effect"),
        "{warnings:?}"
    );
    assert_eq!(
        warnings[2],
        "4: requirments is taken as a macro; was requirements meant?"
    );
    assert_eq!(warnings.len(), 4);
}

/// Guards against hostile files that exhaust time or memory; they must lead to an error.
#[test]
fn hostile_files_are_refused() {
    let doubling: String = (0..60)
        .map(|i| format!("m{i} = $(m{0})$(m{0})\n", i + 1))
        .collect();
    let deep = |open: &str, close: &str, n: usize| open.repeat(n) + "1" + &close.repeat(n);
    let cases = [
        format!("executable = x\n{doubling}m60 = abc\narguments = $(m0)\nqueue"),
        format!("executable = {}\nqueue", "x".repeat(70_000)),
        format!(
            "executable = x\\\n{}\nqueue",
            "yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\\\n".repeat(4000)
        ),
        format!(
            "executable = x\nrequirements = {}\nqueue",
            deep("(", ")", 10_000)
        ),
        format!(
            "executable = x\narguments = {}\nqueue",
            deep("$(a:", ")", 10_000)
        ),
        format!(
            "executable = x\nrequirements = {}1\nqueue",
            "!".repeat(10_000)
        ),
        format!(
            "executable = x\nrequirements = Cpus{}\nqueue",
            " + 1".repeat(10_000)
        ),
        "executable = x\nqueue 1000000000 in [0:1000000000] (a b)".to_string(),
        format!("executable = x\n{}queue", "if true\n".repeat(1000)),
        format!(
            "executable = x\narguments = $(Process)\n{}",
            "queue 100000\n".repeat(20)
        ),
        "executable = x\nqueue x in [0:99999999999999999999] (a b)".to_string(),
        format!(
            "executable = x\nrequest_cpus = 1 + $(Process) % 2\nqueue {}",
            900_000
        ),
    ];
    for text in cases {
        assert!(submit(&text).is_err(), "{}", &text[..60.min(text.len())]);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against panics: any text is either read or refused.
    #[test]
    fn arbitrary_text_does_not_panic(text in "(([a-z]{1,6}|queue|if|endif|requirements|\\+A|include) ?[=:]? ?[ -~]{0,30}\n){0,12}") {
        let _ = submit(&text);
    }

    /// Guards against slices that select wrong items or change their order.
    #[test]
    fn slices_select_items_in_order(from in -9i64..9, to in -9i64..9, step in 1i64..4) {
        let cluster = read_commands(&format!("arguments = $(x)\nqueue x in [{from}:{to}:{step}] (0 1 2 3 4 5)"));
        let items: Vec<i64> = arguments(&cluster).iter().map(|a| a.parse().unwrap()).collect();
        let position = |at: i64| (if at < 0 { at + 6 } else { at }).clamp(0, 6);
        let expected: Vec<i64> = (position(from)..position(to)).step_by(step as usize).collect();
        prop_assert_eq!(items, expected);
    }
}
