//! Builds an instance from what the wire says at start.

use crate::Instance;
use crate::door::{Door, Wire};
use grebeusher_node_config::{Charter, ListComes};
use serde_json::Value;
use std::cell::RefCell;
use std::rc::Rc;

pub fn instance(who: u64, seed: u64, facts: &Value) -> Result<Instance, String> {
    let door = Rc::new(RefCell::new(Door::new(who)));
    let charter = Charter::read(facts)?;
    let asks_list = charter.list_comes == ListComes::ToWhoAsks;
    let dispatcher = charter.dispatcher(Wire(door.clone()), seed, asks_list, true);
    Ok(Instance { dispatcher, door, places: charter.places })
}
