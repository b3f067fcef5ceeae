//! Hosts many gateways and speaks the line wire for them: JSON in, JSON out, a reply for each batch.
#![expect(clippy::too_many_lines)]

mod wire;

use frosthatch_traffic_control::{Action, Gateway};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use wire::{Batch, Msg, Out, Reply};

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("frosthatch-adapter: {text}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut gateways: BTreeMap<u32, Gateway> = BTreeMap::new();
    for (n, line) in input.lines().enumerate() {
        let line = line.map_err(|e| format!("line {}: cannot be read: {e}", n + 1))?;
        let batch: Batch =
            serde_json::from_str(&line).map_err(|e| format!("line {}: malformed: {e}", n + 1))?;
        let mut out = Vec::new();
        for msg in batch.msgs {
            let i = msg.instance();
            match catch_unwind(AssertUnwindSafe(|| {
                step(&mut gateways, batch.time_us, msg, &mut out)
            })) {
                Ok(result) => result.map_err(|e| format!("line {}: {e}", n + 1))?,
                Err(panic) => out.push(Out::GiveIn {
                    i,
                    line: panic_text(panic.as_ref()),
                }),
            }
        }
        let reply = Reply {
            batch: batch.batch,
            out,
        };
        serde_json::to_writer(&mut output, &reply)
            .map_err(|e| format!("cannot write the reply: {e}"))?;
        output
            .write_all(b"\n")
            .and_then(|()| output.flush())
            .map_err(|e| format!("cannot write the reply: {e}"))?;
    }
    Ok(())
}

fn step(
    gateways: &mut BTreeMap<u32, Gateway>,
    now: u64,
    msg: Msg,
    out: &mut Vec<Out>,
) -> Result<(), String> {
    let i = msg.instance();
    match msg {
        Msg::Start {
            prng, boot_info, ..
        } => {
            let gateway = Gateway::new(boot_info.settings(), prng).map_err(|e| e.to_string())?;
            gateways.insert(i, gateway);
        }
        Msg::Detach { .. } => {
            gateways.remove(&i);
        }
        other => {
            let gateway = gateways
                .get_mut(&i)
                .ok_or_else(|| format!("event for instance {i}, which is not started"))?;
            let mut actions: Vec<Action> = Vec::new();
            if let Some(event) = other.event()? {
                gateway.handle(now, event, &mut actions);
            }
            out.extend(actions.into_iter().filter_map(|a| Out::from_action(i, a)));
        }
    }
    Ok(())
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    text.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()))
        .unwrap_or_else(|| "panic".into())
}
