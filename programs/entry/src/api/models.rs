//! `/v1/models` and `/v1/models/{model}`.

use bw_wire::{name, openai, refusal};
use gotham::http;

use super::{Head, Response, json, require_method};
use crate::{context, filter};

/// Lists the declared models and their adapters, or describes one of them.
pub(super) async fn answer(
    context: &context::Context,
    head: &Head,
) -> Result<Response, refusal::Refusal> {
    require_method(head, &http::Method::GET)?;
    let shared = &context.shared;
    filter::admission::check_accepting(shared)?;
    filter::access::team(&shared.credentials, &head.headers)?;
    let path = head.uri.path();
    if let Some(requested) = path.strip_prefix("/v1/models/") {
        let requested = name::Name::from(requested);
        filter::lookup(shared, |snapshot| {
            filter::parse::target(&snapshot.intent, &requested)
        })
        .await?;
        return json(&model(&requested));
    }
    let intent = &shared.snapshot.load().intent;
    let mut data = Vec::new();
    for (name, declared) in &intent.models {
        data.push(model(name));
        data.extend(declared.adapters.iter().map(model));
    }
    json(&openai::List {
        object: "list".to_owned(),
        first_id: data
            .first()
            .map(|model: &openai::Model| model.id.to_string()),
        last_id: data.last().map(|model| model.id.to_string()),
        has_more: false,
        data,
    })
}

fn model(name: &name::Name) -> openai::Model {
    openai::Model {
        id: name.clone(),
        object: "model".to_owned(),
        created: 0,
        owned_by: "bilberrywind".to_owned(),
    }
}
