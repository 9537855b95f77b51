//! Short runs of the soak test: entries as processes under faults injected from outside.

use std::process::Command;

use crate::fleet::binary_path;

/// Runs the soak with `options`. Its waits are bounded, and its exit code says whether all guarantees held.
fn run_soak(options: &[String]) {
    // Each process has its own folder: two suites on one machine would remove each other's logs.
    let logs = std::env::temp_dir().join(format!("rockwick-soak-{}", std::process::id()));
    let output = Command::new(binary_path("standin"))
        .arg("soak")
        .args(options)
        .arg("--logs")
        .arg(logs)
        .output()
        .expect("the soak starts");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{options:?}: {text}");
}

fn split_options(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_string).collect()
}

#[test]
fn soak_short() {
    run_soak(&split_options("--seed 1 --seconds 8"));
}

/// Workers announce their end while orders to them get no answers. With starts that are sent again without a look at their
/// worker, this seed breaks.
#[test]
fn soak_drains() {
    run_soak(&split_options(
        "--seed 30001 --seconds 12 --callers 12 --workers-only",
    ));
}

/// Workers restart under their ids and are cut off soon after, while orders to their former instances are held up and
/// owners are killed. The seeds run beside each other, since each waits long for the last orders that are held up.
#[test]
fn soak_recuts() {
    std::thread::scope(|scope| {
        for seed in [24, 25] {
            let options = format!("--seed {seed} --seconds 8 --recuts");
            scope.spawn(move || run_soak(&split_options(&options)));
        }
    });
}

/// Entries stop and reload shortly after each other while callers use their open connections; every call that was read is
/// answered.
#[test]
fn soak_planned() {
    run_soak(&split_options(
        "--seed 401 --seconds 7 --callers 8 --entries 3 --planned-only",
    ));
}

/// Replays seeds that failed once; the first line of each file in `tests/seeds` holds the options.
#[test]
fn soak_saved_seeds() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/seeds");
    let files = std::fs::read_dir(folder).expect("the folder is there");
    for file in files {
        let path = file.expect("the folder can be read").path();
        if path.extension().is_some_and(|e| e == "seed") {
            let text = std::fs::read_to_string(&path).expect("the seed file can be read");
            run_soak(&split_options(text.lines().next().unwrap_or_default()));
        }
    }
}
