//! `rockwick pool`: lists and shows pools.

use bpaf::{construct, positional, Parser};

use super::{print_json, print_line, print_table, target, Target};
use crate::error::Result;
use crate::util::escape_path;
use crate::view::PoolView;

/// First paragraph of the command's help.
pub const USAGE: &str = "Show pools, the hosts that they need and the hosts that they have.";

/// The subcommand of `rockwick pool` with its arguments.
#[derive(Clone, Debug)]
pub enum Args {
    /// List all pools.
    List(Target),
    /// Show one pool by name.
    Show(Target, String),
}

/// Returns the parser of the command's arguments.
pub fn args() -> impl Parser<Args> {
    let t = target();
    let list = construct!(Args::List(t))
        .to_options()
        .descr("List all pools")
        .command("list");
    let t = target();
    let name = positional("POOL").help("Name of the pool");
    let show = construct!(Args::Show(t, name))
        .to_options()
        .descr("Show one pool and its hosts")
        .command("show");
    construct!([list, show])
}

/// Runs the subcommand.
pub fn run(args: Args) -> Result<()> {
    match args {
        Args::List(target) => {
            let pools: Vec<PoolView> = target.get("/v1/pools")?;
            if target.json() {
                return print_json(&pools);
            }
            print_pools(&pools);
        }
        Args::Show(target, name) => {
            let pool: PoolView = target.get(&format!("/v1/pools/{}", escape_path(&name)))?;
            if target.json() {
                return print_json(&pool);
            }
            print_line(format!("hosts: {}", pool.members.join(" ")));
            print_pools(&[pool]);
        }
    }
    Ok(())
}

fn print_pools(pools: &[PoolView]) {
    let rows: Vec<Vec<String>> = pools
        .iter()
        .map(|p| {
            vec![
                p.name.clone(),
                p.account.clone(),
                format!("{}/{}", p.hosts, p.wanted),
                format!("{}/{}", p.serving, p.serving_min),
                p.out.to_string(),
                p.reserve.clone(),
                p.decided_by.clone(),
            ]
        })
        .collect();
    let head = [
        "POOL",
        "ACCOUNT",
        "HOSTS",
        "SERVING/MIN",
        "OUT",
        "RESERVE",
        "DECIDED BY",
    ];
    print_table(&head, &rows);
}
