//! The fault soak, short: entries as processes under faults from outside.

use std::process::Command;

use crate::fleet::binary;

/// Plays a seed; the soak's waits are bounded, and it says by its exit code whether all promises held.
fn play(options: &[String]) {
    // Folders of its own: two suites at a time on one machine removed each other's logs.
    let logs = std::env::temp_dir().join(format!("rockwick-soak-{}", std::process::id()));
    let output = Command::new(binary("standin"))
        .arg("soak")
        .args(options)
        .arg("--logs")
        .arg(logs)
        .output()
        .expect("the soak starts");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{options:?}: {text}");
}

fn options(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_string).collect()
}

#[test]
fn soak_short() {
    play(&options("--seed 1 --seconds 8"));
}

/// Seeds that failed once: `tests/seeds` holds their options on the first line of a file each.
#[test]
fn soak_saved() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/seeds");
    let files = std::fs::read_dir(folder).expect("the folder is there");
    for file in files {
        let path = file.expect("it can be read").path();
        if path.extension().is_some_and(|e| e == "seed") {
            let text = std::fs::read_to_string(&path).expect("it can be read");
            play(&options(text.lines().next().unwrap_or_default()));
        }
    }
}
