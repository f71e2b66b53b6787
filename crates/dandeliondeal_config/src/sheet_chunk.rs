//! Splits a sheet into chunks, which are stored under the hash of their content.
//!
//! All rows of one entity are in the same bucket, chosen by a hash of its kind and name. A small
//! change therefore rewrites one chunk and leaves the others unchanged.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::content_hash::content_hash;
use crate::{RowKey, RowValue, SheetKind, SheetRows};

/// Number of buckets; with 1,700 endpoints a chunk has about 12 kilobytes.
const BUCKET_COUNT: u64 = 64;
/// Maximum size of a chunk, in bytes; the platform accepts values of up to one megabyte.
pub const CHUNK_BYTES_LIMIT: usize = 1_000_000;

type ChunkRow = (SheetKind, Arc<str>, Arc<str>, Arc<str>);

/// Splits a sheet into chunks, in the order of the buckets.
pub fn split_sheet(sheet: &SheetRows) -> Vec<Arc<str>> {
    let mut buckets: BTreeMap<u64, Vec<ChunkRow>> = BTreeMap::new();
    let mut entity = None;
    let mut bucket = 0;
    for (key, value) in &sheet.rows {
        // The rows of an entity are adjacent, so each entity is hashed only once.
        if entity != Some((key.kind, &key.name)) {
            entity = Some((key.kind, &key.name));
            bucket = bucket_of(key);
        }
        buckets.entry(bucket).or_default().push((
            key.kind,
            Arc::clone(&key.name),
            Arc::clone(&key.attribute),
            Arc::clone(&value.text),
        ));
    }
    buckets
        .values()
        .filter_map(|rows| serde_json::to_string(rows).ok())
        .map(Arc::from)
        .collect()
}

/// Adds the rows of a chunk to a sheet.
///
/// # Errors
///
/// Returns an error if the body is not a valid chunk.
pub fn join_chunk(sheet: &mut SheetRows, body: &str) -> Result<(), serde_json::Error> {
    let rows: Vec<ChunkRow> = serde_json::from_str(body)?;
    for (kind, name, attribute, text) in rows {
        let key = RowKey {
            kind,
            name,
            attribute,
        };
        sheet.rows.insert(key, RowValue { text, line: 0 });
    }
    Ok(())
}

fn bucket_of(key: &RowKey) -> u64 {
    let hash = content_hash(&format!("{} {}", key.kind, key.name));
    u64::from_str_radix(&hash[..8], 16).unwrap_or(0) % BUCKET_COUNT
}
