//! The journal of records.

use std::path::PathBuf;

use records::commit::Durability;

use super::RecordsPlan;
use super::reader::{Reader, Rows};

impl Reader<'_> {
    pub(super) fn records(&mut self, top: &mut Rows, state: &str) -> Option<RecordsPlan> {
        let mut rows = self.rows(top, "records", false);
        rows.table?;
        let folder = self.text(&mut rows, "folder", Some(""));
        let wanted = "\"synced\", \"written\" or \"loose\"";
        let promise = self.value(&mut rows, "promise", wanted, Some(Durability::default()), |value| {
            match value.as_str()? {
                "synced" => Some(Durability::Synced),
                "written" => Some(Durability::Written),
                "loose" => Some(Durability::Unconfirmed),
                _ => None,
            }
        });
        let delay = self.time(&mut rows, "delay", None);
        let patience = self.time(&mut rows, "patience", None);
        let segment = self.whole(&mut rows, "segment", 4096, u32::MAX, None);
        self.done(rows);
        let folder = folder.filter(|folder| !folder.is_empty());
        Some(RecordsPlan {
            folder: folder.map_or_else(|| PathBuf::from(state).join("records"), PathBuf::from),
            promise: promise?,
            delay: delay?,
            patience: patience?,
            segment: u64::from(segment?),
        })
    }
}
