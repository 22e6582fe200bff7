//! Tests of parsing the operators' file and of its errors.

use super::*;

const VALID_FILE: &str = r#"
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

fn parse_error(text: &str, name: &str) -> String {
    parse(text, name, &["a".into(), "b".into()], 1, 0.05)
        .err()
        .unwrap()
        .to_string()
}

#[test]
fn a_valid_file_is_parsed_and_without_a_fleet_section_there_is_no_configuration() {
    let config = parse(VALID_FILE, "n1", &["a".into(), "b".into()], 1, 0.05)
        .unwrap()
        .unwrap();
    assert_eq!(
        (
            config.zone.as_str(),
            config.machine.as_str(),
            config.roles.slots()
        ),
        ("b", "n1", 4)
    );
    assert!(parse("", "n1", &["a".into()], 0, 0.05).unwrap().is_none());
}

#[test]
fn invalid_files_are_rejected_with_the_reason() {
    let with = |from: &str, to: &str| VALID_FILE.replace(from, to);
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
        (
            with("127.0.0.1:7003", "[::1]:7003"),
            "is not an IPv4 address",
        ),
        (with("disk = \"voter.redb\"\n", ""), "needs a file"),
        (
            with("listen = \"127.0.0.1:7001\"", "listen = \"127.0.0.1:7009\""),
            "of n1 in the voters' list",
        ),
        (with("disk =", "dusk ="), "line 5: unknown field `dusk`"),
        (
            with("disk =", "zone = \"x\"\ndisk ="),
            "x is not among the zones a, b",
        ),
        (with("disk =", "drift = 0.7\ndisk ="), "a share from 0"),
        (
            format!("{VALID_FILE}[fleet.lend]\nspan = -1.0\n"),
            "fleet.lend.span: -1; give seconds over 0",
        ),
        (
            format!("{VALID_FILE}[fleet.lend]\nwait = 0.05\n"),
            "less than the counter's timeout of 0.05",
        ),
    ];
    for (text, expected) in cases {
        let error = parse_error(&text, "n1");
        assert!(
            error.contains(expected),
            "{error:?} does not contain {expected:?}"
        );
    }
}
