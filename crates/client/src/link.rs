//! A WebSocket connection to another process of the system, opened on demand and
//! reopened after it fails.

use std::{fmt, sync, time};

use jsonrpsee::{
    core::{client as rpc_client, params, traits},
    ws_client,
};
use serde::de;
use tokio::sync as async_sync;

use bw_wire::name;

/// Maximum size of a message, in bytes.
const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;
/// Maximum number of concurrent calls on one link.
const MAX_CONCURRENT_CALLS: usize = 256;

/// Why a call failed.
#[derive(Debug)]
pub enum Error {
    /// No connection could be opened, so nothing was sent.
    Connect(rpc_client::Error),
    /// The call was sent, or may have been.
    Call(rpc_client::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connect(error) | Error::Call(error) => write!(formatter, "{error}"),
        }
    }
}

/// A connection that is reopened after it fails.
pub struct Link {
    address: name::Name,
    token: Option<name::Name>,
    timeout: time::Duration,
    client: async_sync::Mutex<Option<sync::Arc<ws_client::WsClient>>>,
}

impl Link {
    /// Creates a link to `address`, which connects when it is first used. The timeout
    /// applies to connecting and to each call.
    pub fn new(address: name::Name, token: Option<name::Name>, timeout: time::Duration) -> Link {
        Link {
            address,
            token,
            timeout,
            client: async_sync::Mutex::new(None),
        }
    }

    /// Returns the `IP:port` address of the other process.
    pub fn address(&self) -> &str {
        self.address.as_str()
    }

    /// Calls a method. Drops the connection if the call fails because of it.
    ///
    /// A timeout also drops the connection: after a long partition, TCP may take minutes
    /// to resume, while a new connection works at once.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened, when the call is not answered in
    /// time, or when it is answered with an error.
    pub async fn call<R, P>(&self, method: &str, params: P) -> Result<R, Error>
    where
        R: de::DeserializeOwned,
        P: traits::ToRpcParams + Send,
    {
        use jsonrpsee::core::client::ClientT;

        let client = self.connect().await.map_err(Error::Connect)?;
        let answer = client.request(method, params).await;
        if answer.as_ref().is_err_and(is_broken) {
            self.forget(&client).await;
        }
        answer.map_err(Error::Call)
    }

    /// Returns the open connection, or opens one.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened.
    pub async fn connect(&self) -> Result<sync::Arc<ws_client::WsClient>, rpc_client::Error> {
        let mut slot = self.client.lock().await;
        if let Some(client) = slot.as_ref()
            && client.is_connected()
        {
            return Ok(sync::Arc::clone(client));
        }
        let mut headers = ws_client::HeaderMap::new();
        if let Some(token) = &self.token
            && let Ok(value) = ws_client::HeaderValue::from_str(&format!("Bearer {token}"))
        {
            headers.insert("authorization", value);
        }
        let client = ws_client::WsClientBuilder::default()
            .set_headers(headers)
            .connection_timeout(self.timeout)
            .request_timeout(self.timeout)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .max_concurrent_requests(MAX_CONCURRENT_CALLS)
            .build(format!("ws://{}", self.address))
            .await?;
        let client = sync::Arc::new(client);
        *slot = Some(sync::Arc::clone(&client));
        Ok(client)
    }

    /// Drops a broken connection, unless it is replaced already.
    pub async fn forget(&self, broken: &sync::Arc<ws_client::WsClient>) {
        let mut slot = self.client.lock().await;
        if slot
            .as_ref()
            .is_some_and(|held| sync::Arc::ptr_eq(held, broken))
        {
            *slot = None;
        }
    }
}

/// Returns whether an error means that the connection must be replaced.
pub fn is_broken(error: &rpc_client::Error) -> bool {
    matches!(
        error,
        rpc_client::Error::RestartNeeded(_)
            | rpc_client::Error::Transport(_)
            | rpc_client::Error::ServiceDisconnect
            | rpc_client::Error::RequestTimeout
    )
}

/// Encodes a single positional parameter.
///
/// # Errors
///
/// Fails when the parameter cannot be encoded as JSON.
pub fn single_param<P: serde::Serialize>(
    param: &P,
) -> Result<params::ArrayParams, rpc_client::Error> {
    let mut params = params::ArrayParams::new();
    params
        .insert(param)
        .map_err(rpc_client::Error::ParseError)?;
    Ok(params)
}
