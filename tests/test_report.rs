//! The operators' report: the measures that it computes from log lines.

use std::process::Command;

use rockwick::report::Report;

use crate::fleet::binary_path;

/// Two seconds of one pool, a wave, a configuration at two entries, moves, and a line that is not JSON.
const LINES: &str = r#"{"at_ms":1000,"event":608,"name":"pool-load","pool":"a","open":2,"workers":4,"room_cpu_milli":32000,"used_cpu_milli":16000}
{"at_ms":3000,"event":608,"name":"pool-load","pool":"a","open":2,"workers":4,"room_cpu_milli":32000,"used_cpu_milli":32000}
{"at_ms":2000,"event":608,"name":"pool-load","pool":"a","open":2,"workers":4,"room_cpu_milli":32000,"used_cpu_milli":16000}
{"at_ms":1500,"event":620,"name":"host-closing","host":"h1","wave":7,"left":2,"why":"its wave is due"}
{"at_ms":4000,"event":407,"name":"host-back","host":"h1","left":0,"why":"wave 7"}
{"at_ms":4500,"event":422,"name":"wave-done","wave":"7","why":"every host is back"}
{"at_ms":2000,"event":300,"name":"config-adopted","config":"5","from":4,"why":"newer"}
{"at_ms":2300,"event":300,"name":"config-adopted","config":"5","from":4,"why":"newer"}
{"at_ms":9000,"event":300,"name":"config-adopted","config":"5","from":0,"why":"newer"}
{"at_ms":2400,"event":622,"name":"host-answered","host":"h2","why":"Move(\"a\"): Accepted"}
{"at_ms":2500,"event":622,"name":"host-answered","host":"h3","why":"Move(\"a\"): Silent"}
{"at_ms":2600,"event":606,"name":"task-requeued","job":"j","why":"run failed"}
not a line
"#;

#[test]
fn report_measures() {
    let report = Report::new(LINES.lines());
    let buffer = report.total_buffer();
    assert!(
        (buffer.held_s - 8.0).abs() < 1e-9,
        "four hosts, two seconds"
    );
    assert!(
        (buffer.idle_s - 6.0).abs() < 1e-9,
        "two of the eight host-seconds were in use"
    );
    assert_eq!(report.waves["7"].duration_ms(), 3_000);
    assert!(report.waves_done.contains("7"));
    assert_eq!(report.configs[&5].duration_ms(), 300);
    assert_eq!(report.host_moves["a"], 1);
    assert_eq!(report.task_moves["run failed"], 1);
    assert_eq!(report.unread_lines, 1);
}

#[test]
fn report_host_back_alone() {
    let line =
        r#"{"at_ms":1,"event":407,"name":"host-back","host":"h","why":"the host has booted"}"#;
    let report = Report::new(std::iter::once(line));
    assert!(report.waves.is_empty(), "a reboot belongs to no wave");
}

#[test]
fn report_prints() {
    let path = std::env::temp_dir().join(format!("rockwick-report-{}.log", std::process::id()));
    std::fs::write(&path, LINES).expect("the file is written");
    let output = Command::new(binary_path("rockwick"))
        .arg("report")
        .arg(&path)
        .output()
        .expect("the command runs");
    std::fs::remove_file(&path).expect("the file is removed");
    assert!(output.status.success());
    insta::assert_snapshot!("report", String::from_utf8_lossy(&output.stdout));
}

#[test]
fn report_no_file() {
    let output = Command::new(binary_path("rockwick"))
        .args(["report", "/nowhere/at/all.log"])
        .output()
        .expect("the command runs");
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(text.lines().count(), 1, "the error is one line: {text}");
}
