//! All instances of one process and the server lists that they share by number.

use std::collections::{HashMap, HashSet};

use anyhow::{Context, Result, bail, ensure};

use crate::instance::{Entry, Instance};
use crate::wire::{Batch, Fields, Reply, records};

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
        let now = batch.clock * 1000.0;
        let mut current_instance = None;
        let mut touched = Vec::new();
        for (code, bytes) in records(batch)? {
            let record = record_name(code)?;
            let fields = &mut Fields::new(record, bytes);
            match code {
                4 => self.inventory(fields)?,
                6 => current_instance = Some(fields.u32("who")?),
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
        if code == 1 {
            self.instances.insert(instance_id, Instance::launch(instance_id, now, fields)?);
            return Ok(());
        }
        if code == 9 {
            self.instances.remove(&instance_id);
            return Ok(());
        }
        let instance = self
            .instances
            .get_mut(&instance_id)
            .with_context(|| format!("{record}: instance {instance_id} is not running"))?;
        instance.advance_clock(now);
        match code {
            2 => instance.withdrawn(fields),
            3 => {
                let scope = fields.u8("scope")?;
                fields.u32("stamp")?;
                let list = usize::from(fields.u8("roster_id")?);
                ensure!(scope <= 3, "membership: field scope is {scope}, wanted is 0 to 3");
                if scope == 3 {
                    return Ok(());
                }
                let entries = self.lists.get(list);
                let entries = entries.with_context(|| format!("membership: field roster_id is {list}"))?;
                instance.membership(entries, scope != 0, reply);
                Ok(())
            }
            5 => instance.accepted(fields),
            7 => {
                fields.u64("key_back")?;
                Ok(())
            }
            8 => instance.job_in(fields),
            10 => instance.datagram(fields),
            11 => instance.reply(fields, reply),
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
        1 => "launch",
        2 => "withdrawn",
        3 => "membership",
        4 => "inventory",
        5 => "accepted",
        6 => "switch_to",
        7 => "timeout_fired",
        8 => "job_in",
        9 => "halt",
        10 => "datagram",
        11 => "reply",
        12 => "ping_result",
        other => bail!("batch: no record has code {other}"),
    })
}
