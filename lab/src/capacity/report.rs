//! Report files of figures, and the table of docs/CAPACITY.md made from them.

use std::fs;
use std::path::Path;

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};

use super::figure::Figure;

/// Header of the Markdown table.
const TABLE_HEAD: &str = "| figure | line | spread | left out: predicted of measured | at 3,000 | at 33,000 \
                    | limit | crossed at | by |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

/// All figures of one subsystem.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub subsystem: String,
    /// The measured commit.
    pub commit: String,
    /// Description of the machine, without its name or paths.
    pub machine: String,
    pub figures: Vec<Figure>,
}

impl Report {
    /// Writes `SUBSYSTEM.json` into a folder.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be written.
    pub fn write(&self, folder: &Path) -> Result<()> {
        fs::create_dir_all(folder)?;
        let path = folder.join(format!("{}.json", self.subsystem));
        fs::write(&path, serde_json::to_string_pretty(self)? + "\n")?;
        Ok(())
    }

    /// Reads all reports of a folder, sorted by subsystem.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or is not a valid report.
    pub fn read_all(folder: &Path) -> Result<Vec<Self>> {
        let mut reports = Vec::new();
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path.extension().is_some_and(|extension| extension == "json") {
                let text = fs::read_to_string(&path)?;
                let report: Self = serde_json::from_str(&text).context("not a valid report file")?;
                reports.push(report);
            }
        }
        reports.sort_by(|a, b| a.subsystem.cmp(&b.subsystem));
        Ok(reports)
    }
}

/// The Markdown table of all figures, recomputed from the raw samples.
///
/// # Errors
///
/// Fails if a figure's samples do not allow a fit.
pub fn table(reports: &[Report]) -> Result<String> {
    let mut table = TABLE_HEAD.to_owned();
    for figure in reports.iter().flat_map(|report| &report.figures) {
        table += &figure.recompute()?.markdown_row();
        table.push('\n');
    }
    Ok(table)
}
