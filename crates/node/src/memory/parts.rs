//! This node's parts of the fleet's budgets.

use grebeusher_budgets::{Ask, Grant, Holder, Purse, Whole};
use grebeusher_charter::fleet::Budgets;
use grebeusher_dispatch::time::Moment;

pub struct Parts {
    /// For each budget the place of its tariff.
    tariffs: Vec<usize>,
    purses: Vec<Purse>,
}

/// The budgets of the operators' file.
pub fn wholes(posted: &Budgets) -> Vec<Whole> {
    let whole = |budget: &grebeusher_charter::fleet::Budget| Whole {
        units: budget.units,
        window_ms: budget.window_ms,
        floor: budget.floor,
        nodes: budget.nodes,
    };
    posted.of.iter().map(whole).collect()
}

impl Parts {
    /// `holder`: this node and its start.
    pub fn new(now: Moment, posted: &Budgets, tariffs: &[String], holder: Holder) -> Result<Parts, String> {
        let place = |(at, budget): (usize, &grebeusher_charter::fleet::Budget)| {
            let place = tariffs.iter().position(|name| *name == budget.tariff);
            place.ok_or_else(|| {
                let known = tariffs.join(", ");
                format!("budgets.of[{at}].tariff: expected one of {known}, found {:?}", budget.tariff)
            })
        };
        let tariffs = posted.of.iter().enumerate().map(place).collect::<Result<_, _>>()?;
        let purse = |(at, whole): (usize, &Whole)| Purse::new(now, holder, at as u16, whole, posted.lease());
        let purses = wholes(posted).iter().enumerate().map(purse).collect();
        Ok(Parts { tariffs, purses })
    }

    /// Spends a unit of each budget that the tariff has; `false` if one of them has none.
    pub fn may_spend(&mut self, now: Moment, tariff: usize) -> bool {
        let own = self.tariffs.iter().zip(&mut self.purses).filter(|(of, _)| **of == tariff);
        own.fold(true, |may, (_, purse)| purse.take(now) && may)
    }

    /// The same for one that has waited for a grant.
    pub fn may_spend_after_all(&mut self, now: Moment, tariff: usize) -> bool {
        let own = self.tariffs.iter().zip(&mut self.purses).filter(|(of, _)| **of == tariff);
        own.fold(true, |may, (_, purse)| purse.take_after_all(now) && may)
    }

    pub fn next_due(&self, now: Moment) -> Option<Moment> {
        self.purses.iter().filter_map(|purse| purse.next_due(now)).min()
    }

    /// What is to be asked of the keepers now.
    pub fn asks(&mut self, now: Moment) -> Vec<Ask> {
        self.purses.iter_mut().filter_map(|purse| purse.ask(now)).collect()
    }

    pub fn granted(&mut self, grant: &Grant) {
        if let Some(purse) = self.purses.get_mut(usize::from(grant.budget)) {
            purse.granted(grant);
        }
    }

    /// Units that may be spent now, of each budget, and units that were in its last window.
    pub fn figures(&mut self, now: Moment) -> Vec<(u32, usize)> {
        self.purses.iter_mut().map(|purse| (purse.part(now), purse.spent(now))).collect()
    }
}
