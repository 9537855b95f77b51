//! `rockwick hall`: evacuates data halls, gives them back and lists those that are evacuated.
//!
//! The orders are rows of the operator's table, so the commands call the platform's store and no entry.

use std::future::Future;

use bpaf::{construct, long, positional, Parser};
use serde::Serialize;

use super::{print_json, print_line, print_table};
use crate::config::{check_name, parse_address};
use crate::error::{Error, Result};
use crate::platform::Platform;
use crate::port::fleet::{HallOrder, HallOrders, ReadError, TxOutcome};

/// First paragraph of the command's help.
pub const USAGE: &str =
    "Evacuate data halls of a platform of workers: nothing more is started in an evacuated hall \
until it is returned.";

/// The platform's store, and how the command prints the answer.
#[derive(Clone, Debug)]
pub struct Store {
    address: String,
    json: bool,
}

/// The subcommand with its arguments.
#[derive(Clone, Debug)]
pub enum Args {
    /// Evacuate a hall.
    Evacuate {
        /// The store to write to.
        store: Store,
        /// The operator's reason, which `list` and `show` print.
        why: String,
        /// Name of the hall.
        hall: String,
    },
    /// Give a hall back.
    Return(Store, String),
    /// List the evacuated halls.
    List(Store),
    /// Show one hall by name.
    Show(Store, String),
}

fn store() -> impl Parser<Store> {
    let address = long("store")
        .env("ROCKWICK_STORE")
        .help("Address of the platform's row store")
        .argument("IP:PORT");
    let json = long("json").help("Print JSON").switch();
    construct!(Store { address, json })
}

fn hall_name() -> impl Parser<String> {
    positional("HALL").help("Name of the data hall")
}

/// Returns the parser of the command's arguments.
pub fn args() -> impl Parser<Args> {
    let evacuate = evacuate_args()
        .to_options()
        .descr("Start nothing more in a hall, and move its lasting tasks")
        .command("evacuate");
    let (s, h) = (store(), hall_name());
    let give_back = construct!(Args::Return(s, h))
        .to_options()
        .descr("Give an evacuated hall back")
        .command("return");
    let s = store();
    let list = construct!(Args::List(s))
        .to_options()
        .descr("List evacuated halls")
        .command("list");
    let (s, h) = (store(), hall_name());
    let show = construct!(Args::Show(s, h))
        .to_options()
        .descr("Show whether a hall is evacuated, and why")
        .command("show");
    construct!([evacuate, give_back, list, show])
}

fn evacuate_args() -> impl Parser<Args> {
    let store = store();
    let why = long("why")
        .help("Reason, for other operators")
        .argument("TEXT")
        .fallback(String::new());
    let hall = hall_name();
    construct!(Args::Evacuate { store, why, hall })
}

/// Runs the subcommand.
pub fn run(args: Args) -> Result<()> {
    match args {
        Args::Evacuate { store, why, hall } => {
            let hall = check_name("hall", hall)?;
            let outcome = store.call(async |platform| platform.evacuate_hall(&hall, &why).await)?;
            let done = format!("hall {hall} is evacuated");
            print_outcome(outcome, done, "the hall is evacuated already")
        }
        Args::Return(store, hall) => {
            let Some(order) = store.order(&hall)? else {
                return Err(Error::Refused(format!("hall {hall} is not evacuated")));
            };
            let revision = order.revision;
            let outcome =
                store.call(async |platform| platform.return_hall(&hall, revision).await)?;
            let done = format!("hall {hall} is in service");
            print_outcome(outcome, done, "somebody else changed the order first")
        }
        Args::List(store) => print_halls(&store, &store.orders()?),
        Args::Show(store, hall) => match store.order(&hall)? {
            Some(order) => print_halls(&store, &[order]),
            None => Err(Error::Refused(format!("hall {hall} is not evacuated"))),
        },
    }
}

impl Store {
    /// Calls the store and waits for the result.
    fn call<T, F: Future<Output = T>>(&self, work: impl FnOnce(Platform) -> F) -> Result<T> {
        let address = parse_address("store", &self.address)?;
        Ok(smol::block_on(work(Platform::new(address, None))))
    }

    fn orders(&self) -> Result<Vec<HallOrder>> {
        let read = self.call(async |platform| platform.list_evacuated_halls().await)?;
        read.map_err(|e| match e {
            ReadError::Down | ReadError::HistoryGone => {
                Error::Refused(format!("store {}: no answer", self.address))
            }
        })
    }

    fn order(&self, hall: &str) -> Result<Option<HallOrder>> {
        Ok(self.orders()?.into_iter().find(|order| order.hall == hall))
    }
}

/// Prints that a change is done, or returns why it is not. `conflict` says what a conflict means.
fn print_outcome(outcome: TxOutcome, done: String, conflict: &str) -> Result<()> {
    match outcome {
        TxOutcome::Committed(_) => {
            print_line(done);
            Ok(())
        }
        TxOutcome::Conflict(_) => Err(Error::Refused(conflict.to_string())),
        TxOutcome::Refused => Err(Error::Refused("the store refused the change".to_string())),
        TxOutcome::Unknown => Err(Error::Refused(
            "the store did not answer; the change may have taken effect".to_string(),
        )),
    }
}

/// An evacuated hall as the command prints it.
#[derive(Serialize)]
struct HallView<'a> {
    hall: &'a str,
    why: &'a str,
    revision: u64,
}

fn print_halls(store: &Store, orders: &[HallOrder]) -> Result<()> {
    if store.json {
        let views = orders.iter().map(|order| HallView {
            hall: &order.hall,
            why: &order.why,
            revision: order.revision,
        });
        return print_json(&views.collect::<Vec<_>>());
    }
    let rows: Vec<Vec<String>> = orders
        .iter()
        .map(|order| {
            vec![
                order.hall.clone(),
                order.revision.to_string(),
                order.why.clone(),
            ]
        })
        .collect();
    print_table(&["HALL", "REVISION", "WHY"], &rows);
    Ok(())
}
