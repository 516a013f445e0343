//! Load reports of executors: a JSON object in a callback or in a probe's response, or `TEXT name=value, ...` in a
//! header.

use grebeusher_dispatch::LoadReport;
use grebeusher_node_config::{DeploymentSettings, ReportLayout};
use serde_json::Value;

pub const HEADER: &str = "X-Load-Report";

/// Parses load reports by the field names that the deployment configures.
pub struct Reports {
    names: Vec<String>,
    layout: ReportLayout,
}

impl Reports {
    pub fn of(settings: &DeploymentSettings) -> Reports {
        Reports { names: settings.report_fields.clone(), layout: settings.report_layout }
    }

    pub fn object(&self, load: &Value) -> Option<LoadReport> {
        load.as_object()?;
        Some(self.layout.report(|index| load[self.names.get(index)?.as_str()].as_f64()))
    }

    pub fn text(&self, text: &str) -> Option<LoadReport> {
        let text = text.trim().strip_prefix("TEXT")?;
        let pairs: Vec<(&str, f64)> = text
            .split(',')
            .filter_map(|pair| pair.split_once('='))
            .filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?)))
            .collect();
        let value = |wanted: &String| pairs.iter().find(|(name, _)| name == wanted).map(|(_, value)| *value);
        Some(self.layout.report(|index| value(self.names.get(index)?)))
    }

    /// Parses a report that is the whole body of a response, in either form.
    pub fn body(&self, body: &[u8]) -> Option<LoadReport> {
        let text = std::str::from_utf8(body).ok()?;
        self.text(text).or_else(|| self.object(&serde_json::from_str(text).ok()?))
    }
}
