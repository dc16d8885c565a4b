//! One instance: translates the identifiers of the wire to the handles and indices of the decisions.

use std::collections::HashMap;

use anyhow::{Context, Result, bail, ensure};
use frostthread::host::{Call, Ending, Host, Server, ServerEntry, State};
use frostthread::{Handle, Proxy};
use terms::{ReportLayout, SettingsMap};

use crate::wire::{Address, Fields, MS_PER_SECOND, Reply};

/// Codes of the records in a reply.
const SEND_MESSAGE: u8 = 2;
const LOG_LINE: u8 = 3;
const SEND_ATTEMPT: u8 = 5;
const PROBE_SERVER: u8 = 6;
const SET_TIMER: u8 = 8;
const REFUSE_CALL: u8 = 11;
const FAIL_CALL: u8 = 12;
const CANCEL_ATTEMPT: u8 = 13;

/// Flag in the field `opts` of a redial.
const REDIAL_FLAG: u8 = 2;
/// Mask of the cause in the field `clear_code`.
const CAUSE_MASK: u32 = 15;
/// Position in `clear_code` of the wait that a rejection requests, in milliseconds.
const WAIT_SHIFT: u32 = 4;
/// Cause of a rejection because the pool has no free line.
const CAUSE_NO_FREE_LINE: u32 = 1;
/// Cause of an error because all lines of the called number are busy.
const CAUSE_BUSY: u32 = 4;

/// An entry of a server list on the wire.
#[derive(Clone, Debug)]
pub struct Entry {
    server: Address,
    state: State,
    pool: u16,
    started_at: Option<f64>,
}

impl Entry {
    /// Size of an entry on the wire, in bytes.
    pub const BYTES: usize = 25;

    /// Reads one entry.
    pub fn read(fields: &mut Fields) -> Result<Self> {
        fields.f32("heft")?;
        let server = fields.address("server")?;
        fields.u16("generation_hw")?;
        fields.u16("site")?;
        let state = match fields.u8("readiness")? {
            0 => State::Gone,
            1 => State::Running,
            2 => State::Draining,
            other => bail!("inventory: field readiness is {other}, wanted is 0 to 2"),
        };
        let pool = fields.u16("point_code")?;
        let launched = fields.millis("launched")?;
        Ok(Self { server, state, pool, started_at: Some(launched).filter(|&time| time != 0.0) })
    }
}

/// The identifiers of one instance on both sides: requests and handles, server addresses and indices.
#[derive(Default)]
struct IdMap {
    handles: HashMap<u64, Handle>,
    requests: Vec<u64>,
    servers: HashMap<Address, Server>,
    addresses: Vec<Address>,
}

impl IdMap {
    fn server(&mut self, address: Address) -> Server {
        *self.servers.entry(address).or_insert_with(|| {
            self.addresses.push(address);
            Server(self.addresses.len() as u32 - 1)
        })
    }

    fn insert(&mut self, req: u64, handle: Handle) {
        let slot = handle.0 as usize;
        if self.requests.len() <= slot {
            self.requests.resize(slot + 1, 0);
        }
        self.requests[slot] = req;
        self.handles.insert(req, handle);
    }
}

/// Writes the actions that the decisions request directly into the reply.
struct ReplyHost<'a> {
    instance_id: u32,
    ids: &'a mut IdMap,
    reply: &'a mut Reply,
}

impl ReplyHost<'_> {
    fn req(&self, handle: Handle) -> [u8; 8] {
        self.ids.requests[handle.0 as usize].to_le_bytes()
    }

    fn forget(&mut self, handle: Handle) {
        let req = self.ids.requests[handle.0 as usize];
        self.ids.handles.remove(&req);
    }

    fn write_record(&mut self, code: u8, fields: &[&[u8]]) {
        self.reply.record(self.instance_id, code, fields);
    }
}

fn seconds(millis: f64) -> [u8; 8] {
    (millis / MS_PER_SECOND).to_le_bytes()
}

impl Host for ReplyHost<'_> {
    fn send_attempt(&mut self, handle: Handle, server: Server, timeout: f64) {
        let address = self.ids.addresses[server.0 as usize];
        self.write_record(SEND_ATTEMPT, &[&self.req(handle), &address, &seconds(timeout)]);
    }

    fn refuse(&mut self, handle: Handle, retry_after: Option<f64>) {
        self.write_record(REFUSE_CALL, &[&self.req(handle), &seconds(retry_after.unwrap_or(0.0))]);
        self.forget(handle);
    }

    fn fail(&mut self, handle: Handle) {
        self.write_record(FAIL_CALL, &[&self.req(handle)]);
        self.forget(handle);
    }

    fn cancel(&mut self, handle: Handle, attempt: u16) {
        self.write_record(CANCEL_ATTEMPT, &[&self.req(handle), &attempt.to_le_bytes()]);
    }

    fn wake(&mut self, at: f64) {
        self.write_record(SET_TIMER, &[&0u64.to_le_bytes(), &seconds(at)]);
    }

    fn probe(&mut self, server: Server) {
        let address = self.ids.addresses[server.0 as usize];
        self.write_record(PROBE_SERVER, &[&address]);
    }

    fn broadcast(&mut self, message: &[u8]) {
        self.write_record(
            SEND_MESSAGE,
            &[&u16::MAX.to_le_bytes(), &(message.len() as u16).to_le_bytes(), message],
        );
    }

    fn log(&mut self, line: &str) {
        let line = &line.as_bytes()[..line.len().min(usize::from(u16::MAX))];
        self.write_record(LOG_LINE, &[&(line.len() as u16).to_le_bytes(), line]);
    }
}

/// One border proxy of the simulator.
pub struct Instance {
    instance_id: u32,
    proxy: Proxy,
    ids: IdMap,
    report_layout: ReportLayout,
    grades: usize,
    tenants: usize,
}

impl Instance {
    /// Creates an instance from the fields of a `launch` record; `now` is in milliseconds.
    pub fn launch(instance_id: u32, now: f64, fields: &mut Fields) -> Result<Self> {
        let seed = fields.u64("salt")?;
        let length = fields.u32("setup")? as usize;
        let settings = SettingsMap::from_lines(fields.bytes("setup", length)?).context("launch")?;
        let terms = settings.terms().context("launch")?;
        let report_layout = settings.report_layout().context("launch")?;
        let (grades, tenants) = (terms.grades.len(), terms.tenants.len());
        Ok(Self {
            instance_id,
            proxy: Proxy::new(terms, seed, now),
            ids: IdMap::default(),
            report_layout,
            grades,
            tenants,
        })
    }

    /// Sets the time of the records that follow, in milliseconds.
    pub fn advance_clock(&mut self, now: f64) {
        self.proxy.advance_clock(now);
    }

    /// Applies a server list; a complete one (`whole`) replaces the old list.
    pub fn membership(&mut self, entries: &[Entry], whole: bool, reply: &mut Reply) {
        let to_entry = |entry: &Entry| ServerEntry {
            server: self.ids.server(entry.server),
            state: entry.state,
            pool: entry.pool,
            started_at: entry.started_at,
        };
        let server_entries: Vec<ServerEntry> = entries.iter().map(to_entry).collect();
        self.with_host(reply, |proxy, host| proxy.update_server_list(&server_entries, whole, host));
    }

    /// Runs the pending decisions after all records of this time.
    pub fn run_pending(&mut self, reply: &mut Reply) {
        self.with_host(reply, |proxy, host| proxy.run_pending(host));
    }

    /// Skips another proxy's message: the decisions send none, so none is used.
    pub fn datagram(&mut self, fields: &mut Fields) -> Result<()> {
        fields.u32("who")?;
        let length = fields.u16("contents")?;
        fields.bytes("contents", length.into())?;
        Ok(())
    }

    /// A new call.
    pub fn job_in(&mut self, fields: &mut Fields) -> Result<()> {
        let req = fields.u64("req")?;
        let opts = fields.u8("opts")?;
        let number = Some(fields.u64("name_key")?).filter(|&key| key != 0);
        let remaining = fields.millis("remaining")?;
        let tenant = fields.u32("project")? as usize;
        let grade = usize::from(fields.u8("category")?);
        ensure!(grade < self.grades, "job_in: field category is {grade} of {} grades", self.grades);
        fields.bytes("weight_hint", 8)?;
        fields.f32("hop")?;
        let preferred_pool = fields.f32("far_end")? as u16;
        fields.f32("width")?;
        let tenant = Some(tenant).filter(|&t| t < self.tenants);
        let call = Call { grade, tenant, preferred_pool, number, remaining, redial: opts & REDIAL_FLAG != 0 };
        let handle = self.proxy.accept(&call);
        self.ids.insert(req, handle);
        handle.enqueue(&mut self.proxy);
        Ok(())
    }

    /// A central server has answered an attempt.
    pub fn accepted(&mut self, fields: &mut Fields) -> Result<()> {
        let req = fields.u64("req")?;
        fields.u16("send_no")?;
        fields.address("server")?;
        fields.millis("time_taken")?;
        if let Some(&handle) = self.ids.handles.get(&req) {
            handle.established(&mut self.proxy);
        }
        Ok(())
    }

    /// An attempt or an established conversation has ended.
    pub fn reply(&mut self, fields: &mut Fields, reply: &mut Reply) -> Result<()> {
        let req = fields.u64("req")?;
        let code = fields.u32("clear_code")?;
        let (cause, wait) = (code & CAUSE_MASK, code >> WAIT_SHIFT);
        let ending = match (ending("reply", fields.u8("rc")?)?, cause) {
            (Ending::Error, CAUSE_BUSY) => Ending::Busy,
            (Ending::Rejected, CAUSE_NO_FREE_LINE) => Ending::NoFreeLine,
            (ending, _) => ending,
        };
        fields.millis("time_taken")?;
        let finished = fields.u8("finished")? != 0;
        let server = self.ids.server(fields.address("server")?);
        fields.u16("send_no")?;
        let mut report = self.report_layout.read(&fields.values("report")?);
        report.retry_after = Some(f64::from(wait)).filter(|&wait| ending == Ending::Rejected && wait > 0.0);
        self.proxy.reported(server, report);
        if let Some(&handle) = self.ids.handles.get(&req) {
            self.with_host(reply, |proxy, host| handle.attempt_ended(proxy, ending, finished, host));
            self.remove_if_done(req, handle);
        }
        Ok(())
    }

    /// The caller has hung up.
    pub fn withdrawn(&mut self, fields: &mut Fields) -> Result<()> {
        let req = fields.u64("req")?;
        if let Some(&handle) = self.ids.handles.get(&req) {
            handle.caller_gone(&mut self.proxy);
            self.remove_if_done(req, handle);
        }
        Ok(())
    }

    /// A report that a central server sent outside of an attempt.
    pub fn ping_result(&mut self, fields: &mut Fields) -> Result<()> {
        let server = self.ids.server(fields.address("server")?);
        fields.millis("time_taken")?;
        ending("ping_result", fields.u8("rc")?)?;
        let report = self.report_layout.read(&fields.values("report")?);
        self.proxy.reported(server, report);
        Ok(())
    }

    fn remove_if_done(&mut self, req: u64, handle: Handle) {
        if !self.proxy.contains(handle) {
            self.ids.handles.remove(&req);
        }
    }

    fn with_host(&mut self, reply: &mut Reply, call: impl FnOnce(&mut Proxy, &mut ReplyHost)) {
        call(&mut self.proxy, &mut ReplyHost { instance_id: self.instance_id, ids: &mut self.ids, reply });
    }
}

fn ending(record: &str, rc: u8) -> Result<Ending> {
    Ok(match rc {
        1 => Ending::Ok,
        2 => Ending::Error,
        3 => Ending::Rejected,
        4 => Ending::TimedOut,
        5 => Ending::NoConnection,
        6 => Ending::Reset,
        7 => Ending::Cancelled,
        8 => Ending::NotSent,
        other => {
            return Err(anyhow::anyhow!("{other} is not an outcome, wanted is 1 to 8"))
                .context(format!("{record}: field rc"));
        }
    })
}
