//! Reads settings from JSON. Reading continues after unusable values, so that all findings are reported at once.

use super::fields::Fields;
use super::{FaultTolerance, Listen, PortRange, ProcessLimits, Role, Settings};
use dunespur_configuration::Findings;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Memory of a process if the platform states none, in megabytes.
const DEFAULT_MEMORY_MB: u64 = 256;
/// File descriptors of a process if the platform states none.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Interval between a server's heartbeats if none is stated, in milliseconds.
const DEFAULT_HEARTBEAT_MS: u64 = 1000;

/// Description of a valid address, for findings.
const EXPECTED_ADDRESS: &str = "an IP address with a port";

/// Reads and checks the bytes of a settings file.
pub fn settings(bytes: &[u8], role: Option<Role>) -> Result<Settings, Findings> {
    let value: Value = serde_json::from_slice(bytes)
        .map_err(|error| Findings::one("settings", error.to_string()))?;
    let mut findings = Findings::default();
    let fields = Fields::root(&value, &mut findings);
    let settings = read(&fields, &mut findings);
    check_role(&fields, role, &mut findings);
    if let Some(settings) = &settings {
        check_addresses(settings, &mut findings);
    }
    match settings {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => Err(findings),
    }
}

/// Reads the settings without unusable values; `None` if a required field is missing or unusable.
fn read(fields: &Fields, findings: &mut Findings) -> Option<Settings> {
    for name in ["node", "ip", "port_range"] {
        fields.require(name, "is missing", findings);
    }
    let node = fields.text("node", findings);
    let ip = fields.parsed("ip", "an IP address", findings);
    let zone = fields.text("zone", findings).unwrap_or_default();
    let port_range = port_range(fields, findings);
    let listen = listen(&fields.object("listen", findings), findings);
    let seeds = fields.parsed_array("seeds", EXPECTED_ADDRESS, findings);
    let bootstrap = fields.boolean("bootstrap", findings);
    let counts_for_quorum = fields.boolean("counts_for_quorum", findings);
    let limits = limits(&fields.object("limits", findings), findings);
    let data_dir = fields.text("data_dir", findings).map(PathBuf::from);
    let heartbeat_ms = heartbeat_interval(fields, findings);
    let fault_tolerance = fault_tolerance(&fields.object("fault_tolerance", findings), findings);
    Some(Settings {
        node: node?.to_owned(),
        ip: ip?,
        zone: zone.to_owned(),
        listen,
        port_range: port_range?,
        seeds,
        bootstrap,
        counts_for_quorum,
        limits,
        data_dir,
        heartbeat_ms,
        fault_tolerance,
    })
}

fn port_range(fields: &Fields, findings: &mut Findings) -> Option<PortRange> {
    let ports = fields.array("port_range", findings);
    if ports.is_empty() {
        return None;
    }
    let path = fields.path_of("port_range");
    let [first, last] = ports else {
        findings.add(
            path,
            format!(
                "has {} items instead of the first and the last port",
                ports.len()
            ),
        );
        return None;
    };
    let first = port(first, &path, 0, findings);
    let last = port(last, &path, 1, findings);
    let (first, last) = (first?, last?);
    if first > last {
        findings.add(
            path,
            format!("the first port, {first}, is above the last, {last}"),
        );
    }
    Some(PortRange { first, last })
}

fn port(value: &Value, path: &str, index: usize, findings: &mut Findings) -> Option<u16> {
    let port = value
        .as_u64()
        .and_then(|port| u16::try_from(port).ok())
        .filter(|port| *port > 0);
    if port.is_none() {
        findings.add(
            format!("{path}[{index}]"),
            format!("is {value}, not a port from 1 to 65535"),
        );
    }
    port
}

fn listen(fields: &Fields, findings: &mut Findings) -> Listen {
    Listen {
        front: fields.parsed("front", EXPECTED_ADDRESS, findings),
        ready: fields.parsed("ready", EXPECTED_ADDRESS, findings),
        control: fields.parsed("control", EXPECTED_ADDRESS, findings),
    }
}

fn limits(fields: &Fields, findings: &mut Findings) -> ProcessLimits {
    ProcessLimits {
        memory_mb: fields
            .unsigned("memory_mb", findings)
            .unwrap_or(DEFAULT_MEMORY_MB),
        max_fds: fields
            .unsigned("max_fds", findings)
            .unwrap_or(DEFAULT_DESCRIPTORS),
        disk_mb: fields.unsigned("disk_mb", findings),
    }
}

fn heartbeat_interval(fields: &Fields, findings: &mut Findings) -> u64 {
    let heartbeat_ms = fields
        .unsigned("heartbeat_ms", findings)
        .unwrap_or(DEFAULT_HEARTBEAT_MS);
    if heartbeat_ms == 0 {
        findings.add(fields.path_of("heartbeat_ms"), "is 0");
    }
    heartbeat_ms
}

fn fault_tolerance(fields: &Fields, findings: &mut Findings) -> FaultTolerance {
    let machines = fields.unsigned("machines", findings).unwrap_or(0);
    FaultTolerance {
        machines: u32::try_from(machines).unwrap_or(u32::MAX),
    }
}

/// Checks the fields that only one role requires.
fn check_role(fields: &Fields, role: Option<Role>, findings: &mut Findings) {
    if role == Some(Role::Store) {
        fields.require("data_dir", "is missing, and a store needs a disk", findings);
    }
}

/// Checks that no two listeners share an address: the second one would fail only at the start of the process.
fn check_addresses(settings: &Settings, findings: &mut Findings) {
    let listen = &settings.listen;
    let listeners = [
        ("listen.front", listen.front),
        ("listen.ready", listen.ready),
        ("listen.control", listen.control),
    ];
    let mut used: Vec<(&str, SocketAddr)> = vec![("port_range[0]", settings.internal_address())];
    for (path, address) in listeners {
        let Some(address) = address else { continue };
        if let Some((other, _)) = used.iter().find(|(_, other)| *other == address) {
            findings.add(path, format!("is {address}, the address of {other} too"));
        }
        used.push((path, address));
    }
}
