//! Measures how many expressions are parsed, and machines matched, per second:
//! `cargo bench -p cherryyard-classad`.

use cherryyard_classad::{Ad, Expr, Names, Scope, Value, fold};

const JOB: &str = r#"[ RequestCpus = 2; RequestMemory = 4915; Owner = "servicing";
    AcctGroup = strcat("group_", Owner); WantSpot = true;
    Wanted = stringListMember(AcctGroup, "group_servicing,group_member-care") ]"#;
const REQUIREMENTS: &str = r#"(TARGET.Cpus >= RequestCpus) && (TARGET.Memory >= RequestMemory)
    && Wanted && (TARGET.Zone == "lahore-east" || regexp("^karachi-", TARGET.Zone))
    && (WantSpot || TARGET.Spot =!= true)"#;
/// Number of machines in the larger fleet.
const MACHINES: i64 = 1344;

fn main() {
    divan::main();
}

struct Match {
    job: Ad,
    requirements: Expr,
    machines: Vec<Ad>,
}

fn example_match() -> Match {
    let mut names = Names::default();
    let job = Ad::parse(JOB, &mut names).expect("a good ad");
    let requirements = Expr::parse(REQUIREMENTS, &mut names).expect("a good expression");
    let [cpus, memory, zone, spot] =
        ["Cpus", "Memory", "Zone", "Spot"].map(|name| names.intern(name));
    let machines = (0..MACHINES)
        .map(|i| {
            let mut ad = Ad::default();
            ad.set_value(cpus, Value::Int(1 + i % 8));
            ad.set_value(memory, Value::Int(2048 * (1 + i % 8)));
            let zone_name = ["lahore-east", "lahore-west", "karachi-dc"][i as usize % 3];
            ad.set_value(zone, Value::text(zone_name));
            ad.set_value(spot, Value::Bool(i % 4 == 0));
            ad
        })
        .collect();
    Match {
        job,
        requirements,
        machines,
    }
}

fn count_matches(example: &Match, requirements: &Expr) -> usize {
    let scope = |target| Scope {
        my: &example.job,
        target: Some(target),
        now: 0,
    };
    example
        .machines
        .iter()
        .filter(|machine| scope(*machine).holds(requirements))
        .count()
}

#[divan::bench]
fn parse() -> usize {
    let mut names = Names::default();
    let expr = Expr::parse(divan::black_box(REQUIREMENTS), &mut names);
    expr.map_or(0, |e| e.nodes().len())
}

#[divan::bench]
fn match_1344(bencher: divan::Bencher) {
    let example = example_match();
    bencher.bench_local(|| count_matches(&example, &example.requirements));
}

#[divan::bench]
fn match_1344_folded(bencher: divan::Bencher) {
    let example = example_match();
    let folded = fold(&example.requirements, &example.job);
    bencher.bench_local(|| count_matches(&example, &folded));
}
