//! Files of figures, and the table of the page that is made of them.

use std::fs;
use std::path::Path;

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};

use super::figure::Figure;

/// The head of the page's table.
const TABLE_HEAD: &str = "| figure | line | spread | left out: predicted of measured | at 3,000 | at 33,000 \
                    | limit | crossed at | by |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

/// All figures of a subsystem.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub subsystem: String,
    /// The text that was measured.
    pub commit: String,
    /// The machine, without its name or paths.
    pub machine: String,
    pub figures: Vec<Figure>,
}

impl Report {
    /// Writes `SUBSYSTEM.json` into a folder.
    ///
    /// # Errors
    ///
    /// Where the folder can't be written.
    pub fn write(&self, folder: &Path) -> Result<()> {
        fs::create_dir_all(folder)?;
        let path = folder.join(format!("{}.json", self.subsystem));
        fs::write(&path, serde_json::to_string_pretty(self)? + "\n")?;
        Ok(())
    }

    /// All reports of a folder, by subsystem.
    ///
    /// # Errors
    ///
    /// Where a file can't be read, or has another form.
    pub fn read_all(folder: &Path) -> Result<Vec<Self>> {
        let mut reports = Vec::new();
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path.extension().is_some_and(|extension| extension == "json") {
                let text = fs::read_to_string(&path)?;
                let report: Self = serde_json::from_str(&text).context("a file of figures")?;
                reports.push(report);
            }
        }
        reports.sort_by(|a, b| a.subsystem.cmp(&b.subsystem));
        Ok(reports)
    }
}

/// The page's table, reckoned anew from the raw samples.
///
/// # Errors
///
/// Where samples don't bear a fit.
pub fn table(reports: &[Report]) -> Result<String> {
    let mut table = TABLE_HEAD.to_owned();
    for figure in reports.iter().flat_map(|report| &report.figures) {
        table += &figure.recompute()?.markdown_row();
        table.push('\n');
    }
    Ok(table)
}
