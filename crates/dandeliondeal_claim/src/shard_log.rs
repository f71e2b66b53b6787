//! Sequence of segment objects that stores the log of one shard.
//!
//! A segment is text with one JSON record per line. An append is a conditional update of the whole
//! object. A segment whose last line is [`LogLine::Sealed`] is never written again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::{ObjectName, ObjectValue, PutCondition, StoreVersion};

use crate::claim_error::ClaimError;
use crate::claim_key::ShardIndex;
use crate::claim_record::{BatchStart, LogLine};
use crate::claim_settings::ClaimSettings;
use crate::claim_table::ClaimTable;

/// Index of a segment in the log of its shard.
pub type SegmentIndex = u64;

/// Conditional write that appends lines to a segment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SegmentWrite {
    /// Name of the segment object.
    pub name: ObjectName,
    /// Condition that the segment is unchanged since this instance last read or wrote it.
    pub condition: PutCondition,
    /// Full text of the segment, including the appended lines.
    pub body: Arc<str>,
}

/// Log of one shard, as last read or written by this instance.
#[derive(Debug)]
pub struct ShardLog {
    shard: ShardIndex,
    tail: SegmentTail,
    sealed_segments: BTreeMap<SegmentIndex, SealedSegment>,
    table: ClaimTable,
    /// Time of the last read or write of the tail; the shard's age is extrapolated from it.
    tail_known_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct SegmentTail {
    index: SegmentIndex,
    version: Option<StoreVersion>,
    text: String,
}

#[derive(Clone, Copy, Debug)]
struct SealedSegment {
    version: StoreVersion,
    age: Duration,
}

impl ShardLog {
    /// Creates the log of a shard of which nothing has been read.
    pub fn new(shard: ShardIndex, retention: Duration) -> Self {
        Self {
            shard,
            tail: SegmentTail::default(),
            sealed_segments: BTreeMap::new(),
            table: ClaimTable::new(retention),
            tail_known_at: None,
        }
    }

    /// Returns the claims of the shard.
    pub fn table(&self) -> &ClaimTable {
        &self.table
    }

    /// Returns the common prefix of the names of the shard's segments.
    pub fn prefix(&self) -> String {
        format!("claims/{:04}/", self.shard)
    }

    /// Returns the name of the segment that new lines are appended to.
    pub fn tail_name(&self) -> ObjectName {
        self.segment_name(self.tail.index)
    }

    /// Returns a lower bound of the shard's age at `now`.
    pub fn age(&self, now: Instant) -> Duration {
        let elapsed = self
            .tail_known_at
            .map_or(Duration::ZERO, |time| now.saturating_duration_since(time));
        self.table.age() + elapsed
    }

    /// Builds the log from all segments of the shard, sorted by name.
    ///
    /// Returns `None` if an unsealed segment is followed by another one. The list was then not
    /// read atomically, and lines are missing.
    ///
    /// # Errors
    ///
    /// Returns an error if the text of a segment is not a valid log.
    pub fn from_segments(
        shard: ShardIndex,
        retention: Duration,
        values: &[ObjectValue],
        now: Instant,
    ) -> Result<Option<Self>, ClaimError> {
        let mut log = Self::new(shard, retention);
        for value in values {
            let Some(index) = log.segment_index(&value.name) else {
                continue;
            };
            if log.tail.version.is_some() && log.tail.index < index {
                return Ok(None);
            }
            log.reset_tail(index);
            log.apply_tail(Some(value), now)?;
        }
        Ok(Some(log))
    }

    /// Applies the tail segment as just read, or its absence.
    ///
    /// Returns whether the segment is sealed, so that the next one has to be read.
    ///
    /// # Errors
    ///
    /// Returns an error if the segment is not a valid log, or no longer starts with the text that
    /// was read before.
    pub fn apply_tail(
        &mut self,
        value: Option<&ObjectValue>,
        now: Instant,
    ) -> Result<bool, ClaimError> {
        let Some(value) = value else {
            return self.apply_missing_tail(now);
        };
        if self.tail.version == Some(value.version) {
            return Ok(false);
        }
        let Some(appended_text) = value.body.strip_prefix(self.tail.text.as_str()) else {
            return Err(
                self.corrupt_log("a segment no longer contains lines that were read before")
            );
        };
        let is_sealed = self.apply_text(appended_text)?;
        self.tail.text.push_str(appended_text);
        self.tail.version = Some(value.version);
        self.tail_known_at = Some(now);
        if is_sealed {
            self.start_next_segment();
        }
        Ok(is_sealed)
    }

    /// Returns the write that appends `records`, and seals the segment if it is full.
    ///
    /// # Errors
    ///
    /// Returns an error if a record cannot be serialised to JSON.
    pub fn append_write(
        &self,
        records: &[LogLine],
        settings: &ClaimSettings,
        now: Instant,
    ) -> Result<SegmentWrite, ClaimError> {
        let age = u64::try_from(self.age(now).as_millis()).unwrap_or(u64::MAX);
        let batch_start = LogLine::Batch(BatchStart {
            instance: Arc::clone(&settings.instance),
            incarnation: settings.incarnation,
            age_milliseconds: age,
        });
        let mut body = self.tail.text.clone();
        for line in std::iter::once(&batch_start).chain(records) {
            push_line(&mut body, line)?;
        }
        if body.len() >= settings.segment_bytes {
            push_line(&mut body, &LogLine::Sealed)?;
        }
        let condition = self
            .tail
            .version
            .map_or(PutCondition::Absent, PutCondition::Version);
        Ok(SegmentWrite {
            name: self.tail_name(),
            condition,
            body: body.into(),
        })
    }

    /// Applies an append that took effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the segment's text is not a valid log.
    pub fn apply_append(
        &mut self,
        write: &SegmentWrite,
        version: StoreVersion,
        now: Instant,
    ) -> Result<(), ClaimError> {
        let value = ObjectValue {
            name: Arc::clone(&write.name),
            version,
            body: Arc::clone(&write.body),
        };
        self.apply_tail(Some(&value), now).map(|_is_sealed| ())
    }

    /// Returns the oldest segment and its version if all its claims are older than `retention`.
    pub fn expired_segment(&self, retention: Duration) -> Option<(ObjectName, StoreVersion)> {
        let (index, segment) = self.sealed_segments.first_key_value()?;
        let age = self.table.age().saturating_sub(segment.age);
        (age >= retention).then(|| (self.segment_name(*index), segment.version))
    }

    /// Removes the oldest segment after its object was deleted.
    pub fn remove_oldest_segment(&mut self) {
        self.sealed_segments.pop_first();
    }

    fn apply_missing_tail(&mut self, now: Instant) -> Result<bool, ClaimError> {
        if self.tail.version.is_some() {
            return Err(self.corrupt_log("the last segment no longer exists"));
        }
        self.tail_known_at.get_or_insert(now);
        Ok(false)
    }

    fn apply_text(&mut self, text: &str) -> Result<bool, ClaimError> {
        let mut is_sealed = false;
        for line in text.lines() {
            let line: LogLine =
                serde_json::from_str(line).map_err(|error| self.corrupt_log(&error.to_string()))?;
            is_sealed |= line == LogLine::Sealed;
            self.table.apply(line)?;
        }
        Ok(is_sealed)
    }

    fn reset_tail(&mut self, index: SegmentIndex) {
        self.tail = SegmentTail {
            index,
            ..SegmentTail::default()
        };
    }

    fn start_next_segment(&mut self) {
        if let Some(version) = self.tail.version {
            let age = self.table.age();
            self.sealed_segments
                .insert(self.tail.index, SealedSegment { version, age });
        }
        self.table.expire();
        self.reset_tail(self.tail.index + 1);
    }

    fn segment_name(&self, index: SegmentIndex) -> ObjectName {
        format!("{}{index:012}", self.prefix()).into()
    }

    fn segment_index(&self, name: &str) -> Option<SegmentIndex> {
        name.strip_prefix(&self.prefix())?.parse().ok()
    }

    fn corrupt_log(&self, reason: &str) -> ClaimError {
        ClaimError::CorruptLog {
            name: self.tail_name(),
            reason: reason.into(),
        }
    }
}

fn push_line(text: &mut String, line: &LogLine) -> Result<(), ClaimError> {
    let json = serde_json::to_string(line).map_err(|error| ClaimError::Encoding {
        reason: error.to_string().into(),
    })?;
    text.push_str(&json);
    text.push('\n');
    Ok(())
}
