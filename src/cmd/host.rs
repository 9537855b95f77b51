//! `rockwick host`: lists, shows, drains, returns and moves hosts.

use bpaf::{construct, long, positional, Parser};

use super::{print_json, print_line, print_table, target, Target};
use crate::core::operate::Edit;
use crate::error::Result;
use crate::util::escape_path;
use crate::view::HostView;

/// First paragraph of the command's help.
pub const USAGE: &str = "Show and drain hosts, return them, and move them between pools.";

/// The subcommand with its flags.
#[derive(Clone, Debug)]
pub enum Args {
    /// List all hosts.
    List(Target),
    /// Show one host by name.
    Show(Target, String),
    /// Drain a host.
    Drain {
        /// Entry to ask.
        target: Target,
        /// Whether the host is rebooted after the drain and then returned.
        reboot: bool,
        /// Reason, kept in the host's history.
        why: String,
        /// Name of the host.
        id: String,
    },
    /// Return a host by name, or cancel its drain.
    Return(Target, String),
    /// Drain a host, then move it.
    Move {
        /// Entry to ask.
        target: Target,
        /// Destination pool; `None` for the free hosts.
        pool: Option<String>,
        /// Name of the host.
        id: String,
    },
}

fn host_id() -> impl Parser<String> {
    positional("HOST").help("Name of the host")
}

/// Returns the parser of the command's flags.
pub fn args() -> impl Parser<Args> {
    let t = target();
    let list = construct!(Args::List(t))
        .to_options()
        .descr("List all hosts")
        .command("list");
    let (t, i) = (target(), host_id());
    let show = construct!(Args::Show(t, i))
        .to_options()
        .descr("Show one host and what its drain waits for")
        .command("show");
    let (t, i) = (target(), host_id());
    let back = construct!(Args::Return(t, i))
        .to_options()
        .descr("Return a host to its pool, or cancel its drain")
        .command("return");
    let drain = drain_args()
        .to_options()
        .descr("Drain a host")
        .command("drain");
    let moved = move_args()
        .to_options()
        .descr("Drain a host, then move it to a pool or to the free hosts")
        .command("move");
    construct!([list, show, drain, back, moved])
}

fn drain_args() -> impl Parser<Args> {
    let target = target();
    let reboot = long("reboot")
        .help("Reboot the host once every entry has released it, then return it to service")
        .switch();
    let why = long("why")
        .help("Reason, kept in the host's history")
        .argument("TEXT")
        .fallback("no reason given".to_string());
    let id = host_id();
    construct!(Args::Drain {
        target,
        reboot,
        why,
        id
    })
}

fn move_args() -> impl Parser<Args> {
    let target = target();
    let pool = long("pool")
        .help("Name of the new pool; without it, the host joins the free hosts")
        .argument("POOL")
        .optional();
    let id = host_id();
    construct!(Args::Move { target, pool, id })
}

/// Runs the subcommand.
pub fn run(args: Args) -> Result<()> {
    match args {
        Args::List(target) => list_hosts(&target),
        Args::Show(target, id) => show_host(&target, &id),
        Args::Drain {
            target,
            reboot,
            why,
            id,
        } => target.edit_and_print(&Edit::Drain {
            host: id,
            reboot,
            why,
        }),
        Args::Return(target, id) => target.edit_and_print(&Edit::Return { host: id }),
        Args::Move { target, pool, id } => target.edit_and_print(&Edit::Move { host: id, pool }),
    }
}

fn list_hosts(target: &Target) -> Result<()> {
    let hosts: Vec<HostView> = target.get("/v1/hosts")?;
    if target.json() {
        return print_json(&hosts);
    }
    let rows: Vec<Vec<String>> = hosts.iter().map(table_cells).collect();
    print_table(
        &["HOST", "HALL", "RACK", "LIFE", "STATE", "POOL", "JOBS"],
        &rows,
    );
    Ok(())
}

fn table_cells(h: &HostView) -> Vec<String> {
    vec![
        h.id.clone(),
        h.hall.clone(),
        h.rack.clone(),
        h.life.clone(),
        h.row.state.as_str().to_string(),
        h.row.pool.clone().unwrap_or_else(|| "-".to_string()),
        h.jobs.len().to_string(),
    ]
}

fn show_host(target: &Target, id: &str) -> Result<()> {
    let host: HostView = target.get(&format!("/v1/hosts/{}", escape_path(id)))?;
    if target.json() {
        return print_json(&host);
    }
    print_table(
        &["HOST", "HALL", "RACK", "LIFE", "STATE", "POOL", "JOBS"],
        &[table_cells(&host)],
    );
    if !host.held_by.is_empty() {
        print_line(format!("held by: {}", host.held_by.join(", ")));
    }
    for job in &host.jobs {
        print_line(format!("job: {job}"));
    }
    Ok(())
}
