//! Settings of the older program, read and checked: what a deployment promises ([`DeploymentSettings`], the same object on the
//! users' bench and on sockets), the file of a node ([`node_settings`]), and the operators' files for further listeners
//! ([`frontends`]), for nodes that know of each other ([`fleet`]) and for planned maintenance ([`plan`]).
//!
//! Keys and values are those of the users' and operators' pages; this is the one place where they are translated to the
//! names of the code. What is wrong is a [`ConfigError`], which names the key and what was expected.
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

/// How the list of executors reaches a node (`registry_mode`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryMode {
    /// It is sent to every node (`automatic`).
    Automatic,
    /// A node has to ask for it (`subscribe`).
    Subscribe,
}

/// How executors report their load (`report.via`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportTransport {
    /// In the answers to work (`piggyback`).
    Piggyback,
    /// In answers to probes (`pull`).
    Pull,
    /// Not at all (`silent`).
    Silent,
}

/// What a deployment promises, checked. Tariffs, customers, zones and kinds are referred to elsewhere by their index in
/// these lists.
#[derive(Clone, Debug)]
pub struct DeploymentSettings {
    /// The tariffs' names, by index.
    pub tariff_names: Vec<String>,
    /// The customers' names, by index.
    pub customer_names: Vec<String>,
    /// The zones' names, by index.
    pub zones: Vec<String>,
    /// The kinds of executors, by index.
    pub kinds: Vec<String>,
    /// How the list of executors comes.
    pub registry_mode: RegistryMode,
    /// Whether nodes may send each other messages.
    pub peers: bool,
    /// Whether executors are probed for their load: only where it is reported in no other way.
    pub probes: bool,
    /// How long an executor keeps an idle connection at least. Default 15 s.
    pub idle: Duration,
    /// How long connecting to an executor may take. Default 250 ms.
    pub connect_timeout: Duration,
    /// The fields of a load report, in the order in which their values come.
    pub report_fields: Vec<String>,
    /// Which of them the decisions use.
    pub places: ReportLayout,
    tariffs: Vec<RequestClass>,
    attempt_policy: AttemptPolicy,
    slow_start: SlowStart,
    starts: bool,
    progress: Option<Duration>,
    quotas: Vec<f64>,
    node: u64,
    nodes: u64,
    zone: usize,
}

/// Used where a file does not say: the users' servers close idle connections after 15 s at the earliest, and a
/// connection that takes longer than the other never comes up.
const IDLE: Duration = Duration::from_millis(15_000);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

impl DeploymentSettings {
    /// Reads and checks the settings.
    ///
    /// # Errors
    /// A key is missing, of the wrong type, out of range or an unknown word.
    #[expect(clippy::too_many_lines, reason = "one line for each setting")]
    pub fn read(settings: &Value) -> Result<DeploymentSettings, ConfigError> {
        let root = Object::root(settings)?;
        let (caps, family, report) =
            (root.object("caps")?, root.object("family_info")?, root.object("report")?);
        let (zones, kinds) = (root.texts("zones")?, root.texts("kinds")?);
        let tariffs = root.objects("tariffs")?;
        let tenants = root.objects("tenants")?;
        let reports = report
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
        let tells_free_slots = family.text("report_x0")? == Some("free slots");
        let registry_mode = root.word(
            "registry_mode",
            &[("automatic", RegistryMode::Automatic), ("subscribe", RegistryMode::Subscribe)],
        )?;
        let retry_after = caps.flag("retry_after")?;
        let max_retry_after =
            if retry_after { Some(caps.required_duration("max_retry_after_ns")?) } else { None };
        let nodes = root.count("fleet_size", 1..=u64::MAX)?.unwrap_or(1);
        let zone = root.count("az", 0..=(zones.len().max(1) as u64 - 1))?.unwrap_or(0);
        Ok(DeploymentSettings {
            tariff_names: names(&tariffs)?,
            customer_names: names(&tenants)?,
            registry_mode: registry_mode.unwrap_or(RegistryMode::Subscribe),
            peers: caps.flag("peers")?,
            // The design probes where reports come in no other way.
            probes: caps.flag("may_probe")? && reports == ReportTransport::Pull,
            idle: caps.duration("conn_idle_ns")?.unwrap_or(IDLE),
            connect_timeout: caps
                .duration("dial_timeout_ns")?
                .filter(|timeout| timeout.nanos() > 0)
                .unwrap_or(CONNECT_TIMEOUT),
            places: ReportLayout::of(&report_fields, tells_free_slots),
            report_fields,
            tariffs: read_tariffs(&root, &family, &tariffs, kinds.len())?,
            attempt_policy: AttemptPolicy {
                max_attempts: caps.count("most_allocations", 1..=1000)?.unwrap_or(1) as usize,
                hedging: caps.flag("second_copies")?,
                cancellation: caps.flag("cancelling")?,
                cancel_dequeues: false,
                deadline_error: root.object("contract")?.duration("deadline_error_ns")?.unwrap_or_default(),
                retry_budget: read_retry_budget(&root.object("contract")?)?,
                drain_grace: root.object("contract")?.duration("stop_sending_within_ns")?.unwrap_or_default(),
                max_retry_after,
            },
            slow_start: read_slow_start(&root.object("contract")?)?,
            starts: family.flag("tells_start")?,
            progress: family.duration("progress_ns")?.filter(|pace| pace.nanos() > 0),
            quotas: quotas(&tenants)?,
            node: root.count("me", 0..=nodes - 1)?.unwrap_or(0),
            nodes,
            zone: zone as usize,
            zones,
            kinds,
        })
    }

    /// The longest that any client waits.
    pub fn longest_patience(&self) -> Duration {
        self.tariffs.iter().map(|tariff| tariff.deadline).max().unwrap_or_default()
    }

    /// How long the clients of a tariff wait.
    pub fn deadline(&self, tariff: usize) -> Duration {
        self.tariffs[tariff].deadline
    }

    /// The place of a customer by its name; one behind all for who names none, or one that is not known. Guards against
    /// strangers who use up the share of the first.
    pub fn customer(&self, name: Option<&str>) -> usize {
        let known = name.and_then(|name| self.customer_names.iter().position(|known| known == name));
        known.unwrap_or(self.customer_names.len())
    }

    /// How often executors tell of what runs, if they do.
    pub fn progress(&self) -> Option<Duration> {
        self.progress
    }

    /// The zone in which the node stands, by its place.
    pub fn zone(&self) -> usize {
        self.zone
    }

    /// Its name; none where no zones are named.
    pub fn zone_name(&self) -> &str {
        self.zones.get(self.zone).map_or("", String::as_str)
    }

    /// The node's number, and how many there are.
    pub fn place(&self) -> (u64, u64) {
        (self.node, self.nodes)
    }

    /// Whether a tariff is binding, by its place.
    pub fn is_binding(&self, tariff: usize) -> bool {
        self.tariffs[tariff].effect == Effect::NonIdempotent
    }

    /// Whether executors may be asked to give up a job that they took.
    pub fn recalls(&self) -> bool {
        self.attempt_policy.cancellation
    }

    /// Whether two allocations of one unit may be out at once.
    pub fn second_copies(&self) -> bool {
        self.attempt_policy.hedging
    }

    /// What the operators promise of their executors: that a recall takes work that waits out of the queue.
    pub fn recalls_stop(&mut self, stop: bool) {
        self.attempt_policy.cancel_dequeues = stop && self.attempt_policy.cancellation;
    }

    /// A dispatcher that acts through `host` under this settings. `asks_list`: the list comes only to those who ask
    /// on this wire; `talks`: words between nodes have a form on it.
    pub fn dispatcher<H: Host>(&self, host: H, seed: u64, asks_list: bool, talks: bool) -> Dispatcher<H> {
        Dispatcher::new(host, seed, self.node, self.nodes, self.tariffs.clone())
            .with_attempt_policy(self.attempt_policy)
            .with_slow_start(self.slow_start)
            .with_signals(ExecutorSignals {
                must_watch_executors: asks_list,
                may_probe: self.probes,
                reports_starts: self.starts,
                progress_interval: self.progress,
            })
            .with_customer_quotas(&self.quotas)
            .with_load_sharing(self.peers && talks)
            .with_zone(self.zone)
    }
}

/// The share of each customer, and none for who is not among them, where there are some.
fn quotas(tenants: &[Object]) -> Result<Vec<f64>, ConfigError> {
    let quota = |tenant: &Object| Ok(tenant.number("quota_per_s", 0.0..=f64::MAX)?.unwrap_or(f64::INFINITY));
    let mut quotas = tenants.iter().map(quota).collect::<Result<Vec<f64>, ConfigError>>()?;
    if !quotas.is_empty() {
        quotas.push(0.0);
    }
    Ok(quotas)
}

fn names(parts: &[Object]) -> Result<Vec<String>, ConfigError> {
    parts.iter().map(|part| Ok(part.text("name")?.unwrap_or_default().to_owned())).collect()
}

/// The effect of a tariff's work, before its group and memory span are read.
#[derive(Clone, Copy)]
enum EffectKind {
    Idempotent,
    Keyed,
    NonIdempotent,
}

fn read_tariffs(
    root: &Object,
    family: &Object,
    tariffs: &[Object],
    kinds: usize,
) -> Result<Vec<RequestClass>, ConfigError> {
    if tariffs.is_empty() {
        return Err(root.invalid("tariffs", "a list of at least one tariff"));
    }
    let stretches = family.one_each("class_stretch", tariffs.len(), 0.0..=1e6)?;
    let most = if kinds == 0 { 1e6 } else { kinds as f64 - 1.0 };
    let only_kinds = family.one_each("class_kind", tariffs.len(), -1.0..=most)?;
    let at = |list: &Option<Vec<f64>>, at: usize| list.as_ref().map(|list| list[at]);
    let words = [
        ("read_like", EffectKind::Idempotent),
        ("idempotency_key", EffectKind::Keyed),
        ("non_idempotent", EffectKind::NonIdempotent),
    ];
    let groups = [
        ("all", DeduplicationScope::All),
        ("zone", DeduplicationScope::Zone),
        ("cell", DeduplicationScope::Cell),
    ];
    tariffs
        .iter()
        .enumerate()
        .map(|(place, tariff)| {
            // A wrong group is refused also where none is needed.
            tariff.word("group", &groups)?;
            let effect = match tariff.required_word("effect", &words)? {
                EffectKind::Idempotent => Effect::Idempotent,
                EffectKind::NonIdempotent => Effect::NonIdempotent,
                EffectKind::Keyed => Effect::Keyed {
                    scope: tariff.required_word("group", &groups)?,
                    deduplication_window: tariff.required_duration("memory_span_ns")?,
                },
            };
            let stretch = tariff.number("aim_stretch", 0.0..=1e6)?.or(at(&stretches, place));
            Ok(RequestClass {
                effect,
                latency_objective: tariff.required_duration("quoted_time_ns")?,
                stretch: stretch.unwrap_or(0.0),
                deadline: tariff.required_duration("patience_ns")?,
                value: tariff.number("earnings", 0.0..=f64::MAX)?.unwrap_or(1.0),
                kind: at(&only_kinds, place).filter(|&kind| kind >= 0.0).map(|kind| kind as usize),
            })
        })
        .collect()
}

/// The budget of further allocations, where there is one: all of it must be told.
fn read_retry_budget(contract: &Object) -> Result<Option<RetryBudget>, ConfigError> {
    let Some(window) = contract.duration("budget_span_ns")? else { return Ok(None) };
    let base = contract.required_number("extra_free", 0.0..=1e9)?;
    Ok(Some(RetryBudget { window, base, ratio: contract.required_number("further_ratio", 0.0..=1e3)? }))
}

/// What is promised of cold executors must be told: nobody can keep to what is not known.
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

const UTILISATION: &str = "load_share";
const FREE_SLOTS: &str = "x0";
/// The fields of a load report that the decisions use.
pub const USED_REPORT_FIELDS: [&str; 2] = [UTILISATION, FREE_SLOTS];

/// Which places of a load report hold the values that the decisions use.
#[derive(Clone, Copy, Debug)]
pub struct ReportLayout {
    utilisation: Option<usize>,
    free_slots: Option<usize>,
}

impl ReportLayout {
    fn of(fields: &[String], tells_free_slots: bool) -> ReportLayout {
        let place = |name: &str| fields.iter().position(|field| field == name);
        ReportLayout {
            utilisation: place(UTILISATION),
            free_slots: place(FREE_SLOTS).filter(|_| tells_free_slots),
        }
    }

    /// The report, from a look-up of its values by place.
    pub fn report(&self, value: impl Fn(usize) -> Option<f64>) -> LoadReport {
        LoadReport {
            utilisation: self.utilisation.and_then(&value),
            free_slots: self.free_slots.and_then(&value),
        }
    }
}
