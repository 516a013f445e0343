//! The charter: the object that says at start what a deployment promises, the same on the users' bench and on
//! sockets. Everything that reads it is here.

use grebeusher_dispatch::decide::Dispatcher;
use grebeusher_dispatch::host::Host;
use grebeusher_dispatch::tariffs::{Allowance, ColdStart, Effect, Group, Report, Tariff};
use grebeusher_dispatch::time::Span;
use serde_json::Value;

/// A span of the charter, which counts in nanoseconds.
pub fn span(value: &Value) -> Span {
    Span(value.as_f64().unwrap_or(0.0) as u64)
}

fn list<'a>(charter: &'a Value, key: &str) -> &'a [Value] {
    charter[key].as_array().map(Vec::as_slice).unwrap_or_default()
}

/// The names under one key of the charter (`zones`, `kinds`) or of the objects there (`tariffs`, `tenants`).
/// What stands for an index elsewhere is its place among them.
pub fn names(charter: &Value, key: &str) -> Vec<String> {
    list(charter, key)
        .iter()
        .map(|v| v.as_str().or(v["name"].as_str()).unwrap_or_default().to_owned())
        .collect()
}

/// The charter's word for binding work.
const BINDING: &str = "non_idempotent";

fn flag(value: &Value) -> bool {
    value.as_bool().unwrap_or(false)
}

fn tariffs(charter: &Value) -> Result<Vec<Tariff>, String> {
    let family = &charter["family_info"];
    if list(charter, "tariffs").is_empty() {
        return Err("no tariffs".to_owned());
    }
    list(charter, "tariffs")
        .iter()
        .enumerate()
        .map(|(at, tariff)| {
            let effect = match tariff["effect"].as_str() {
                Some("read_like") => Effect::Retriable,
                Some(BINDING) => Effect::Binding,
                Some("idempotency_key") => {
                    let group = match tariff["group"].as_str() {
                        Some("all") => Group::All,
                        Some("zone") => Group::Zone,
                        _ => Group::Cell,
                    };
                    Effect::Fingerprinted { group, memory_span: span(&tariff["memory_span_ns"]) }
                }
                other => return Err(format!("tariff {at}: unknown effect {other:?}")),
            };
            let stretch = tariff["aim_stretch"].as_f64().or(family["class_stretch"][at].as_f64());
            Ok(Tariff {
                effect,
                quoted_time: span(&tariff["quoted_time_ns"]),
                stretch: stretch.unwrap_or(0.0),
                patience: span(&tariff["patience_ns"]),
                earnings: tariff["earnings"].as_f64().unwrap_or(1.0),
                kind: family["class_kind"][at].as_u64().map(|kind| kind as usize),
            })
        })
        .collect()
}

/// The longest that any client waits.
pub fn longest_patience(charter: &Value) -> Span {
    list(charter, "tariffs").iter().map(|tariff| span(&tariff["patience_ns"])).max().unwrap_or_default()
}

/// Which tariffs are binding, by their places.
pub fn binding(charter: &Value) -> Vec<bool> {
    list(charter, "tariffs").iter().map(|tariff| tariff["effect"] == BINDING).collect()
}

/// Whether executors may be asked to give up a job that they took.
pub fn recalls(charter: &Value) -> bool {
    flag(&charter["caps"]["cancelling"])
}

/// A dispatcher that acts through `host` under this charter. `asks_list`: the list comes only to those who ask.
pub fn dispatcher<H: Host>(
    host: H,
    seed: u64,
    charter: &Value,
    asks_list: bool,
) -> Result<Dispatcher<H>, String> {
    let caps = &charter["caps"];
    let contract = &charter["contract"];
    let family = &charter["family_info"];
    let allowance = Allowance {
        most_allocations: caps["most_allocations"].as_u64().unwrap_or(1) as usize,
        second_copies: flag(&caps["second_copies"]),
        recalls: recalls(charter),
        longest_come_back: Some(span(&caps["max_retry_after_ns"])).filter(|_| flag(&caps["retry_after"])),
    };
    let cold = ColdStart {
        share: contract["cold_share"].as_f64().unwrap_or(0.0),
        warm_within: span(&contract["warm_within_ns"]),
        fall_factor: contract["overload_factor"].as_f64().unwrap_or(1.0),
        fall_window: span(&contract["fall_ns"]),
    };
    let quotas: Vec<f64> = charter["tenants"]
        .as_array()
        .map(|list| list.iter().map(|t| t["quota_per_s"].as_f64().unwrap_or(f64::INFINITY)).collect())
        .unwrap_or_default();
    let (node, nodes) = (charter["me"].as_u64().unwrap_or(0), charter["fleet_size"].as_u64().unwrap_or(1));
    Ok(Dispatcher::new(host, seed, node, nodes, tariffs(charter)?)
        .allowing(allowance)
        .cold_starts(cold)
        .noticing(
            asks_list,
            flag(&caps["may_probe"]) && charter["report"]["via"] == "pull",
            flag(&family["tells_start"]),
            Some(span(&family["progress_ns"])),
        )
        .customers(&quotas)
        .talking(flag(&caps["peers"]))
        .standing_in(charter["az"].as_u64().unwrap_or(0) as usize))
}

/// Which places of a load report hold the values that the decisions use.
pub struct ReportPlaces {
    utilisation: Option<usize>,
    free_slots: Option<usize>,
}

impl ReportPlaces {
    pub fn of(charter: &Value) -> ReportPlaces {
        let place = |name: &str| charter["report"]["fields"].as_array()?.iter().position(|f| f == name);
        let tells_free_slots = charter["family_info"]["report_x0"] == "free slots";
        ReportPlaces {
            utilisation: place("load_share"),
            free_slots: tells_free_slots.then(|| place("x0")).flatten(),
        }
    }

    /// The report, from a look-up of its values by place.
    pub fn report(&self, value: impl Fn(usize) -> Option<f64>) -> Report {
        Report {
            utilisation: self.utilisation.and_then(&value),
            free_slots: self.free_slots.and_then(&value),
        }
    }
}
