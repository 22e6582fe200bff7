//! Tests of the operators' file: what is read, and what is refused with its remedy.

use super::*;

const GOOD: &str = r#"
[fleet]
name = "f"
listen = "127.0.0.1:7001"
disk = "voter.redb"
voter = [
    { name = "n1", address = "127.0.0.1:7001" },
    { name = "n2", address = "127.0.0.1:7002" },
    { name = "n3", address = "127.0.0.1:7003" },
]
"#;

fn refused(text: &str, name: &str) -> String {
    read(text, name, &["a".into(), "b".into()], 1, 0.05)
        .err()
        .unwrap()
        .to_string()
}

#[test]
fn a_file_that_can_be_used_is_read_and_nothing_runs_without_its_section() {
    let plan = read(GOOD, "n1", &["a".into(), "b".into()], 1, 0.05)
        .unwrap()
        .unwrap();
    assert_eq!(
        (
            plan.zone.as_str(),
            plan.machine.as_str(),
            plan.roles.slots()
        ),
        ("b", "n1", 4)
    );
    assert!(read("", "n1", &["a".into()], 0, 0.05).unwrap().is_none());
}

#[test]
fn what_can_not_be_used_is_named_with_its_remedy() {
    let with = |from: &str, to: &str| GOOD.replace(from, to);
    let cases = [
        (
            with("    { name = \"n3\", address = \"127.0.0.1:7003\" },\n", ""),
            "3, 5 or 7",
        ),
        (with("\"n3\"", "\"n2\""), "is listed twice"),
        (
            with("disk = \"voter.redb\"", "lease = 1.0\ndisk = \"v\""),
            "shorter than three renewals",
        ),
        (with("127.0.0.1:7003", "[::1]:7003"), "no IPv4 address"),
        (with("disk = \"voter.redb\"\n", ""), "needs a file"),
        (
            with("listen = \"127.0.0.1:7001\"", "listen = \"127.0.0.1:7009\""),
            "the voters' list has n1",
        ),
        (with("disk =", "dusk ="), "line 5: unknown field `dusk`"),
        (
            with("disk =", "zone = \"x\"\ndisk ="),
            "x is not among the zones a, b",
        ),
        (with("disk =", "drift = 0.7\ndisk ="), "a share from 0"),
        (
            format!("{GOOD}[fleet.lend]\nspan = -1.0\n"),
            "fleet.lend.span: -1; give seconds over 0",
        ),
        (
            format!("{GOOD}[fleet.lend]\nwait = 0.05\n"),
            "no less than the counter's time-out of 0.05",
        ),
    ];
    for (text, says) in cases {
        let said = refused(&text, "n1");
        assert!(said.contains(says), "{said} does not say {says}");
    }
}
