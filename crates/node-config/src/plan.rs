//! A maintenance plan, in a file that the staff write: TOML, read and checked as a whole.

use crate::error::{ConfigError, InvalidPlanSnafu};
use crate::toml_file::parse;
use grebeusher_maintenance::Plan;

/// Reads and checks a plan. What it means by zones and kinds, and whether its machines are listed, only a node can say.
///
/// # Errors
/// The text is no TOML, a key is unknown or of the wrong type, or the plan contradicts itself.
pub fn read(text: &str) -> Result<Plan, ConfigError> {
    let plan: Plan = parse(text)?;
    let names_machines = plan.of_zones.is_empty() && plan.of_kinds.is_empty();
    let checked = if names_machines { plan.check() } else { plan.check_terms() };
    checked.map_err(|reason| InvalidPlanSnafu { reason }.build())?;
    Ok(plan)
}
