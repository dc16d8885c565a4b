//! All instances of one process and the lists that they share by number.

use std::collections::{HashMap, HashSet};

use anyhow::{Context, Result, bail, ensure};

use crate::instance::{Entry, Instance};
use crate::wire::{Batch, Fields, Reply, records};

const LISTS: usize = 16;

#[derive(Default)]
pub struct Fleet {
    instances: HashMap<u32, Instance>,
    lists: [Vec<Entry>; LISTS],
}

impl Fleet {
    /// Plays one batch and gives the reply to it.
    pub fn play(&mut self, batch: &Batch) -> Result<Reply> {
        let mut reply = Reply::default();
        let now = batch.clock * 1000.0;
        let mut named = None;
        let mut told = Vec::new();
        for (code, bytes) in records(batch)? {
            let record = name_of(code)?;
            let fields = &mut Fields::new(record, bytes);
            match code {
                4 => self.inventory(fields)?,
                6 => named = Some(fields.u32("who")?),
                _ => {
                    let who = named.with_context(|| format!("{record}: no switch_to names an instance"))?;
                    self.play_one(who, now, code, record, fields, &mut reply)?;
                    if told.last() != Some(&who) {
                        told.push(who);
                    }
                }
            }
            fields.end()?;
        }
        let mut settled = HashSet::new();
        for who in told.into_iter().filter(|&who| settled.insert(who)) {
            if let Some(instance) = self.instances.get_mut(&who) {
                instance.settle(&mut reply);
            }
        }
        Ok(reply)
    }

    fn play_one(
        &mut self,
        who: u32,
        now: f64,
        code: u8,
        record: &str,
        fields: &mut Fields,
        reply: &mut Reply,
    ) -> Result<()> {
        if code == 1 {
            self.instances.insert(who, Instance::launch(who, now, fields)?);
            return Ok(());
        }
        if code == 9 {
            self.instances.remove(&who);
            return Ok(());
        }
        let instance = self
            .instances
            .get_mut(&who)
            .with_context(|| format!("{record}: instance {who} is not running"))?;
        instance.at(now);
        match code {
            2 => instance.withdrawn(fields),
            3 => {
                let scope = fields.u8("scope")?;
                fields.u32("stamp")?;
                let list = usize::from(fields.u8("roster_id")?);
                ensure!(scope <= 3, "membership: field scope has no use for {scope}");
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
        ensure!(list < LISTS, "inventory: field roster_id is {list}, over {}", LISTS - 1);
        let count = fields.u32("members")? as usize;
        let length = count.checked_mul(Entry::BYTES).context("inventory: field members")?;
        let entries = &mut Fields::new("inventory", fields.bytes("members", length)?);
        self.lists[list] = (0..count).map(|_| Entry::read(entries)).collect::<Result<_>>()?;
        Ok(())
    }
}

fn name_of(code: u8) -> Result<&'static str> {
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
