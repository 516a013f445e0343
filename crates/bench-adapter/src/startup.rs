//! Construction of an instance from the `facts` of its `born` line.

use crate::Instance;
use crate::wire::{WireHost, WireState};
use grebeusher_node_config::{DeploymentSettings, RegistryMode};
use serde_json::Value;
use std::cell::RefCell;
use std::rc::Rc;

pub fn build_instance(instance_id: u64, seed: u64, facts: &Value) -> Result<Instance, String> {
    let wire = Rc::new(RefCell::new(WireState::new(instance_id)));
    let settings = DeploymentSettings::read(facts).map_err(|error| error.to_string())?;
    let must_watch_executors = settings.registry_mode == RegistryMode::Subscribe;
    let dispatcher = settings.dispatcher(WireHost(wire.clone()), seed, must_watch_executors, true);
    Ok(Instance { dispatcher, wire, report_layout: settings.report_layout })
}
