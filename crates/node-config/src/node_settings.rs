//! The file of a node, named by `GW_CONFIG`: its addresses, its limits, the list of executors that it had last, and the
//! settings of the deployment.

use crate::DeploymentSettings;
use crate::error::{
    ConfigError, DeploymentSettingsSnafu, InvalidFileSnafu, InvalidValueSnafu, NotJsonSnafu,
    UnreadableFileSnafu,
};
use crate::object::Object;
use serde_json::Value;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::Path;

/// The fewest descriptors that a node can work with.
const MIN_SOCKETS: u64 = 32;

/// What a node reads at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Its name.
    pub name: String,
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// Where the staff call, if the node has such an address.
    pub console: Option<SocketAddr>,
    /// The service that knows the list of executors.
    pub discovery: SocketAddr,
    /// The seed of all that is left to chance; new with each start.
    pub seed: u64,
    /// How many descriptors it may hold, where the file says so.
    pub sockets: Option<usize>,
    /// How much memory it may take, in megabytes, where the file says so.
    pub memory_mb: Option<f64>,
    /// The list as this node last had it, in discovery's form.
    pub known: Value,
    /// What the deployment promises.
    pub settings: DeploymentSettings,
}

/// Reads a file as JSON, whatever it holds.
///
/// # Errors
/// The file can't be read or is no JSON.
pub fn file(path: &Path) -> Result<Value, ConfigError> {
    let text = std::fs::read(path).context(UnreadableFileSnafu { path })?;
    serde_json::from_slice(&text).context(NotJsonSnafu { path })
}

impl NodeSettings {
    /// Reads and checks what a node's file holds.
    ///
    /// # Errors
    /// A key is missing, of the wrong type, out of range or an unknown word.
    pub fn read(node: &Value) -> Result<NodeSettings, ConfigError> {
        let root = Object::root(node)?;
        let limits = root.object("limits")?;
        let digits = root.text("seed")?.unwrap_or("0");
        let seed =
            u64::from_str_radix(digits, 16).map_err(|_| root.invalid("seed", "up to 16 hex digits"))?;
        check_known_list(&root.object("known")?)?;
        let settings = read_deployment_settings(&root)?;
        Ok(NodeSettings {
            name: root.text("name")?.unwrap_or_default().to_owned(),
            listen: required_address(&root, "listen")?,
            console: address(&root, "console")?,
            discovery: required_address(&root, "discovery")?,
            seed,
            sockets: limits.count("sockets", MIN_SOCKETS..=u64::MAX)?.map(|sockets| sockets as usize),
            memory_mb: limits.number("memory_mb", 1.0..=1e9)?,
            known: root.get("known").cloned().unwrap_or_else(|| Value::Object(Default::default())),
            settings,
        })
    }

    /// Reads and checks a node's file.
    ///
    /// # Errors
    /// The file can't be read, or what it holds is wrong.
    pub fn of_file(path: &Path) -> Result<NodeSettings, ConfigError> {
        NodeSettings::read(&file(path)?).context(InvalidFileSnafu { path })
    }
}

fn read_deployment_settings(root: &Object) -> Result<DeploymentSettings, ConfigError> {
    let settings = root.get("settings").ok_or_else(|| root.invalid("settings", "an object"))?;
    let settings = DeploymentSettings::read(settings).context(DeploymentSettingsSnafu)?;
    // Clients name the tariff of what they submit.
    if settings.tariff_names.iter().any(String::is_empty) {
        let found = "one without";
        return InvalidValueSnafu { key: "settings.tariffs", expected: "a name for each", found }.fail();
    }
    Ok(settings)
}

/// The list is read again by discovery's client; what could not be one is refused at the start.
fn check_known_list(known: &Object) -> Result<(), ConfigError> {
    known.count("generation", 0..=u64::MAX)?;
    known.flag("reset")?;
    known.list("instances")?;
    Ok(())
}

fn invalid_address(root: &Object, key: &str) -> ConfigError {
    root.invalid(key, "an address and a port")
}

fn address(root: &Object, key: &str) -> Result<Option<SocketAddr>, ConfigError> {
    root.text(key)?.map(|text| text.parse().map_err(|_| invalid_address(root, key))).transpose()
}

fn required_address(root: &Object, key: &str) -> Result<SocketAddr, ConfigError> {
    address(root, key)?.ok_or_else(|| invalid_address(root, key))
}
