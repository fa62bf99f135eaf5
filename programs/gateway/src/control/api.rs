//! The HTTP interface for operators and backend servers.

use std::{rc::Rc, time};

use bw_base::responses;
use bw_wire::name::Name;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, body, header};
use tokio::net;

use crate::{control::hub::Hub, socket};

/// Timeout of a request's headers, and of an idle connection.
const HEADER_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// Timeout of a request's body.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Largest body in bytes, enough for a configuration of tens of thousands of routes.
const BODY_BYTES_MAX: usize = 16 << 20;

type FullResponse = Response<Full<Bytes>>;

/// Serves operators and backend servers.
pub(crate) async fn serve(
    hub: Rc<Hub>,
    responses: responses::Responses,
    listener: net::TcpListener,
) {
    let handler = move |request| {
        let hub = Rc::clone(&hub);
        async move { handle(&hub, request).await }
    };
    socket::serve_http(listener, HEADER_TIMEOUT, responses, handler).await;
}

async fn handle(hub: &Rc<Hub>, request: Request<body::Incoming>) -> FullResponse {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    if parts.method == Method::GET && path == "/metrics" {
        return respond(StatusCode::OK, bw_base::metrics::render().into_bytes());
    }
    let reading = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, BODY_BYTES_MAX).collect());
    let body = match reading.await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => return respond(StatusCode::PAYLOAD_TOO_LARGE, Vec::new()),
        Err(_) => return respond(StatusCode::REQUEST_TIMEOUT, Vec::new()),
    };
    let request = match hub
        .dialect()
        .decode_control_call(&parts.method, path, &body)
    {
        Ok(request) => request,
        Err(refused) => {
            log::info!(
                method = parts.method.as_str(), path = path, status = refused.status.as_u16(),
                reason = refused.reason.as_str();
                "call refused"
            );
            return respond(refused.status, refused.reason.into_bytes());
        }
    };
    let reply = hub.call(request).await;
    let (status, bytes) = hub.dialect().encode_control_reply(reply, leader(hub));
    respond(status, bytes)
}

/// Returns the address at which the leader serves operators. All control programs
/// use the same port for it.
fn leader(hub: &Hub) -> Option<Name> {
    let own = hub.settings().operators?;
    let ip = match hub.is_leader() {
        true => own.ip(),
        false => hub.link().leader()?.ip(),
    };
    Some(std::net::SocketAddr::new(ip, own.port()).to_string().into())
}

fn respond(status: StatusCode, bytes: Vec<u8>) -> FullResponse {
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
