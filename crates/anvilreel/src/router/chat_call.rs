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

use super::chat::{Chat, is_over_prompt, upper_bound};
use super::front::{
    authenticate, check_open, claim_id, json_answer, name_answer, read_body, request_key,
};
use super::job::{Job, Piece};
use super::refuse::{self, doubt_body, refusal_body};
use super::shape::{Shape, error_event};
use super::view::{Team, View};
use super::{Core, flow};

/// Answers a chat request.
pub async fn answer(core: Arc<Core>, mut req: Request) -> Result<Response, Refusal> {
    check_open(&core)?;
    let view = core.following.view.load_full();
    let team = authenticate(&view, req.headers())?;
    let (key, callers_key) = request_key(&core, &team, req.headers())?;
    let body = read_body(&mut req, view.fleet.max_body).await?;
    let chat = Chat::try_from(body.as_ref());
    let chat = chat.map_err(|what| Refusal::new(Reason::Malformed(what)))?;
    let model = model_of(&view, &team, &chat, &body)?;
    let shape = Shape::new(&key, chat.model.clone());
    let mut job = job(&view, &team, model, &chat, body, (key.clone(), callers_key));
    job.claim_id = claim_id(&core);
    let pieces = flow::start(core, job);
    let mut answer = if chat.stream {
        streamed(shape, pieces).await
    } else {
        whole(shape, pieces).await
    };
    name_answer(&mut answer, &key);
    Ok(answer)
}

fn model_of<'a>(
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
    if is_over_prompt(body, model.max_prompt) {
        return Err(Refusal::new(Reason::TooLarge(model.max_prompt)));
    }
    Ok(model)
}

fn job(
    view: &View,
    team: &Team,
    model: &ModelDocument,
    chat: &Chat,
    body: Bytes,
    (key, callers_key): (RequestKey, bool),
) -> Job {
    let most = model.max_output;
    let max_output = chat.max_output.map_or(most, |wanted| wanted.min(most));
    let bound = model.price.of(upper_bound(&body, max_output));
    Job {
        key,
        callers_key,
        body: Sha256::digest(&body).into(),
        work: Work::Chat {
            model: chat.model.clone(),
            body,
            max_output,
        },
        once: false,
        price: model.price,
        bound,
        service: model.service.clone(),
        ..Job::new(view, team, view.fleet.request_timeout)
    }
}

/// Waits for the first piece, which decides the status, then streams the rest.
async fn streamed(mut shape: Shape, mut pieces: Receiver<Piece>) -> Response {
    let first = match pieces.recv().await {
        Some(Piece::Refused(refusal)) => return refuse::refuse(&refusal),
        Some(Piece::Doubt(doubt)) => return refuse::in_doubt(doubt, false),
        Some(piece) => event_of(&mut shape, piece),
        None => return refuse::in_doubt(Doubt::EndpointLost, false),
    };
    let events = unfold(
        (shape, pieces, first),
        |(mut shape, mut pieces, waiting)| async {
            if let Some(event) = waiting {
                return Some((Ok::<_, std::io::Error>(event), (shape, pieces, None)));
            }
            loop {
                // The end of the pieces is the end of the stream: after `End` it is whole, and after
                // anything else the end mark is missing.
                let piece = pieces.recv().await?;
                if let Some(event) = event_of(&mut shape, piece) {
                    return Some((Ok(event), (shape, pieces, None)));
                }
            }
        },
    );
    let mut answer = Response::new(Body::from_stream(events));
    let headers = answer.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    answer
}

fn event_of(shape: &mut Shape, piece: Piece) -> Option<Bytes> {
    match piece {
        Piece::Head(_) => None,
        Piece::Bytes(bytes) => shape.piece(&bytes),
        Piece::End { finish, usage } => Some(shape.end(&finish, usage)),
        Piece::Refused(refusal) => Some(error_event(&refusal_body(&refusal).1.to_json())),
        Piece::Doubt(doubt) => Some(error_event(&doubt_body(doubt, false).1.to_json())),
    }
}

/// Collects the answer and sends it in one piece.
async fn whole(shape: Shape, mut pieces: Receiver<Piece>) -> Response {
    let mut text = BytesMut::new();
    while let Some(piece) = pieces.recv().await {
        match piece {
            Piece::Head(_) => {}
            Piece::Bytes(bytes) => text.extend_from_slice(&bytes),
            Piece::End { finish, usage } => {
                return json_answer(shape.whole(&text, &finish, usage));
            }
            Piece::Refused(refusal) => return refuse::refuse(&refusal),
            Piece::Doubt(doubt) => return refuse::in_doubt(doubt, false),
        }
    }
    refuse::in_doubt(Doubt::EndpointLost, false)
}
