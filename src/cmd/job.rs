//! `rockwick job`: submits, lists, shows and cancels jobs.

use bpaf::{construct, long, positional, Parser};

use super::{print_json, print_line, print_table, target, Target};
use crate::core::config::Class;
use crate::core::operate::Edit;
use crate::core::rows::JobSpec;
use crate::error::{Error, Result};
use crate::util::escape_path;
use crate::view::JobView;

/// First paragraph of the command's help.
pub const USAGE: &str = "Submit jobs for an account, show and cancel jobs.";

/// The subcommand with its flags.
#[derive(Clone, Debug)]
pub enum Args {
    /// Submit a job.
    Submit(Target, Submit),
    /// List all jobs.
    List(Target),
    /// Show one job by id.
    Show(Target, String),
    /// Cancel a job by id.
    Cancel(Target, String),
}

/// Flags that describe the job to submit.
#[derive(Clone, Debug)]
pub struct Submit {
    account: String,
    pool: String,
    class: String,
    cores: u32,
    memory_mb: u64,
    run_ms: u64,
    repeatable: bool,
    payload: String,
}

fn job_id() -> impl Parser<String> {
    positional("JOB").help("Id of the job")
}

/// Returns the parser of the command's flags.
pub fn args() -> impl Parser<Args> {
    let (t, s) = (target(), submit_args());
    let submit = construct!(Args::Submit(t, s))
        .to_options()
        .descr("Submit a job")
        .command("submit");
    let t = target();
    let list = construct!(Args::List(t))
        .to_options()
        .descr("List jobs")
        .command("list");
    let (t, i) = (target(), job_id());
    let show = construct!(Args::Show(t, i))
        .to_options()
        .descr("Show a job and its history")
        .command("show");
    let (t, i) = (target(), job_id());
    let cancel = construct!(Args::Cancel(t, i))
        .to_options()
        .descr("Cancel a job")
        .command("cancel");
    construct!([submit, list, show, cancel])
}

fn submit_args() -> impl Parser<Submit> {
    let account = long("account")
        .help("Account that the job belongs to")
        .argument("NAME");
    let pool = long("pool").help("Pool that runs the job").argument("POOL");
    let class = long("class")
        .help("Class of the job: urgent, normal or batch (default batch)")
        .argument("CLASS")
        .fallback("batch".to_string());
    let cores = long("cores")
        .help("Cores that the job needs (default 1)")
        .argument("N")
        .fallback(1);
    let memory_mb = long("memory-mb")
        .help("Memory that the job needs (default 0)")
        .argument("MB")
        .fallback(0);
    let run_ms = long("run-ms")
        .help("Declared run time of the job")
        .argument("MS")
        .fallback(0);
    let repeatable = long("repeatable")
        .help("The job may be run again after an attempt was lost")
        .switch();
    let payload = long("payload")
        .help("Text that is passed to the task unchanged")
        .argument("TEXT")
        .fallback(String::new());
    construct!(Submit {
        account,
        pool,
        class,
        cores,
        memory_mb,
        run_ms,
        repeatable,
        payload
    })
}

/// Runs the subcommand.
pub fn run(args: Args) -> Result<()> {
    match args {
        Args::Submit(target, s) => target.edit_and_print(&s.into_edit()?),
        Args::List(target) => list_jobs(&target),
        Args::Show(target, id) => show_job(&target, &id),
        Args::Cancel(target, job) => target.edit_and_print(&Edit::Cancel { account: None, job }),
    }
}

impl Submit {
    fn into_edit(self) -> Result<Edit> {
        let class = Class::parse(&self.class).ok_or_else(|| {
            Error::Usage(format!(
                "--class {:?}: must be urgent, normal or batch",
                self.class
            ))
        })?;
        Ok(Edit::Submit {
            account: self.account,
            id: None,
            spec: JobSpec {
                pool: self.pool,
                class,
                cores: self.cores,
                memory_mb: self.memory_mb,
                run_ms: self.run_ms,
                repeatable: self.repeatable,
                payload: self.payload,
            },
        })
    }
}

fn table_cells(j: &JobView) -> Vec<String> {
    vec![
        j.id.clone(),
        j.row.account.clone(),
        j.row.spec.pool.clone(),
        j.row.spec.class.as_str().to_string(),
        j.row.state.as_str().to_string(),
        j.row.attempt.to_string(),
        j.row.host.clone().unwrap_or_else(|| "-".to_string()),
    ]
}

const COLUMNS: [&str; 7] = [
    "JOB", "ACCOUNT", "POOL", "CLASS", "STATE", "ATTEMPT", "HOST",
];

fn list_jobs(target: &Target) -> Result<()> {
    let jobs: Vec<JobView> = target.get("/v1/jobs")?;
    if target.json() {
        return print_json(&jobs);
    }
    let rows: Vec<Vec<String>> = jobs.iter().map(table_cells).collect();
    print_table(&COLUMNS, &rows);
    Ok(())
}

fn show_job(target: &Target, id: &str) -> Result<()> {
    let job: JobView = target.get(&format!("/v1/jobs/{}", escape_path(id)))?;
    if target.json() {
        return print_json(&job);
    }
    print_table(&COLUMNS, &[table_cells(&job)]);
    for step in &job.row.history {
        print_line(format!("{}: {}", step.by, step.what));
    }
    Ok(())
}
