//! Reads `[records]`: the journal of call detail records.

use std::path::PathBuf;

use records::commit::Durability;
use records::store::StoreTerms;

use super::RecordsSettings;
use super::reader::{Reader, Section};

impl Reader<'_> {
    /// Reads `[records]`; `state` is the state directory.
    pub(super) fn records(&mut self, top: &mut Section, state: &str) -> Option<RecordsSettings> {
        let mut section = self.section(top, "records", false);
        section.table?;
        let folder = self.text(&mut section, "folder", Some(""));
        let wanted = "\"synced\", \"written\" or \"loose\"";
        let durability = self.value(&mut section, "promise", wanted, Some(Durability::default()), |value| {
            match value.as_str()? {
                "synced" => Some(Durability::Synced),
                "written" => Some(Durability::Written),
                "loose" => Some(Durability::Unconfirmed),
                _ => None,
            }
        });
        let max_sync_delay = self.time(&mut section, "delay", None);
        let max_sync_time = self.time(&mut section, "patience", None);
        let segment_bytes = self.integer(&mut section, "segment", 4096, u32::MAX, None);
        self.finish(section);
        let folder = folder.filter(|folder| !folder.is_empty());
        Some(RecordsSettings {
            folder: folder.map_or_else(|| PathBuf::from(state).join("records"), PathBuf::from),
            store: StoreTerms {
                durability: durability?,
                max_sync_delay: max_sync_delay?,
                max_sync_time: max_sync_time?,
                max_segment_bytes: u64::from(segment_bytes?),
            },
        })
    }
}
