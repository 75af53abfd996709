//! Reads the log to its end, for commands and for processes that start.

use std::time;

use crate::client::log;
use crate::decide::accept;
use crate::error;

/// Records of one read.
pub const BATCH: u32 = 256;

/// Records from the log's end that are searched for a snapshot first; then eight times as many.
const TAIL: u64 = 64;

/// The newest snapshot on the log, found from its end rather than by reading all of it.
pub fn newest_snapshot(client: &log::Log) -> error::Result<Option<accept::State>> {
    let none = time::Duration::ZERO;
    let ends = client.read(log::CATALOGUE_STREAM, u64::MAX, 1, none)?;
    let mut count = TAIL;
    while count < ends.next {
        let from = ends.next.saturating_sub(count).max(ends.first);
        let batch = client.read(log::CATALOGUE_STREAM, from, count as u32, none)?;
        let found = accept::newest_snapshot(batch.first, &entries(&batch));
        if found.is_some() || from == ends.first {
            return Ok(found);
        }
        count = count.saturating_mul(8);
    }
    Ok(None)
}

/// What is accepted according to the log alone.
pub fn load(client: &log::Log) -> error::Result<accept::Reader> {
    let mut reader = accept::Reader::default();
    if let Some(state) = newest_snapshot(client)? {
        reader.adopt(state);
    }
    catch_up(client, &mut reader)?;
    Ok(reader)
}

/// Reads on to the log's end.
pub fn catch_up(
    client: &log::Log,
    reader: &mut accept::Reader,
) -> error::Result<Vec<accept::Decision>> {
    let mut judged = Vec::new();
    loop {
        let from = reader.next_offset();
        let batch = client.read(log::CATALOGUE_STREAM, from, BATCH, time::Duration::ZERO)?;
        judged.extend(reader.apply(accept::Batch {
            from,
            oldest_offset: batch.first,
            records: &entries(&batch),
        }));
        if reader.next_offset() >= batch.next {
            return Ok(judged);
        }
    }
}

/// The records of a read, as the accept rule takes them.
pub fn entries<'a>(batch: &'a log::Batch) -> Vec<accept::RawRecord<'a>> {
    let entry = |record: &'a log::Record| accept::RawRecord {
        offset: record.offset,
        body: &record.body,
    };
    batch.records.iter().map(entry).collect()
}
