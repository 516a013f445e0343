//! The charter: the object that says at start what a deployment promises, the same on the users' bench and on
//! sockets. Everything that reads and checks it is here, and so is the file that a node on sockets is told it in.

pub mod fleet;
pub mod fronts;
pub mod plan;
pub mod posting;
mod section;

use grebeusher_dispatch::decide::Dispatcher;
use grebeusher_dispatch::host::Host;
use grebeusher_dispatch::tariffs::{Allowance, ColdStart, Effect, Further, Group, Report, Tariff};
use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use section::Section;
use serde_json::Value;

/// How the list of executors reaches a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListComes {
    Unasked,
    ToWhoAsks,
}

/// In what load reports come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    InAnswers,
    InProbes,
    Never,
}

/// What a deployment promises, checked. What stands for an index elsewhere is a place in one of its lists.
#[derive(Clone, Debug)]
pub struct Charter {
    pub tariff_names: Vec<String>,
    pub customer_names: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub list_comes: ListComes,
    /// Whether nodes may send each other words.
    pub peers: bool,
    pub probes: bool,
    /// When executors close idle connections at the latest, and when one has come up or never will.
    pub idle: Duration,
    pub dial_within: Duration,
    pub report_fields: Vec<String>,
    pub places: ReportPlaces,
    tariffs: Vec<Tariff>,
    allowance: Allowance,
    cold: ColdStart,
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

impl Charter {
    /// Reads and checks a charter; the error names the key and what was expected.
    pub fn read(charter: &Value) -> Result<Charter, String> {
        let whole = Section::whole(charter)?;
        let (caps, family, report) = (whole.part("caps")?, whole.part("family_info")?, whole.part("report")?);
        let (zones, kinds) = (whole.texts("zones")?, whole.texts("kinds")?);
        let tariffs = whole.parts("tariffs")?;
        let tenants = whole.parts("tenants")?;
        let reports = report
            .word(
                "via",
                &[("piggyback", Reports::InAnswers), ("pull", Reports::InProbes), ("silent", Reports::Never)],
            )?
            .unwrap_or(Reports::InAnswers);
        let report_fields = report.texts("fields")?;
        let tells_free_slots = family.text("report_x0")? == Some("free slots");
        let list_comes = whole.word(
            "registry_mode",
            &[("automatic", ListComes::Unasked), ("subscribe", ListComes::ToWhoAsks)],
        )?;
        let retry_after = caps.flag("retry_after")?;
        let longest_come_back = if retry_after { Some(caps.due_span("max_retry_after_ns")?) } else { None };
        let nodes = whole.count("fleet_size", 1..=u64::MAX)?.unwrap_or(1);
        let zone = whole.count("az", 0..=(zones.len().max(1) as u64 - 1))?.unwrap_or(0);
        Ok(Charter {
            tariff_names: names(&tariffs)?,
            customer_names: names(&tenants)?,
            list_comes: list_comes.unwrap_or(ListComes::ToWhoAsks),
            peers: caps.flag("peers")?,
            // The design probes where reports come in no other way.
            probes: caps.flag("may_probe")? && reports == Reports::InProbes,
            idle: caps.span("conn_idle_ns")?.unwrap_or(IDLE),
            dial_within: caps
                .span("dial_timeout_ns")?
                .filter(|span| span.nanos() > 0)
                .unwrap_or(CONNECT_TIMEOUT),
            places: ReportPlaces::of(&report_fields, tells_free_slots),
            report_fields,
            tariffs: read_tariffs(&whole, &family, &tariffs, kinds.len())?,
            allowance: Allowance {
                most_allocations: caps.count("most_allocations", 1..=1000)?.unwrap_or(1) as usize,
                second_copies: caps.flag("second_copies")?,
                recalls: caps.flag("cancelling")?,
                recalls_stop: false,
                patience_off: whole.part("contract")?.span("deadline_error_ns")?.unwrap_or_default(),
                further: further(&whole.part("contract")?)?,
                grace: whole.part("contract")?.span("stop_sending_within_ns")?.unwrap_or_default(),
                longest_come_back,
            },
            cold: cold_start(&whole.part("contract")?)?,
            starts: family.flag("tells_start")?,
            progress: family.span("progress_ns")?.filter(|pace| pace.nanos() > 0),
            quotas: quotas(&tenants)?,
            node: whole.count("me", 0..=nodes - 1)?.unwrap_or(0),
            nodes,
            zone: zone as usize,
            zones,
            kinds,
        })
    }

    /// The longest that any client waits.
    pub fn longest_patience(&self) -> Duration {
        self.tariffs.iter().map(|tariff| tariff.patience).max().unwrap_or_default()
    }

    /// How long the clients of a tariff wait.
    pub fn patience(&self, tariff: usize) -> Duration {
        self.tariffs[tariff].patience
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
        self.tariffs[tariff].effect == Effect::Binding
    }

    /// Whether executors may be asked to give up a job that they took.
    pub fn recalls(&self) -> bool {
        self.allowance.recalls
    }

    /// Whether two allocations of one unit may be out at once.
    pub fn second_copies(&self) -> bool {
        self.allowance.second_copies
    }

    /// What the operators promise of their executors: that a recall takes work that waits out of the queue.
    pub fn recalls_stop(&mut self, stop: bool) {
        self.allowance.recalls_stop = stop && self.allowance.recalls;
    }

    /// A dispatcher that acts through `host` under this charter. `asks_list`: the list comes only to those who ask
    /// on this wire; `talks`: words between nodes have a form on it.
    pub fn dispatcher<H: Host>(&self, host: H, seed: u64, asks_list: bool, talks: bool) -> Dispatcher<H> {
        Dispatcher::new(host, seed, self.node, self.nodes, self.tariffs.clone())
            .allowing(self.allowance)
            .cold_starts(self.cold)
            .noticing(asks_list, self.probes, self.starts, self.progress)
            .customers(&self.quotas)
            .talking(self.peers && talks)
            .standing_in(self.zone)
    }
}

/// The share of each customer, and none for who is not among them, where there are some.
fn quotas(tenants: &[Section]) -> Result<Vec<f64>, String> {
    let quota = |tenant: &Section| Ok(tenant.number("quota_per_s", 0.0..=f64::MAX)?.unwrap_or(f64::INFINITY));
    let mut quotas = tenants.iter().map(quota).collect::<Result<Vec<f64>, String>>()?;
    if !quotas.is_empty() {
        quotas.push(0.0);
    }
    Ok(quotas)
}

fn names(parts: &[Section]) -> Result<Vec<String>, String> {
    parts.iter().map(|part| Ok(part.text("name")?.unwrap_or_default().to_owned())).collect()
}

/// What the settings say of an effect, before its group and memory span are read.
#[derive(Clone, Copy)]
enum Word {
    Retriable,
    Fingerprinted,
    Binding,
}

fn read_tariffs(
    whole: &Section,
    family: &Section,
    tariffs: &[Section],
    kinds: usize,
) -> Result<Vec<Tariff>, String> {
    if tariffs.is_empty() {
        return Err(whole.wrong("tariffs", "a list of at least one tariff"));
    }
    let stretches = family.one_each("class_stretch", tariffs.len(), 0.0..=1e6)?;
    let most = if kinds == 0 { 1e6 } else { kinds as f64 - 1.0 };
    let only_kinds = family.one_each("class_kind", tariffs.len(), -1.0..=most)?;
    let at = |list: &Option<Vec<f64>>, at: usize| list.as_ref().map(|list| list[at]);
    let words = [
        ("read_like", Word::Retriable),
        ("idempotency_key", Word::Fingerprinted),
        ("non_idempotent", Word::Binding),
    ];
    let groups = [("all", Group::All), ("zone", Group::Zone), ("cell", Group::Cell)];
    tariffs
        .iter()
        .enumerate()
        .map(|(place, tariff)| {
            // A wrong group is refused also where none is needed.
            tariff.word("group", &groups)?;
            let effect = match tariff.due_word("effect", &words)? {
                Word::Retriable => Effect::Retriable,
                Word::Binding => Effect::Binding,
                Word::Fingerprinted => Effect::Fingerprinted {
                    group: tariff.due_word("group", &groups)?,
                    memory_span: tariff.due_span("memory_span_ns")?,
                },
            };
            let stretch = tariff.number("aim_stretch", 0.0..=1e6)?.or(at(&stretches, place));
            Ok(Tariff {
                effect,
                quoted_time: tariff.due_span("quoted_time_ns")?,
                stretch: stretch.unwrap_or(0.0),
                patience: tariff.due_span("patience_ns")?,
                earnings: tariff.number("earnings", 0.0..=f64::MAX)?.unwrap_or(1.0),
                kind: at(&only_kinds, place).filter(|&kind| kind >= 0.0).map(|kind| kind as usize),
            })
        })
        .collect()
}

/// The budget of further allocations, where there is one: all of it must be told.
fn further(contract: &Section) -> Result<Option<Further>, String> {
    let Some(span) = contract.span("budget_span_ns")? else { return Ok(None) };
    let free = contract.due_number("extra_free", 0.0..=1e9)?;
    Ok(Some(Further { span, free, share: contract.due_number("further_ratio", 0.0..=1e3)? }))
}

/// What is promised of cold executors must be told: nobody can keep to what is not known.
fn cold_start(contract: &Section) -> Result<ColdStart, String> {
    Ok(ColdStart {
        share: contract.due_number("cold_share", 0.0..=1.0)?,
        warm_within: Duration::from_nanos(contract.due_number("warm_within_ns", 0.0..=1e18)? as u64),
        fall_factor: contract.due_number("overload_factor", 0.0..=1e6)?,
        fall_window: contract.due_span("fall_ns")?,
        starts_off: contract.span("ready_margin_ns")?.unwrap_or_default(),
        from: Instant(0),
    })
}

const UTILISATION: &str = "load_share";
const FREE_SLOTS: &str = "x0";
/// The fields of a load report that the decisions use.
pub const FIELDS_READ: [&str; 2] = [UTILISATION, FREE_SLOTS];

/// Which places of a load report hold the values that the decisions use.
#[derive(Clone, Copy, Debug)]
pub struct ReportPlaces {
    utilisation: Option<usize>,
    free_slots: Option<usize>,
}

impl ReportPlaces {
    fn of(fields: &[String], tells_free_slots: bool) -> ReportPlaces {
        let place = |name: &str| fields.iter().position(|field| field == name);
        ReportPlaces {
            utilisation: place(UTILISATION),
            free_slots: place(FREE_SLOTS).filter(|_| tells_free_slots),
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
