//! Reads and checks the settings of the older program: the properties of a deployment ([`DeploymentSettings`], the same
//! object on the users' bench and on real sockets), the file of a node ([`node_settings`]), and the operators' files for
//! optional front ends ([`frontends`]), for nodes that work together ([`fleet`]) and for planned maintenance ([`plan`]).
//!
//! Keys and values are those that the users' and operators' documentation gives. Only this crate translates them to the
//! names that the code uses. An invalid setting is reported as a [`ConfigError`], which names the key and the expected value.
//!
//! ```
//! use grebeusher_node_config::DeploymentSettings;
//!
//! let refused = DeploymentSettings::read(&serde_json::json!({"tariffs": []})).unwrap_err();
//! assert_eq!(refused.to_string(), "tariffs: expected a list of at least one tariff, found []");
//! ```

#![warn(missing_docs)]

mod error;
pub mod fleet;
pub mod frontends;
pub mod node_settings;
mod object;
pub mod plan;
mod toml_file;

pub use error::ConfigError;

use grebeusher_dispatch::decide::Dispatcher;
use grebeusher_dispatch::host::Host;
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_dispatch::{
    AttemptPolicy, DeduplicationScope, Effect, ExecutorSignals, LoadReport, RequestClass, RetryBudget,
    SlowStart,
};
use object::Object;
use serde_json::Value;

/// The way in which the list of executors reaches a node (`registry_mode`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryMode {
    /// The list is sent to every node (`automatic`).
    Automatic,
    /// A node has to ask for the list (`subscribe`).
    Subscribe,
}

/// The way in which executors report their load (`report.via`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportTransport {
    /// Executors add a load report to their answers to work (`piggyback`).
    Piggyback,
    /// Executors send a load report in answer to a probe (`pull`).
    Pull,
    /// Executors send no load reports (`silent`).
    Silent,
}

/// The checked settings of a deployment. Other code refers to tariffs, customers, zones and kinds by their index in these
/// lists.
#[derive(Clone, Debug)]
pub struct DeploymentSettings {
    /// The names of the tariffs, by index.
    pub tariff_names: Vec<String>,
    /// The names of the customers, by index.
    pub customer_names: Vec<String>,
    /// The names of the zones, by index.
    pub zones: Vec<String>,
    /// The names of the kinds of executors, by index.
    pub kinds: Vec<String>,
    /// The way in which the list of executors reaches this node. Default [`RegistryMode::Subscribe`].
    pub registry_mode: RegistryMode,
    /// Whether the deployment lets nodes send each other messages.
    pub peers: bool,
    /// Whether nodes probe executors for their load, which they do only where probes are the sole source of load reports.
    pub probes: bool,
    /// The minimum time for which an executor keeps an idle connection open. Default 15 s.
    pub idle_timeout: Duration,
    /// The time limit for connecting to an executor. Default 250 ms.
    pub connect_timeout: Duration,
    /// The names of the fields of a load report, in the order of their values.
    pub report_fields: Vec<String>,
    /// The positions of the report fields that dispatch decisions use.
    pub report_layout: ReportLayout,
    tariffs: Vec<RequestClass>,
    attempt_policy: AttemptPolicy,
    slow_start: SlowStart,
    reports_starts: bool,
    progress_interval: Option<Duration>,
    customer_quotas: Vec<f64>,
    node_index: u64,
    node_count: u64,
    zone_index: usize,
}

/// The default of `conn_idle_ns`: the users' servers close idle connections after 15 s at the earliest.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(15_000);
/// The default of `dial_timeout_ns`: a connection that is not established after 250 ms never is.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

impl DeploymentSettings {
    /// Reads and checks the settings.
    ///
    /// # Errors
    /// A required key is missing, or a value has the wrong type, is out of range or is not one of the known words.
    #[expect(clippy::too_many_lines, reason = "one line for each setting")]
    pub fn read(settings: &Value) -> Result<DeploymentSettings, ConfigError> {
        let root = Object::root(settings)?;
        let (capabilities, family_info, report) =
            (root.object("caps")?, root.object("family_info")?, root.object("report")?);
        let (zones, kinds) = (root.texts("zones")?, root.texts("kinds")?);
        let tariffs = root.objects("tariffs")?;
        let tenants = root.objects("tenants")?;
        let report_transport = report
            .word(
                "via",
                &[
                    ("piggyback", ReportTransport::Piggyback),
                    ("pull", ReportTransport::Pull),
                    ("silent", ReportTransport::Silent),
                ],
            )?
            .unwrap_or(ReportTransport::Piggyback);
        let report_fields = report.texts("fields")?;
        let x0_is_free_slots = family_info.text("report_x0")? == Some("free slots");
        let registry_mode = root.word(
            "registry_mode",
            &[("automatic", RegistryMode::Automatic), ("subscribe", RegistryMode::Subscribe)],
        )?;
        let retry_after = capabilities.flag("retry_after")?;
        let max_retry_after =
            if retry_after { Some(capabilities.required_duration("max_retry_after_ns")?) } else { None };
        let node_count = root.count("fleet_size", 1..=u64::MAX)?.unwrap_or(1);
        let zone_index = root.count("az", 0..=(zones.len().max(1) as u64 - 1))?.unwrap_or(0);
        Ok(DeploymentSettings {
            tariff_names: read_names(&tariffs)?,
            customer_names: read_names(&tenants)?,
            registry_mode: registry_mode.unwrap_or(RegistryMode::Subscribe),
            peers: capabilities.flag("peers")?,
            // Nodes probe executors only where load reports come in no other way.
            probes: capabilities.flag("may_probe")? && report_transport == ReportTransport::Pull,
            idle_timeout: capabilities.duration("conn_idle_ns")?.unwrap_or(DEFAULT_IDLE_TIMEOUT),
            connect_timeout: capabilities
                .duration("dial_timeout_ns")?
                .filter(|timeout| timeout.nanos() > 0)
                .unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            report_layout: ReportLayout::of(&report_fields, x0_is_free_slots),
            report_fields,
            tariffs: read_tariffs(&root, &family_info, &tariffs, kinds.len())?,
            attempt_policy: AttemptPolicy {
                max_attempts: capabilities.count("most_allocations", 1..=1000)?.unwrap_or(1) as usize,
                hedging: capabilities.flag("second_copies")?,
                cancellation: capabilities.flag("cancelling")?,
                cancel_dequeues: false,
                deadline_error: root.object("contract")?.duration("deadline_error_ns")?.unwrap_or_default(),
                retry_budget: read_retry_budget(&root.object("contract")?)?,
                drain_grace: root.object("contract")?.duration("stop_sending_within_ns")?.unwrap_or_default(),
                max_retry_after,
            },
            slow_start: read_slow_start(&root.object("contract")?)?,
            reports_starts: family_info.flag("tells_start")?,
            progress_interval: family_info.duration("progress_ns")?.filter(|interval| interval.nanos() > 0),
            customer_quotas: read_quotas(&tenants)?,
            node_index: root.count("me", 0..=node_count - 1)?.unwrap_or(0),
            node_count,
            zone_index: zone_index as usize,
            zones,
            kinds,
        })
    }

    /// Returns the longest deadline of all tariffs.
    pub fn max_deadline(&self) -> Duration {
        self.tariffs.iter().map(|tariff| tariff.deadline).max().unwrap_or_default()
    }

    /// Returns how long the clients of a tariff wait for an answer.
    pub fn deadline(&self, tariff: usize) -> Duration {
        self.tariffs[tariff].deadline
    }

    /// Returns the index of a customer by its name. An absent or unknown name gives the index after the last customer, so
    /// that such requests don't use up the quota of the first customer.
    pub fn customer(&self, name: Option<&str>) -> usize {
        let index =
            name.and_then(|name| self.customer_names.iter().position(|known_name| known_name == name));
        index.unwrap_or(self.customer_names.len())
    }

    /// Returns the interval at which executors report the progress of running work, or `None` if they don't.
    pub fn progress_interval(&self) -> Option<Duration> {
        self.progress_interval
    }

    /// Returns the index of the zone in which the node runs.
    pub fn zone(&self) -> usize {
        self.zone_index
    }

    /// Returns the name of the node's zone, or an empty string if the settings name no zones.
    pub fn zone_name(&self) -> &str {
        self.zones.get(self.zone_index).map_or("", String::as_str)
    }

    /// Returns the node's index in the fleet and the number of nodes.
    pub fn node_index_and_count(&self) -> (u64, u64) {
        (self.node_index, self.node_count)
    }

    /// Returns whether the work of the tariff at an index is non-idempotent.
    pub fn is_non_idempotent(&self, tariff: usize) -> bool {
        self.tariffs[tariff].effect == Effect::NonIdempotent
    }

    /// Returns whether executors may be asked to cancel work that they accepted.
    pub fn allows_cancellation(&self) -> bool {
        self.attempt_policy.cancellation
    }

    /// Returns whether a request may have two attempts running at once (hedging).
    pub fn allows_hedging(&self) -> bool {
        self.attempt_policy.hedging
    }

    /// Sets whether cancelling an attempt removes waiting work from the executor's queue, as the operators' fleet file says.
    /// It has no effect where the deployment does not allow cancellation.
    pub fn set_cancel_dequeues(&mut self, enabled: bool) {
        self.attempt_policy.cancel_dequeues = enabled && self.attempt_policy.cancellation;
    }

    /// Creates a dispatcher with these settings that acts through `host`. `must_subscribe` says that the protocol in use
    /// sends the executor list only to nodes that ask for it, and `has_peer_messages` that it can carry messages between nodes.
    pub fn dispatcher<H: Host>(
        &self,
        host: H,
        seed: u64,
        must_subscribe: bool,
        has_peer_messages: bool,
    ) -> Dispatcher<H> {
        Dispatcher::new(host, seed, self.node_index, self.node_count, self.tariffs.clone())
            .with_attempt_policy(self.attempt_policy)
            .with_slow_start(self.slow_start)
            .with_signals(ExecutorSignals {
                must_watch_executors: must_subscribe,
                may_probe: self.probes,
                reports_starts: self.reports_starts,
                progress_interval: self.progress_interval,
            })
            .with_customer_quotas(&self.customer_quotas)
            .with_load_sharing(self.peers && has_peer_messages)
            .with_zone(self.zone_index)
    }
}

/// Reads each customer's quota in requests per second, unlimited by default. If there are customers, a last quota of zero is
/// added for requests from anyone else.
fn read_quotas(tenants: &[Object]) -> Result<Vec<f64>, ConfigError> {
    let quota = |tenant: &Object| Ok(tenant.number("quota_per_s", 0.0..=f64::MAX)?.unwrap_or(f64::INFINITY));
    let mut quotas = tenants.iter().map(quota).collect::<Result<Vec<f64>, ConfigError>>()?;
    if !quotas.is_empty() {
        quotas.push(0.0);
    }
    Ok(quotas)
}

fn read_names(objects: &[Object]) -> Result<Vec<String>, ConfigError> {
    objects.iter().map(|object| Ok(object.text("name")?.unwrap_or_default().to_owned())).collect()
}

/// The effect of a tariff's work, without the deduplication scope and window (`group` and `memory_span_ns`).
#[derive(Clone, Copy)]
enum EffectKind {
    Idempotent,
    Keyed,
    NonIdempotent,
}

fn read_tariffs(
    root: &Object,
    family_info: &Object,
    tariffs: &[Object],
    kind_count: usize,
) -> Result<Vec<RequestClass>, ConfigError> {
    if tariffs.is_empty() {
        return Err(root.invalid("tariffs", "a list of at least one tariff"));
    }
    let stretches = family_info.numbers_per_tariff("class_stretch", tariffs.len(), 0.0..=1e6)?;
    let max_kind = if kind_count == 0 { 1e6 } else { kind_count as f64 - 1.0 };
    let required_kinds = family_info.numbers_per_tariff("class_kind", tariffs.len(), -1.0..=max_kind)?;
    let value_at = |list: &Option<Vec<f64>>, index: usize| list.as_ref().map(|list| list[index]);
    let effects = [
        ("read_like", EffectKind::Idempotent),
        ("idempotency_key", EffectKind::Keyed),
        ("non_idempotent", EffectKind::NonIdempotent),
    ];
    let scopes = [
        ("all", DeduplicationScope::All),
        ("zone", DeduplicationScope::Zone),
        ("cell", DeduplicationScope::Cell),
    ];
    tariffs
        .iter()
        .enumerate()
        .map(|(index, tariff)| {
            // An invalid group is rejected even where the effect needs none.
            tariff.word("group", &scopes)?;
            let effect = match tariff.required_word("effect", &effects)? {
                EffectKind::Idempotent => Effect::Idempotent,
                EffectKind::NonIdempotent => Effect::NonIdempotent,
                EffectKind::Keyed => Effect::Keyed {
                    scope: tariff.required_word("group", &scopes)?,
                    deduplication_window: tariff.required_duration("memory_span_ns")?,
                },
            };
            let stretch = tariff.number("aim_stretch", 0.0..=1e6)?.or(value_at(&stretches, index));
            Ok(RequestClass {
                effect,
                latency_objective: tariff.required_duration("quoted_time_ns")?,
                stretch: stretch.unwrap_or(0.0),
                deadline: tariff.required_duration("patience_ns")?,
                value: tariff.number("earnings", 0.0..=f64::MAX)?.unwrap_or(1.0),
                kind: value_at(&required_kinds, index).filter(|&kind| kind >= 0.0).map(|kind| kind as usize),
            })
        })
        .collect()
}

/// Reads the budget for further attempts. It is off without `budget_span_ns`; with it the other keys are required.
fn read_retry_budget(contract: &Object) -> Result<Option<RetryBudget>, ConfigError> {
    let Some(window) = contract.duration("budget_span_ns")? else { return Ok(None) };
    let base = contract.required_number("extra_free", 0.0..=1e9)?;
    Ok(Some(RetryBudget { window, base, ratio: contract.required_number("further_ratio", 0.0..=1e3)? }))
}

/// Reads the limits on the load of newly started executors. Most have no default because a node can't keep to limits that
/// it does not know.
fn read_slow_start(contract: &Object) -> Result<SlowStart, ConfigError> {
    Ok(SlowStart {
        initial_share: contract.required_number("cold_share", 0.0..=1.0)?,
        warm_up: Duration::from_nanos(contract.required_number("warm_within_ns", 0.0..=1e18)? as u64),
        overload_factor: contract.required_number("overload_factor", 0.0..=1e6)?,
        window: contract.required_duration("fall_ns")?,
        start_time_error: contract.duration("ready_margin_ns")?.unwrap_or_default(),
        not_before: Instant(0),
    })
}

const UTILISATION_FIELD: &str = "load_share";
const FREE_SLOTS_FIELD: &str = "x0";
/// The names of the load report fields that dispatch decisions use.
pub const USED_REPORT_FIELDS: [&str; 2] = [UTILISATION_FIELD, FREE_SLOTS_FIELD];

/// The positions in a load report of the values that dispatch decisions use.
#[derive(Clone, Copy, Debug)]
pub struct ReportLayout {
    utilisation: Option<usize>,
    free_slots: Option<usize>,
}

impl ReportLayout {
    fn of(fields: &[String], x0_is_free_slots: bool) -> ReportLayout {
        let position = |name: &str| fields.iter().position(|field| field == name);
        ReportLayout {
            utilisation: position(UTILISATION_FIELD),
            free_slots: position(FREE_SLOTS_FIELD).filter(|_| x0_is_free_slots),
        }
    }

    /// Builds a load report; `value` returns the reported value at a position.
    pub fn report(&self, value: impl Fn(usize) -> Option<f64>) -> LoadReport {
        LoadReport {
            utilisation: self.utilisation.and_then(&value),
            free_slots: self.free_slots.and_then(&value),
        }
    }
}
