//! `POST /v1/chat/completions`.

use std::sync::Arc;

use anvil_wire::msg::Work;
use anvil_world::document::ModelDocument;
use anvil_world::prelude::*;
use bytes::{Bytes, BytesMut};
use futures::stream::unfold;
use http::{HeaderValue, header};
use sha2::{Digest, Sha256};
use tokio::sync::mpsc::Receiver;
use viz::{Body, Request, Response};

use super::chat::{Chat, exceeds_prompt_limit, usage_upper_bound};
use super::chat_encoder::{ChatEncoder, error_event};
use super::errors::{self, refusal_body, unknown_body};
use super::job::{AnswerPart, Job};
use super::routes::{
    authenticate, check_accepting, claim_id, json_response, read_body, request_key, set_request_id,
};
use super::view::{Team, View};
use super::{Core, request_task};

/// Answers a chat request.
pub async fn handle(core: Arc<Core>, mut req: Request) -> Result<Response, Refusal> {
    check_accepting(&core)?;
    let view = core.view_state.view.load_full();
    let team = authenticate(&view, req.headers())?;
    let (key, has_caller_key) = request_key(&core, &team, req.headers())?;
    let body = read_body(&core, &mut req, &view.fleet).await?;
    let chat = Chat::try_from(body.as_ref());
    let chat = chat.map_err(|what| Refusal::new(Reason::Malformed(what)))?;
    let model = find_model(&view, &team, &chat, &body)?;
    let encoder = ChatEncoder::new(&key, chat.model.clone());
    let mut job = build_job(
        &view,
        &team,
        model,
        &chat,
        body,
        (key.clone(), has_caller_key),
    );
    job.claim_id = claim_id(&core);
    let answer_parts = request_task::start(core, job);
    let mut response = if chat.stream {
        stream_response(encoder, answer_parts).await
    } else {
        collect_response(encoder, answer_parts).await
    };
    set_request_id(&mut response, &key);
    Ok(response)
}

fn find_model<'a>(
    view: &'a View,
    team: &Team,
    chat: &Chat,
    body: &[u8],
) -> Result<&'a ModelDocument, Refusal> {
    let model = view.models.get(&chat.model);
    let model = model.ok_or_else(|| Refusal::new(Reason::UnknownModel))?;
    if !team.document.allows_model(&chat.model) {
        return Err(Refusal::new(Reason::NotAllowed));
    }
    if exceeds_prompt_limit(body, model.max_prompt) {
        return Err(Refusal::new(Reason::TooLarge(model.max_prompt)));
    }
    Ok(model)
}

fn build_job(
    view: &View,
    team: &Team,
    model: &ModelDocument,
    chat: &Chat,
    body: Bytes,
    (key, has_caller_key): (RequestKey, bool),
) -> Job {
    let model_limit = model.max_output;
    let max_output = chat
        .max_output
        .map_or(model_limit, |wanted| wanted.min(model_limit));
    let bound = model.price.cost(usage_upper_bound(&body, max_output));
    Job {
        key,
        has_caller_key,
        body_hash: Sha256::digest(&body).into(),
        work: Work::Chat {
            model: chat.model.clone(),
            body,
            max_output,
        },
        at_most_once: false,
        price: model.price,
        bound,
        service: model.service.clone(),
        ..Job::new(view, team, view.fleet.request_timeout)
    }
}

/// Waits for the first part, which decides the status, then streams the rest.
async fn stream_response(
    mut encoder: ChatEncoder,
    mut answer_parts: Receiver<AnswerPart>,
) -> Response {
    let first = match answer_parts.recv().await {
        Some(AnswerPart::Refused(refusal)) => return errors::refusal_response(&refusal),
        Some(AnswerPart::Doubt(doubt)) => return errors::unknown_response(doubt, false),
        Some(answer_part) => encode_part(&mut encoder, answer_part),
        None => return errors::unknown_response(UnknownCause::EndpointLost, false),
    };
    let events = unfold(
        (encoder, answer_parts, first),
        |(mut encoder, mut answer_parts, waiting)| async {
            if let Some(event) = waiting {
                return Some((
                    Ok::<_, std::io::Error>(event),
                    (encoder, answer_parts, None),
                ));
            }
            loop {
                // The channel's end is the stream's end. After `End` the answer is complete; after
                // anything else the end marker is missing, so that the caller sees that it is not.
                let answer_part = answer_parts.recv().await?;
                if let Some(event) = encode_part(&mut encoder, answer_part) {
                    return Some((Ok(event), (encoder, answer_parts, None)));
                }
            }
        },
    );
    let mut response = Response::new(Body::from_stream(events));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

fn encode_part(encoder: &mut ChatEncoder, answer_part: AnswerPart) -> Option<Bytes> {
    match answer_part {
        AnswerPart::Head(_) => None,
        AnswerPart::Bytes(bytes) => encoder.chunk_event(&bytes),
        AnswerPart::End { finish, usage } => Some(encoder.end(&finish, usage)),
        AnswerPart::Refused(refusal) => Some(error_event(&refusal_body(&refusal).1.to_json())),
        AnswerPart::Doubt(doubt) => Some(error_event(&unknown_body(doubt, false).1.to_json())),
    }
}

/// Collects the whole answer and sends it as one JSON object.
async fn collect_response(
    encoder: ChatEncoder,
    mut answer_parts: Receiver<AnswerPart>,
) -> Response {
    let mut text = BytesMut::new();
    while let Some(answer_part) = answer_parts.recv().await {
        match answer_part {
            AnswerPart::Head(_) => {}
            AnswerPart::Bytes(bytes) => text.extend_from_slice(&bytes),
            AnswerPart::End { finish, usage } => {
                return json_response(encoder.whole(&text, &finish, usage));
            }
            AnswerPart::Refused(refusal) => return errors::refusal_response(&refusal),
            AnswerPart::Doubt(doubt) => return errors::unknown_response(doubt, false),
        }
    }
    errors::unknown_response(UnknownCause::EndpointLost, false)
}
