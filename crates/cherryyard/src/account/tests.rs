use super::*;

/// Guards against accounts of several shards and times that are not added up, and against an
/// error for an unknown figure that does not give the line.
#[test]
fn accounts_are_added_up_by_shard() {
    let log = "  INFO account part=1 cores={\"arrays\":40,\"round\":10}\n other cores=3\n\
                   INFO account part=0 cores={\"arrays\":30}\n\
                   INFO account part=1 cores={\"lost\":20}\n";
    let mut by_shard = BTreeMap::new();
    add_log(log, &mut by_shard).unwrap();
    let table_text = table(&by_shard).to_string();
    let row = |name: &str| {
        let line = table_text.lines().find(|line| line.contains(name)).unwrap();
        let cells = line
            .split('|')
            .map(str::trim)
            .filter(|cell| !cell.is_empty());
        cells.skip(1).map(str::to_string).collect::<Vec<_>>()
    };
    assert_eq!(row("arrays"), ["70", "0.700", "30", "40"]);
    assert_eq!(row("lost"), ["20", "0.200", "0", "20"]);
    let error =
        add_log("x\npart=0 cores={\"nonsense\":1}", &mut by_shard).map_err(|e| e.to_string());
    assert_eq!(error, Err("line 2: nonsense: no such figure".into()));
}
/// Guards against logs of earlier builds being left out: the shard's number is in the field
/// `shard=`, in earlier builds in `part=`, and both are added up.
#[test]
fn both_field_names_of_the_shard_are_read() {
    let log = "INFO account shard=1 cores={\"arrays\":40}\n\
                   INFO account part=1 cores={\"arrays\":2}\n\
                   INFO account shard=0 cores={\"arrays\":5}\n\
                   INFO other field=1 cores={\"arrays\":7}\n";
    let mut by_shard = BTreeMap::new();
    add_log(log, &mut by_shard).unwrap();
    let arrays = |shard: usize| {
        let mut figures = by_shard[&shard].figures();
        figures.find(|f| f.0 == "arrays").map(|f| f.1)
    };
    assert_eq!(by_shard.len(), 2);
    assert_eq!((arrays(0), arrays(1)), (Some(5.0), Some(42.0)));
    let error = add_log("shard=0 cores={\"nonsense\":1}", &mut by_shard).unwrap_err();
    assert_eq!(error.to_string(), "line 1: nonsense: no such figure");
}
