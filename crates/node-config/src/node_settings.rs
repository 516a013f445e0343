//! Reads a node's JSON file, whose path is in the environment variable `GW_CONFIG`. The file holds the node's addresses, its
//! resource limits, the last executor list that it received, and the settings of the deployment.

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

/// The minimum number of file descriptors that a node needs.
const MIN_DESCRIPTORS: u64 = 32;

/// The settings that a node reads at startup.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The name of the node.
    pub name: String,
    /// The address on which the node listens for clients.
    pub listen: SocketAddr,
    /// The address on which the node listens for the operators' requests, if any.
    pub console: Option<SocketAddr>,
    /// The address of the discovery service, which provides the list of executors.
    pub discovery: SocketAddr,
    /// The seed of the random number generators; it differs at each start.
    pub seed: u64,
    /// The maximum number of file descriptors that the node may hold open, if the file sets one.
    pub sockets: Option<usize>,
    /// The maximum memory that the node may use, in megabytes, if the file sets one.
    pub memory_mb: Option<f64>,
    /// The last executor list that this node received, in the JSON format of the discovery service.
    pub known: Value,
    /// The settings of the deployment.
    pub settings: DeploymentSettings,
}

/// Reads a file as JSON without checking its keys.
///
/// # Errors
/// The file can't be read or is not valid JSON.
pub fn read_json(path: &Path) -> Result<Value, ConfigError> {
    let text = std::fs::read(path).context(UnreadableFileSnafu { path })?;
    serde_json::from_slice(&text).context(NotJsonSnafu { path })
}

impl NodeSettings {
    /// Checks the content of a node's file and converts it to settings.
    ///
    /// # Errors
    /// A required key is missing, or a value has the wrong type, is out of range or is not one of the known words.
    pub fn read(node: &Value) -> Result<NodeSettings, ConfigError> {
        let root = Object::root(node)?;
        let limits = root.object("limits")?;
        let seed_hex = root.text("seed")?.unwrap_or("0");
        let seed =
            u64::from_str_radix(seed_hex, 16).map_err(|_| root.invalid("seed", "up to 16 hex digits"))?;
        check_known_list(&root.object("known")?)?;
        let settings = read_deployment_settings(&root)?;
        Ok(NodeSettings {
            name: root.text("name")?.unwrap_or_default().to_owned(),
            listen: required_address(&root, "listen")?,
            console: address(&root, "console")?,
            discovery: required_address(&root, "discovery")?,
            seed,
            sockets: limits.count("sockets", MIN_DESCRIPTORS..=u64::MAX)?.map(|sockets| sockets as usize),
            memory_mb: limits.number("memory_mb", 1.0..=1e9)?,
            known: root.get("known").cloned().unwrap_or_else(|| Value::Object(Default::default())),
            settings,
        })
    }

    /// Reads and checks a node's file.
    ///
    /// # Errors
    /// The file can't be read, or its content is invalid.
    pub fn of_file(path: &Path) -> Result<NodeSettings, ConfigError> {
        NodeSettings::read(&read_json(path)?).context(InvalidFileSnafu { path })
    }
}

fn read_deployment_settings(root: &Object) -> Result<DeploymentSettings, ConfigError> {
    let settings = root.get("settings").ok_or_else(|| root.invalid("settings", "an object"))?;
    let settings = DeploymentSettings::read(settings).context(DeploymentSettingsSnafu)?;
    // Each tariff needs a name because clients submit work by the tariff's name.
    if settings.tariff_names.iter().any(String::is_empty) {
        let found = "one without";
        return InvalidValueSnafu { key: "settings.tariffs", expected: "a name for each", found }.fail();
    }
    Ok(settings)
}

/// Rejects at startup a `known` value that can't be an executor list. The discovery client parses the list in full later.
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
