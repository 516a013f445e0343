//! This node's shares of the fleet's budgets.

use grebeusher_budgets::{BudgetKey, FleetBudget, FleetBudgets, Grant, GrantRequest, Holder, LocalQuota};
use grebeusher_dispatch::time::Instant;
use grebeusher_node_config::fleet::{Budget, BudgetSettings};

/// What a unit of a budget is spent on.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum BudgetUse {
    Request,
    /// An attempt after the first attempt of a request.
    FurtherAttempt,
}

/// The indices of a request's class and customer, which decide which budgets count it.
pub type BudgetScope = (usize, usize);

struct BudgetShare {
    name: String,
    budget_use: BudgetUse,
    /// The index of the only class that the budget counts; `None` if it counts all.
    class: Option<usize>,
    /// The index of the only customer that the budget counts; `None` if it counts all.
    customer: Option<usize>,
    key: BudgetKey,
    quota: LocalQuota,
}

impl BudgetShare {
    fn counts(&self, budget_use: BudgetUse, (class, customer): BudgetScope) -> bool {
        self.budget_use == budget_use
            && self.class.is_none_or(|only| only == class)
            && self.customer.is_none_or(|only| only == customer)
    }
}

pub struct BudgetShares {
    holder: Holder,
    settings: BudgetSettings,
    class_names: Vec<String>,
    customer_names: Vec<String>,
    shares: Vec<BudgetShare>,
    /// The newest edition of the budgets under which the voters have granted something to this node.
    granted_edition: u64,
}

fn fleet_budget(budget: &Budget) -> FleetBudget {
    FleetBudget { units: budget.units, window_ms: budget.window_ms, floor: budget.floor, nodes: budget.nodes }
}

/// The budgets of these settings, for the whole fleet.
pub fn fleet_budgets(settings: &BudgetSettings) -> FleetBudgets {
    let budgets = settings.of.iter().map(|budget| {
        let definition = fleet_budget(budget);
        (definition.key(&budget.name(), settings.lease()), definition)
    });
    FleetBudgets { edition: settings.edition, of: budgets.collect() }
}

impl BudgetShares {
    /// `holder` is the number of this node and the generation of its process.
    pub fn new(
        now: Instant,
        settings: &BudgetSettings,
        (class_names, customer_names): (&[String], &[String]),
        holder: Holder,
    ) -> Result<BudgetShares, String> {
        let mut shares = BudgetShares {
            holder,
            settings: settings.clone(),
            class_names: class_names.to_vec(),
            customer_names: customer_names.to_vec(),
            shares: Vec::new(),
            granted_edition: 0,
        };
        shares.shares = shares.build(now, settings, Vec::new())?;
        Ok(shares)
    }

    /// The shares for these settings. A budget whose key is unchanged keeps the state of its `previous` share.
    fn build(
        &self,
        now: Instant,
        settings: &BudgetSettings,
        mut previous: Vec<BudgetShare>,
    ) -> Result<Vec<BudgetShare>, String> {
        let find = |key: &str, at: usize, names: &[String], name: &Option<String>| {
            let Some(name) = name else { return Ok(None) };
            let index = names.iter().position(|known| known == name);
            let expected = names.join(", ");
            let error = || format!("budgets.of[{at}].{key}: expected one of {expected}, found {name:?}");
            index.map(Some).ok_or_else(error)
        };
        let mut shares = Vec::new();
        for (at, budget) in settings.of.iter().enumerate() {
            let definition = fleet_budget(budget);
            let key = definition.key(&budget.name(), settings.lease());
            let kept = previous.iter().position(|share| share.key == key).map(|at| previous.swap_remove(at));
            let quota = kept.map(|share| share.quota);
            shares.push(BudgetShare {
                name: budget.name(),
                budget_use: if budget.further { BudgetUse::FurtherAttempt } else { BudgetUse::Request },
                class: find("tariff", at, &self.class_names, &budget.tariff)?,
                customer: find("customer", at, &self.customer_names, &budget.customer)?,
                key,
                quota: quota
                    .unwrap_or_else(|| LocalQuota::new(now, self.holder, key, &definition, settings.lease())),
            });
        }
        Ok(shares)
    }

    /// Applies settings that were read again; an error changes nothing.
    pub fn reload(&mut self, now: Instant, settings: &BudgetSettings) -> Result<(), String> {
        if settings.edition <= self.settings.edition {
            let is_same = settings.edition == self.settings.edition
                && (&settings.of, settings.lease()) == (&self.settings.of, self.settings.lease());
            let (current, found) = (self.settings.edition, settings.edition);
            let error =
                || format!("budgets.edition: expected more than {current} for a change, found {found}");
            return if is_same { Ok(()) } else { Err(error()) };
        }
        // Validates all of the settings before anything changes.
        self.build(now, settings, Vec::new())?;
        let previous = std::mem::take(&mut self.shares);
        self.shares = self.build(now, settings, previous)?;
        self.settings = settings.clone();
        Ok(())
    }

    fn counting_quotas(
        &mut self,
        budget_use: BudgetUse,
        scope: BudgetScope,
    ) -> impl Iterator<Item = &mut LocalQuota> {
        self.shares
            .iter_mut()
            .filter(move |share| share.counts(budget_use, scope))
            .map(|share| &mut share.quota)
    }

    /// Spends one unit of each budget that counts this, or of none of them if one has no unit left.
    pub fn try_spend(&mut self, now: Instant, budget_use: BudgetUse, scope: BudgetScope) -> bool {
        let allowed = self.counting_quotas(budget_use, scope).all(|quota| quota.has_unit(now));
        // If one budget is used up, the others keep their unit, and only those that are used up record the refusal, by
        // which they request more.
        for quota in self.counting_quotas(budget_use, scope) {
            if allowed || !quota.has_unit(now) {
                quota.try_spend(now);
            }
        }
        allowed
    }

    /// Spends like [`Self::try_spend`], for a request that was refused before and has waited for a grant.
    pub fn try_spend_after_wait(&mut self, now: Instant, budget_use: BudgetUse, scope: BudgetScope) -> bool {
        let allowed = self.counting_quotas(budget_use, scope).all(|quota| quota.has_unit(now));
        if allowed {
            self.counting_quotas(budget_use, scope).for_each(|quota| _ = quota.try_spend_after_wait(now));
        }
        allowed
    }

    pub fn next_timeout(&self, now: Instant) -> Option<Instant> {
        self.shares.iter().filter_map(|share| share.quota.next_due(now)).min()
    }

    /// Whether this node holds units that were granted to it, beyond its floors.
    pub fn holds_grants(&self, now: Instant) -> bool {
        self.shares.iter().any(|share| share.quota.granted_units(now) > 0)
    }

    /// The requests that are now due to be sent to the voters.
    pub fn due_requests(&mut self, now: Instant) -> Vec<GrantRequest> {
        self.shares.iter_mut().filter_map(|share| share.quota.next_request(now)).collect()
    }

    pub fn apply_grant(&mut self, grant: &Grant) {
        self.granted_edition = self.granted_edition.max(grant.edition);
        if let Some(share) = self.shares.iter_mut().find(|share| share.key == grant.budget) {
            share.quota.apply_grant(grant);
        }
    }

    /// The edition of this node's settings, and the newest edition under which the voters have granted something to
    /// this node (0 before the first grant).
    pub fn editions(&self) -> (u64, u64) {
        (self.settings.edition, self.granted_edition)
    }

    /// The fleet's budgets by this node's settings, for voters that still apply an older edition.
    pub fn fleet_budgets(&self) -> FleetBudgets {
        fleet_budgets(&self.settings)
    }

    /// For each budget: its name, the units that this node may spend in a window now, and the units that it spent in the
    /// latest window.
    pub fn usage(&mut self, now: Instant) -> Vec<(String, u32, usize)> {
        let usage = |share: &mut BudgetShare| {
            (share.name.clone(), share.quota.allowance(now), share.quota.spent(now))
        };
        self.shares.iter_mut().map(usage).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FLEET_FILE: &str = "[fellows]\nfleet = \"f\"\nsecret = \"12345678\"\ncontacts = [\"127.0.0.1:1\"]\n[keepers]\nnodes = [0]\n\
                        [budgets]\nedition = 2\n[[budgets.of]]\ntariff = \"a\"\nunits = 8\nfloor = 4\nnodes = 1\n\
                        [[budgets.of]]\ncustomer = \"c\"\nunits = 8\nfloor = 1\nnodes = 1\n\
                        [[budgets.of]]\nfurther = true\nunits = 2\nfloor = 2\nnodes = 1\n";

    /// The budgets of the fleet file after one replacement in its text.
    fn settings_with(from: &str, to: &str) -> BudgetSettings {
        let fleet = grebeusher_node_config::fleet::FleetSettings::read(&FLEET_FILE.replacen(from, to, 1));
        fleet.expect("a valid fleet file").budgets.expect("the file has budgets")
    }

    fn shares() -> (BudgetShares, Instant) {
        let (classes, customers) = (["a".to_owned(), "b".to_owned()], ["x".to_owned(), "c".to_owned()]);
        let holder = Holder { number: 0, generation: 1 };
        let shares = BudgetShares::new(Instant(0), &settings_with("", ""), (&classes, &customers), holder);
        (shares.expect("classes and customers are known"), Instant(2_000_000_000))
    }

    /// Guards against a request that uses up one budget by asking repeatedly while another budget refuses it.
    #[test]
    fn a_refusal_by_one_budget_spends_nothing_of_the_others() {
        let (mut shares, now) = shares();
        assert!(shares.try_spend(now, BudgetUse::Request, (0, 1)), "counted by the class and the customer");
        for _ in 0..10 {
            assert!(!shares.try_spend(now, BudgetUse::Request, (0, 1)), "the customer's budget is used up");
            assert!(!shares.try_spend_after_wait(now, BudgetUse::Request, (0, 1)));
        }
        assert!(
            (0..3).all(|_| shares.try_spend(now, BudgetUse::Request, (0, 0))),
            "three units of the class are left"
        );
        assert!(!shares.try_spend(now, BudgetUse::Request, (0, 0)));
        assert!(shares.try_spend(now, BudgetUse::Request, (1, 0)), "no budget counts these requests");
        assert!(
            shares.try_spend(now, BudgetUse::FurtherAttempt, (1, 0)),
            "a budget counts their further attempts"
        );
    }

    /// Guards against a reload that is applied in part, or without a newer edition, or that forgets what was spent.
    #[test]
    fn a_reload_applies_whole_and_only_with_a_newer_edition() {
        let (mut shares, now) = shares();
        assert!((0..4).all(|_| shares.try_spend(now, BudgetUse::Request, (0, 0))));
        let same_edition = shares.reload(now, &settings_with("units = 8", "units = 6"));
        assert!(same_edition.is_err_and(|error| error.contains("expected more than 2")));
        let older = settings_with("edition = 2", "edition = 1");
        assert!(shares.reload(now, &older).is_err());
        let unknown_class = settings_with(
            "edition = 2\n[[budgets.of]]\ntariff = \"a\"",
            "edition = 3\n[[budgets.of]]\ntariff = \"z\"",
        );
        assert!(
            shares.reload(now, &unknown_class).is_err_and(|error| error.contains("budgets.of[0].tariff"))
        );
        assert_eq!(shares.editions(), (2, 0), "nothing has changed");
        let newer = settings_with(
            "edition = 2\n[[budgets.of]]\ntariff = \"a\"\nunits = 8",
            "edition = 3\n[[budgets.of]]\ntariff = \"a\"\nunits = 6",
        );
        assert_eq!(shares.reload(now, &newer), Ok(()));
        assert!(!shares.try_spend(now, BudgetUse::Request, (0, 0)), "the floor is spent");
        assert_eq!(shares.fleet_budgets().edition, 3);
    }
}
