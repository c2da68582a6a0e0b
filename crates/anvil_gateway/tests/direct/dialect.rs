//! A dialect with header names of its own, so that the crate depends on no platform's names.

use std::time::Duration;

use anvil_gateway::dialect::{
    AnnouncedLimit, AvailabilityNotice, Dialect, ForwardedHead, InvalidTable, ModelWork,
    PromptPart, ReportedLoad, RequestHead, RequestHeadError, ResponseHead,
};
use anvil_gateway::table::RouteTable;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, request};

/// The dialect of the tests.
pub const DIALECT: Dialect = Dialect {
    parse_request,
    forward_headers,
    parse_response,
    parse_table,
};

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn parse_request(head: &request::Parts) -> Result<RequestHead, RequestHeadError> {
    let headers = &head.headers;
    let id = text(headers, "x-id").ok_or(RequestHeadError { what: "the id" })?;
    let timeout_ms = text(headers, "x-wait").and_then(|ms| ms.parse().ok());
    let model_work = text(headers, "x-tokens").and_then(|tokens| {
        let (prompt, max_output) = tokens.split_once(',')?;
        let prompt = prompt.parse().ok()?;
        let own_part = PromptPart {
            id: 1,
            tokens: prompt,
        };
        Some(ModelWork {
            prompt,
            max_output: max_output.parse().ok()?,
            parts: text(headers, "x-parts").map_or(vec![own_part], parse_parts),
        })
    });
    Ok(RequestHead {
        id: id.into(),
        timeout: Duration::from_millis(timeout_ms.unwrap_or(3_000)),
        bearer_key: text(headers, "x-key").map(Into::into),
        model_work,
        resume_after: text(headers, "x-after").and_then(|id| id.parse().ok()),
        first_attempt: text(headers, "x-first").map(Into::into),
    })
}

/// Parts as `ID:TOKENS`, separated by commas.
fn parse_parts(parts: &str) -> Vec<PromptPart> {
    let part = |part: &str| {
        let (id, tokens) = part.split_once(':')?;
        Some(PromptPart {
            id: id.parse().ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    parts.split(',').filter_map(part).collect()
}

fn forward_headers(client: &HeaderMap, forwarded: &ForwardedHead<'_>) -> HeaderMap {
    let mut headers = client.clone();
    for name in ["connection", "content-length", "x-key"] {
        headers.remove(name);
    }
    let mut set = |name: &'static str, value: String| {
        let value = HeaderValue::try_from(value).expect("a header value");
        headers.insert(HeaderName::from_static(name), value);
    };
    set("x-endpoint", forwarded.endpoint.into());
    set("x-wait", forwarded.time_left.as_millis().to_string());
    if let Some(organisation) = forwarded.organisation {
        set("x-organisation", organisation.into());
    }
    if let Some(after) = forwarded.resume_after {
        set("x-after", after.to_string());
    }
    headers
}

fn parse_response(status: StatusCode, headers: &HeaderMap) -> ResponseHead {
    ResponseHead {
        id: text(headers, "x-id").map(Into::into),
        not_run: headers.contains_key("x-not-run") || status == StatusCode::MISDIRECTED_REQUEST,
        signed: headers.contains_key("x-seal"),
        load: text(headers, "x-load").and_then(|load| {
            let mut numbers = load.split(',').map(|n| n.parse().ok());
            Some(ReportedLoad {
                running: numbers.next()??,
                queued: numbers.next()??,
                slots: numbers.next()??,
                work_percent: numbers.next().flatten(),
            })
        }),
        idle_timeout: text(headers, "x-idle")
            .and_then(|ms| ms.parse().ok())
            .map(Duration::from_millis),
        unexpected_encoding: headers.contains_key("content-encoding"),
        limit: match text(headers, "x-limit").map(str::parse) {
            None => AnnouncedLimit::None,
            Some(Ok(limit)) => AnnouncedLimit::Rate(limit),
            Some(Err(_)) => AnnouncedLimit::Unreadable,
        },
        notice: AvailabilityNotice {
            retry_after: headers.into(),
            leaving: headers.contains_key("x-leaving"),
        },
    }
}

fn parse_table(_: &str) -> Result<RouteTable, InvalidTable> {
    unreachable!("tests set the table directly")
}
