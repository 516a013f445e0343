//! Converts a node's configuration for the old kind of deployment into one for the new kind. Settings that need not change are
//! copied as they are, also unknown ones.

use grebeusher_node_config::node_settings::NodeSettings;
use grebeusher_node_config::{RegistryMode, USED_REPORT_FIELDS};
use serde_json::{Map, Value, json};
use std::fmt;

/// The properties of the new deployment that an old configuration does not contain.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Whether discovery sends the executor list without a request.
    pub list_unasked: bool,
    /// Whether executors may be probed, and whether nodes may send messages to each other.
    pub probes: bool,
    pub peers: bool,
    /// The new zones in their order, and the zone of this node; if no zones are named, those of the old configuration apply.
    pub zones: Vec<String>,
    pub zone: Option<String>,
    /// The fields of load reports; if none are named, those of the old configuration apply.
    pub report_fields: Vec<String>,
    /// Whether executors report starts; `None` keeps the old setting.
    pub starts: Option<bool>,
}

/// What happened to a key of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Changed,
    Dropped,
    /// The key is in the new configuration, but a node that uses sockets cannot apply it.
    NotCarried,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Remark {
    pub key: String,
    pub change: Change,
    pub why: String,
}

impl fmt::Display for Remark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let change = match self.change {
            Change::Changed => "changed",
            Change::Dropped => "dropped",
            Change::NotCarried => "not carried over",
        };
        write!(f, "{}: {change}: {}", self.key, self.why)
    }
}

/// Changes the settings and records each change.
struct Conversion<'a> {
    settings: &'a mut Map<String, Value>,
    remarks: Vec<Remark>,
}

impl Conversion<'_> {
    fn remark(&mut self, key: &str, change: Change, why: impl Into<String>) {
        self.remarks.push(Remark { key: key.to_owned(), change, why: why.into() });
    }

    fn section(&mut self, section: &str) -> &mut Value {
        let value = self.settings.entry(section).or_insert_with(|| json!({}));
        if value.is_null() {
            *value = json!({});
        }
        value
    }

    /// Sets a key of a section, and records a remark if that changes its value. `absent` is the value that an absent key stands for.
    fn set(&mut self, section: &str, key: &str, new: Value, absent: Value, why: &str) {
        let old = self.section(section).get(key).filter(|old| !old.is_null()).cloned();
        if old.as_ref().unwrap_or(&absent) != &new {
            let was = old.map_or("absent".to_owned(), |old| old.to_string());
            let now = new.to_string();
            self.section(section)[key] = new;
            self.remark(
                &format!("settings.{section}.{key}"),
                Change::Changed,
                format!("{was} to {now}: {why}"),
            );
        }
    }

    fn drop(&mut self, section: &str, key: &str, why: &str) {
        let gone = self.section(section).as_object_mut().and_then(|values| values.remove(key));
        if let Some(gone) = gone {
            self.remark(&format!("settings.{section}.{key}"), Change::Dropped, format!("was {gone}: {why}"));
        }
    }

    /// Sets the new zones, and finds the index of this node's zone among them.
    fn zones(&mut self, old: &[String], deployment: &Deployment) -> Result<(), String> {
        if deployment.zones.is_empty() {
            return match &deployment.zone {
                None => Ok(()),
                Some(_) => Err("--zone names one of the zones of --zones, which are not named".to_owned()),
            };
        }
        for gone in old.iter().filter(|zone| !deployment.zones.contains(zone)) {
            self.remark("settings.zones", Change::Dropped, format!("{gone}: a zone that is no more"));
        }
        for new in deployment.zones.iter().filter(|zone| !old.contains(zone)) {
            self.remark("settings.zones", Change::Changed, format!("{new}: a new zone"));
        }
        let was = self.settings.get("az").and_then(Value::as_u64).unwrap_or(0);
        let old_zone = old.get(was as usize);
        let index_of = |zone: &String| deployment.zones.iter().position(|new| new == zone);
        let new_index = match (&deployment.zone, old_zone.and_then(index_of)) {
            (Some(zone), _) => {
                index_of(zone).ok_or_else(|| format!("--zone {zone} is none of the new zones"))?
            }
            (None, Some(index)) => index,
            (None, None) if deployment.zones.len() == 1 => 0,
            (None, None) => {
                let old_zone = old_zone.map_or("nowhere", String::as_str);
                return Err(format!(
                    "settings.az: this node stands in {old_zone}, which is no more: name its new zone by --zone"
                ));
            }
        };
        if new_index as u64 != was {
            let why =
                format!("{was} to {new_index}: {} is there among the new zones", deployment.zones[new_index]);
            self.remark("settings.az", Change::Changed, why);
        }
        self.settings.insert("zones".to_owned(), json!(deployment.zones));
        self.settings.insert("az".to_owned(), json!(new_index));
        Ok(())
    }

    fn reports(&mut self, old: &NodeSettings, deployment: &Deployment) {
        if !deployment.report_fields.is_empty() {
            let fields = json!(deployment.report_fields);
            self.set("report", "fields", fields, json!([]), "what the new executors report");
            for read in USED_REPORT_FIELDS {
                let is = |fields: &[String]| fields.iter().any(|field| field == read);
                if is(&old.settings.report_fields) && !is(&deployment.report_fields) {
                    let why = format!("{read}: the node reads it and the new executors do not report it");
                    self.remark("settings.report.fields", Change::NotCarried, why);
                }
            }
            for unread in
                deployment.report_fields.iter().filter(|f| !USED_REPORT_FIELDS.contains(&f.as_str()))
            {
                if !old.settings.report_fields.contains(unread) {
                    let why = format!("{unread}: reported, and read by no decision");
                    self.remark("settings.report.fields", Change::NotCarried, why);
                }
            }
        }
    }
}

/// Converts an old configuration, and says what happened to its keys. Both configurations are validated as the node validates
/// its own.
pub fn convert(old: &Value, deployment: &Deployment) -> Result<(Value, Vec<Remark>), String> {
    let configuration = NodeSettings::read(old).map_err(|error| error.to_string())?;
    if configuration.settings.registry_mode == RegistryMode::Automatic {
        return Err("settings.registry_mode: automatic: this posting is of the new shape already".to_owned());
    }
    let mut new = old.clone();
    let settings = new["settings"].as_object_mut().ok_or("settings: expected an object")?;
    let mut conversion = Conversion { settings, remarks: Vec::new() };
    if deployment.list_unasked {
        conversion.settings.insert("registry_mode".to_owned(), json!("automatic"));
        conversion.remark(
            "settings.registry_mode",
            Change::Changed,
            "subscribe to automatic: the list comes unasked",
        );
        let why = "it says how often the list must be asked for";
        conversion.drop("contract", "ask_every_ns", why);
        let why = "automatic: sockets know no list that comes unasked, so the node keeps its watch";
        conversion.remark("settings.registry_mode", Change::NotCarried, why);
    }
    conversion.set("caps", "may_probe", json!(deployment.probes), json!(false), "whether probes are allowed");
    if !deployment.probes {
        conversion.drop("prices", "probe", "no probe is sent");
        let via = conversion.settings.get("report").map_or(Value::Null, |report| report["via"].clone());
        if via == "pull" {
            let why = "reports came by probes alone, which are not allowed";
            conversion.set("report", "via", json!("piggyback"), Value::Null, why);
        }
    }
    conversion.set(
        "caps",
        "peers",
        json!(deployment.peers),
        json!(false),
        "whether nodes may send each other words",
    );
    if deployment.peers {
        let why = "sockets have no form for words between nodes: the node goes by its own evidence";
        conversion.remark("settings.caps.peers", Change::NotCarried, why);
    }
    if let Some(starts) = deployment.starts {
        let why = "whether executors tell of starts";
        conversion.set("family_info", "tells_start", json!(starts), json!(false), why);
    }
    conversion.zones(&configuration.settings.zones, deployment)?;
    conversion.reports(&configuration, deployment);
    let mut remarks = conversion.remarks;
    remarks.extend(remove_executors_of_old_zones(&mut new, deployment));
    NodeSettings::read(&new).map_err(|what| format!("the counterpart would not do: {what}"))?;
    Ok((new, remarks))
}

/// Removes the known executors in zones that no longer exist, and in that case resets the generation, so that the whole list is
/// requested.
fn remove_executors_of_old_zones(configuration: &mut Value, deployment: &Deployment) -> Vec<Remark> {
    let Some(known) =
        configuration["known"]["instances"].as_array_mut().filter(|_| !deployment.zones.is_empty())
    else {
        return Vec::new();
    };
    let mut remarks = Vec::new();
    known.retain(|entry| {
        let zone = entry["zone"].as_str().unwrap_or_default();
        let stays = zone.is_empty() || deployment.zones.iter().any(|new| new == zone);
        if !stays {
            let id = entry["instanceId"].as_str().unwrap_or("an executor");
            let why = format!("{id}: it stands in {zone}, a zone that is no more");
            remarks.push(Remark { key: "known.instances".to_owned(), change: Change::Dropped, why });
        }
        stays
    });
    if !remarks.is_empty() && configuration["known"]["generation"] != json!(0) {
        let why = format!("{} to 0: the whole list is due", configuration["known"]["generation"]);
        configuration["known"]["generation"] = json!(0);
        remarks.push(Remark { key: "known.generation".to_owned(), change: Change::Changed, why });
    }
    remarks
}
