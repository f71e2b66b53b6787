//! Table of all settings with their section, key, help text and bounds.

use std::time::Duration;

use crate::EntrySettings;
use crate::setting_value::SettingValue;

/// Description of one setting: its location in the file and how its value is read and printed.
pub(crate) struct SettingField<Settings> {
    /// Section of the file.
    pub(crate) section: &'static str,
    /// Key in the section.
    pub(crate) key: &'static str,
    /// Help text, printed as a comment with the defaults.
    pub(crate) help: &'static str,
    /// Whether a daemon refuses to start without the setting.
    pub(crate) required: bool,
    /// Formats the current value.
    pub(crate) format_value: fn(&Settings) -> String,
    /// Parses and stores a value; the error describes the expected value.
    pub(crate) parse_value: fn(&mut Settings, &str) -> Result<(), String>,
}

/// Settings that a table of fields maps to an INI file.
pub(crate) trait SettingsTable: Default + 'static {
    /// All settings, grouped by section.
    const FIELDS: &'static [SettingField<Self>];

    /// Validates the combination of settings.
    ///
    /// # Errors
    ///
    /// Returns the section and key of the invalid setting, the problem, and what was expected.
    fn validate(&self) -> Result<(), [&'static str; 4]> {
        Ok(())
    }
}

pub(crate) fn store_value<Value>(target: &mut Value, text: &str) -> Result<(), String>
where
    Value: SettingValue,
{
    *target = Value::parse_setting(text).ok_or_else(|| Value::EXPECTED.to_owned())?;
    Ok(())
}

pub(crate) fn store_bounded_value<Value>(
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
        let lower = lower.format_setting();
        let upper = upper.format_setting();
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
            format_value: |settings| {
                $crate::setting_value::SettingValue::format_setting(&settings.$section.$key)
            },
            parse_value: |settings, text| {
                $crate::setting_table::store_value(&mut settings.$section.$key, text)
            },
        }
    };
    ($section:ident.$key:ident, $lower:expr, $upper:expr, $help:literal) => {
        $crate::setting_table::SettingField {
            parse_value: |settings, text| {
                let target = &mut settings.$section.$key;
                $crate::setting_table::store_bounded_value(target, text, &$lower, &$upper)
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
            "Failure domain in which the instance runs, as in the sheet."
        ),
        setting_field!(
            instance.region,
            required,
            "Region in which the instance runs, as in the sheet."
        ),
        setting_field!(listen.callers, "Address for callers."),
        setting_field!(
            listen.operators,
            "Address for operators: health, metrics and status."
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
            "Maximum time to wait for the response to a call."
        ),
        setting_field!(
            platform.watch_limit,
            SECOND,
            MINUTE * 5,
            "Maximum duration of one watch call."
        ),
        setting_field!(
            platform.fleet_calls_per_second,
            1,
            100_000,
            "Maximum calls per second of all instances together."
        ),
        setting_field!(secrets.peer, required, "Shared secret of all instances."),
        setting_field!(secrets.operator, required, "Secret that operators send."),
        setting_field!(
            limits.header_time,
            MILLISECOND * 100,
            MINUTE,
            "Maximum time for a caller to send the request headers."
        ),
        setting_field!(
            limits.body_time,
            MILLISECOND * 100,
            MINUTE * 10,
            "Maximum time for a caller to send the request body."
        ),
        setting_field!(
            limits.body_bytes,
            1_024,
            67_108_864,
            "Maximum size of a request body, in bytes."
        ),
        setting_field!(
            limits.connections,
            1,
            100_000,
            "Maximum number of open connections on the address for callers."
        ),
        setting_field!(
            limits.organisation_requests,
            1,
            100_000,
            "Maximum number of requests of one organisation in flight at this instance."
        ),
        setting_field!(
            limits.queued_requests,
            1,
            100_000,
            "Maximum number of requests that wait for admission at this instance."
        ),
        setting_field!(
            limits.recovery_bytes,
            65_536,
            1_073_741_824,
            "Maximum memory for the inputs that are retained for recovery, in bytes."
        ),
        setting_field!(
            requests.deadline,
            MILLISECOND * 10,
            HOUR,
            "Deadline of a request that does not set one."
        ),
        setting_field!(
            requests.deadline_limit,
            MILLISECOND * 10,
            DAY,
            "Maximum deadline that a caller may set."
        ),
        setting_field!(
            requests.connect_time,
            MILLISECOND,
            MINUTE,
            "Timeout for connecting to an endpoint."
        ),
        setting_field!(
            requests.step_floor,
            MILLISECOND,
            MINUTE,
            "Minimum timeout of one step."
        ),
        setting_field!(
            requests.step_limit,
            MILLISECOND * 10,
            MINUTE * 10,
            "Maximum timeout of one step."
        ),
        setting_field!(
            requests.session_life,
            SECOND,
            HOUR,
            "Lifetime of a session at an engine, renewed while the request runs."
        ),
        setting_field!(
            requests.state_retention,
            SECOND,
            DAY,
            "Time for which the state of a request can be queried after its end."
        ),
        setting_field!(
            claims.retention,
            MINUTE,
            DAY * 30,
            "Time for which a claim and its response are stored."
        ),
        setting_field!(
            claims.answer_bytes,
            256,
            262_144,
            "Maximum size of a response that is stored with a claim, in bytes."
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
            "Interval of heartbeats to one neighbour."
        ),
        setting_field!(
            membership.heartbeat_timeout,
            MILLISECOND * 10,
            MINUTE,
            "Maximum time to wait for the response to a heartbeat."
        ),
        setting_field!(
            membership.list_interval,
            MILLISECOND * 100,
            MINUTE * 10,
            "Interval of reads of the platform's instance list."
        ),
        setting_field!(
            membership.seeds,
            "Peer addresses to contact while the platform's instance list cannot be read."
        ),
        setting_field!(
            rollout.watchers_per_domain,
            1,
            16,
            "Number of instances in each failure domain that watch the platform for new revisions."
        ),
        setting_field!(
            rollout.confirming_peers,
            1,
            16,
            "Number of peers that confirm a new instance's revision while the platform is down."
        ),
        setting_field!(
            rollout.retry_interval,
            MILLISECOND * 50,
            MINUTE,
            "Interval of attempts to reach the platform."
        ),
        setting_field!(
            stop.balancer_lag,
            Duration::ZERO,
            MINUTE * 10,
            "Time for which the load balancer may still send connections after readiness ends."
        ),
        setting_field!(
            stop.drain_limit,
            SECOND,
            DAY,
            "Maximum time for open requests to finish."
        ),
    ];

    fn validate(&self) -> Result<(), [&'static str; 4]> {
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
