//! Frames of the simulator's wire: reads batches up to a size limit and writes replies.

use std::io::{self, ErrorKind, Read};

use anyhow::{Context, Result, bail, ensure};
use bytes::{Buf, BufMut};

/// Times are in seconds on the wire and in milliseconds elsewhere.
pub const MS_PER_SECOND: f64 = 1000.0;

/// Largest body of a frame; a longer one is treated as a corrupt length.
const MAX_FRAME_BYTES: usize = 1 << 30;

/// One batch as read from the wire.
pub struct Batch {
    /// Time of the batch, in seconds.
    pub clock: f64,
    /// Number of records.
    pub records: u32,
    /// The bytes of all records.
    pub body: Vec<u8>,
}

/// Reads the next batch. Returns `None` if the input ends between two batches.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>> {
    let mut header = [0; 16];
    let mut received = 0;
    while received < header.len() {
        match input.read(&mut header[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => bail!("batch header: input ends after {received} of {} bytes", header.len()),
            Ok(n) => received += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e).context("batch header"),
        }
    }
    let mut fields = &header[..];
    let (records, length, clock) = (fields.get_u32_le(), fields.get_u32_le() as usize, fields.get_f64_le());
    ensure!(clock.is_finite(), "batch header: field clock is not a number");
    ensure!(length <= MAX_FRAME_BYTES, "batch header: field length is {length}, over {MAX_FRAME_BYTES}");
    // The buffer grows with the received bytes, so that a corrupt length costs no memory.
    let mut body = Vec::new();
    let read = input.take(length as u64).read_to_end(&mut body).context("batch body")?;
    ensure!(read == length, "batch body: input ends after {read} of {length} bytes");
    Ok(Some(Batch { clock, records, body }))
}

/// Address of a central server on the wire.
pub type Address = [u8; 6];

/// Reads the fields of one record. Each field is read by name, so that errors can name it.
pub struct Fields<'a> {
    record: &'static str,
    remaining: &'a [u8],
}

impl<'a> Fields<'a> {
    /// Creates a reader of the record's bytes; `record` is its name in error texts.
    pub fn new(record: &'static str, remaining: &'a [u8]) -> Self {
        Self { record, remaining }
    }

    /// Reads the next `length` bytes.
    pub fn bytes(&mut self, field: &str, length: usize) -> Result<&'a [u8]> {
        let record = self.record;
        let Some((value, remaining)) = self.remaining.split_at_checked(length) else {
            bail!("{record}: field {field} needs {length} bytes, but {} remain", self.remaining.len());
        };
        self.remaining = remaining;
        Ok(value)
    }

    /// Reads an 8-bit integer.
    pub fn u8(&mut self, field: &str) -> Result<u8> {
        Ok(self.bytes(field, 1)?.get_u8())
    }

    /// Reads a 16-bit little-endian integer.
    pub fn u16(&mut self, field: &str) -> Result<u16> {
        Ok(self.bytes(field, 2)?.get_u16_le())
    }

    /// Reads a 32-bit little-endian integer.
    pub fn u32(&mut self, field: &str) -> Result<u32> {
        Ok(self.bytes(field, 4)?.get_u32_le())
    }

    /// Reads a 64-bit little-endian integer.
    pub fn u64(&mut self, field: &str) -> Result<u64> {
        Ok(self.bytes(field, 8)?.get_u64_le())
    }

    /// Reads a 32-bit little-endian float.
    pub fn f32(&mut self, field: &str) -> Result<f32> {
        Ok(self.bytes(field, 4)?.get_f32_le())
    }

    /// Reads a time, which is in seconds on the wire, and returns it in milliseconds.
    pub fn millis(&mut self, field: &str) -> Result<f64> {
        let seconds = self.bytes(field, 8)?.get_f64_le();
        ensure!(seconds.is_finite(), "{}: field {field} is not a number", self.record);
        Ok(seconds * MS_PER_SECOND)
    }

    /// Reads the address of a central server.
    pub fn address(&mut self, field: &str) -> Result<Address> {
        Ok(self.bytes(field, 6)?.try_into()?)
    }

    /// Reads the values of a report, in the order that the settings give.
    pub fn values(&mut self, field: &str) -> Result<Vec<f32>> {
        let count = self.u8(field)?;
        (0..count).map(|_| self.f32(field)).collect()
    }

    /// Checks that all bytes were read.
    pub fn end(&self) -> Result<()> {
        ensure!(
            self.remaining.is_empty(),
            "{}: {} bytes after the last field",
            self.record,
            self.remaining.len()
        );
        Ok(())
    }
}

/// Splits a batch's body into records, each with its code and the bytes of its fields.
pub fn records(batch: &Batch) -> Result<Vec<(u8, &[u8])>> {
    let mut frame = Fields::new("batch", &batch.body);
    let mut found = Vec::new();
    for index in 0..batch.records {
        let code = frame.u8("code").with_context(|| format!("record {index}"))?;
        let length = frame.u32("length").with_context(|| format!("record {index}"))?;
        found
            .push((code, frame.bytes("fields", length as usize).with_context(|| format!("record {index}"))?));
    }
    frame.end()?;
    Ok(found)
}

/// Code of the reply record that names the instance of the records after it.
const SWITCH_TO: u8 = 1;

/// The reply to one batch.
#[derive(Default)]
pub struct Reply {
    body: Vec<u8>,
    /// The instance that was named last.
    current_instance: Option<u32>,
}

impl Reply {
    /// Appends a record of an instance. Names the instance first if the previous record was for another one.
    pub fn record(&mut self, instance_id: u32, code: u8, fields: &[&[u8]]) {
        if self.current_instance != Some(instance_id) {
            self.current_instance = Some(instance_id);
            self.put(SWITCH_TO, &[&instance_id.to_le_bytes()]);
        }
        self.put(code, fields);
    }

    fn put(&mut self, code: u8, fields: &[&[u8]]) {
        self.body.put_u8(code);
        self.body.put_u32_le(fields.iter().map(|f| f.len()).sum::<usize>() as u32);
        fields.iter().for_each(|field| self.body.put_slice(field));
    }

    /// Writes the reply with its length and flushes the output.
    pub fn send(&self, output: &mut impl io::Write) -> io::Result<()> {
        output.write_all(&(self.body.len() as u32).to_le_bytes())?;
        output.write_all(&self.body)?;
        output.flush()
    }
}
