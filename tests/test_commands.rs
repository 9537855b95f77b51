//! The command line: help, usage, exit codes, and errors of one line.

use std::process::Output;

use rockwick::config::is_known_variable;
use serde_json::Value;

use crate::fleet::{run_rockwick, wait_for, Plan, CONFIG};

fn stdout(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).into_owned()
}

fn stderr(out: &Output) -> String {
    String::from_utf8_lossy(&out.stderr).into_owned()
}

#[test]
fn commands_help() {
    let all = run_rockwick(&["--help"], &[]);
    assert_eq!(all.status.code(), Some(0));
    for name in [
        "entry", "template", "pool", "host", "wave", "hall", "job", "status", "explain", "forget",
        "events",
    ] {
        assert!(stdout(&all).contains(name), "{name}");
        let help = run_rockwick(&[name, "--help"], &[]);
        assert_eq!(help.status.code(), Some(0), "{name}");
        assert!(stdout(&help).contains("Usage"), "{name}");
    }
    let version = run_rockwick(&["--version"], &[]);
    assert!(stdout(&version).contains(env!("CARGO_PKG_VERSION")));
}

/// An environment variable that the help of a daemon names must not be reported as unknown when the daemon starts.
#[test]
fn commands_known_settings() {
    for command in ["entry", "serve"] {
        let help = stdout(&run_rockwick(&[command, "--help"], &[]));
        let named = help.split("[env:").skip(1);
        let names: Vec<&str> = named
            .filter_map(|rest| rest.split([':', ' ', ']']).next())
            .collect();
        assert!(names.len() > 5, "{command}: {help}");
        for name in names {
            assert!(is_known_variable(name), "{command}: {name}");
        }
    }
}

#[test]
fn commands_completion() {
    let out = run_rockwick(&["--bpaf-complete-style-bash"], &[]);
    assert!(stdout(&out).contains("rockwick"), "{}", stdout(&out));
}

#[test]
fn commands_usage() {
    let cases: [&[&str]; 6] = [
        &[],
        &["frobnicate"],
        &["host", "drain"],
        &["host", "drain", "h1"],
        &["status", "--entry", "nowhere"],
        &[
            "template",
            "apply",
            "--entry",
            "127.0.0.1:1",
            "--expect",
            "x",
            "f",
        ],
    ];
    for args in cases {
        let out = run_rockwick(args, &[]);
        assert_eq!(out.status.code(), Some(2), "{args:?}: {}", stderr(&out));
        assert!(!stderr(&out).is_empty(), "{args:?}");
    }
}

#[test]
fn commands_settings() {
    let good = [
        ("--name", "e1"),
        ("--hall", "a"),
        ("--listen", "127.0.0.1:1"),
        ("--admin", "127.0.0.1:1"),
        ("--peer-listen", "127.0.0.1:1"),
        ("--platform", "127.0.0.1:1"),
    ];
    let cases = [
        ("--name", "a b", "1 to 64"),
        ("--listen", "localhost", "an IP address and a port"),
        ("--admin", "10.0.0.1:80", "loopback"),
        ("--peers", "127.0.0.1:1,x", "an IP address and a port"),
        ("--threads", "0", "1 to 64"),
        ("--body-bytes", "lots", "1 to"),
        ("--operator-token-sha256", "abc", "64 hexadecimal"),
    ];
    for (flag, value, allowed) in cases {
        let mut args = vec!["entry"];
        for (f, v) in good.iter().filter(|(f, _)| *f != flag) {
            args.extend([*f, *v]);
        }
        args.extend([flag, value]);
        let out = run_rockwick(&args, &[]);
        let message = stderr(&out);
        assert_eq!(out.status.code(), Some(2), "{flag} {value}: {message}");
        assert!(
            message.contains(flag.trim_start_matches('-')),
            "{flag}: {message}"
        );
        assert!(message.contains(allowed), "{flag}: {message}");
        assert_eq!(message.trim().lines().count(), 1, "{message}");
    }
}

#[test]
fn commands_refused() {
    let out = run_rockwick(&["status", "--entry", "127.0.0.1:1"], &[]);
    assert_eq!(out.status.code(), Some(1));
    assert_eq!(stderr(&out).trim().lines().count(), 1, "{}", stderr(&out));
    let out = run_rockwick(&["template", "check", "/no/such/file"], &[]);
    assert_eq!(out.status.code(), Some(1));
}

#[test]
fn commands_operate() {
    let fleet = Plan::new(4, 2).start();
    let entry = &fleet.entries[0];
    let json = |args: &[&str]| -> Value {
        let out = entry.run_command(args);
        assert!(out.status.success(), "{args:?}: {}", stderr(&out));
        serde_json::from_slice(&out.stdout).expect("JSON")
    };
    assert_eq!(json(&["status", "--json"])["config_version"], 1);
    assert_eq!(json(&["pool", "list", "--json"])[0]["name"], "pool");
    assert_eq!(json(&["pool", "show", "pool", "--json"])["serving"], 4);
    assert_eq!(
        json(&["host", "list", "--json"]).as_array().map(Vec::len),
        Some(4)
    );
    assert_eq!(json(&["template", "show", "--json"])["text"], CONFIG);
    assert!(json(&["events", "--json"]).as_array().is_some());
    let file = std::env::temp_dir().join(format!("rockwick-{}.toml", fastrand::u64(..)));
    let path = file.to_string_lossy().into_owned();
    std::fs::write(&file, CONFIG.replace("20000", "10000")).expect("a file");
    let out = entry.run_command(&["template", "apply", "--expect", "1", &path]);
    assert_eq!(stdout(&out).trim(), "version 2", "{}", stderr(&out));
    assert!(entry
        .run_command(&["status", "--wait", "2"])
        .status
        .success());
    let out = entry.run_command(&["template", "apply", "--expect", "1", &path]);
    assert_eq!(out.status.code(), Some(1));
    assert!(
        stderr(&out).contains("the version is 2"),
        "{}",
        stderr(&out)
    );
    std::fs::write(&file, "[[pool]]\nname = 5\n").expect("a file");
    let out = entry.run_command(&["template", "check", &path]);
    assert!(
        stderr(&out).contains(&format!("{path}:2:")),
        "{}",
        stderr(&out)
    );
    let _ = std::fs::remove_file(&file);
    let out = entry.run_command(&["job", "submit", "--account", "demo", "--pool", "pool"]);
    let id = stdout(&out).trim().to_string();
    wait_for("the job is done", || {
        let job = json(&["job", "show", &id, "--json"]);
        (job["row"]["state"] == "done").then_some(())
    });
    let explanation = stdout(&entry.run_command(&["explain", "job", &id]));
    for word in ["job-accepted", "job-placed", "job-ended"] {
        assert!(explanation.contains(word), "{word}: {explanation}");
    }
    let out = entry.run_command(&["host", "drain", "h1", "--why", "a look inside"]);
    assert!(out.status.success(), "{}", stderr(&out));
    wait_for("h1 is out", || {
        (entry.host_state("h1") == "out").then_some(())
    });
    let explanation = stdout(&fleet.entries[1].run_command(&["explain", "host", "h1"]));
    let order = ["a look inside", "host-let-go"].map(|w| explanation.find(w));
    assert!(
        order.iter().all(Option::is_some) && order.is_sorted(),
        "{explanation}"
    );
    assert!(entry
        .run_command(&["host", "return", "h1"])
        .status
        .success());
    let out = entry.run_command(&["host", "show", "nowhere"]);
    assert_eq!(out.status.code(), Some(1));
    let out = entry.run_command(&["status", "--wait", "99", "--timeout-s", "1"]);
    assert_eq!(out.status.code(), Some(1));
    assert!(
        stderr(&out).contains("e1") && stderr(&out).contains("e2"),
        "{}",
        stderr(&out)
    );
}

#[test]
fn commands_explain_request() {
    let fleet = Plan::new(4, 2).start();
    let answer = crate::fleet::get("/s/route/x").to(fleet.entries[1].listen);
    let id = answer
        .header("rockwick-request")
        .expect("an id")
        .to_string();
    // The other entry is asked, and fetches the events from the entry that handled the request.
    let explanation = stdout(&fleet.entries[0].run_command(&["explain", "request", &id]));
    assert!(
        explanation.contains("routed: h") && explanation.contains("e2"),
        "{explanation}"
    );
    assert!(explanation.contains("in_flight="), "{explanation}");
}
