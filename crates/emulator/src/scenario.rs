//! The scenario file: TOML, read and checked whole before anything runs. What is wrong is named by its place, what was
//! expected and what stands there.

mod check;
mod fault;
mod file;
mod sections;

pub use fault::{Fault, Side, Storm, Way, What, Whom};
pub use sections::{
    Budget, Clients, Discovery, Effect, Executors, Maintenance, Network, Nodes, OffClock, Rules, Tariff,
};

use grebeusher_dispatch::ids::mix64;
use rand::distr::weighted::WeightedIndex;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::Deserialize;
use std::path::Path;

/// A whole scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    #[serde(default = "default_seed")]
    pub seed: u64,
    pub length_s: f64,
    /// What comes in the first seconds is not counted.
    #[serde(default)]
    pub settles_s: f64,
    pub nodes: Nodes,
    pub executors: Vec<Executors>,
    pub tariffs: Vec<Tariff>,
    #[serde(default)]
    pub network: Network,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub faults: Vec<Fault>,
    pub storm: Option<Storm>,
    /// What the whole fleet may spend, with real nodes that talk.
    #[serde(default)]
    pub budgets: Vec<Budget>,
    /// A plan by which executors are taken out for work, with real nodes that talk.
    pub maintenance: Option<Maintenance>,
}

fn default_seed() -> u64 {
    1
}

impl Scenario {
    /// Reads and checks a file; what is wrong is named with it. One that names another as its `base` changes only what it
    /// says: a table key by key, all else whole.
    pub fn of_file(path: &Path) -> Result<Scenario, String> {
        let named = |what: String| format!("{}: {what}", path.display());
        let table = file::table(path, 0)?;
        Scenario::checked(toml::Value::Table(table)).map_err(named)
    }

    /// Reads and checks what a file without a base holds.
    pub fn read(text: &str) -> Result<Scenario, String> {
        let table: toml::Table = toml::from_str(text).map_err(|e| e.to_string())?;
        Scenario::checked(toml::Value::Table(table))
    }

    fn checked(read: toml::Value) -> Result<Scenario, String> {
        let scenario: Scenario = serde_path_to_error::deserialize(read)
            .map_err(|e| format!("{}: {}", e.path(), e.inner().message()))?;
        scenario.check()?;
        Ok(scenario)
    }

    pub fn zone(&self, name: &str) -> Option<usize> {
        self.nodes.zones.iter().position(|zone| zone == name)
    }

    /// The same for another seed, with the storm that it draws.
    pub fn of_seed(&self, seed: u64) -> Scenario {
        let mut scenario = Scenario { seed, ..self.clone() };
        if let Some(storm) = scenario.storm.take() {
            let mut chance = Pcg32::seed_from_u64(mix64(seed));
            scenario.faults.extend(storm.draw(&mut chance, &self.nodes.zones));
        }
        scenario
    }

    /// Each executor's kind, by its place in `executors`, and its zone.
    pub fn places(&self) -> Vec<(usize, usize)> {
        let mut places = Vec::new();
        for (kind, e) in self.executors.iter().enumerate() {
            let own: Vec<usize> = e.zones.iter().filter_map(|name| self.zone(name)).collect();
            for number in 0..e.count {
                let in_turn = places.len() % self.nodes.zones.len();
                places.push((kind, if own.is_empty() { in_turn } else { own[number % own.len()] }));
            }
        }
        places
    }

    /// What comes at each node against the others; `None` where all get as much.
    pub fn shares(&self) -> Option<WeightedIndex<f64>> {
        let n = &self.nodes;
        if n.busiest == 1.0 && n.zone_shares.is_empty() {
            return None;
        }
        let zones = n.zones.len();
        // A zone's share is that of all its nodes together.
        let stand = |zone: usize| (n.count + zones - 1 - zone) / zones;
        let even = |at: usize| n.zone_shares.get(at % zones).map_or(1.0, |s| s / stand(at % zones) as f64);
        let mut shares: Vec<f64> = (0..n.count).map(even).collect();
        shares[0] *= n.busiest;
        // All are above nothing, as was checked.
        WeightedIndex::new(shares).ok()
    }

    /// The place of the first thing that only real processes have.
    pub fn real_only(&self) -> Option<String> {
        const SAYS: &str = "only real processes have this fault, the model can't play it";
        let drawn = self.storm.as_ref().and_then(|storm| storm.what.iter().position(|what| what.is_real()));
        let listed = self.faults.iter().position(|fault| fault.what.is_real());
        let listed = listed.map(|at| format!("faults[{at}].what: {SAYS}"));
        let clocks = (!self.nodes.clocks.is_empty()).then(|| format!("nodes.clocks: {SAYS}"));
        let listed = clocks.or(listed);
        listed.or_else(|| drawn.map(|at| format!("storm.what[{at}]: {SAYS}")))
    }

    /// Whom a fault strikes, out of those that stand in these zones: a part of them, or one zone.
    pub fn whom(&self, fault: &Fault, zones: &[usize], chance: &mut impl Rng) -> Vec<usize> {
        let count = zones.len();
        if let Some(these) = &fault.these {
            return these.iter().copied().filter(|at| *at < count).collect();
        }
        match &fault.zone {
            Some(name) => {
                let zone = self.zone(name);
                (0..count).filter(|&at| Some(zones[at]) == zone).collect()
            }
            None => {
                let part = (fault.part.unwrap_or(0.0) * count as f64).round() as usize;
                let mut picked = sample(chance, count, part).into_vec();
                picked.sort_unstable();
                picked
            }
        }
    }

    /// The mean size of what comes, over all tariffs.
    pub fn mean_size_s(&self) -> f64 {
        let per_s: f64 = self.tariffs.iter().map(|t| t.per_s).sum();
        self.tariffs.iter().map(|t| t.per_s * t.size.mean_s()).sum::<f64>() / per_s
    }

    /// What comes over what all executors can do when warm.
    pub fn load(&self) -> f64 {
        let comes: f64 = self.tariffs.iter().map(|t| t.per_s * t.size.mean_s()).sum();
        comes / self.executors.iter().map(|e| e.count as f64 * e.slots as f64 * e.pace).sum::<f64>()
    }

    /// The same with so much coming that the load is this.
    pub fn at_load(&self, load: f64) -> Scenario {
        let factor = load / self.load();
        let mut scenario = self.clone();
        scenario.tariffs.iter_mut().for_each(|tariff| tariff.per_s *= factor);
        scenario
    }
}
