//! Parsing of log lines in both formats.

use super::{Event, Field, LogRecord};
use crate::request_events::FieldValue;

fn fields(pairs: &[(&str, &str)]) -> Vec<Field> {
    pairs
        .iter()
        .map(|(key, value)| Field {
            key: (*key).to_owned(),
            value: (*value).to_owned(),
        })
        .collect()
}

fn record(event: Event) -> LogRecord {
    LogRecord {
        time: "2026-12-02T05:15:03.123Z".to_owned(),
        node: "front-1".to_owned(),
        role: "gateway".to_owned(),
        event,
    }
}

#[test]
fn text_lines_are_read_with_or_without_a_prefix() {
    let text = "2026-12-02T05:15:03.123Z front-1 gateway [DEBUG] event=put request=a store=s-1\n";
    let event = Event {
        name: "put".to_owned(),
        fields: fields(&[("request", "a"), ("store", "s-1")]),
    };
    assert_eq!(LogRecord::read(text), Some(record(event.clone())));
    assert_eq!(
        LogRecord::read(&format!("Dec 02 05:15:03 m1 dunespur[7]: {text}")),
        Some(record(event))
    );
}

#[test]
fn json_lines_are_read() {
    let text = r#"{"time":"2026-12-02T05:15:03.123Z","node":"front-1","role":"gateway","level":"DEBUG","text":"event=release turn=7"}"#;
    let event = Event {
        name: "release".to_owned(),
        fields: fields(&[("turn", "7")]),
    };
    assert_eq!(LogRecord::read(text), Some(record(event)));
}

#[test]
fn lines_without_an_event_are_none() {
    let lines_without_event = [
        "",
        "event=put",
        "2026-12-02T05:15:03.123Z front-1 gateway [INFO] front-1 serves",
        "2026-12-02T05:15:03.123Z front-1 gateway [DEBUG] an event=put in between",
        "] event=put",
        "{}",
        r#"{"time":"t","node":"n","role":"r","text":"front-1 serves"}"#,
    ];
    for text in lines_without_event {
        assert_eq!(LogRecord::read(text), None, "{text}");
    }
}

#[test]
fn every_value_is_read_as_it_was_written() {
    let values = [
        "",
        "a",
        "a b",
        "a=b",
        "\"",
        "\\",
        "a\"b c\\",
        "] event=x",
        "ü",
        "tab\there",
        "\n",
        "i-1:3,i-2:0",
    ];
    for value in values {
        let text = format!(
            "2026-12-02T05:15:03.123Z front-1 gateway [DEBUG] event=put request={} store=s",
            FieldValue(value)
        );
        assert_eq!(text.lines().count(), 1, "{value:?}");
        let read = LogRecord::read(&text).unwrap_or_else(|| panic!("{text}"));
        assert_eq!(read.event.get("request"), Some(value));
        assert_eq!(read.event.get("store"), Some("s"), "{text}");
    }
}
