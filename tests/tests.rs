//! All tests, one module a feature; those that need processes run the real binaries.

mod decide;
mod fleet;
#[path = "compare/paired.rs"]
mod paired;
mod relay;
mod table;
mod world;

mod test_admit;
mod test_answers;
mod test_budget;
mod test_catalogue;
mod test_chaos;
mod test_commands;
mod test_commit;
mod test_compare;
mod test_config;
mod test_drain;
mod test_edge;
mod test_fuzz;
mod test_hosts;
mod test_intake;
mod test_jobs;
mod test_keys;
mod test_links;
mod test_load;
mod test_model;
mod test_offers;
mod test_overload;
mod test_packing;
mod test_place;
mod test_platform;
mod test_report;
mod test_room;
mod test_routing;
mod test_runs;
mod test_sched;
mod test_sched_model;
mod test_serve;
mod test_sizing;
mod test_soak;
mod test_starts;
mod test_stop;
mod test_timeout;
mod test_times;
mod test_waves;
