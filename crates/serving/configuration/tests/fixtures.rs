//! Runs configurations and patches from fixture files.
//!
//! `good/NAME.json` is accepted and returned as received. `bad/NAME.json` is rejected with the findings in
//! `bad/NAME.findings`. In `patches/NAME/`, applying `patch.json` to `current.json` has the result `result.json`, or
//! the findings `result.findings`.

use datatest_stable::{harness, Result};
use dunespur_configuration::{Document, RouteTable};
use serde_json::Value;
use std::{fs, path::Path};

fn good(path: &Path) -> Result<()> {
    let received = fs::read_to_string(path)?;
    let document = Document::replace(received.as_bytes())?;
    assert_eq!(
        document.to_json(),
        received,
        "the configuration is returned as received"
    );
    let value: Value = serde_json::from_str(&received)?;
    assert_eq!(
        value["generation"].as_f64(),
        Some(document.generation() as f64)
    );

    let table = RouteTable::new(&document);
    assert_eq!(table.generation(), document.generation());
    for service in value["services"].as_array().into_iter().flatten() {
        let name = service["name"].as_str().expect("a service has a name");
        assert_eq!(
            table
                .service(name)
                .expect("the service is in the table")
                .name,
            name
        );
    }
    for route in value["routes"].as_array().into_iter().flatten() {
        let host = route["host"].as_str().expect("a route has a host");
        let prefix = route["path_prefix"].as_str().expect("a route has a prefix");
        let found = table
            .find(host, &format!("{prefix}rest"))
            .expect("a route matches the path");
        assert_eq!(
            found.name, route["name"],
            "another route matches a path below the prefix {prefix}"
        );
    }
    Ok(())
}

fn bad(path: &Path) -> Result<()> {
    let findings = Document::replace(&fs::read(path)?).expect_err("the configuration is invalid");
    let expected = fs::read_to_string(path.with_extension("findings"))?;
    assert_eq!(findings.to_string(), expected.trim_end());
    Ok(())
}

fn patch(path: &Path) -> Result<()> {
    let folder = path.parent().expect("a file is in a folder");
    let current = Document::replace(&fs::read(folder.join("current.json"))?)?;
    match current.patch(&fs::read(path)?) {
        Ok(document) => {
            let expected: Value = serde_json::from_slice(&fs::read(folder.join("result.json"))?)?;
            assert_eq!(
                serde_json::from_str::<Value>(&document.to_json())?,
                expected
            );
            assert_eq!(Some(document.generation()), expected["generation"].as_u64());
        }
        Err(findings) => {
            let expected = fs::read_to_string(folder.join("result.findings"))?;
            assert_eq!(findings.to_string(), expected.trim_end());
        }
    }
    Ok(())
}

harness! {
    { test = good, root = "tests/good", pattern = r"\.json$" },
    { test = bad, root = "tests/bad", pattern = r"\.json$" },
    { test = patch, root = "tests/patches", pattern = r"/patch\.json$" },
}
