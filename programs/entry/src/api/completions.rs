//! `/v1/chat/completions` and `/v1/completions`.

use std::sync;

use bw_wire::refusal;
use gotham::http;

use super::{Body, Head, Response, require_method};
use crate::{context, filter, online, upstream};

/// Answers a completion request. One that is not repeatable runs at most once.
pub(super) async fn answer(
    context: &sync::Arc<context::Context>,
    head: &Head,
    api: upstream::Api,
    body: Body,
) -> Result<Response, refusal::Refusal> {
    require_method(head, &http::Method::POST)?;
    let request = filter::online(context, head, api, body).await?;
    if !head.is_non_repeatable() {
        let run = online::Run::new(sync::Arc::clone(context), request, true);
        return online::respond(run).await;
    }
    let content = request.body.value.to_string();
    let key = online::Key::of(head, &request.team, content.as_bytes(), request.deadline_ms)?;
    let run = online::Run::new(sync::Arc::clone(context), request, false);
    online::at_most_once(context, key, run_to_end(run)).await
}

/// Runs a request that is not repeatable to its end. A streamed response is
/// recorded as the text of the stream, so that a resend gets the same response.
async fn run_to_end(mut run: online::Run) -> online::Outcome {
    match online::collect_answer(&mut run).await {
        Ok((content_type, body)) => online::Outcome::Done {
            status: http::StatusCode::OK,
            content_type: content_type.to_owned(),
            body,
        },
        Err(refusal) => online::Outcome::of_refusal(refusal),
    }
}
