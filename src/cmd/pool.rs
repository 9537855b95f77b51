//! `rockwick pool`: list, show.

use bpaf::{construct, positional, Parser};

use super::{print_json, print_table, say, target, Target};
use crate::error::Result;
use crate::util::escape;
use crate::view::PoolView;

/// What the command's help begins with.
pub const USAGE: &str = "Look at pools: what they promise and what they have.";

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Args {
    /// All pools.
    List(Target),
    /// One pool.
    Show(Target, String),
}

/// The parser of the command's flags.
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

/// Does it.
pub fn run(args: Args) -> Result<()> {
    match args {
        Args::List(target) => {
            let pools: Vec<PoolView> = target.get("/v1/pools")?;
            if target.json() {
                return print_json(&pools);
            }
            print(&pools);
        }
        Args::Show(target, name) => {
            let pool: PoolView = target.get(&format!("/v1/pools/{}", escape(&name)))?;
            if target.json() {
                return print_json(&pool);
            }
            say(format!("hosts: {}", pool.members.join(" ")));
            print(&[pool]);
        }
    }
    Ok(())
}

fn print(pools: &[PoolView]) {
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
