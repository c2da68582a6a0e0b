//! HTTP endpoints for load, cache events, KV cache, orders and run counts.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use anvil_world::command::OrderKind;
use anvil_world::prelude::*;
use bytes::Bytes;
use http::StatusCode;
use serde::Deserialize;
use serde_json::json;
use viz::{Body, Request, RequestExt, Response, Router};

use super::state::{Engine, lock};
use crate::client::Client;
use crate::reply;

/// Placeholder for the KV cache of one block.
static KV: [u8; 256] = [0; 256];

#[derive(Debug, Deserialize)]
struct OrderBody {
    term: Term,
    index: LogIndex,
    order: OrderKind,
}

#[derive(Debug, Default, Deserialize)]
struct EventsQuery {
    #[serde(default)]
    from: u64,
}

pub(super) fn routes(router: Router, engine: &Arc<Engine>) -> Router {
    let with_engine = |f: fn(&Engine, &Request) -> Response| {
        let engine = engine.clone();
        move |req: Request| {
            let response = f(&engine, &req);
            async move { viz::Result::Ok(response) }
        }
    };
    let orders = engine.clone();
    router
        .get("/load", with_engine(load))
        .get("/events", with_engine(events))
        .get("/runs", with_engine(runs))
        .get("/kv/:prefix", with_engine(export))
        .post("/kv/:prefix", with_engine(import))
        .post("/orders", move |req| order(orders.clone(), req))
}

fn load(engine: &Engine, _: &Request) -> Response {
    reply::json(StatusCode::OK, &engine.load())
}

fn events(engine: &Engine, req: &Request) -> Response {
    let from = req.query::<EventsQuery>().unwrap_or_default().from;
    let (lag, gap) = (engine.cfg.events_lag, engine.cfg.lost_event_interval);
    let events = lock(&engine.cache).events(from, lag, gap);
    reply::json(StatusCode::OK, &json!({ "events": events }))
}

fn runs(engine: &Engine, _: &Request) -> Response {
    let tokens = engine.tokens.load(Ordering::Relaxed);
    let body = json!({"runs": engine.start_counts(), "tokens": tokens});
    reply::json(StatusCode::OK, &body)
}

fn export(engine: &Engine, req: &Request) -> Response {
    let cached = block(req).is_some_and(|block| lock(&engine.cache).contains(block));
    if cached {
        return Response::new(Body::Full(Bytes::from_static(&KV).into()));
    }
    reply::json(StatusCode::NOT_FOUND, &json!({"error": "no such prefix"}))
}

fn import(engine: &Engine, req: &Request) -> Response {
    let Some(block) = block(req) else {
        let error = json!({"error": "a prefix is a block's number"});
        return reply::json(StatusCode::BAD_REQUEST, &error);
    };
    lock(&engine.cache).touch(block);
    reply::json(StatusCode::OK, &json!({"stored": block}))
}

fn block(req: &Request) -> Option<u64> {
    req.param("prefix").ok()
}

async fn order(engine: Arc<Engine>, mut req: Request) -> viz::Result<Response> {
    let body = req.bytes().await?;
    let body: OrderBody = match serde_json::from_slice(&body) {
        Ok(body) => body,
        Err(e) => {
            let error = json!({"error": e.to_string()});
            return Ok(reply::json(StatusCode::BAD_REQUEST, &error));
        }
    };
    let number = (body.term, body.index);
    let checks_fencing = engine.checks_fencing.load(Ordering::Relaxed);
    let newest_number = engine.order_state().newest_number;
    if checks_fencing && number < newest_number {
        let stale = json!({"error": "stale", "term": newest_number.0, "index": newest_number.1});
        return Ok(reply::json(StatusCode::CONFLICT, &stale));
    }
    if let OrderKind::LoadModel(model) = &body.order
        && !fetch_weights(&engine, model).await
    {
        let limited = json!({"error": "the weight store limits"});
        return Ok(reply::json(StatusCode::SERVICE_UNAVAILABLE, &limited));
    }
    execute(&engine, number, body.order);
    Ok(reply::json(StatusCode::OK, &json!({"done": true})))
}

async fn fetch_weights(engine: &Engine, model: &str) -> bool {
    let Some(weights) = engine.cfg.weights else {
        return true;
    };
    let url = format!("http://{weights}/weights/{model}");
    let response = Client::default().get(&url).await;
    response.is_ok_and(|response| response.status == StatusCode::OK)
}

fn execute(engine: &Engine, number: (Term, LogIndex), order: OrderKind) {
    let mut order_state = engine.order_state();
    order_state.newest_number = order_state.newest_number.max(number);
    order_state.executed.push(number);
    match order {
        OrderKind::LoadModel(model) => {
            order_state.models.insert(model);
        }
        OrderKind::UnloadModel(model) => {
            order_state.models.remove(&model);
        }
        OrderKind::LoadAdapter { .. } | OrderKind::SetVersion { .. } | OrderKind::SetRole(_) => {}
    }
}
