//! Runs the gateways: reads batches, passes their messages to the gateways, and writes replies.

use crate::error::{AdapterError, MessageError};
use crate::wire::{Batch, IncomingMessage, OutgoingMessage, Reply};
use frosthatch_traffic_control::Gateway;
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Reads batches from `input` until its end, and writes a reply to each to `output`.
///
/// # Errors
/// Returns an error if a line cannot be read or is invalid, or if a reply cannot be written.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut gateways = Gateways::default();
    for (index, text) in input.lines().enumerate() {
        let line = index + 1;
        let text = text.map_err(|source| AdapterError::Read { line, source })?;
        let batch: Batch = serde_json::from_str(&text)
            .map_err(|source| AdapterError::Malformed { line, source })?;
        let reply = gateways
            .process(batch)
            .map_err(|source| AdapterError::Message { line, source })?;
        let reply = serde_json::to_vec(&reply).map_err(std::io::Error::from)?;
        output.write_all(&reply)?;
        output.write_all(b"\n")?;
        output.flush()?;
    }
    Ok(())
}

/// The running gateways by instance number.
#[derive(Default)]
struct Gateways(BTreeMap<u32, Gateway>);

impl Gateways {
    /// Passes the messages of a batch to their gateways in order, and returns the reply.
    fn process(&mut self, batch: Batch) -> Result<Reply, MessageError> {
        let mut outgoing = Vec::new();
        for message in batch.messages {
            let instance = message.instance();
            // A panic ends the handling of one message, not the session of all instances.
            let result = catch_unwind(AssertUnwindSafe(|| {
                self.handle(batch.time_us, message, &mut outgoing)
            }));
            match result {
                Ok(result) => result?,
                Err(payload) => outgoing.push(OutgoingMessage::Panicked {
                    instance,
                    line: panic_text(payload.as_ref()),
                }),
            }
        }
        Ok(Reply {
            batch: batch.number,
            messages: outgoing,
        })
    }

    /// Handles one message at the time `now_us`, and appends the resulting messages to `outgoing`.
    fn handle(
        &mut self,
        now_us: u64,
        message: IncomingMessage,
        outgoing: &mut Vec<OutgoingMessage>,
    ) -> Result<(), MessageError> {
        let instance = message.instance();
        match message {
            IncomingMessage::Start {
                seed, boot_info, ..
            } => {
                let gateway = Gateway::new(boot_info.settings(), seed)?;
                self.0.insert(instance, gateway);
            }
            IncomingMessage::Stop { .. } => {
                self.0.remove(&instance);
            }
            other => {
                let gateway = self.0.get_mut(&instance);
                let gateway = gateway.ok_or(MessageError::NotRunning(instance))?;
                let mut actions = Vec::new();
                if let Some(event) = other.into_event()? {
                    gateway.handle(now_us, event, &mut actions);
                }
                let messages = actions.into_iter();
                outgoing.extend(
                    messages.filter_map(|action| OutgoingMessage::from_action(instance, action)),
                );
            }
        }
        Ok(())
    }
}

/// Returns the message of a panic, or a placeholder if the payload is not a string.
fn panic_text(payload: &(dyn Any + Send)) -> String {
    let owned = payload.downcast_ref::<String>().cloned();
    let borrowed = payload.downcast_ref::<&str>().map(ToString::to_string);
    owned.or(borrowed).unwrap_or_else(|| "panic".into())
}
