//! The counterpart of a posting: what was written for the old shape of a deployment, as the new one needs it. What
//! need not change passes through untouched, also what nobody here has heard of.

use grebeusher_node_config::node_settings::NodeSettings;
use grebeusher_node_config::{RegistryMode, USED_REPORT_FIELDS};
use serde_json::{Map, Value, json};
use std::fmt;

/// What an old posting cannot know of the new deployment.
#[derive(Clone, Debug, Default)]
pub struct Shape {
    /// Whether the list comes unasked.
    pub list_unasked: bool,
    /// Whether executors may be probed, and nodes may send each other words.
    pub probes: bool,
    pub peers: bool,
    /// The new zones in their order, and the one of this node; those of the posting if none are named.
    pub zones: Vec<String>,
    pub zone: Option<String>,
    /// What load reports hold; as in the posting if nothing is named.
    pub report_fields: Vec<String>,
    /// Whether executors tell of starts; as in the posting if it is not said.
    pub starts: Option<bool>,
}

/// What became of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Changed,
    Dropped,
    /// It is in the new posting, and a node on sockets can do nothing with it.
    NotCarried,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Remark {
    pub key: String,
    pub fate: Fate,
    pub why: String,
}

impl fmt::Display for Remark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fate = match self.fate {
            Fate::Changed => "changed",
            Fate::Dropped => "dropped",
            Fate::NotCarried => "not carried over",
        };
        write!(f, "{}: {fate}: {}", self.key, self.why)
    }
}

/// Notes down what is done to the settings.
struct Move<'a> {
    settings: &'a mut Map<String, Value>,
    remarks: Vec<Remark>,
}

impl Move<'_> {
    fn remark(&mut self, key: &str, fate: Fate, why: impl Into<String>) {
        self.remarks.push(Remark { key: key.to_owned(), fate, why: why.into() });
    }

    fn part(&mut self, part: &str) -> &mut Value {
        let part = self.settings.entry(part).or_insert_with(|| json!({}));
        if part.is_null() {
            *part = json!({});
        }
        part
    }

    /// Sets a key of a part, and notes it down if that changes it. `absent` is what an absent key means.
    fn set(&mut self, part: &str, key: &str, new: Value, absent: Value, why: &str) {
        let old = self.part(part).get(key).filter(|old| !old.is_null()).cloned();
        if old.as_ref().unwrap_or(&absent) != &new {
            let was = old.map_or("absent".to_owned(), |old| old.to_string());
            let now = new.to_string();
            self.part(part)[key] = new;
            self.remark(&format!("settings.{part}.{key}"), Fate::Changed, format!("{was} to {now}: {why}"));
        }
    }

    fn drop(&mut self, part: &str, key: &str, why: &str) {
        let gone = self.part(part).as_object_mut().and_then(|part| part.remove(key));
        if let Some(gone) = gone {
            self.remark(&format!("settings.{part}.{key}"), Fate::Dropped, format!("was {gone}: {why}"));
        }
    }

    /// Names the new zones, and finds the place of this node's.
    fn zones(&mut self, old: &[String], shape: &Shape) -> Result<(), String> {
        if shape.zones.is_empty() {
            return match &shape.zone {
                None => Ok(()),
                Some(_) => Err("--zone names one of the zones of --zones, which are not named".to_owned()),
            };
        }
        for gone in old.iter().filter(|zone| !shape.zones.contains(zone)) {
            self.remark("settings.zones", Fate::Dropped, format!("{gone}: a zone that is no more"));
        }
        for new in shape.zones.iter().filter(|zone| !old.contains(zone)) {
            self.remark("settings.zones", Fate::Changed, format!("{new}: a new zone"));
        }
        let was = self.settings.get("az").and_then(Value::as_u64).unwrap_or(0);
        let stood = old.get(was as usize);
        let place = |zone: &String| shape.zones.iter().position(|new| new == zone);
        let stands = match (&shape.zone, stood.and_then(place)) {
            (Some(zone), _) => {
                place(zone).ok_or_else(|| format!("--zone {zone} is none of the new zones"))?
            }
            (None, Some(place)) => place,
            (None, None) if shape.zones.len() == 1 => 0,
            (None, None) => {
                let stood = stood.map_or("nowhere", String::as_str);
                return Err(format!(
                    "settings.az: this node stands in {stood}, which is no more: name its new zone by --zone"
                ));
            }
        };
        if stands as u64 != was {
            let why = format!("{was} to {stands}: {} is there among the new zones", shape.zones[stands]);
            self.remark("settings.az", Fate::Changed, why);
        }
        self.settings.insert("zones".to_owned(), json!(shape.zones));
        self.settings.insert("az".to_owned(), json!(stands));
        Ok(())
    }

    fn reports(&mut self, old: &NodeSettings, shape: &Shape) {
        if !shape.report_fields.is_empty() {
            let fields = json!(shape.report_fields);
            self.set("report", "fields", fields, json!([]), "what the new executors report");
            for read in USED_REPORT_FIELDS {
                let is = |fields: &[String]| fields.iter().any(|field| field == read);
                if is(&old.settings.report_fields) && !is(&shape.report_fields) {
                    let why = format!("{read}: the node reads it and the new executors do not report it");
                    self.remark("settings.report.fields", Fate::NotCarried, why);
                }
            }
            for unread in shape.report_fields.iter().filter(|f| !USED_REPORT_FIELDS.contains(&f.as_str())) {
                if !old.settings.report_fields.contains(unread) {
                    let why = format!("{unread}: reported, and read by no decision");
                    self.remark("settings.report.fields", Fate::NotCarried, why);
                }
            }
        }
    }
}

/// The counterpart of an old posting, and what became of its keys. Both the old one and the new one are checked as
/// the node checks its posting.
pub fn counterpart(old: &Value, shape: &Shape) -> Result<(Value, Vec<Remark>), String> {
    let posting = NodeSettings::read(old).map_err(|error| error.to_string())?;
    if posting.settings.registry_mode == RegistryMode::Automatic {
        return Err("settings.registry_mode: automatic: this posting is of the new shape already".to_owned());
    }
    let mut new = old.clone();
    let settings = new["settings"].as_object_mut().ok_or("settings: expected an object")?;
    let mut moved = Move { settings, remarks: Vec::new() };
    if shape.list_unasked {
        moved.settings.insert("registry_mode".to_owned(), json!("automatic"));
        moved.remark(
            "settings.registry_mode",
            Fate::Changed,
            "subscribe to automatic: the list comes unasked",
        );
        let why = "it says how often the list must be asked for";
        moved.drop("contract", "ask_every_ns", why);
        let why = "automatic: sockets know no list that comes unasked, so the node keeps its watch";
        moved.remark("settings.registry_mode", Fate::NotCarried, why);
    }
    moved.set("caps", "may_probe", json!(shape.probes), json!(false), "whether probes are allowed");
    if !shape.probes {
        moved.drop("prices", "probe", "no probe is sent");
        let via = moved.settings.get("report").map_or(Value::Null, |report| report["via"].clone());
        if via == "pull" {
            let why = "reports came by probes alone, which are not allowed";
            moved.set("report", "via", json!("piggyback"), Value::Null, why);
        }
    }
    moved.set("caps", "peers", json!(shape.peers), json!(false), "whether nodes may send each other words");
    if shape.peers {
        let why = "sockets have no form for words between nodes: the node goes by its own evidence";
        moved.remark("settings.caps.peers", Fate::NotCarried, why);
    }
    if let Some(starts) = shape.starts {
        let why = "whether executors tell of starts";
        moved.set("family_info", "tells_start", json!(starts), json!(false), why);
    }
    moved.zones(&posting.settings.zones, shape)?;
    moved.reports(&posting, shape);
    let mut remarks = moved.remarks;
    remarks.extend(leave_behind(&mut new, shape));
    NodeSettings::read(&new).map_err(|what| format!("the counterpart would not do: {what}"))?;
    Ok((new, remarks))
}

/// Leaves out what was known of executors in zones that are no more, and has the whole list asked for then.
fn leave_behind(posting: &mut Value, shape: &Shape) -> Vec<Remark> {
    let Some(known) = posting["known"]["instances"].as_array_mut().filter(|_| !shape.zones.is_empty()) else {
        return Vec::new();
    };
    let mut remarks = Vec::new();
    known.retain(|entry| {
        let zone = entry["zone"].as_str().unwrap_or_default();
        let stays = zone.is_empty() || shape.zones.iter().any(|new| new == zone);
        if !stays {
            let id = entry["instanceId"].as_str().unwrap_or("an executor");
            let why = format!("{id}: it stands in {zone}, a zone that is no more");
            remarks.push(Remark { key: "known.instances".to_owned(), fate: Fate::Dropped, why });
        }
        stays
    });
    if !remarks.is_empty() && posting["known"]["generation"] != json!(0) {
        let why = format!("{} to 0: the whole list is due", posting["known"]["generation"]);
        posting["known"]["generation"] = json!(0);
        remarks.push(Remark { key: "known.generation".to_owned(), fate: Fate::Changed, why });
    }
    remarks
}
