//! A plan by which machines are taken out for work, in a file that staff write: TOML, read and checked whole.

use crate::fronts::parsed;
use grebeusher_maintenance::Plan;

/// Reads what a file holds. What it means by zones and kinds, and whether its machines are listed, only a node can say.
pub fn read(text: &str) -> Result<Plan, String> {
    let plan: Plan = parsed(text)?;
    let named = plan.of_zones.is_empty() && plan.of_kinds.is_empty();
    if named {
        plan.check()?
    } else {
        plan.check_terms()?
    }
    Ok(plan)
}
