//! The command line tool that converts a node's configuration to a new kind of deployment.

use clap::{Parser, ValueEnum};
use grebeusher_migrate::{Deployment, convert};
use grebeusher_node_config::node_settings::read_json;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tempfile::NamedTempFile;

/// Reads a node's configuration of the old shape, writes its counterpart for the new one, and lists each key that was
/// changed, dropped or could not be carried over.
#[derive(Parser)]
#[command(version)]
struct CommandLine {
    /// The configuration as it is; it is never written to
    old: PathBuf,
    /// Where the counterpart goes
    new: PathBuf,
    /// Lists the same and writes nothing
    #[arg(long)]
    dry_run: bool,
    /// Replaces what is already there under the new name
    #[arg(long)]
    replace: bool,
    /// How the executor list comes
    #[arg(long, value_enum, default_value = "unasked")]
    list: List,
    /// Executors may be probed
    #[arg(long)]
    probes: bool,
    /// Nodes may send each other words
    #[arg(long)]
    peers: bool,
    /// The new zones, in the order of the new deployment
    #[arg(long, value_delimiter = ',', value_name = "ZONE,...")]
    zones: Vec<String>,
    /// The new zone of this node, where its old one is no more
    #[arg(long, value_name = "ZONE")]
    zone: Option<String>,
    /// What load reports hold, in their order
    #[arg(long, value_delimiter = ',', value_name = "FIELD,...")]
    report_fields: Vec<String>,
    /// Whether executors tell of starts
    #[arg(long, value_enum)]
    starts: Option<Starts>,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum List {
    Unasked,
    Asked,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Starts {
    Told,
    Untold,
}

/// Writes the text atomically: into a temporary file in the same folder, which is then renamed to the target.
fn write_atomically(old: &Path, new: &Path, replace: bool, text: &str) -> Result<(), String> {
    let failed = |e: io::Error| format!("{}: {e}", new.display());
    let folder = new.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let mut beside = NamedTempFile::new_in(folder).map_err(failed)?;
    beside.write_all(text.as_bytes()).map_err(failed)?;
    // The new file has the permissions of the old one.
    fs::metadata(old)
        .and_then(|old| fs::set_permissions(beside.path(), old.permissions()))
        .map_err(failed)?;
    beside.as_file().sync_all().map_err(failed)?;
    let kept = if replace { beside.persist(new) } else { beside.persist_noclobber(new) };
    kept.map(drop).map_err(|e| failed(e.error))
}

fn migrate(line: CommandLine) -> Result<(), String> {
    let CommandLine { old, new, dry_run, replace, .. } = line;
    let deployment = Deployment {
        list_unasked: line.list == List::Unasked,
        probes: line.probes,
        peers: line.peers,
        zones: line.zones,
        zone: line.zone,
        report_fields: line.report_fields,
        starts: line.starts.map(|starts| starts == Starts::Told),
    };
    let configuration = read_json(&old).map_err(|error| error.to_string())?;
    let (configuration, remarks) =
        convert(&configuration, &deployment).map_err(|what| format!("{}: {what}", old.display()))?;
    // Compares the files and not the paths, because a link to the old file is the same file.
    if new.exists() && same_file::is_same_file(&old, &new).map_err(|e| format!("{}: {e}", new.display()))? {
        return Err(format!("{} is the old configuration itself: it is never overwritten", new.display()));
    }
    if new.exists() && !replace {
        return Err(format!("{} is there already: --replace replaces it", new.display()));
    }
    if !dry_run {
        write_atomically(&old, &new, replace, &format!("{configuration:#}\n"))?;
    }
    let list: String = remarks.iter().map(|remark| format!("{remark}\n")).collect();
    io::stdout().write_all(list.as_bytes()).map_err(|e| format!("the list could not be written: {e}"))
}

fn main() -> ExitCode {
    match migrate(CommandLine::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("grebeusher-migrate: {what}");
            ExitCode::FAILURE
        }
    }
}
