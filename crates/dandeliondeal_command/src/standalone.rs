//! Standalone mode: one process with an entry instance and stand-ins for what it depends on.
//!
//! The engines, the service and the platform are stand-ins on loopback sockets. The entry instance
//! is the production code, and reads its sheet from the platform as it would in a fleet.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_config::{
    EXAMPLE_KEY, EntrySettings, InstanceSettings, ListenSettings, PlatformSettings, RowKey,
    SheetKind, SheetRows, StopSettings, compile_sheet, example_sheet, read_sheet,
};
use dandeliondeal_entry::EntryServer;
use dandeliondeal_standin::{
    EngineSettings, EngineStandin, PlatformStandin, ServiceSettings, ServiceStandin, StandinError,
};
use dandeliondeal_types::sheet_model::{EndpointEntry, EndpointTarget};
use dandeliondeal_types::{EndpointId, SheetModel, SystemClock};
use pico_args::Arguments;

use crate::CommandError;
use crate::entry_command::start_entry;
use crate::json_log::start_log;
use crate::platform_access::{PlatformAccess, convert_accept_error, store_session};
use crate::stop_signal::wait_for_stop;

/// Help text of `dandeliondeal standalone`.
pub const HELP: &str = "\
Runs an entry instance with stand-ins for the platform, four engines and a service.

usage: dandeliondeal standalone [--listen ADDRESS] [--settings FILE]

  --listen ADDRESS   address for callers (default 127.0.0.1:8080)
  --settings FILE    settings file of the entry instance; see `settings default`

Ctrl-C stops it after open requests have finished.
";

/// Default address for callers.
const DEFAULT_LISTEN: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 8080);
/// Delay added to each step of an engine outside the failure domain of the default instance.
const REMOTE_LINK_DELAY: Duration = Duration::from_millis(2);

/// Maximum time until the entry instance uses the accepted sheet.
const SHEET_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between checks whether the entry instance uses the sheet.
const SHEET_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs standalone mode until a stop signal arrives and open requests have finished.
///
/// # Errors
///
/// Returns which argument, file or address is invalid.
pub fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let listen: Option<SocketAddr> = arguments.opt_value_from_str("--listen")?;
    let file: Option<String> = arguments.opt_value_from_str("--settings")?;
    crate::command_line::reject_remaining(arguments)?;
    let settings = read_settings(file.as_deref(), listen)?;
    start_log("warn");
    actix_rt::System::new().block_on(serve(settings))
}

fn read_settings(
    file: Option<&str>,
    listen: Option<SocketAddr>,
) -> Result<EntrySettings, CommandError> {
    let mut settings = match file {
        Some(file) => {
            let text = fs::read_to_string(file)
                .map_err(|error| CommandError::usage(format!("{file}: {error}")))?;
            EntrySettings::parse_partial(file, &text)
                .map_err(|errors| CommandError::usage_lines(&errors))?
        }
        None => EntrySettings {
            instance: InstanceSettings::new("entry-1", "didube", "tbilisi"),
            listen: ListenSettings {
                callers: DEFAULT_LISTEN,
                ..free_ports()
            },
            stop: StopSettings {
                balancer_lag: Duration::ZERO,
                ..StopSettings::default()
            },
            ..EntrySettings::default()
        },
    };
    if let Some(listen) = listen {
        settings.listen.callers = listen;
    }
    Ok(settings)
}

/// Returns loopback addresses on ports that the operating system chooses.
fn free_ports() -> ListenSettings {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    ListenSettings {
        callers: address,
        operators: address,
        peers: address,
    }
}

async fn serve(mut settings: EntrySettings) -> Result<(), CommandError> {
    let platform = PlatformStandin::start(dandeliondeal_standin::PlatformSettings::default())
        .map_err(convert_standin_error)?;
    settings.platform = PlatformSettings {
        address: platform.address(),
        ..settings.platform
    };
    let backends = ExampleBackends::start()?;
    accept_sheet(platform.address(), &backends.rows).await?;
    let entry = start_entry(settings).await?;
    if let Some(link) = entry.link() {
        platform.put_instance(link.record());
    }
    wait_for_sheet(&entry).await?;
    print_addresses(
        entry.caller_address(),
        entry.operator_address(),
        platform.address(),
    );
    for (name, address) in &backends.addresses {
        println!("{name:<12} http://{address}");
    }
    print_curl(entry.caller_address());
    wait_for_stop().await?;
    eprintln!("stopping; waiting for open requests to finish");
    entry.stop().await;
    Ok(())
}

/// Accepts the sheet at the platform, as an operator would.
async fn accept_sheet(platform: SocketAddr, rows: &SheetRows) -> Result<(), CommandError> {
    let access = PlatformAccess::new(platform, "standalone");
    let request = access.request()?;
    let client = access.client();
    store_session(&client)
        .accept_sheet(rows, &request)
        .await
        .map_err(convert_accept_error)?;
    Ok(())
}

/// Waits until the entry instance uses the accepted sheet.
async fn wait_for_sheet(entry: &EntryServer<SystemClock>) -> Result<(), CommandError> {
    let deadline = Instant::now() + SHEET_TIMEOUT;
    while entry.context().table().revision() == 0 {
        if Instant::now() > deadline {
            let message = format!("no sheet in force after {} s", SHEET_TIMEOUT.as_secs());
            return Err(CommandError::failed(message));
        }
        actix_rt::time::sleep(SHEET_POLL_INTERVAL).await;
    }
    Ok(())
}

/// Stand-ins for the engines and the service of the example sheet, on free ports.
#[derive(Debug)]
struct ExampleBackends {
    rows: SheetRows,
    addresses: Vec<(EndpointId, SocketAddr)>,
    _engines: Vec<EngineStandin>,
    _services: Vec<ServiceStandin>,
}

impl ExampleBackends {
    fn start() -> Result<Self, CommandError> {
        let mut rows = read_sheet(example_sheet().as_bytes())
            .map_err(|errors| CommandError::usage_lines(&errors))?;
        let sheet = compile_sheet(1, &rows).map_err(|errors| CommandError::usage_lines(&errors))?;
        let mut engines = Vec::new();
        let mut services = Vec::new();
        let mut addresses = Vec::new();
        for (endpoint, entry) in &sheet.endpoints {
            let address = match &entry.target {
                EndpointTarget::Layers { .. } => {
                    let engine = start_engine(&sheet, entry).map_err(convert_standin_error)?;
                    let address = engine.address();
                    engines.push(engine);
                    address
                }
                EndpointTarget::Service { service } => {
                    let settings = ServiceSettings {
                        name: Arc::clone(service),
                        ..ServiceSettings::default()
                    };
                    let service = ServiceStandin::start(settings).map_err(convert_standin_error)?;
                    let address = service.address();
                    services.push(service);
                    address
                }
            };
            set_address(&mut rows, endpoint, address);
            addresses.push((Arc::clone(endpoint), address));
        }
        Ok(Self {
            rows,
            addresses,
            _engines: engines,
            _services: services,
        })
    }
}

fn start_engine(sheet: &SheetModel, entry: &EndpointEntry) -> Result<EngineStandin, StandinError> {
    let EndpointTarget::Layers { model, range } = &entry.target else {
        return EngineStandin::start(EngineSettings::default());
    };
    let layer_nanoseconds = sheet
        .accelerators
        .get(&entry.accelerator)
        .map_or(0, |kind| kind.layer_nanoseconds);
    let is_remote = &*entry.failure_domain != "didube";
    let link_delay = if is_remote {
        REMOTE_LINK_DELAY
    } else {
        Duration::ZERO
    };
    EngineStandin::start(EngineSettings {
        model: Arc::clone(model),
        layers: sheet.models.get(model).map_or(0, |entry| entry.layers),
        range: *range,
        layer_microseconds: layer_nanoseconds / 1_000,
        link_microseconds: u64::try_from(link_delay.as_micros()).unwrap_or(u64::MAX),
        checks_fencing: entry.checks_fencing,
        capacity: usize::try_from(entry.capacity).unwrap_or(usize::MAX),
        ..EngineSettings::default()
    })
}

fn set_address(rows: &mut SheetRows, endpoint: &EndpointId, address: SocketAddr) {
    let key = RowKey {
        kind: SheetKind::Endpoint,
        name: Arc::clone(endpoint),
        attribute: "address".into(),
    };
    rows.set(key, address.to_string().into());
}

fn print_addresses(callers: SocketAddr, operators: SocketAddr, platform: SocketAddr) {
    println!("callers      http://{callers}");
    println!("operators    http://{operators}");
    println!("platform     http://{platform}");
}

fn print_curl(callers: SocketAddr) {
    println!();
    println!("Try:");
    println!(
        "curl -sN http://{callers}/v1/completions -H 'Authorization: Bearer {EXAMPLE_KEY}' \
         -H 'Content-Type: application/json' \
         -d '{{\"model\":\"drafting-desk\",\"prompt\":\"a copper kettle\",\"max_tokens\":8}}'"
    );
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "`map_err` passes the error by value"
)]
fn convert_standin_error(error: StandinError) -> CommandError {
    CommandError::failed(error.to_string())
}
