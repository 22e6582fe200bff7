//! Stand-ins and cases of the review: `review-standin CASE ROOT FOLDER`. Exit code 1 if the rule was broken, 0 if it
//! held, 2 if the case couldn't run. `TROUBLE=0` in the environment leaves the disruption out.

mod conversations;
mod http;
mod leaving_server;
mod lost_turns;
mod missed_changes;
mod operator;
mod record;
mod retained_changes;
mod server;
mod system;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = arguments.as_slice() else {
        eprintln!("review-standin CASE ROOT FOLDER");
        std::process::exit(2);
    };
    let record = record::Record::create(&Path::new(folder).join("record.txt"));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, disruption: {trouble}"));
    let root = Path::new(root);
    let broken = match case.as_str() {
        "missed-changes" => missed_changes::run(root, &record, trouble),
        "leaving-server" => leaving_server::run(root, &record, trouble),
        "lost-turns" => lost_turns::run(root, &record, trouble),
        "retained-changes" => retained_changes::run(root, &record, trouble),
        _ => std::process::exit(2),
    };
    let (text, code) = match broken {
        Some(true) => ("the rule was broken", 1),
        Some(false) => ("the rule held", 0),
        None => ("the case could not run", 2),
    };
    record.line(text);
    std::process::exit(code);
}
