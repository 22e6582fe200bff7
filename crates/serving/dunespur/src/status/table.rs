//! Formats a status as text with tables, for people.

use super::report::{
    ControlStatus, CoreStatus, DiskStatus, FrontStatus, GatewayEntryStatus, ProcessStatus,
    ProgramStatus, ServiceStatus, Status, StoreStatus, TurnsStatus, ViewStatus,
};
use std::fmt::Write;

/// Spaces between two columns of a table.
const COLUMN_GAP: usize = 2;
const KB_PER_MB: f64 = 1024.0;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
const MS_PER_SECOND: f64 = 1000.0;

/// Renders the complete status.
pub fn render(status: &Status) -> String {
    let mut text = String::new();
    push_line(&mut text, header_line(status));
    push_line(&mut text, process_line(status.process));
    push_line(&mut text, control_line(&status.control));
    let link = status.link;
    push_line(
        &mut text,
        format!(
            "link: calls {}, unanswered {}, watches lost {}",
            link.calls, link.failed, link.watches_lost
        ),
    );
    if let Some(known) = &status.view {
        push_line(&mut text, view_line(known));
    }
    if let Some(member) = &status.core {
        push_line(&mut text, core_line(member));
    }
    if let Some(counters) = status.front {
        push_line(&mut text, front_line(counters));
    }
    if let Some(budgets) = status.budgets {
        push_line(
            &mut text,
            format!(
                "budgets: programs {}, turns waiting {}",
                budgets.programs, budgets.waiting
            ),
        );
    }
    if let Some(budget) = &status.program {
        push_line(&mut text, program_line(budget));
    }
    if let Some(stored) = status.turns {
        push_line(&mut text, turns_line(stored));
    }
    push_table(&mut text, gateway_rows(&status.gateways));
    push_table(&mut text, service_rows(&status.services));
    push_table(&mut text, store_rows(&status.stores));
    if let Some(member) = &status.core {
        push_table(&mut text, lease_rows(member));
    }
    text
}

fn push_line(text: &mut String, line: String) {
    text.push_str(&line);
    text.push('\n');
}

fn header_line(status: &Status) -> String {
    let Status {
        node,
        role,
        version,
        zone,
        ..
    } = status;
    let location = if zone.is_empty() {
        String::new()
    } else {
        format!(" in {zone}")
    };
    format!(
        "{node}: {role} {version}{location}, up {}",
        seconds(status.up_ms)
    )
}

fn process_line(process: ProcessStatus) -> String {
    format!(
        "process: memory {:.1} MB, {:.1} at most; processor {}; descriptors {}",
        process.memory_kb as f64 / KB_PER_MB,
        process.peak_memory_kb as f64 / KB_PER_MB,
        seconds(process.processor_ms),
        process.descriptors,
    )
}

fn control_line(control: &ControlStatus) -> String {
    let index = control
        .index
        .map_or("nothing yet".to_owned(), |index| format!("index {index}"));
    let generation = control
        .generation
        .map_or("no configuration".to_owned(), |number| {
            format!("configuration {number}")
        });
    let last_answer = match (control.follows, control.silent_ms) {
        (Some(member), Some(silent_ms)) => format!("{member} answered {} ago", seconds(silent_ms)),
        _ => "no core member has answered".to_owned(),
    };
    let contact = if control.in_touch {
        "in contact"
    } else {
        "OUT OF CONTACT"
    };
    format!("control state: {index}, {generation}; {contact}, {last_answer}")
}

fn view_line(view: &ViewStatus) -> String {
    let mut chain: Vec<_> = view
        .members
        .iter()
        .filter(|member| member.chain_position.is_some())
        .collect();
    chain.sort_by_key(|member| member.chain_position);
    let chain: Vec<&str> = chain.iter().map(|member| member.node.as_str()).collect();
    let mut text = format!("view {}: chain {}", view.number, chain.join(" > "));
    let outside_chain = view
        .members
        .iter()
        .filter(|member| member.chain_position.is_none());
    let outside_chain: Vec<&str> = outside_chain.map(|member| member.node.as_str()).collect();
    if !outside_chain.is_empty() {
        let _ = write!(text, "; OUT OF THE CHAIN {}", outside_chain.join(", "));
    }
    text
}

fn core_line(core: &CoreStatus) -> String {
    let state = match (core.current, core.follows) {
        (_, true) => "follows",
        (true, false) => "CONNECTED TO A MAJORITY, NOT UP TO DATE",
        (false, false) => "NOT CONNECTED TO A MAJORITY",
    };
    format!(
        "core member: {state}; committed {}, operations waiting {}, programs counted {} in {:.1} of {:.1} MB; {}",
        core.committed,
        core.waiting,
        core.programs,
        core.counter_bytes as f64 / BYTES_PER_MB,
        core.max_counter_bytes as f64 / BYTES_PER_MB,
        disk_summary(core.disk),
    )
}

fn disk_summary(disk: DiskStatus) -> String {
    format!(
        "disk: done {}, waiting {}, failed {}",
        disk.done, disk.waiting, disk.failed
    )
}

fn front_line(front: FrontStatus) -> String {
    format!(
        "front: {}; clients {} open, {} accepted; requests {}, rejected {}, failed {}; connections to servers {} \
         open, {} opened; bodies {:.1} MB",
        if front.ready { "ready" } else { "NOT READY" },
        front.connections,
        front.accepted,
        front.requests,
        front.refused,
        front.failed,
        front.server_connections,
        front.server_connections_opened,
        front.body_bytes as f64 / BYTES_PER_MB,
    )
}

fn program_line(program: &ProgramStatus) -> String {
    let number =
        |value: Option<u64>| value.map_or("unknown here".to_owned(), |value| value.to_string());
    format!(
        "program {}: leased here {}, used {}, leased by all limiters {}",
        program.name,
        number(program.leased_here),
        number(program.used),
        number(program.leased),
    )
}

fn turns_line(turns: TurnsStatus) -> String {
    let mut state = vec![if turns.complete {
        "complete"
    } else {
        "INCOMPLETE"
    }];
    if turns.emptied {
        state.push("emptied");
    }
    let missing = format!("{} turns missing", turns.missing);
    if turns.missing > 0 {
        state.push(&missing);
    }
    if turns.incomplete {
        state.push("some chains incomplete");
    }
    format!(
        "turns: {} of {:.1} MB, capacity {:.1} MB; {}; requests waiting {}; {}",
        turns.turns,
        turns.bytes as f64 / BYTES_PER_MB,
        turns.capacity_bytes as f64 / BYTES_PER_MB,
        state.join(", "),
        turns.waiting,
        disk_summary(turns.disk),
    )
}

type Row = Vec<String>;

fn gateway_rows(gateways: &[GatewayEntryStatus]) -> Vec<Row> {
    let mut rows = vec![row(["GATEWAY", "ADDRESS", "ZONE"])];
    for gateway in gateways {
        rows.push(vec![
            gateway.name.clone(),
            gateway.address.to_string(),
            gateway.zone.clone(),
        ]);
    }
    rows
}

fn service_rows(services: &[ServiceStatus]) -> Vec<Row> {
    let mut rows = vec![row([
        "SERVICE",
        "SERVER",
        "ADDRESS",
        "ZONE",
        "SLOTS",
        "STATE",
        "IN FLIGHT HERE",
    ])];
    for service in services {
        for server in &service.servers {
            let state = if server.draining { "draining" } else { "ready" };
            rows.push(vec![
                service.name.clone(),
                server.id.clone(),
                server.address.to_string(),
                server.zone.clone(),
                server.slots.to_string(),
                state.to_owned(),
                server.in_flight.to_string(),
            ]);
        }
    }
    rows
}

fn store_rows(stores: &[StoreStatus]) -> Vec<Row> {
    let mut rows = vec![row(["STORE", "ADDRESS", "ZONE", "STATE"])];
    for store in stores {
        rows.push(vec![
            store.name.clone(),
            store.address.to_string(),
            store.zone.clone(),
            store_state(store),
        ]);
    }
    rows
}

fn store_state(store: &StoreStatus) -> String {
    let mut state = vec![if store.present { "present" } else { "ABSENT" }];
    if !store.complete {
        state.push("incomplete");
    }
    if store.retired {
        state.push("retired");
    } else if store.retiring {
        state.push("retiring");
    }
    state.join(", ")
}

fn lease_rows(core: &CoreStatus) -> Vec<Row> {
    let mut rows = vec![row(["LEASE", "SILENT", "EXPIRES AFTER"])];
    for lease in &core.leases {
        rows.push(vec![
            lease.holder.clone(),
            seconds(lease.silent_ms),
            seconds(lease.lease_ms),
        ]);
    }
    rows
}

fn row<const N: usize>(cells: [&str; N]) -> Row {
    cells.iter().map(|cell| (*cell).to_owned()).collect()
}

/// Appends a table unless it has only its header; columns are as wide as their widest cell.
fn push_table(text: &mut String, rows: Vec<Row>) {
    if rows.len() < 2 {
        return;
    }
    let columns = rows[0].len();
    let width = |column: usize| {
        rows.iter()
            .map(|row| row[column].chars().count())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    text.push('\n');
    for row in &rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            let _ = write!(line, "{cell:<width$}{:COLUMN_GAP$}", "");
        }
        push_line(text, line.trim_end().to_owned());
    }
}

fn seconds(ms: u64) -> String {
    format!("{:.1} s", ms as f64 / MS_PER_SECOND)
}
