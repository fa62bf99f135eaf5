//! An unmodified OpenAI client library against the callers' API.

mod fleet;

use std::time;

use async_openai::{
    Client, config,
    types::{InputSource, batches, chat, files},
};
use futures_util::StreamExt;

const POLL: time::Duration = time::Duration::from_millis(100);

/// Guards against answers that existing client libraries cannot read.
#[tokio::test(flavor = "multi_thread")]
async fn client_library_lists_models_and_chats() {
    let fleet = fleet::Builder::default().start().await;
    let client = client(&fleet, 0);

    let models = client.models().list().await.expect("models");
    let names: Vec<&str> = models.data.iter().map(|model| model.id.as_str()).collect();
    assert_eq!(names, [fleet::MODEL]);
    let model = client.models().retrieve(fleet::MODEL).await.expect("model");
    assert_eq!(model.id, fleet::MODEL);

    let expected = fleet.expected("which resin ratio?", 10).await;
    let answer = client.chat().create(request()).await.expect("answer");
    assert_eq!(
        answer.choices[0].message.content.as_deref(),
        Some(expected.as_str())
    );

    let mut stream = client
        .chat()
        .create_stream(request())
        .await
        .expect("stream");
    let mut text = String::new();
    while let Some(part) = stream.next().await {
        for choice in part.expect("part").choices {
            text.push_str(choice.delta.content.as_deref().unwrap_or_default());
        }
    }
    assert_eq!(text, expected);
}

/// Guards against a batch API that existing client libraries cannot drive:
/// upload, create, poll, list, read, cancel.
#[tokio::test(flavor = "multi_thread")]
async fn client_library_runs_and_cancels_batches() {
    let fleet = fleet::Builder::default().start().await;
    let client = client(&fleet, 1);
    let batch = create(&client, &fleet::batch_lines(5, 4)).await;
    let ended = loop {
        let batch = client.batches().retrieve(&batch.id).await.expect("batch");
        if batch.status != batches::BatchStatus::InProgress {
            break batch;
        }
        tokio::time::sleep(POLL).await;
    };
    assert_eq!(ended.status, batches::BatchStatus::Completed);
    let output = ended.output_file_id.expect("output file");
    let content = client.files().content(&output).await.expect("content");
    assert_eq!(String::from_utf8_lossy(&content).lines().count(), 5);
    let listed = client.batches().list().await.expect("list");
    assert!(listed.data.iter().any(|listed| listed.id == batch.id));

    let long = create(&client, &fleet::batch_lines(400, 400)).await;
    let cancelled = client.batches().cancel(&long.id).await.expect("cancelled");
    assert_eq!(cancelled.status, batches::BatchStatus::Cancelled);
}

fn client(fleet: &fleet::Fleet, entry: usize) -> Client<config::OpenAIConfig> {
    let base = format!("http://{}/v1", fleet.entry_address(entry));
    let config = config::OpenAIConfig::new()
        .with_api_base(base)
        .with_api_key("unused");
    Client::with_config(config)
}

fn request() -> chat::CreateChatCompletionRequest {
    let message = chat::ChatCompletionRequestUserMessageArgs::default()
        .content("which resin ratio?")
        .build()
        .expect("message");
    chat::CreateChatCompletionRequestArgs::default()
        .model(fleet::MODEL)
        .max_completion_tokens(10_u32)
        .messages([message.into()])
        .build()
        .expect("request")
}

async fn create(client: &Client<config::OpenAIConfig>, lines: &str) -> batches::Batch {
    let source = InputSource::VecU8 {
        filename: "items.jsonl".to_owned(),
        vec: lines.as_bytes().to_vec(),
    };
    let request = files::CreateFileRequest {
        file: files::FileInput { source },
        purpose: files::FilePurpose::Batch,
        expires_after: None,
    };
    let file = client.files().create(request).await.expect("file");
    let request = batches::BatchRequestArgs::default()
        .input_file_id(file.id)
        .endpoint(batches::BatchEndpoint::V1ChatCompletions)
        .completion_window(batches::BatchCompletionWindow::W24H)
        .build()
        .expect("batch request");
    client.batches().create(request).await.expect("batch")
}
