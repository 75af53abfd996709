//! gRPC server and clients of the ledger: reports of charged service between entries.

use std::{collections, net, time};

use crossbeam_channel as channel;
use tokio::sync::{mpsc, oneshot};
use tonic::{Request, Response, Status};

use crate::control::dispatch;
use crate::wire::{self, ledger_client, ledger_server, secret};
use crate::{error, settings};

/// Timeout of a report and its reply. Reports are cumulative, so a later one replaces a lost one.
const TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The gRPC service.
#[derive(Debug)]
pub struct Server {
    /// Sends to the core.
    pub tx: channel::Sender<dispatch::Message>,
    /// Secrets accepted from calling entries.
    pub secret: settings::Secret,
}

#[tonic::async_trait]
impl ledger_server::Ledger for Server {
    async fn exchange(
        &self,
        request: Request<wire::Report>,
    ) -> Result<Response<wire::Report>, Status> {
        secret::check(&self.secret, &request)?;
        let (tx, rx) = oneshot::channel();
        let message = dispatch::Message::Report(request.into_inner(), tx);
        let stopped = || Status::unavailable("stopped");
        self.tx.send(message).map_err(|_stopped| stopped())?;
        rx.await.map(Response::new).map_err(|_stopped| stopped())
    }
}

/// Sends reports to other entries and passes the replies to the core.
pub async fn send_reports(
    mut rx: mpsc::UnboundedReceiver<(net::SocketAddr, wire::Report)>,
    secret: settings::Secret,
    core: channel::Sender<dispatch::Message>,
) {
    let mut clients = collections::HashMap::new();
    while let Some((address, report)) = rx.recv().await {
        let client = match clients.entry(address) {
            collections::hash_map::Entry::Occupied(client) => client.into_mut(),
            collections::hash_map::Entry::Vacant(vacant) => match open_client(address) {
                Ok(client) => vacant.insert(client),
                Err(err) => {
                    log::warn!(event = "report_failed", error:% = err; "");
                    continue;
                }
            },
        };
        let call = send_report(client.clone(), secret.clone(), report, core.clone());
        tokio::spawn(call);
    }
}

type Client = ledger_client::LedgerClient<tonic::transport::Channel>;

/// Creates a client that connects on first use and reconnects after a lost connection.
fn open_client(address: net::SocketAddr) -> error::Result<Client> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(TIMEOUT)
        .timeout(TIMEOUT)
        .http2_keep_alive_interval(TIMEOUT)
        .keep_alive_timeout(TIMEOUT)
        .keep_alive_while_idle(false)
        .tcp_nodelay(true);
    Ok(ledger_client::LedgerClient::new(endpoint.connect_lazy()))
}

async fn send_report(
    mut client: Client,
    secret: settings::Secret,
    report: wire::Report,
    core: channel::Sender<dispatch::Message>,
) {
    let mut request = Request::new(report);
    secret::attach(&secret, &mut request);
    match client.exchange(request).await {
        // The send fails only when the core has stopped with the process.
        Ok(reply) => drop(core.send(dispatch::Message::ReportReply(reply.into_inner()))),
        Err(err) => log::debug!(event = "report_failed", error:% = err; ""),
    }
}
