//! A grebeusher node: accepts requests from clients over the network and sends them to the executors that the
//! dispatcher of `grebeusher-dispatch` chooses.

mod coordinator;
mod interfaces;
mod process;
mod state;
mod wire;

use grebeusher_transport::signals::Signals;
use process::logger;
use process::node::Node;
use process::upgrade;
use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::error;

/// The environment variable with the path of the node's configuration file, which is read at start and again on
/// `SIGHUP`.
const CONFIG_PATH_VARIABLE: &str = "GW_CONFIG";

fn serve() -> Result<(), String> {
    let inherited_listener = upgrade::inherited()?;
    let signals = Signals::catch().map_err(|e| format!("cannot install signal handlers: {e}"))?;
    let config_path =
        env::var_os(CONFIG_PATH_VARIABLE).ok_or_else(|| format!("{CONFIG_PATH_VARIABLE} is not set"))?;
    Node::start(PathBuf::from(config_path), signals, inherited_listener)?
        .run()
        .map_err(|e| format!("event loop failed: {e}"))
}

fn main() -> ExitCode {
    let variable = |name: &str| env::var(name).ok();
    logger::start(variable(logger::LEVEL).as_deref(), variable(logger::FORM).as_deref());
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!("{error}");
            ExitCode::FAILURE
        }
    }
}
