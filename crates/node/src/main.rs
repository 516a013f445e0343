//! A grebeusher node: takes work units from clients on sockets and hands them to executors, as the decisions of
//! `grebeusher-dispatch` say.

mod exchange;
mod life;
mod memory;
mod sides;
mod wire;

use grebeusher_transport::signals::Signals;
use life::logger;
use life::node::Node;
use life::upgrade;
use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::error;

/// Names the file that tells a node all it needs to know, at start and when it is told to read it anew.
const POSTING: &str = "GW_CONFIG";

fn serve() -> Result<(), String> {
    let inherited = upgrade::inherited()?;
    let signals = Signals::catch().map_err(|e| format!("no signals: {e}"))?;
    let path = env::var_os(POSTING).ok_or_else(|| format!("{POSTING} is not set"))?;
    Node::start(PathBuf::from(path), signals, inherited)?.run().map_err(|e| format!("the loop ended: {e}"))
}

fn main() -> ExitCode {
    let said = |name: &str| env::var(name).ok();
    logger::start(said(logger::LEVEL).as_deref(), said(logger::FORM).as_deref());
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            error!("{what}");
            ExitCode::FAILURE
        }
    }
}
