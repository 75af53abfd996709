//! Calls to other sidecars that hand over idempotency keys.

use std::{net, time};

use crate::wire::{self, secret, sidecar_client};
use crate::{error, settings};

/// Timeout of one call: a full table of keys is a few megabytes.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Maximum number of calls for one handover. Calls are retried because a sidecar that did not
/// receive the keys refuses calls with them for the whole retention time.
const MAX_ATTEMPTS: u32 = 3;

/// Maximum bytes of a message: all keys that a table holds, with their small responses.
pub const MAX_MESSAGE_BYTES: usize = 128 << 20;

/// Receives the reply, or `None` if there was none.
pub type Done = Box<dyn FnOnce(Option<wire::HandoverReply>) + Send>;

/// Makes the call in a separate task and passes the reply to `done`.
pub fn spawn(
    runtime: &tokio::runtime::Handle,
    secret: settings::Secret,
    address: net::SocketAddr,
    request: wire::HandoverRequest,
    done: Done,
) {
    runtime.spawn(async move {
        let mut reply = None;
        for _ in 0..MAX_ATTEMPTS {
            match tokio::time::timeout(CALL_TIMEOUT, call(&secret, address, request.clone())).await
            {
                Ok(Ok(received)) => {
                    reply = Some(received);
                    break;
                }
                Ok(Err(err)) => log::debug!(event = "handover_failed", error:% = err; ""),
                Err(_elapsed) => {}
            }
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
        done(reply);
    });
}

async fn call(
    secret: &settings::Secret,
    address: net::SocketAddr,
    request: wire::HandoverRequest,
) -> error::Result<wire::HandoverReply> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CALL_TIMEOUT)
        .tcp_nodelay(true);
    let channel = endpoint.connect().await?;
    let mut client = sidecar_client::SidecarClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let mut request = tonic::Request::new(request);
    secret::attach(secret, &mut request);
    Ok(client.handover(request).await?.into_inner())
}
