//! Responses that the server sends, and their encoding as HTTP/1.1.

use std::time::Duration;

use serde_json::Value;

/// A response to a request, with instructions for what happens to its connection afterwards.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The HTTP status code.
    pub(crate) status: u16,
    /// The body, always a JSON document.
    pub(crate) body: Vec<u8>,
    /// Value of the `Retry-After` header in seconds; the header is left out if `None`.
    pub(crate) retry_after: Option<u32>,
    /// Whether to close the connection after this response.
    pub(crate) close: bool,
    /// How long the connection may stay idle after this response. It can only shorten the server's
    /// default, which applies if `None`.
    pub(crate) idle_timeout: Option<Duration>,
}

impl Answer {
    /// Builds a response from an already encoded JSON body, which keeps the connection open.
    pub(crate) fn bytes(status: u16, body: Vec<u8>) -> Answer {
        Answer { status, body, retry_after: None, close: false, idle_timeout: None }
    }

    /// Builds a response that encodes the value as its body and keeps the connection open.
    pub(crate) fn json(status: u16, value: &Value) -> Answer {
        Answer::bytes(status, value.to_string().into_bytes())
    }

    /// Builds an error response with the protocol's body, `{"error": message}`.
    pub(crate) fn error(status: u16, message: impl Into<String>) -> Answer {
        Answer::json(status, &serde_json::json!({"error": message.into()}))
    }

    /// Builds a 503 response that asks the caller to retry after one second. It is sent at once
    /// when a request can't be decided now, instead of keeping the caller waiting.
    pub(crate) fn retry(message: &str) -> Answer {
        Answer::retry_in(1, message)
    }

    /// Builds a 503 response that asks the caller to retry after the given time, at least one second.
    pub(crate) fn retry_in(seconds: u32, message: &str) -> Answer {
        Answer { retry_after: Some(seconds.max(1)), ..Answer::error(503, message) }
    }

    /// Encodes the response. `close` adds `Connection: close`; it is also set when the client asked
    /// for the connection to be closed.
    pub(super) fn to_bytes(&self, close: bool) -> Vec<u8> {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            self.status,
            reason_phrase(self.status),
            self.body.len()
        );
        if let Some(seconds) = self.retry_after {
            head.push_str(&format!("Retry-After: {seconds}\r\n"));
        }
        head.push_str(if close { "Connection: close\r\n\r\n" } else { "\r\n" });
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Unknown",
    }
}
