//! Polls a future without waiting for it.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::Poll;

/// Polls `future` once. Returns its output if it is ready.
pub(super) async fn poll_once<F: Future + Unpin>(mut future: F) -> Option<F::Output> {
    poll_fn(|cx| match Pin::new(&mut future).poll(cx) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}
