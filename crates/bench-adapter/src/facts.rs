//! Builds an instance from what the wire says at start.

use crate::Instance;
use crate::door::{Door, Wire};
use grebeusher_node_config::{DeploymentSettings, RegistryMode};
use serde_json::Value;
use std::cell::RefCell;
use std::rc::Rc;

pub fn instance(who: u64, seed: u64, facts: &Value) -> Result<Instance, String> {
    let door = Rc::new(RefCell::new(Door::new(who)));
    let settings = DeploymentSettings::read(facts).map_err(|error| error.to_string())?;
    let asks_list = settings.registry_mode == RegistryMode::Subscribe;
    let dispatcher = settings.dispatcher(Wire(door.clone()), seed, asks_list, true);
    Ok(Instance { dispatcher, door, places: settings.places })
}
