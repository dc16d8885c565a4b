//! A release at this proxy: the staged file, the installed release, and the replacement of the process by
//! `exec`.
//!
//! `release.json` in the state directory records which release is installed, and what ran before it. A start
//! by the usual command continues with the installed one ([`start`]). A release that was not healthy for
//! three starts in a row is given up, and what ran before runs again.

use std::ffi::OsString;
use std::fs;
use std::io::{self, ErrorKind};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use anyhow::{Context, Result};
use outs::Kind;
use outs::holder::{MAX_STARTS, Replacement};
use serde::{Deserialize, Serialize};
use toml_edit::DocumentMut;

use crate::durable_files;
use crate::running_release::RunningRelease;
use crate::settings;

/// Environment variable with the number of the release that a process runs.
const RELEASE_ENV: &str = "FROSTTHREAD_RELEASE";

/// The installed release, as `release.json` stores it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Installed {
    release: u64,
    program: PathBuf,
    config: PathBuf,
    /// Starts since it was last healthy.
    starts: u32,
    /// Why it was given up.
    failed: Option<String>,
    /// Program and settings file that ran before.
    former: (PathBuf, PathBuf),
    /// The release that was installed before.
    before: Option<Box<Installed>>,
}

/// How a start continues.
pub enum Start {
    /// With the program that is running.
    Current(RunningRelease),
    /// With another program or other settings.
    Become(Target),
}

/// A program to replace this process with, and its settings file.
pub struct Target {
    program: PathBuf,
    config: PathBuf,
    release: u64,
}

fn installed_file(state: &Path) -> PathBuf {
    state.join("release.json")
}

/// Returns the path at which a release's file is staged, by its checksum.
pub fn staged_path(state: &Path, sum: &[u8; 32]) -> PathBuf {
    state.join("staged").join(hex::encode(sum))
}

fn read_installed(state: &Path) -> Result<Option<Installed>> {
    match fs::read_to_string(installed_file(state)) {
        Ok(text) => Ok(Some(serde_json::from_str(&text).context("release.json")?)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error).context("release.json"),
    }
}

fn write_installed(state: &Path, installed: Option<&Installed>) -> Result<()> {
    let Some(installed) = installed else {
        return Ok(durable_files::remove(&installed_file(state))?);
    };
    durable_files::replace(&installed_file(state), serde_json::to_string(installed)?.as_bytes())?;
    Ok(())
}

/// Decides at the start of a process whether it continues with the installed release.
pub fn start(state: &Path) -> Result<Start> {
    let Some(mut installed) = read_installed(state)? else {
        return Ok(Start::Current(RunningRelease::default()));
    };
    let release = installed.release;
    if std::env::var(RELEASE_ENV).is_ok_and(|value| value == release.to_string()) {
        return Ok(Start::Current(RunningRelease { release, failed: None }));
    }
    if installed.failed.is_none() && installed.starts >= MAX_STARTS {
        installed.failed = Some(format!("not healthy after {MAX_STARTS} starts in a row"));
        write_installed(state, Some(&installed))?;
    }
    if let Some(why) = installed.failed {
        return Ok(Start::Current(RunningRelease { release: 0, failed: Some((release, why)) }));
    }
    installed.starts += 1;
    write_installed(state, Some(&installed))?;
    let Installed { program, config, .. } = installed;
    Ok(Start::Become(Target { program, config, release }))
}

/// Records that the running release is healthy.
pub fn mark_healthy(state: &Path) -> Result<()> {
    match read_installed(state)? {
        Some(mut installed) if installed.starts > 0 => {
            installed.starts = 0;
            write_installed(state, Some(&installed))
        }
        _ => Ok(()),
    }
}

/// Installs a release, or goes back to what ran before. `config` is the settings file in use now.
pub fn install(state: &Path, config: &Path, replacement: &Replacement) -> Result<Target> {
    let before = read_installed(state)?;
    if !replacement.forward {
        let installed = before.context("release.json: no release is installed")?;
        write_installed(state, installed.before.as_deref())?;
        let release = installed.before.map_or(0, |before| before.release);
        let (program, config) = installed.former;
        return Ok(Target { program, config, release });
    }
    let current = (std::env::current_exe()?, fs::canonicalize(config)?);
    let file = staged_path(state, &replacement.sum);
    let (program, config) = match replacement.kind {
        Kind::Program => (fs::canonicalize(file)?, current.1.clone()),
        Kind::Settings => (current.0.clone(), fs::canonicalize(file.with_extension("toml"))?),
    };
    let release = replacement.release;
    let (starts, failed, before) = (1, None, before.map(Box::new));
    let installed = Installed {
        release,
        program: program.clone(),
        config: config.clone(),
        starts,
        failed,
        former: current,
        before,
    };
    write_installed(state, Some(&installed))?;
    Ok(Target { program, config, release })
}

/// Records why the installed release can't run; the current program continues.
pub fn mark_failed(state: &Path, why: &str) -> Result<()> {
    if let Some(mut installed) = read_installed(state)? {
        installed.failed = Some(why.to_owned());
        write_installed(state, Some(&installed))?;
    }
    Ok(())
}

impl Target {
    /// Replaces this process, keeping its arguments except the settings file; returns only on failure.
    pub fn exec(&self) -> io::Error {
        let mut arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
        if let Some(position) = arguments.iter().position(|argument| argument == "--config")
            && let Some(config) = arguments.get_mut(position + 1)
        {
            *config = self.config.clone().into_os_string();
        }
        let mut command = Command::new(&self.program);
        command.args(arguments);
        if self.release > 0 {
            command.env(RELEASE_ENV, self.release.to_string());
        } else {
            command.env_remove(RELEASE_ENV);
        }
        command.exec()
    }
}

/// Checks that the staged file has the right checksum and is valid for this proxy; none while it is missing.
pub fn check(state: &Path, config: &Path, kind: Kind, sum: &[u8; 32]) -> Option<Result<(), String>> {
    let path = staged_path(state, sum);
    let bytes = fs::read(&path).ok()?;
    if blake3::hash(&bytes) != *sum {
        return Some(Err("its checksum differs".to_owned()));
    }
    Some(match kind {
        Kind::Settings => check_settings(&bytes, config, &path.with_extension("toml")),
        Kind::Program => check_program(&path, config),
    })
}

/// Settings tables that differ from proxy to proxy; a release can't change them.
const PER_PROXY_TABLES: [&str; 4] = ["proxy", "listen", "gossip", "distribution"];

/// Checks a release of settings, which consists of the tables that it replaces in the settings of all
/// proxies. The merged settings of this proxy are written to `output`.
fn check_settings(bytes: &[u8], config: &Path, output: &Path) -> Result<(), String> {
    let text = std::str::from_utf8(bytes).map_err(|_| "not UTF-8".to_owned())?;
    let read = |text: &str| text.parse::<DocumentMut>().map_err(|error| error.message().to_owned());
    let changes = read(text)?;
    let mut merged = read(&fs::read_to_string(config).map_err(|error| error.to_string())?)?;
    for (key, item) in changes.iter() {
        if PER_PROXY_TABLES.contains(&key) {
            return Err(format!("{key}: belongs to each proxy, a release can't change it"));
        }
        merged[key] = item.clone();
    }
    let merged = merged.to_string();
    settings::read(&merged).map_err(|faults| faults[0].to_string())?;
    durable_files::replace(output, merged.as_bytes()).map(drop).map_err(|error| error.to_string())
}

/// Checks that a staged program accepts this proxy's settings.
fn check_program(path: &Path, config: &Path) -> Result<(), String> {
    let accepts = || -> io::Result<bool> {
        fs::set_permissions(path, fs::Permissions::from_mode(0o755))?;
        let mut command = Command::new(path);
        command.arg("check").arg(config).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        Ok(command.status()?.success())
    };
    match accepts() {
        Ok(true) => Ok(()),
        Ok(false) => Err("it rejects these settings".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

/// Copies a file to this proxy's staging path; returns its checksum.
pub fn stage(state: &Path, path: &Path) -> Result<[u8; 32]> {
    let bytes = fs::read(path).with_context(|| path.display().to_string())?;
    let sum = *blake3::hash(&bytes).as_bytes();
    let target = staged_path(state, &sum);
    durable_files::create_dir_all(target.parent().context("no parent directory")?)?;
    durable_files::replace(&target, &bytes)?;
    Ok(sum)
}
