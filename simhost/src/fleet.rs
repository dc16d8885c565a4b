//! All instances of one process and the server lists that they share by number.

use std::collections::{HashMap, HashSet};

use anyhow::{Context, Result, bail, ensure};

use crate::instance::{Entry, Instance};
use crate::wire::{Batch, Fields, MS_PER_SECOND, Reply, records};

/// Codes of the records that the simulator sends.
const LAUNCH: u8 = 1;
const WITHDRAWN: u8 = 2;
const MEMBERSHIP: u8 = 3;
const INVENTORY: u8 = 4;
const ACCEPTED: u8 = 5;
const SWITCH_TO: u8 = 6;
const TIMEOUT_FIRED: u8 = 7;
const JOB_IN: u8 = 8;
const HALT: u8 = 9;
const DATAGRAM: u8 = 10;
const REPLY: u8 = 11;
const PING_RESULT: u8 = 12;

/// Scope of a `membership` record that changes only the entries that it names.
const SCOPE_CHANGES: u8 = 0;
/// Scope of a `membership` record which only reports that the list could not be fetched.
const SCOPE_UNAVAILABLE: u8 = 3;

/// Number of server lists.
const LIST_COUNT: usize = 16;

/// The instances of one process.
#[derive(Default)]
pub struct Fleet {
    instances: HashMap<u32, Instance>,
    lists: [Vec<Entry>; LIST_COUNT],
}

impl Fleet {
    /// Processes one batch and returns the reply to it. Each instance that has a record in the batch runs its
    /// pending decisions once at the end.
    pub fn process(&mut self, batch: &Batch) -> Result<Reply> {
        let mut reply = Reply::default();
        let now = batch.clock * MS_PER_SECOND;
        let mut current_instance = None;
        let mut touched = Vec::new();
        for (code, bytes) in records(batch)? {
            let record = record_name(code)?;
            let fields = &mut Fields::new(record, bytes);
            match code {
                INVENTORY => self.inventory(fields)?,
                SWITCH_TO => current_instance = Some(fields.u32("who")?),
                _ => {
                    let instance_id = current_instance
                        .with_context(|| format!("{record}: no switch_to names an instance"))?;
                    self.process_record(instance_id, now, code, record, fields, &mut reply)?;
                    if touched.last() != Some(&instance_id) {
                        touched.push(instance_id);
                    }
                }
            }
            fields.end()?;
        }
        let mut seen = HashSet::new();
        for instance_id in touched.into_iter().filter(|&instance_id| seen.insert(instance_id)) {
            if let Some(instance) = self.instances.get_mut(&instance_id) {
                instance.run_pending(&mut reply);
            }
        }
        Ok(reply)
    }

    fn process_record(
        &mut self,
        instance_id: u32,
        now: f64,
        code: u8,
        record: &str,
        fields: &mut Fields,
        reply: &mut Reply,
    ) -> Result<()> {
        if code == LAUNCH {
            self.instances.insert(instance_id, Instance::launch(instance_id, now, fields)?);
            return Ok(());
        }
        if code == HALT {
            self.instances.remove(&instance_id);
            return Ok(());
        }
        let instance = self
            .instances
            .get_mut(&instance_id)
            .with_context(|| format!("{record}: instance {instance_id} is not running"))?;
        instance.advance_clock(now);
        match code {
            WITHDRAWN => instance.withdrawn(fields),
            MEMBERSHIP => {
                let scope = fields.u8("scope")?;
                fields.u32("stamp")?;
                let list = usize::from(fields.u8("roster_id")?);
                ensure!(
                    scope <= SCOPE_UNAVAILABLE,
                    "membership: field scope is {scope}, wanted is 0 to {SCOPE_UNAVAILABLE}"
                );
                if scope == SCOPE_UNAVAILABLE {
                    return Ok(());
                }
                let entries = self.lists.get(list);
                let entries = entries.with_context(|| format!("membership: field roster_id is {list}"))?;
                instance.membership(entries, scope != SCOPE_CHANGES, reply);
                Ok(())
            }
            ACCEPTED => instance.accepted(fields),
            TIMEOUT_FIRED => {
                fields.u64("key_back")?;
                Ok(())
            }
            JOB_IN => instance.job_in(fields),
            DATAGRAM => instance.datagram(fields),
            REPLY => instance.reply(fields, reply),
            _ => instance.ping_result(fields),
        }
    }

    fn inventory(&mut self, fields: &mut Fields) -> Result<()> {
        let list = usize::from(fields.u8("roster_id")?);
        ensure!(list < LIST_COUNT, "inventory: field roster_id is {list}, over {}", LIST_COUNT - 1);
        let count = fields.u32("members")? as usize;
        let length = count.checked_mul(Entry::BYTES).context("inventory: field members")?;
        let entries = &mut Fields::new("inventory", fields.bytes("members", length)?);
        self.lists[list] = (0..count).map(|_| Entry::read(entries)).collect::<Result<_>>()?;
        Ok(())
    }
}

/// The name of the record with the given code, as used in error texts.
fn record_name(code: u8) -> Result<&'static str> {
    Ok(match code {
        LAUNCH => "launch",
        WITHDRAWN => "withdrawn",
        MEMBERSHIP => "membership",
        INVENTORY => "inventory",
        ACCEPTED => "accepted",
        SWITCH_TO => "switch_to",
        TIMEOUT_FIRED => "timeout_fired",
        JOB_IN => "job_in",
        HALT => "halt",
        DATAGRAM => "datagram",
        REPLY => "reply",
        PING_RESULT => "ping_result",
        other => bail!("batch: no record has code {other}"),
    })
}
