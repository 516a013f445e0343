//! Where a node on sockets is posted: the file that tells it all it needs to know when it starts.

use crate::Charter;
use crate::section::Section;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Clone, Debug)]
pub struct Posting {
    pub name: String,
    pub listen: SocketAddr,
    /// Where the staff call, if the node has such an address.
    pub console: Option<SocketAddr>,
    pub discovery: SocketAddr,
    /// New with each start.
    pub seed: u64,
    /// How many descriptors it may hold, and how much memory, where the file says so.
    pub sockets: Option<usize>,
    pub memory_mb: Option<f64>,
    /// The list as this node last had it, in discovery's form.
    pub known: Value,
    pub charter: Charter,
}

/// The file, as JSON that nobody has looked at yet.
pub fn file(path: &Path) -> Result<Value, String> {
    let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_slice(&text).map_err(|e| format!("{}: not JSON: {e}", path.display()))
}

impl Posting {
    /// Reads and checks what a file holds; the error names the key and what was expected.
    pub fn read(posting: &Value) -> Result<Posting, String> {
        let whole = Section::whole(posting)?;
        let limits = whole.part("limits")?;
        let wrong_address = |key: &str| whole.wrong(key, "an address and a port");
        let listed = |key: &str| {
            let parsed = whole.text(key)?.map(|text| text.parse().map_err(|_| wrong_address(key)));
            parsed.transpose()
        };
        let address = |key: &str| listed(key)?.ok_or_else(|| wrong_address(key));
        let digits = whole.text("seed")?.unwrap_or("0");
        let seed = u64::from_str_radix(digits, 16).map_err(|_| whole.wrong("seed", "up to 16 hex digits"))?;
        let known = whole.part("known")?;
        known.count("generation", 0..=u64::MAX)?;
        known.flag("reset")?;
        known.list("instances")?;
        let charter = whole.get("settings").ok_or_else(|| whole.wrong("settings", "an object"))?;
        let charter = Charter::read(charter).map_err(|what| format!("settings.{what}"))?;
        // Clients name the tariff of what they bring.
        if charter.tariff_names.iter().any(String::is_empty) {
            return Err("settings.tariffs: expected a name for each, found one without".to_owned());
        }
        Ok(Posting {
            name: whole.text("name")?.unwrap_or_default().to_owned(),
            listen: address("listen")?,
            console: listed("console")?,
            discovery: address("discovery")?,
            seed,
            sockets: limits.count("sockets", 32..=u64::MAX)?.map(|sockets| sockets as usize),
            memory_mb: limits.number("memory_mb", 1.0..=1e9)?,
            known: whole.get("known").cloned().unwrap_or_else(|| Value::Object(Default::default())),
            charter,
        })
    }

    pub fn of_file(path: &Path) -> Result<Posting, String> {
        Posting::read(&file(path)?).map_err(|what| format!("{}: {what}", path.display()))
    }
}
