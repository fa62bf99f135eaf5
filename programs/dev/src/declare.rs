//! The first declared intent.

use anyhow::Context;
use bw_client::control;
use bw_wire::{command::config, intent, query};
use tokio::runtime;

use crate::{roles, settings};

/// Identifies the first plan, so that a repeat has no effect.
const PLAN_REQUEST: &str = "bw-dev/plan";
/// Identifies the first confirm. Request ids are shared by all commands, so it
/// differs from that of the plan.
const CONFIRM_REQUEST: &str = "bw-dev/confirm";

/// Declares the model, unless something has been declared before.
pub(crate) fn model(settings: &settings::Settings) -> anyhow::Result<()> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let client = control::Builder::new(vec![settings.control_address.clone()]).build();
    runtime.block_on(declare(&client, intent(settings)))
}

async fn declare(client: &control::Client, intent: intent::Intent) -> anyhow::Result<()> {
    let answer = client.query(0, query::Query::Config).await;
    let query::Answer::Config { revision, .. } = answer.context("reading the configuration")?
    else {
        anyhow::bail!("unexpected answer of the control replica");
    };
    if revision > 0 {
        return Ok(());
    }
    let command = config::Command::Plan {
        request: PLAN_REQUEST.into(),
        operator: "bw-dev".into(),
        base: revision,
        intent: Box::new(intent),
    };
    let plan = match client.config(command).await.context("planning")? {
        config::Reply::Planned { plan, .. } => plan,
        other => anyhow::bail!("the plan was refused: {other:?}"),
    };
    let command = config::Command::Confirm {
        request: CONFIRM_REQUEST.into(),
        operator: "bw-dev".into(),
        plan,
    };
    match client.config(command).await.context("confirming")? {
        config::Reply::Applied { .. } => Ok(()),
        other => anyhow::bail!("the confirm was refused: {other:?}"),
    }
}

fn intent(settings: &settings::Settings) -> intent::Intent {
    let mut intent = intent::Intent::default();
    let model = intent::Model {
        deployment: roles::DEPLOYMENT.into(),
        replicas: settings.engines,
        ..intent::Model::default()
    };
    intent.models.insert(settings.model.clone(), model);
    let deployment = intent::Deployment {
        checks_fencing: true,
    };
    intent
        .deployments
        .insert(roles::DEPLOYMENT.into(), deployment);
    intent
}
