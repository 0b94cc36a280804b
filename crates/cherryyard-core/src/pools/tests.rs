use super::*;
use cherryyard_wire::job::JobSpec;

fn new_machine_type(sku: &str, cores: f64, zones: &[&str]) -> MachineType {
    let text = serde_json::json!({ "sku": sku, "cores": cores, "ram_gb": 4.0 * cores,
        "fetch_gb_per_s": 0.5, "yards": zones });
    serde_json::from_value(text).unwrap()
}

fn example_matcher() -> (Matcher, Vec<MachineType>) {
    let machine_types = vec![
        new_machine_type("m4", 4.0, &["a", "b"]),
        new_machine_type("m8", 8.0, &["b", "c"]),
    ];
    let attributes = serde_json::json!({
        "all": { "OpSys": "LINUX" },
        "kinds": { "m8": { "Department": "posting" } },
        "zones": { "c": { "Department": "ledger", "Racks": [3, 4] } } });
    let attributes: Attributes = serde_json::from_value(attributes).unwrap();
    attributes.check().unwrap();
    (Matcher::new(&machine_types, &attributes), machine_types)
}

fn rules(requirements: &str, rank: &str) -> Rules {
    let text = |t: &str| (!t.is_empty()).then(|| t.to_string());
    Rules {
        requirements: text(requirements),
        rank: text(rank),
        ..Rules::default()
    }
}

/// Guards against wrong sets of pools: requirements that select no complete product of types and
/// zones, attributes set by type and by zone, and unknown attributes.
#[test]
fn requirements_select_pools() {
    let (matcher, _) = example_matcher();
    let tiers_by_pool = |r: &Rules| {
        let set = matcher.evaluate(r, 0).unwrap();
        let mut text = String::new();
        for pool in &matcher.pools {
            if let Some(t) = set.tier(&pool.machine_type, &pool.zone, pool.spot) {
                let spot = if pool.spot { "*" } else { "" };
                text += &format!("{}/{}{spot}:{t} ", pool.machine_type, pool.zone);
            }
        }
        text.trim_end().to_string()
    };
    let table = [
        (
            "(MachineType == \"m4\" && Zone == \"a\" || Cpus >= 8 && Zone == \"c\") && !Spot",
            "",
            "m4/a:0 m8/c:0",
        ),
        ("TARGET.Department == \"POSTING\"", "", "m8/b:0 m8/b*:0"),
        ("member(4, Racks) && Spot", "", "m8/c*:0"),
        ("HasGluster", "", ""),
        (
            "HasGluster =!= true && Memory == 16 * 1024 && Spot == false",
            "",
            "m4/a:0 m4/b:0",
        ),
        ("!Spot", "Cpus", "m4/a:1 m4/b:1 m8/b:0 m8/c:0"),
        (
            "!Spot",
            "(Zone == \"b\") * 10 + NoSuch",
            "m4/a:0 m4/b:0 m8/b:0 m8/c:0",
        ),
        ("!Spot && time() == 7", "", ""),
    ];
    for (requirements, rank, pools) in table {
        assert_eq!(
            tiers_by_pool(&rules(requirements, rank)),
            pools,
            "{requirements}"
        );
    }
    assert_eq!(
        matcher
            .evaluate(&rules("time() == 7", ""), 7_900)
            .unwrap()
            .tiers(),
        1
    );
    let blocks = serde_json::json!({ "cells": [
        { "kinds": ["m8"], "borrowed": false, "tier": 1 }, { "yards": ["a"] } ],
        "requirements": "Zone != \"c\"" });
    let blocks: Rules = serde_json::from_value(blocks).unwrap();
    assert_eq!(tiers_by_pool(&blocks), "m4/a:0 m4/a*:0 m8/b:1");
    let error = matcher
        .evaluate(&rules("Cpus >=", ""), 0)
        .unwrap_err()
        .to_string();
    assert!(error.starts_with("rules.requirements: 1:8:"), "{error}");
}

/// Guards against refusals without a reason: the explanation names the attributes that no machine
/// has, and the conditions that the nearest pools do not meet.
#[test]
fn unmatched_requirements_are_explained() {
    let (matcher, machine_types) = example_matcher();
    let spec = serde_json::json!({ "id": "j-000001", "jobclass": "c", "owner": "t",
        "shape": "sweep", "rank": "standard", "pieces": 1, "cores": 6.0,
        "accelerators": 0.0, "ram_gb": 1.0, "bundle": "b", "image_gb": 0.0,
        "together": false, "apart": false, "borrowed": false, "expected_s": 1.0,
        "snapshot_every_s": 0.0, "snapshot_cost_s": 0.0 });
    let spec: JobSpec = serde_json::from_value(spec).unwrap();
    let explain_requirements = |text: &str| {
        matcher
            .explain(&spec, &rules(text, ""), &machine_types, 0)
            .unwrap()
    };
    let unmatched =
        explain_requirements("HasGluster && Department == \"posting\" && OpSys == \"LINUX\"");
    assert_eq!(unmatched.matching, Vec::<String>::new());
    assert_eq!(
        unmatched.summary(),
        "rules: no machine matches; no machine advertises HasGluster; nearest: \
         m8 in b (ordinary), but `HasGluster` is undefined"
    );
    let matched = explain_requirements("Zone != \"b\"");
    assert_eq!(matched.matching, ["m8 in c (ordinary)"]);
    assert_eq!(matched.near[0].1, ["a task does not fit"]);
}
