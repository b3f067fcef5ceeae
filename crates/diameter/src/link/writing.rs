//! Writes the queued messages of a connection.

use super::write_queue::QueuedAttempt;
use super::{Link, LinkEndReason, QueuedMessage};
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Interval between two checks whether an attempt that is written in part may still be written.
const PERMIT_CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Link {
    /// Writes queued messages until a write fails or an attempt's permit lapses during its write.
    pub(super) async fn write_messages(
        &self,
        mut writer: impl AsyncWrite + Unpin,
        mut queued_messages: mpsc::Receiver<QueuedMessage>,
    ) -> LinkEndReason {
        while let Some(QueuedMessage { bytes, attempt }) = queued_messages.recv().await {
            let written = match attempt {
                None => self.write_message(&mut writer, &bytes).await,
                Some(attempt) => self.write_attempt(&mut writer, &bytes, attempt).await,
            };
            if let Err(end) = written {
                return end;
            }
        }
        LinkEndReason::WriteFailed
    }

    /// Writes the message of an attempt, or discards it if it was withdrawn or its permit has lapsed while it was queued
    /// because the peer was slow to read.
    ///
    /// # Errors
    /// Returns the reason if the connection has to end.
    async fn write_attempt(
        &self,
        writer: &mut (impl AsyncWrite + Unpin),
        bytes: &[u8],
        attempt: QueuedAttempt,
    ) -> Result<(), LinkEndReason> {
        let QueuedAttempt {
            permit,
            write,
            denied,
        } = attempt;
        if let Err(reason) = permit.check() {
            write.withdraw();
            let _ = denied.send(reason);
        }
        if !write.begin() {
            self.release(bytes.len());
            return Ok(());
        }
        let written = self.write_message(writer, bytes);
        tokio::pin!(written);
        loop {
            tokio::select! {
                biased;
                written = &mut written => {
                    written?;
                    permit.record_written(None);
                    return Ok(());
                }
                () = sleep(PERMIT_CHECK_INTERVAL) => {
                    if permit.check().is_err() {
                        return Err(LinkEndReason::AttemptLapsed);
                    }
                }
            }
        }
    }

    /// Writes a message.
    ///
    /// # Errors
    /// Returns the reason if the write fails.
    async fn write_message(
        &self,
        writer: &mut (impl AsyncWrite + Unpin),
        bytes: &[u8],
    ) -> Result<(), LinkEndReason> {
        let failed = |_| LinkEndReason::WriteFailed;
        writer.write_all(bytes).await.map_err(failed)?;
        // There is no await between the last byte and this line, so that a sent message never counts as unwritten.
        self.release(bytes.len());
        writer.flush().await.map_err(failed)
    }
}
