//! This node's parts of the fleet's budgets.

use grebeusher_budgets::{Ask, Grant, Holder, Key, Purse, Whole, Wholes};
use grebeusher_dispatch::time::Instant;
use grebeusher_node_config::fleet::{Budget, BudgetSettings};

/// What is spent of a budget.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Spends {
    Unit,
    FurtherAllocation,
}

/// The places of a unit's tariff and customer.
pub type Of = (usize, usize);

struct Part {
    name: String,
    spends: Spends,
    tariff: Option<usize>,
    customer: Option<usize>,
    key: Key,
    purse: Purse,
}

impl Part {
    fn counts(&self, spends: Spends, (tariff, customer): Of) -> bool {
        self.spends == spends
            && self.tariff.is_none_or(|own| own == tariff)
            && self.customer.is_none_or(|own| own == customer)
    }
}

pub struct Parts {
    holder: Holder,
    posted: BudgetSettings,
    tariffs: Vec<String>,
    customers: Vec<String>,
    parts: Vec<Part>,
    /// The newest edition that the keepers have answered by.
    settled: u64,
}

fn whole(budget: &Budget) -> Whole {
    Whole { units: budget.units, window_ms: budget.window_ms, floor: budget.floor, nodes: budget.nodes }
}

/// The budgets of the operators' file.
pub fn wholes(posted: &BudgetSettings) -> Wholes {
    let of = posted.of.iter().map(|budget| {
        let whole = whole(budget);
        (whole.key(&budget.name(), posted.lease()), whole)
    });
    Wholes { edition: posted.edition, of: of.collect() }
}

impl Parts {
    /// `holder`: this node and its start.
    pub fn new(
        now: Instant,
        posted: &BudgetSettings,
        (tariffs, customers): (&[String], &[String]),
        holder: Holder,
    ) -> Result<Parts, String> {
        let mut parts = Parts {
            holder,
            posted: posted.clone(),
            tariffs: tariffs.to_vec(),
            customers: customers.to_vec(),
            parts: Vec::new(),
            settled: 0,
        };
        parts.parts = parts.read(now, posted, Vec::new())?;
        Ok(parts)
    }

    /// The parts by a file; those that there are already stay as they are.
    fn read(
        &self,
        now: Instant,
        posted: &BudgetSettings,
        mut before: Vec<Part>,
    ) -> Result<Vec<Part>, String> {
        let place = |key: &str, at: usize, all: &[String], name: &Option<String>| {
            let Some(name) = name else { return Ok(None) };
            let place = all.iter().position(|known| known == name);
            let known = all.join(", ");
            let wrong = || format!("budgets.of[{at}].{key}: expected one of {known}, found {name:?}");
            place.map(Some).ok_or_else(wrong)
        };
        let mut parts = Vec::new();
        for (at, budget) in posted.of.iter().enumerate() {
            let whole = whole(budget);
            let key = whole.key(&budget.name(), posted.lease());
            let known = before.iter().position(|part| part.key == key).map(|at| before.swap_remove(at));
            let purse = known.map(|part| part.purse);
            parts.push(Part {
                name: budget.name(),
                spends: if budget.further { Spends::FurtherAllocation } else { Spends::Unit },
                tariff: place("tariff", at, &self.tariffs, &budget.tariff)?,
                customer: place("customer", at, &self.customers, &budget.customer)?,
                key,
                purse: purse.unwrap_or_else(|| Purse::new(now, self.holder, key, &whole, posted.lease())),
            });
        }
        Ok(parts)
    }

    /// The file was read anew; an error leaves all as it was.
    pub fn reads(&mut self, now: Instant, posted: &BudgetSettings) -> Result<(), String> {
        if posted.edition <= self.posted.edition {
            let same = posted.edition == self.posted.edition
                && (&posted.of, posted.lease()) == (&self.posted.of, self.posted.lease());
            let (known, found) = (self.posted.edition, posted.edition);
            let wrong = || format!("budgets.edition: expected more than {known} for a change, found {found}");
            return if same { Ok(()) } else { Err(wrong()) };
        }
        // Checked whole before anything changes.
        self.read(now, posted, Vec::new())?;
        let before = std::mem::take(&mut self.parts);
        self.parts = self.read(now, posted, before)?;
        self.posted = posted.clone();
        Ok(())
    }

    fn counting(&mut self, spends: Spends, of: Of) -> impl Iterator<Item = &mut Purse> {
        self.parts.iter_mut().filter(move |part| part.counts(spends, of)).map(|part| &mut part.purse)
    }

    /// Spends a unit of each budget that counts this, or of none if one of them has none.
    pub fn may_spend(&mut self, now: Instant, spends: Spends, of: Of) -> bool {
        let may = self.counting(spends, of).all(|purse| purse.has_one(now));
        // Those that have one keep it: only those that lack one are asked for more.
        for purse in self.counting(spends, of) {
            if may || !purse.has_one(now) {
                purse.take(now);
            }
        }
        may
    }

    /// The same for one that has waited for a grant.
    pub fn may_spend_after_all(&mut self, now: Instant, spends: Spends, of: Of) -> bool {
        let may = self.counting(spends, of).all(|purse| purse.has_one(now));
        if may {
            self.counting(spends, of).for_each(|purse| _ = purse.take_after_all(now));
        }
        may
    }

    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        self.parts.iter().filter_map(|part| part.purse.next_due(now)).min()
    }

    /// Whether this node has something that was granted to it.
    pub fn holds_any(&self, now: Instant) -> bool {
        self.parts.iter().any(|part| part.purse.holds(now) > 0)
    }

    /// What is to be asked of the keepers now.
    pub fn asks(&mut self, now: Instant) -> Vec<Ask> {
        self.parts.iter_mut().filter_map(|part| part.purse.ask(now)).collect()
    }

    pub fn granted(&mut self, grant: &Grant) {
        self.settled = self.settled.max(grant.edition);
        if let Some(part) = self.parts.iter_mut().find(|part| part.key == grant.budget) {
            part.purse.granted(grant);
        }
    }

    /// The editions of this node's file, and by which the keepers have answered it last.
    pub fn editions(&self) -> (u64, u64) {
        (self.posted.edition, self.settled)
    }

    /// What this node's file says, for keepers who go by an older one.
    pub fn wholes(&self) -> Wholes {
        wholes(&self.posted)
    }

    /// Of each budget its name, units that may be spent now, and units that were in its last window.
    pub fn figures(&mut self, now: Instant) -> Vec<(String, u32, usize)> {
        let figures = |part: &mut Part| (part.name.clone(), part.purse.part(now), part.purse.spent(now));
        self.parts.iter_mut().map(figures).collect()
    }
}

#[cfg(test)]
mod stories {
    use super::*;

    const FILE: &str = "[fellows]\nfleet = \"f\"\nsecret = \"12345678\"\ncontacts = [\"127.0.0.1:1\"]\n[keepers]\nnodes = [0]\n\
                        [budgets]\nedition = 2\n[[budgets.of]]\ntariff = \"a\"\nunits = 8\nfloor = 4\nnodes = 1\n\
                        [[budgets.of]]\ncustomer = \"c\"\nunits = 8\nfloor = 1\nnodes = 1\n\
                        [[budgets.of]]\nfurther = true\nunits = 2\nfloor = 2\nnodes = 1\n";

    fn posted(from: &str, to: &str) -> BudgetSettings {
        let fleet = grebeusher_node_config::fleet::FleetSettings::read(&FILE.replacen(from, to, 1));
        fleet.expect("it is whole").budgets.expect("it has some")
    }

    fn parts() -> (Parts, Instant) {
        let (tariffs, customers) = (["a".to_owned(), "b".to_owned()], ["x".to_owned(), "c".to_owned()]);
        let holder = Holder { number: 0, generation: 1 };
        let parts = Parts::new(Instant(0), &posted("", ""), (&tariffs, &customers), holder);
        (parts.expect("all is known"), Instant(2_000_000_000))
    }

    /// Guards against a unit that drains one budget each time that it asks, while another has nothing for it.
    #[test]
    fn what_one_budget_refuses_costs_the_others_nothing() {
        let (mut parts, now) = parts();
        assert!(parts.may_spend(now, Spends::Unit, (0, 1)), "of the tariff and of the customer");
        for _ in 0..10 {
            assert!(!parts.may_spend(now, Spends::Unit, (0, 1)), "the customer has had its own");
            assert!(!parts.may_spend_after_all(now, Spends::Unit, (0, 1)));
        }
        assert!((0..3).all(|_| parts.may_spend(now, Spends::Unit, (0, 0))), "three of the tariff are left");
        assert!(!parts.may_spend(now, Spends::Unit, (0, 0)));
        assert!(parts.may_spend(now, Spends::Unit, (1, 0)), "nothing counts these");
        assert!(parts.may_spend(now, Spends::FurtherAllocation, (1, 0)), "but what they are sent again");
    }

    /// Guards against a file that is read anew half, without a new edition, or so that what was spent is forgotten.
    #[test]
    fn a_file_that_is_read_anew_counts_whole_and_with_a_newer_edition_only() {
        let (mut parts, now) = parts();
        assert!((0..4).all(|_| parts.may_spend(now, Spends::Unit, (0, 0))));
        let same_edition = parts.reads(now, &posted("units = 8", "units = 6"));
        assert!(same_edition.is_err_and(|wrong| wrong.contains("expected more than 2")));
        let older = posted("edition = 2", "edition = 1");
        assert!(parts.reads(now, &older).is_err());
        let unknown = posted(
            "edition = 2\n[[budgets.of]]\ntariff = \"a\"",
            "edition = 3\n[[budgets.of]]\ntariff = \"z\"",
        );
        assert!(parts.reads(now, &unknown).is_err_and(|wrong| wrong.contains("budgets.of[0].tariff")));
        assert_eq!(parts.editions(), (2, 0), "nothing has changed");
        let newer = posted(
            "edition = 2\n[[budgets.of]]\ntariff = \"a\"\nunits = 8",
            "edition = 3\n[[budgets.of]]\ntariff = \"a\"\nunits = 6",
        );
        assert_eq!(parts.reads(now, &newer), Ok(()));
        assert!(!parts.may_spend(now, Spends::Unit, (0, 0)), "the floor is spent");
        assert_eq!(parts.wholes().edition, 3);
    }
}
