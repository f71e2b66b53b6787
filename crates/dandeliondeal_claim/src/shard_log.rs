//! The chain of segment objects that holds the log of one shard.
//!
//! A segment is text, one JSON line a record, and is appended to by conditional update of the
//! whole object. A segment whose last line is [`LogLine::Sealed`] is never written again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::{ObjectName, ObjectValue, PutCondition, Version};

use crate::claim_error::ClaimError;
use crate::claim_key::ShardIndex;
use crate::claim_record::{BatchStart, LogLine};
use crate::claim_settings::ClaimSettings;
use crate::claim_table::ClaimTable;

/// Index of a segment in its chain.
pub type SegmentIndex = u64;

/// One append, as it is sent to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SegmentWrite {
    /// The segment.
    pub name: ObjectName,
    /// The condition: the segment as this instance last saw it.
    pub condition: PutCondition,
    /// The whole segment.
    pub body: Arc<str>,
}

/// A shard's log as far as this instance has seen it.
#[derive(Debug)]
pub struct ShardLog {
    shard: ShardIndex,
    tail: SegmentTail,
    sealed: BTreeMap<SegmentIndex, SealedSegment>,
    table: ClaimTable,
    /// When the state of the tail was known; elapsed time is counted from here.
    observed: Option<Instant>,
}

#[derive(Debug, Default)]
struct SegmentTail {
    index: SegmentIndex,
    version: Option<Version>,
    text: String,
}

#[derive(Clone, Copy, Debug)]
struct SealedSegment {
    version: Version,
    age: Duration,
}

impl ShardLog {
    /// An empty view of a shard.
    pub fn new(shard: ShardIndex, retention: Duration) -> Self {
        Self {
            shard,
            tail: SegmentTail::default(),
            sealed: BTreeMap::new(),
            table: ClaimTable::new(retention),
            observed: None,
        }
    }

    /// The claims of the shard.
    pub fn table(&self) -> &ClaimTable {
        &self.table
    }

    /// Names of all segments start with this.
    pub fn prefix(&self) -> String {
        format!("claims/{:04}/", self.shard)
    }

    /// Name of the segment that is appended to.
    pub fn tail_name(&self) -> ObjectName {
        self.segment_name(self.tail.index)
    }

    /// Lower bound of the shard's age now.
    pub fn age(&self, now: Instant) -> Duration {
        let elapsed = self
            .observed
            .map_or(Duration::ZERO, |seen| now.saturating_duration_since(seen));
        self.table.age() + elapsed
    }

    /// The view that all segments of the shard give, in order of name.
    ///
    /// `None` if a segment is followed by another one although it is not sealed: the list was not
    /// read at one moment, and lines are missing.
    ///
    /// # Errors
    ///
    /// A segment's text is not a log.
    pub fn load(
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
            log.move_tail(index);
            log.take_in(Some(value), now)?;
        }
        Ok(Some(log))
    }

    /// Takes in the tail as just read. Returns whether a further segment has to be read.
    ///
    /// # Errors
    ///
    /// The segment's text is not a log, or is shorter than it was.
    pub fn take_in(
        &mut self,
        value: Option<&ObjectValue>,
        now: Instant,
    ) -> Result<bool, ClaimError> {
        let Some(value) = value else {
            return self.take_absent(now);
        };
        if self.tail.version == Some(value.version) {
            return Ok(false);
        }
        let Some(added) = value.body.strip_prefix(self.tail.text.as_str()) else {
            return Err(self.broken("a segment lost lines"));
        };
        let is_sealed = self.apply_text(added)?;
        self.tail.text.push_str(added);
        self.tail.version = Some(value.version);
        self.observed = Some(now);
        if is_sealed {
            self.start_next();
        }
        Ok(is_sealed)
    }

    /// The write that appends `records`, sealing the segment if it is full.
    ///
    /// # Errors
    ///
    /// A record cannot be written as JSON.
    pub fn append(
        &self,
        records: &[LogLine],
        settings: &ClaimSettings,
        now: Instant,
    ) -> Result<SegmentWrite, ClaimError> {
        let age = u64::try_from(self.age(now).as_millis()).unwrap_or(u64::MAX);
        let start = LogLine::Batch(BatchStart {
            instance: Arc::clone(&settings.instance),
            incarnation: settings.incarnation,
            age_milliseconds: age,
        });
        let mut body = self.tail.text.clone();
        for line in std::iter::once(&start).chain(records) {
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

    /// Takes in an append that took effect.
    ///
    /// # Errors
    ///
    /// The segment's text is not a log.
    pub fn appended(
        &mut self,
        write: &SegmentWrite,
        version: Version,
        now: Instant,
    ) -> Result<(), ClaimError> {
        let value = ObjectValue {
            name: Arc::clone(&write.name),
            version,
            body: Arc::clone(&write.body),
        };
        self.take_in(Some(&value), now).map(|_is_sealed| ())
    }

    /// A segment all of whose claims are older than `retention`, with its version.
    pub fn expired_segment(&self, retention: Duration) -> Option<(ObjectName, Version)> {
        let (index, segment) = self.sealed.first_key_value()?;
        let age = self.table.age().saturating_sub(segment.age);
        (age >= retention).then(|| (self.segment_name(*index), segment.version))
    }

    /// Forgets the oldest segment, which was deleted.
    pub fn forget_oldest(&mut self) {
        self.sealed.pop_first();
    }

    fn take_absent(&mut self, now: Instant) -> Result<bool, ClaimError> {
        if self.tail.version.is_some() {
            return Err(self.broken("the last segment is gone"));
        }
        self.observed.get_or_insert(now);
        Ok(false)
    }

    fn apply_text(&mut self, text: &str) -> Result<bool, ClaimError> {
        let mut is_sealed = false;
        for line in text.lines() {
            let line: LogLine =
                serde_json::from_str(line).map_err(|error| self.broken(&error.to_string()))?;
            is_sealed |= line == LogLine::Sealed;
            self.table.apply(line)?;
        }
        Ok(is_sealed)
    }

    fn move_tail(&mut self, index: SegmentIndex) {
        self.tail = SegmentTail {
            index,
            ..SegmentTail::default()
        };
    }

    fn start_next(&mut self) {
        if let Some(version) = self.tail.version {
            let age = self.table.age();
            self.sealed
                .insert(self.tail.index, SealedSegment { version, age });
        }
        self.table.expire();
        self.move_tail(self.tail.index + 1);
    }

    fn segment_name(&self, index: SegmentIndex) -> ObjectName {
        format!("{}{index:012}", self.prefix()).into()
    }

    fn segment_index(&self, name: &str) -> Option<SegmentIndex> {
        name.strip_prefix(&self.prefix())?.parse().ok()
    }

    fn broken(&self, reason: &str) -> ClaimError {
        ClaimError::BrokenLog {
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
