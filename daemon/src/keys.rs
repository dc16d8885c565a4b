//! Key files: 64 hexadecimal digits in a file that only its owner may read. [`generate`] creates one,
//! [`read`] reads one, [`Keyring::read`] reads all that a proxy needs for gossip. docs/operating.md
//! describes their rotation.

use std::collections::BTreeMap;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, bail, ensure};
use gossip::keys::{Roster, Secrets};

use crate::durable_files;
use crate::settings::{GossipSettings, SubscriberSettings};

/// The bits of a file's mode that give access to others than its owner.
const GROUP_AND_OTHERS_MODE_BITS: u32 = 0o077;

fn decode_key(text: &str) -> Result<[u8; 32]> {
    let mut key = [0; 32];
    hex::decode_to_slice(text.trim(), &mut key).context("64 hexadecimal digits wanted")?;
    Ok(key)
}

/// Writes a random key to a file that must not exist yet; returns its public key.
pub fn generate(file: &Path) -> Result<String> {
    let key: [u8; 32] = rand::random();
    let mut output = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(file)
        .with_context(|| file.display().to_string())?;
    writeln!(output, "{}", hex::encode(key))?;
    output.sync_all()?;
    durable_files::sync_entry(file)?;
    public(file)
}

/// Reads a secret key.
pub fn read(file: &Path) -> Result<[u8; 32]> {
    let path_text = || file.display().to_string();
    let mode = fs::metadata(file).with_context(path_text)?.permissions().mode();
    ensure!(
        mode & GROUP_AND_OTHERS_MODE_BITS == 0,
        "{}: mode {:o}, wanted 600: others may read it",
        path_text(),
        mode & 0o777
    );
    decode_key(&fs::read_to_string(file).with_context(path_text)?).with_context(path_text)
}

/// Returns the public key of a secret key file, as rosters list it.
pub fn public(file: &Path) -> Result<String> {
    Ok(hex::encode(Secrets::new(read(file)?, vec![[0; 32]])?.public_key()))
}

/// The key files of one proxy.
#[derive(Clone, Copy, Debug)]
pub struct KeyFiles<'a> {
    /// The proxy's own key.
    pub key: &'a Path,
    /// The fleet's keys, the one in use first.
    pub fleet_keys: &'a [PathBuf],
    /// The public keys of all senders that it accepts.
    pub roster: &'a Path,
}

impl<'a> From<&'a GossipSettings> for KeyFiles<'a> {
    fn from(settings: &'a GossipSettings) -> Self {
        Self { key: &settings.key, fleet_keys: &settings.fleet_keys, roster: &settings.roster }
    }
}

impl<'a> From<&'a SubscriberSettings> for KeyFiles<'a> {
    fn from(settings: &'a SubscriberSettings) -> Self {
        Self { key: &settings.key, fleet_keys: &settings.fleet_keys, roster: &settings.roster }
    }
}

/// Reads a roster, a TOML file of lines `NAME = "KEY"`.
pub fn read_roster(file: &Path) -> Result<Roster> {
    let roster_path = file.display();
    let text = fs::read_to_string(file).with_context(|| roster_path.to_string())?;
    let entries: BTreeMap<String, String> = toml_edit::de::from_str(&text)
        .with_context(|| format!("{roster_path}: lines of NAME = \"KEY\" wanted"))?;
    let mut members = Vec::new();
    for (member, key) in &entries {
        members.push((&member[..], decode_key(key).with_context(|| format!("{roster_path}: {member}"))?));
    }
    Ok(Roster::new(members)?)
}

/// All keys of one proxy.
pub struct Keyring {
    pub secrets: Secrets,
    pub roster: Roster,
}

impl Keyring {
    /// Reads the files that the settings name. The roster must list the proxy's key under `name`.
    pub fn read<'a>(files: impl Into<KeyFiles<'a>>, name: &str) -> Result<Self> {
        let files = files.into();
        let fleet = files.fleet_keys.iter().map(|file| read(file)).collect::<Result<Vec<_>>>()?;
        let secrets = Secrets::new(read(files.key)?, fleet)?;
        let roster = read_roster(files.roster)?;
        let roster_path = files.roster.display();
        match roster.name(secrets.id()) {
            Some(found) if found == name => Ok(Self { secrets, roster }),
            Some(found) => bail!("{roster_path}: lists the key of {name} under the name {found}"),
            None => {
                bail!("{roster_path}: has no member {name} with key {}", hex::encode(secrets.public_key()))
            }
        }
    }
}
