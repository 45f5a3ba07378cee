//! What a request is answered.

use std::time::Duration;

use serde_json::Value;

/// An answer.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The status code.
    pub(crate) status: u16,
    /// The body, which is JSON.
    pub(crate) body: Vec<u8>,
    /// Seconds after which the caller should come again.
    pub(crate) retry_after: Option<u32>,
    /// The connection is closed after this answer.
    pub(crate) close: bool,
    /// How long the connection may stand idle after this answer, if not as long as any.
    pub(crate) idle_timeout: Option<Duration>,
}

impl Answer {
    /// An answer that leaves the connection as it is. The body is JSON.
    pub(crate) fn bytes(status: u16, body: Vec<u8>) -> Answer {
        Answer { status, body, retry_after: None, close: false, idle_timeout: None }
    }

    /// An answer with a JSON body.
    pub(crate) fn json(status: u16, value: &Value) -> Answer {
        Answer::bytes(status, value.to_string().into_bytes())
    }

    /// What is wrong, as the protocol says it.
    pub(crate) fn error(status: u16, text: impl Into<String>) -> Answer {
        Answer::json(status, &serde_json::json!({"error": text.into()}))
    }

    /// What can't be decided now is refused at once, with the time to come again.
    pub(crate) fn retry(text: &str) -> Answer {
        Answer::retry_in(1, text)
    }

    /// The same with the seconds after which to come again, at least one.
    pub(crate) fn retry_in(seconds: u32, text: &str) -> Answer {
        Answer { retry_after: Some(seconds.max(1)), ..Answer::error(503, text) }
    }

    /// The answer's bytes.
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
