//! Commands: everything that changes the node or tells others to change.

mod acquire;
mod adopt;
mod answer_ask;
mod assemble;
mod change_config;
mod claims;
mod eject;
mod fold_config;
mod fold_ejections;
mod hand_over;
mod local;
mod logging;
mod members;
mod peers;
mod pool_list;
mod pool_return;
mod pool_take;
mod pool_tick;
mod probe;
mod reload;
mod rpc;
mod snapshot;
mod start;

pub(crate) use self::logging::left_out_lines;
pub use self::{
    logging::start_logging,
    start::{check_settings, run_file, run_main, start, StartError, Started},
};
