//! Waits for the nodes of a tier that has just been started.

use crate::error::DemoError;
use crate::layout::Layout;
use crate::operator::ask;
use crate::watch::Watch;
use std::net::SocketAddrV4;

/// Waits until the control address of each edge node answers. `check` is called before each look: it is to fail where waiting is
/// in vain, as for a process that has ended at its start.
///
/// # Errors
/// Those of `check`, or the time of the whole is over.
pub fn until_listening(
    watch: &Watch,
    layout: &Layout,
    mut check: impl FnMut() -> Result<(), DemoError>,
) -> Result<(), DemoError> {
    for control in layout.controls() {
        watch.until("processes listen", || {
            check()?;
            Ok(ask(control, "GET", "/api/status", None, "").ok())
        })?;
    }
    Ok(())
}

/// Waits until each edge node says that it is ready, which it does once it has a configuration. `check` is called before each
/// look.
///
/// # Errors
/// Those of `check`, or the time of the whole is over.
pub fn until_ready(
    watch: &Watch,
    layout: &Layout,
    mut check: impl FnMut() -> Result<(), DemoError>,
) -> Result<(), DemoError> {
    let addresses: Vec<SocketAddrV4> = layout.edges().map(|machine| layout.readiness(machine)).collect();
    for readiness in addresses {
        watch.until("edge nodes become ready", || {
            check()?;
            let answer = ask(readiness, "GET", "/api/readiness", None, "");
            Ok(answer.ok().filter(|answer| answer.status == 200))
        })?;
    }
    Ok(())
}
