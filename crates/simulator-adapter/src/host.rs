//! The gateways, and the loop from batches to replies.

use crate::error::{AdapterError, MessageError};
use crate::wire::{Batch, IncomingMessage, OutgoingMessage, Reply};
use frosthatch_traffic_control::Gateway;
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Replies to each batch of `input` until it ends.
///
/// # Errors
/// A line that cannot be read or carried out, or a reply that cannot be written.
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

/// The gateways by their instance number.
#[derive(Default)]
struct Gateways(BTreeMap<u32, Gateway>);

impl Gateways {
    fn process(&mut self, batch: Batch) -> Result<Reply, MessageError> {
        let mut outgoing = Vec::new();
        for message in batch.messages {
            let instance = message.instance();
            // A panic ends one instance's message, not the whole session.
            let result = catch_unwind(AssertUnwindSafe(|| {
                self.handle(batch.time_us, message, &mut outgoing)
            }));
            match result {
                Ok(result) => result?,
                Err(panic) => outgoing.push(OutgoingMessage::Panicked {
                    instance,
                    line: panic_text(panic.as_ref()),
                }),
            }
        }
        Ok(Reply {
            batch: batch.number,
            messages: outgoing,
        })
    }

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
                let gateway = gateway.ok_or(MessageError::NotStarted(instance))?;
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

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let owned = panic.downcast_ref::<String>().cloned();
    let borrowed = panic.downcast_ref::<&str>().map(ToString::to_string);
    owned.or(borrowed).unwrap_or_else(|| "panic".into())
}
