//! The reference pages list every error kind and log event, and metrics and log lines keep their format.

use rockwick::error::{Kind, KINDS};
use rockwick::event::CATALOGUE;

use crate::fleet::{body_text, get, Plan};

fn read_page(name: &str) -> String {
    let path = format!("{}/docs/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("the page is there")
}

#[test]
fn catalogue_errors() {
    let mut lines = Vec::new();
    for row in KINDS {
        assert_eq!(
            row.kind.info().name,
            row.name,
            "the table is in the order of the kinds"
        );
        let retry = row.retry_after_s.map_or("-".to_string(), |s| s.to_string());
        lines.push(format!(
            "| `{}` | {} | {} | {retry} | {} |",
            row.name,
            row.status,
            row.run.as_str(),
            row.title
        ));
    }
    insta::assert_snapshot!("errors", lines.join("\n"));
    let page = read_page("ERRORS.md");
    for line in lines {
        assert!(page.contains(&line), "docs/ERRORS.md lacks: {line}");
    }
    assert_eq!(Kind::BadRequest.info().status, 400);
}

#[test]
fn catalogue_events() {
    let page = read_page("EVENTS.md");
    let mut last = 0;
    for e in CATALOGUE {
        assert!(
            e.number > last,
            "{}: event numbers rise and are unique",
            e.name
        );
        last = e.number;
        assert_eq!(e.code.info().number, e.number);
        let line = format!("| {} | `{}` | {} |", e.number, e.name, e.meaning);
        assert!(page.contains(&line), "docs/EVENTS.md lacks: {line}");
    }
}

#[test]
fn catalogue_metrics() {
    let fleet = Plan::new(1, 1).without_config().start();
    let entry = &fleet.entries[0];
    assert_eq!(get("/s/route/x").to(entry.listen).status, 200);
    assert_eq!(get("/s/nowhere/x").to(entry.listen).status, 404);
    let metrics_text = body_text(&get("/metrics").to(entry.admin));
    for line in [
        "rockwick_requests_total 2",
        "rockwick_answered_total 1",
        "rockwick_failures_total{kind=\"unknown-service\"} 1",
        "rockwick_request_us_count 1",
        "# TYPE rockwick_request_us summary",
    ] {
        assert!(metrics_text.contains(line), "{line}: {metrics_text}");
    }
    for line in metrics_text.lines().filter(|l| !l.starts_with('#')) {
        let value = line.rsplit(' ').next().unwrap_or_default();
        assert!(value.parse::<f64>().is_ok(), "{line}");
    }
}

#[test]
fn catalogue_log_lines() {
    // Each log line is JSON with an event number and a name from the catalogue.
    let fleet = Plan::new(4, 1).start();
    get("/s/route/x").to(fleet.entries[0].listen);
    let lines = fleet.entries[0].process.lines();
    assert!(lines.len() > 5);
    for line in lines {
        let value: serde_json::Value = serde_json::from_str(&line).expect(&line);
        let known = CATALOGUE
            .iter()
            .any(|e| value["event"] == e.number && value["name"] == e.name);
        assert!(known, "{line}");
    }
}
