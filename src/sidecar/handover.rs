//! Calls from one sidecar to another that hand idempotency keys over.

use std::{net, time};

use crate::wire::{self, secret, sidecar_client};
use crate::{error, settings};

/// How long one call may take: a full table of keys is a few megabytes.
const TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Most calls for one handover. A receiver that cannot be reached refuses the keys for the whole
/// retention, so it is worth trying again.
const TRIES: u32 = 3;

/// Largest message in bytes: all keys that a table holds, and small answers with them.
pub const MESSAGE_LIMIT: usize = 128 << 20;

/// Takes the reply, or nothing if there was none.
pub type Done = Box<dyn FnOnce(Option<wire::HandoverReply>) + Send>;

/// Makes the call in a task of its own and hands the reply on.
pub fn spawn(
    runtime: &tokio::runtime::Handle,
    secret: settings::Secret,
    address: net::SocketAddr,
    request: wire::HandoverRequest,
    done: Done,
) {
    runtime.spawn(async move {
        let mut reply = None;
        for _ in 0..TRIES {
            match tokio::time::timeout(TIMEOUT, call(&secret, address, request.clone())).await {
                Ok(Ok(answer)) => {
                    reply = Some(answer);
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
        .connect_timeout(TIMEOUT)
        .tcp_nodelay(true);
    let channel = endpoint.connect().await?;
    let mut client = sidecar_client::SidecarClient::new(channel)
        .max_decoding_message_size(MESSAGE_LIMIT)
        .max_encoding_message_size(MESSAGE_LIMIT);
    let mut request = tonic::Request::new(request);
    secret::sign(secret, &mut request);
    Ok(client.handover(request).await?.into_inner())
}
