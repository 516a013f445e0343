//! Scenario files that name another one as their base.

use std::path::Path;

/// What a file holds, over what its base does.
pub(super) fn table(path: &Path, depth: usize) -> Result<toml::Table, String> {
    const DEEPEST: usize = 4;
    let named = |what: String| format!("{}: {what}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
    let mut own: toml::Table = toml::from_str(&text).map_err(|e| named(e.to_string()))?;
    let Some(base) = own.remove("base") else { return Ok(own) };
    let Some(base) = base.as_str().filter(|_| depth < DEEPEST) else {
        return Err(named(format!(
            "base: expected the name of a file, {DEEPEST} deep at most, found {base}"
        )));
    };
    let mut whole = table(&path.with_file_name(base), depth + 1)?;
    lay(&mut whole, own);
    Ok(whole)
}

fn lay(under: &mut toml::Table, over: toml::Table) {
    for (key, value) in over {
        match (under.get_mut(&key), value) {
            (Some(toml::Value::Table(under)), toml::Value::Table(over)) => lay(under, over),
            (_, value) => drop(under.insert(key, value)),
        }
    }
}
