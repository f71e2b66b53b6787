//! Every setting with its place, help and bounds.

use std::time::Duration;

use crate::EntrySettings;
use crate::setting_value::SettingValue;

/// One setting: where it stands in a file, and how it is read and printed.
pub(crate) struct SettingField<Settings> {
    /// Section of the file.
    pub(crate) section: &'static str,
    /// Key in the section.
    pub(crate) key: &'static str,
    /// What the setting means.
    pub(crate) help: &'static str,
    /// Whether a daemon does not start without it.
    pub(crate) required: bool,
    /// Prints the present value.
    pub(crate) print: fn(&Settings) -> String,
    /// Reads a value; the error says what was expected.
    pub(crate) write: fn(&mut Settings, &str) -> Result<(), String>,
}

/// Settings that are read from a file by a table of fields.
pub(crate) trait SettingsTable: Default + 'static {
    /// Every setting, section by section.
    const FIELDS: &'static [SettingField<Self>];

    /// Checks settings against one another.
    ///
    /// # Errors
    ///
    /// Section and key of the setting that is wrong, what is wrong, and what was expected.
    fn check(&self) -> Result<(), [&'static str; 4]> {
        Ok(())
    }
}

pub(crate) fn write_value<Value>(target: &mut Value, text: &str) -> Result<(), String>
where
    Value: SettingValue,
{
    *target = Value::parse_setting(text).ok_or_else(|| Value::EXPECTED.to_owned())?;
    Ok(())
}

pub(crate) fn write_bounded<Value>(
    target: &mut Value,
    text: &str,
    lower: &Value,
    upper: &Value,
) -> Result<(), String>
where
    Value: SettingValue + PartialOrd,
{
    let value = Value::parse_setting(text).filter(|value| value >= lower && value <= upper);
    *target = value.ok_or_else(|| {
        let lower = lower.print_setting();
        let upper = upper.print_setting();
        format!("{} from {lower} to {upper}", Value::EXPECTED)
    })?;
    Ok(())
}

macro_rules! setting_field {
    ($section:ident.$key:ident, required, $help:literal) => {
        $crate::setting_table::SettingField {
            required: true,
            ..$crate::setting_table::setting_field!($section.$key, $help)
        }
    };
    ($section:ident.$key:ident, $help:literal) => {
        $crate::setting_table::SettingField {
            section: stringify!($section),
            key: stringify!($key),
            help: $help,
            required: false,
            print: |settings| {
                $crate::setting_value::SettingValue::print_setting(&settings.$section.$key)
            },
            write: |settings, text| {
                $crate::setting_table::write_value(&mut settings.$section.$key, text)
            },
        }
    };
    ($section:ident.$key:ident, $lower:expr, $upper:expr, $help:literal) => {
        $crate::setting_table::SettingField {
            write: |settings, text| {
                let target = &mut settings.$section.$key;
                $crate::setting_table::write_bounded(target, text, &$lower, &$upper)
            },
            ..$crate::setting_table::setting_field!($section.$key, $help)
        }
    };
}

pub(crate) use setting_field;

pub(crate) const MILLISECOND: Duration = Duration::from_millis(1);
pub(crate) const SECOND: Duration = Duration::from_secs(1);
pub(crate) const MINUTE: Duration = Duration::from_mins(1);
pub(crate) const HOUR: Duration = Duration::from_hours(1);
const DAY: Duration = Duration::from_hours(24);

impl SettingsTable for EntrySettings {
    const FIELDS: &'static [SettingField<Self>] = &[
        setting_field!(
            instance.id,
            required,
            "Name of the instance, unique in the fleet."
        ),
        setting_field!(
            instance.failure_domain,
            required,
            "Failure domain it runs in, as in the sheet."
        ),
        setting_field!(
            instance.region,
            required,
            "Region it runs in, as in the sheet."
        ),
        setting_field!(listen.callers, "Address for callers."),
        setting_field!(
            listen.operators,
            "Address for operators: health, metrics, status."
        ),
        setting_field!(listen.peers, "Address for other instances."),
        setting_field!(
            platform.address,
            required,
            "Address of the platform's object API and instance list."
        ),
        setting_field!(
            platform.timeout,
            MILLISECOND * 10,
            MINUTE,
            "Longest wait for the answer to a call."
        ),
        setting_field!(
            platform.watch_limit,
            SECOND,
            MINUTE * 5,
            "Longest time that one watch stays open."
        ),
        setting_field!(
            platform.fleet_calls_per_second,
            1,
            100_000,
            "Calls a second that all instances together may make."
        ),
        setting_field!(secrets.peer, required, "Secret that all instances share."),
        setting_field!(secrets.operator, required, "Secret that operators show."),
        setting_field!(
            limits.header_time,
            MILLISECOND * 100,
            MINUTE,
            "Longest time that a caller may take to send the headers."
        ),
        setting_field!(
            limits.body_time,
            MILLISECOND * 100,
            MINUTE * 10,
            "Longest time that a caller may take to send the body."
        ),
        setting_field!(
            limits.body_bytes,
            1_024,
            67_108_864,
            "Largest body in bytes."
        ),
        setting_field!(
            limits.connections,
            1,
            100_000,
            "Open connections on the callers' address."
        ),
        setting_field!(
            limits.organisation_requests,
            1,
            100_000,
            "Requests of one organisation in flight at this instance."
        ),
        setting_field!(
            limits.queued_requests,
            1,
            100_000,
            "Requests that may wait for admission at this instance."
        ),
        setting_field!(
            limits.recovery_bytes,
            65_536,
            1_073_741_824,
            "Memory for the inputs kept for recovery, in bytes."
        ),
        setting_field!(
            requests.deadline,
            MILLISECOND * 10,
            HOUR,
            "Deadline of a request that names none."
        ),
        setting_field!(
            requests.deadline_limit,
            MILLISECOND * 10,
            DAY,
            "Longest deadline that a caller may ask for."
        ),
        setting_field!(
            requests.connect_time,
            MILLISECOND,
            MINUTE,
            "Time to make a connection to an endpoint."
        ),
        setting_field!(
            requests.step_floor,
            MILLISECOND,
            MINUTE,
            "Shortest timeout of one step."
        ),
        setting_field!(
            requests.step_limit,
            MILLISECOND * 10,
            MINUTE * 10,
            "Longest timeout of one step."
        ),
        setting_field!(
            requests.session_life,
            SECOND,
            HOUR,
            "Life of a session at an engine, renewed while the request runs."
        ),
        setting_field!(
            requests.state_retention,
            SECOND,
            DAY,
            "Time for which the state of a request can be asked after its end."
        ),
        setting_field!(
            claims.retention,
            MINUTE,
            DAY * 30,
            "Time for which a claim and its answer are kept."
        ),
        setting_field!(
            claims.answer_bytes,
            256,
            262_144,
            "Largest answer kept with a claim, in bytes."
        ),
        setting_field!(
            claims.shards,
            1,
            4_096,
            "Number of claim shards, the same on every instance."
        ),
        setting_field!(
            membership.heartbeat_interval,
            MILLISECOND * 50,
            MINUTE,
            "Time between two heartbeats to one neighbour."
        ),
        setting_field!(
            membership.heartbeat_timeout,
            MILLISECOND * 10,
            MINUTE,
            "Longest wait for the answer to a heartbeat."
        ),
        setting_field!(
            membership.list_interval,
            MILLISECOND * 100,
            MINUTE * 10,
            "Time between two reads of the platform's instance list."
        ),
        setting_field!(
            membership.seeds,
            "Peer addresses to ask while the platform's list cannot be read."
        ),
        setting_field!(
            rollout.watchers_per_domain,
            1,
            16,
            "Instances in each failure domain that watch the platform for new revisions."
        ),
        setting_field!(
            rollout.confirming_peers,
            1,
            16,
            "Peers that a new instance asks while the platform is down."
        ),
        setting_field!(
            rollout.retry_interval,
            MILLISECOND * 50,
            MINUTE,
            "Time between two tries to reach the platform."
        ),
        setting_field!(
            stop.balancer_lag,
            Duration::ZERO,
            MINUTE * 10,
            "Time for which the balancer may still send connections after readiness ends."
        ),
        setting_field!(
            stop.drain_limit,
            SECOND,
            DAY,
            "Longest time that open requests may take to finish."
        ),
    ];

    fn check(&self) -> Result<(), [&'static str; 4]> {
        if self.requests.deadline > self.requests.deadline_limit {
            return Err([
                "requests",
                "deadline",
                "longer than deadline_limit",
                "at most deadline_limit",
            ]);
        }
        Ok(())
    }
}
