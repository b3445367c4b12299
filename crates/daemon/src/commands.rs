//! Commands: operations that modify the node's state or make other instances modify theirs.

mod acquire;
mod admission_report;
mod adopt_config;
mod assemble;
mod change_config;
mod claim_response;
mod claims;
mod credit;
mod eject;
mod fold_config;
mod fold_ejections;
mod limit_share;
mod local_choice;
mod logging;
mod members;
mod notices;
mod peer_calls;
mod permit_acquire;
mod permit_release;
mod pool_handover;
mod pool_maintenance;
mod pool_sync;
mod probe;
mod quota_calls;
mod quota_charge;
mod reload;
mod rpc_server;
mod snapshot;
mod start;

pub(crate) use self::{limit_share::PassedTime, logging::dropped_log_lines};
pub use self::{
    logging::init_logging,
    start::{load_settings, run_main, run_with_settings_file, start, RunningNode, StartError},
};
