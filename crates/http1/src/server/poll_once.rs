//! Looks at a future without waiting for it.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::Poll;

/// The output of a future if it is ready at its next poll.
pub(super) async fn poll_once<F: Future + Unpin>(mut future: F) -> Option<F::Output> {
    poll_fn(|cx| match Pin::new(&mut future).poll(cx) {
        Poll::Ready(output) => Poll::Ready(Some(output)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}
