//! Load reports: an object in a call-back or a probe's answer, or `TEXT name=value, ...` in a header.

use grebeusher_dispatch::LoadReport;
use grebeusher_node_config::{DeploymentSettings, ReportLayout};
use serde_json::Value;

pub const HEADER: &str = "X-Load-Report";

/// Reads reports by the names that this deployment gives their values.
pub struct Reports {
    names: Vec<String>,
    places: ReportLayout,
}

impl Reports {
    pub fn of(settings: &DeploymentSettings) -> Reports {
        Reports { names: settings.report_fields.clone(), places: settings.places }
    }

    pub fn object(&self, load: &Value) -> Option<LoadReport> {
        load.as_object()?;
        Some(self.places.report(|at| load[self.names.get(at)?.as_str()].as_f64()))
    }

    pub fn text(&self, text: &str) -> Option<LoadReport> {
        let text = text.trim().strip_prefix("TEXT")?;
        let pairs: Vec<(&str, f64)> = text
            .split(',')
            .filter_map(|pair| pair.split_once('='))
            .filter_map(|(name, value)| Some((name.trim(), value.trim().parse().ok()?)))
            .collect();
        let value = |wanted: &String| pairs.iter().find(|(name, _)| name == wanted).map(|(_, value)| *value);
        Some(self.places.report(|at| value(self.names.get(at)?)))
    }

    /// A report that stands alone as a body, in either form.
    pub fn body(&self, body: &[u8]) -> Option<LoadReport> {
        let text = std::str::from_utf8(body).ok()?;
        self.text(text).or_else(|| self.object(&serde_json::from_str(text).ok()?))
    }
}
