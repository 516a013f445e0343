//! Converts the JSON of a settings file to typed settings, field by field.

use super::bounds::Bounds;
use super::model::{
    Bindings, Contract, FaultTolerance, MachineClass, PortRange, ProcessLimits, ServedRole, Settings, Zones,
};
use crate::json::{FieldError, Fields, texts};
use crate::names::{RegionName, ZoneName};
use std::net::Ipv4Addr;
use std::path::PathBuf;
use tinyjson::JsonValue;

/// The interval between two heartbeats of an executor if the settings file gives none, in milliseconds.
const DEFAULT_HEARTBEAT_MS: u64 = 1000;

pub(super) fn settings(value: &JsonValue) -> Result<Settings, FieldError> {
    let fields = Fields::of(value)?;
    Ok(Settings {
        node_name: fields.required_text("node_name")?.into(),
        role: fields.required_text("role")?.into(),
        machine_class: machine_class(fields.required_text("machine_class")?),
        served_roles: texts(&fields, "served_roles")?.into_iter().map(served_role).collect(),
        ip_address: ip_address(&fields)?,
        zone: fields.required_text("zone")?.into(),
        region: fields.required_text("region")?.into(),
        zones: zones(&fields)?,
        bindings: bindings(&fields)?,
        internal_ports: internal_ports(&fields)?,
        seed_nodes: fields.addresses("seed_nodes")?,
        bootstrap: fields.flag("bootstrap")?.unwrap_or(false),
        quorum_member: fields.flag("quorum_member")?.unwrap_or(false),
        limits: process_limits(&fields)?,
        data_path: fields.text("data_path")?.map(PathBuf::from),
        heartbeat_ms: heartbeat_ms(&fields)?,
        contracts: texts(&fields, "contracts")?.into_iter().map(contract).collect(),
        fault_tolerance: fault_tolerance(&fields)?,
        bounds: bounds(&fields)?,
    })
}

fn machine_class(text: &str) -> MachineClass {
    match text {
        "edge" => MachineClass::Edge,
        "storage" => MachineClass::Storage,
        other => MachineClass::Other(other.to_owned()),
    }
}

fn served_role(text: &str) -> ServedRole {
    match text {
        "edge" => ServedRole::Edge,
        "storage" => ServedRole::Storage,
        "controller" => ServedRole::Controller,
        other => ServedRole::Other(other.to_owned()),
    }
}

fn contract(text: &str) -> Contract {
    match text {
        "base" => Contract::Base,
        "drain" => Contract::Drain,
        "config" => Contract::Config,
        "cost" => Contract::Cost,
        "recover" => Contract::Recover,
        "batch" => Contract::Batch,
        "stream" => Contract::Stream,
        "engine" => Contract::Engine,
        "rollout" => Contract::Rollout,
        other => Contract::Other(other.to_owned()),
    }
}

fn ip_address(fields: &Fields<'_>) -> Result<Ipv4Addr, FieldError> {
    let parsed = fields.required_text("ip_address")?.parse();
    parsed.map_err(|_| FieldError::new("ip_address", "an IPv4 address"))
}

fn zones(fields: &Fields<'_>) -> Result<Zones, FieldError> {
    let Some(zones) = fields.child("zones")? else { return Ok(Zones::default()) };
    let read = |(zone, _): (&String, &JsonValue)| {
        let region = zones.required_text(zone).map_err(|error| error.within("zones"))?;
        Ok((ZoneName::from(zone.as_str()), RegionName::from(region)))
    };
    zones.entries().map(read).collect::<Result<_, FieldError>>().map(Zones)
}

fn bindings(fields: &Fields<'_>) -> Result<Bindings, FieldError> {
    let Some(bindings) = fields.child("bindings")? else { return Ok(Bindings::default()) };
    let address = |name| bindings.address(name).map_err(|error| error.within("bindings"));
    Ok(Bindings {
        frontend: address("frontend")?,
        readiness: address("readiness")?,
        control_plane: address("control_plane")?,
    })
}

fn internal_ports(fields: &Fields<'_>) -> Result<PortRange, FieldError> {
    let expected =
        || FieldError::new("internal_ports", "two ports from 1 to 65535, the first not above the second");
    let port = |value: &JsonValue| match value {
        JsonValue::Number(number) if number.fract() == 0.0 && (1.0..=65535.0).contains(number) => {
            Some(*number as u16)
        }
        _ => None,
    };
    let [first, last] = fields.list("internal_ports")?.unwrap_or_default() else { return Err(expected()) };
    match (port(first), port(last)) {
        (Some(first), Some(last)) if first <= last => Ok(PortRange { first, last }),
        _ => Err(expected()),
    }
}

fn process_limits(fields: &Fields<'_>) -> Result<ProcessLimits, FieldError> {
    let limits = fields.child("limits")?.ok_or_else(|| FieldError::new("limits", "an object"))?;
    let read = || {
        Ok(ProcessLimits {
            cpu_share: positive(limits.amount("cpu_share")?, "cpu_share")?,
            memory_mb: positive(limits.count("memory_mb")?, "memory_mb")?,
            file_descriptors: positive(limits.count("file_descriptors")?, "file_descriptors")?,
            link_mbps: positive(limits.amount("link_mbps")?, "link_mbps")?,
            disk_mb: limits.count("disk_mb")?,
        })
    };
    read().map_err(|error: FieldError| error.within("limits"))
}

fn positive<T: Default + PartialOrd>(value: Option<T>, name: &str) -> Result<T, FieldError> {
    value.filter(|value| *value > T::default()).ok_or_else(|| FieldError::new(name, "a number above 0"))
}

fn heartbeat_ms(fields: &Fields<'_>) -> Result<u64, FieldError> {
    positive(Some(fields.count("heartbeat_ms")?.unwrap_or(DEFAULT_HEARTBEAT_MS)), "heartbeat_ms")
}

fn fault_tolerance(fields: &Fields<'_>) -> Result<FaultTolerance, FieldError> {
    let Some(tolerance) = fields.child("fault_tolerance")? else { return Ok(FaultTolerance::default()) };
    let count = |name: &str| {
        let count = tolerance.small_count(name).map_err(|error| error.within("fault_tolerance"))?;
        Ok::<_, FieldError>(count.unwrap_or_default())
    };
    Ok(FaultTolerance {
        machine_losses: count("machine_losses")?,
        zones: count("zones")?,
        region_losses: count("region_losses")?,
    })
}

fn bounds(fields: &Fields<'_>) -> Result<Bounds, FieldError> {
    let default = Bounds::default();
    let Some(bounds) = fields.child("bounds")? else { return Ok(default) };
    let amount_or = |name: &str, default: f64| {
        bounds.amount(name).map(|given| given.unwrap_or(default)).map_err(|error| error.within("bounds"))
    };
    let count_or = |name: &str, default: u64| {
        bounds.count(name).map(|given| given.unwrap_or(default)).map_err(|error| error.within("bounds"))
    };
    Ok(Bounds {
        seed_lag_s: amount_or("seed_lag_s", default.seed_lag_s)?,
        addr_reuse_s: amount_or("addr_reuse_s", default.addr_reuse_s)?,
        contact_ms: count_or("contact_ms", default.contact_ms)?,
        ack_timeout_ms: count_or("ack_timeout_ms", default.ack_timeout_ms)?,
        sync_time_s: amount_or("sync_time_s", default.sync_time_s)?,
        drain_timeout_ms: count_or("drain_timeout_ms", default.drain_timeout_ms)?,
        grace_period_s: amount_or("grace_period_s", default.grace_period_s)?,
        loss_slack_ms: count_or("loss_slack_ms", default.loss_slack_ms)?,
        config_apply_ms: count_or("config_apply_ms", default.config_apply_ms)?,
        downgrade_slack_ms: count_or("downgrade_slack_ms", default.downgrade_slack_ms)?,
        max_stretch_ms: count_or("max_stretch_ms", default.max_stretch_ms)?,
        recovery_s: amount_or("recovery_s", default.recovery_s)?,
        pass_ms: count_or("pass_ms", default.pass_ms)?,
        again_s: amount_or("again_s", default.again_s)?,
        finish_s: amount_or("finish_s", default.finish_s)?,
        status_s: amount_or("status_s", default.status_s)?,
        cancel_ms: count_or("cancel_ms", default.cancel_ms)?,
        settle_ms: count_or("settle_ms", default.settle_ms)?,
        quota_overrun: amount_or("quota_overrun", default.quota_overrun)?,
    })
}
