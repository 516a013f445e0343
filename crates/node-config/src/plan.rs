//! Reads maintenance plans from TOML files that the operators write. The whole file is checked when it is read.

use crate::error::{ConfigError, InvalidPlanSnafu};
use crate::toml_file::parse;
use grebeusher_maintenance::Plan;

/// Parses and checks a plan. Only a node can resolve its zones and kinds to machines and check that the machines it names
/// are registered.
///
/// # Errors
/// The text is not valid TOML, a key is unknown, a value has the wrong type, or the plan contradicts itself.
pub fn read(text: &str) -> Result<Plan, ConfigError> {
    let plan: Plan = parse(text)?;
    let names_machines = plan.of_zones.is_empty() && plan.of_kinds.is_empty();
    let check_result = if names_machines { plan.check() } else { plan.check_terms() };
    check_result.map_err(|reason| InvalidPlanSnafu { reason }.build())?;
    Ok(plan)
}
