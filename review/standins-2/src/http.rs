//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Headers in the order in which they came, with names in lower case.
pub type Headers = Vec<(String, String)>;

/// The value of a header.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known == name);
    found.map(|(_, value)| value.as_str())
}

/// A request with its body.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// A response with its body.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

fn ended() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection has ended")
}

fn unreadable(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

fn read_line(input: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Err(ended());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(input: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Headers::new();
    loop {
        let line = read_line(input)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| unreadable("a header"))?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a body into `body`, which holds what came if it ends early.
fn read_body(
    input: &mut impl BufRead,
    headers: &Headers,
    until_end: bool,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    if header(headers, "transfer-encoding").is_some() {
        loop {
            let line = read_line(input)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
            let size = size.map_err(|_| unreadable("a chunk"))?;
            read_bytes(input, size, body)?;
            read_line(input)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    match header(headers, "content-length") {
        Some(length) => {
            let length = length.parse().map_err(|_| unreadable("the length"))?;
            read_bytes(input, length, body)
        }
        None if until_end => input.read_to_end(body).map(drop),
        None => Ok(()),
    }
}

fn read_bytes(input: &mut impl BufRead, count: usize, body: &mut Vec<u8>) -> io::Result<()> {
    let read = input.take(count as u64).read_to_end(body)?;
    if read == count { Ok(()) } else { Err(ended()) }
}

/// Reads the next request; `None` if the connection has ended before.
pub fn read_request(input: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let line = match read_line(input) {
        Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        line => line?,
    };
    let mut words = line.split(' ');
    let (method, target) = (words.next(), words.next());
    let (Some(method), Some(target)) = (method, target) else {
        return Err(unreadable("a request"));
    };
    let headers = read_headers(input)?;
    let mut body = Vec::new();
    read_body(input, &headers, false, &mut body)?;
    Ok(Some(Request {
        method: method.into(),
        target: target.into(),
        headers,
        body,
    }))
}

/// Reads the head of a response.
pub fn read_response_head(input: &mut impl BufRead) -> io::Result<Response> {
    let line = read_line(input)?;
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| unreadable("a status"))?;
    let headers = read_headers(input)?;
    Ok(Response {
        status,
        headers,
        body: Vec::new(),
    })
}

/// Reads a response up to its end.
pub fn read_response(input: &mut impl BufRead) -> io::Result<Response> {
    let mut response = read_response_head(input)?;
    read_rest(input, &mut response)?;
    Ok(response)
}

/// Reads the body of a response whose head was read.
pub fn read_rest(input: &mut impl BufRead, response: &mut Response) -> io::Result<()> {
    let Response { headers, body, .. } = response;
    read_body(input, headers, true, body)
}

/// Writes a request.
pub fn write_request(output: &mut impl Write, request: &Request, host: &str) -> io::Result<()> {
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: {host}\r\n",
        request.method, request.target
    );
    for (name, value) in &request.headers {
        text += &format!("{name}: {value}\r\n");
    }
    if request.method != "GET" || !request.body.is_empty() {
        text += &format!("Content-Length: {}\r\n", request.body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&request.body);
    output.write_all(&bytes)
}

/// Writes a response with a length.
pub fn write_response(output: &mut impl Write, response: &Response) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {} Status\r\n", response.status);
    for (name, value) in &response.headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", response.body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&response.body);
    output.write_all(&bytes)
}
