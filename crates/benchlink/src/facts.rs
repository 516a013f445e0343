//! Reads what the wire says at start and builds an instance from it.

use crate::Instance;
use crate::door::{Door, Wire};
use grebeusher_dispatch::decide::Dispatcher;
use grebeusher_dispatch::tariffs::{Allowance, ColdStart, Effect, Group, Tariff};
use grebeusher_dispatch::time::Span;
use serde_json::Value;
use std::cell::RefCell;
use std::rc::Rc;

fn span(value: &Value) -> Span {
    Span(value.as_f64().unwrap_or(0.0) as u64)
}

fn flag(value: &Value) -> bool {
    value.as_bool().unwrap_or(false)
}

fn tariffs(facts: &Value) -> Result<Vec<Tariff>, String> {
    let family = &facts["family_info"];
    let list = facts["tariffs"].as_array().filter(|list| !list.is_empty()).ok_or("no tariffs")?;
    list.iter()
        .enumerate()
        .map(|(at, tariff)| {
            let effect = match tariff["effect"].as_str() {
                Some("read_like") => Effect::Retriable,
                Some("non_idempotent") => Effect::Binding,
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

pub fn instance(who: u64, seed: u64, facts: &Value) -> Result<Instance, String> {
    let caps = &facts["caps"];
    let contract = &facts["contract"];
    let family = &facts["family_info"];
    let report = &facts["report"];
    let allowance = Allowance {
        most_allocations: caps["most_allocations"].as_u64().unwrap_or(1) as usize,
        second_copies: flag(&caps["second_copies"]),
        recalls: flag(&caps["cancelling"]),
        longest_come_back: Some(span(&caps["max_retry_after_ns"])).filter(|_| flag(&caps["retry_after"])),
    };
    let cold = ColdStart {
        share: contract["cold_share"].as_f64().unwrap_or(0.0),
        warm_within: span(&contract["warm_within_ns"]),
        fall_factor: contract["overload_factor"].as_f64().unwrap_or(1.0),
        fall_window: span(&contract["fall_ns"]),
    };
    let quotas: Vec<f64> = facts["tenants"]
        .as_array()
        .map(|list| list.iter().map(|t| t["quota_per_s"].as_f64().unwrap_or(f64::INFINITY)).collect())
        .unwrap_or_default();
    let field = |name: &str| report["fields"].as_array()?.iter().position(|f| f == name);
    let free_slots = (family["report_x0"] == "free slots").then(|| field("x0")).flatten();
    let door = Rc::new(RefCell::new(Door::new(who)));
    let (node, nodes) = (facts["me"].as_u64().unwrap_or(0), facts["fleet_size"].as_u64().unwrap_or(1));
    let dispatcher = Dispatcher::new(Wire(door.clone()), seed, node, nodes, tariffs(facts)?)
        .allowing(allowance)
        .cold_starts(cold)
        .noticing(
            facts["registry_mode"] == "subscribe",
            flag(&caps["may_probe"]) && report["via"] != "silent",
            flag(&family["tells_start"]),
            Some(span(&family["progress_ns"])),
        )
        .customers(&quotas)
        .standing_in(facts["az"].as_u64().unwrap_or(0) as usize);
    Ok(Instance { dispatcher, door, utilisation_at: field("load_share"), free_slots_at: free_slots })
}
