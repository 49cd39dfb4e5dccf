//! A caller that records every byte of its response.

use std::net::SocketAddr;

use lovagedock::PromptPart;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Everything that a caller received until its connection ended.
#[derive(Debug)]
pub(crate) struct CallerResponse {
    /// The received bytes as text.
    pub(crate) text: String,
}

impl CallerResponse {
    /// Returns the status.
    pub(crate) fn status(&self) -> u16 {
        let status = self.text.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns whether the head has this header. Header names are case-insensitive.
    pub(crate) fn has_header(&self, name: &str) -> bool {
        self.header(name).is_some()
    }

    /// Returns the value of a header in lower case. Header names are case-insensitive.
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        let head = self.text.split("\r\n\r\n").next().unwrap_or_default();
        let prefix = format!("{}:", name.to_lowercase());
        let lines = head.lines().map(str::to_lowercase);
        let mut values =
            lines.filter_map(|line| Some(line.strip_prefix(&prefix)?.trim().to_owned()));
        values.next()
    }

    /// Returns whether a chunked response has its final chunk.
    pub(crate) fn is_complete(&self) -> bool {
        self.text.ends_with("0\r\n\r\n")
    }

    /// Returns the ids of the events, in order.
    pub(crate) fn event_ids(&self) -> Vec<&str> {
        let lines = self.text.lines();
        lines.filter_map(|line| line.strip_prefix("id: ")).collect()
    }
}

/// Opens a connection and sends a request.
pub(crate) async fn open_call(gateway: SocketAddr, path: &str, id: &str, key: &str) -> TcpStream {
    open_call_with(gateway, path, id, key, "").await
}

/// Opens a connection and sends a request with additional header lines, each terminated by CRLF.
pub(crate) async fn open_call_with(
    gateway: SocketAddr,
    path: &str,
    id: &str,
    key: &str,
    header_lines: &str,
) -> TcpStream {
    let mut stream = TcpStream::connect(gateway)
        .await
        .expect("the gateway listens");
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: fleet.example\r\nx-request: {id}\r\nx-key: {key}\r\n\
         {header_lines}x-deadline-ms: 15000\r\nconnection: close\r\ncontent-length: 4\r\n\r\nbody"
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the gateway reads");
    stream
}

/// Sends a request and reads until the connection ends.
pub(crate) async fn call(gateway: SocketAddr, path: &str, id: &str) -> CallerResponse {
    let stream = open_call(gateway, path, id, "secret").await;
    read_response(stream).await
}

/// Sends a request with these parts of its prompt, in addition to its own part.
pub(crate) async fn call_with_parts(
    gateway: SocketAddr,
    path: &str,
    id: &str,
    parts: &[PromptPart],
) -> CallerResponse {
    let parts: String = parts.iter().map(|part| format!("{part},")).collect();
    let header = format!("x-parts: {parts}{id}\r\n");
    let stream = open_call_with(gateway, path, id, "secret", &header).await;
    read_response(stream).await
}

/// Reads until the connection ends, normally or with an error.
pub(crate) async fn read_response(mut stream: TcpStream) -> CallerResponse {
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    while let Ok(length) = stream.read(&mut piece).await {
        if length == 0 {
            break;
        }
        bytes.extend_from_slice(&piece[..length]);
    }
    CallerResponse {
        text: String::from_utf8_lossy(&bytes).into_owned(),
    }
}

/// Opens a request whose body is never sent.
pub(crate) async fn open_upload(gateway: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(gateway)
        .await
        .expect("the gateway listens");
    let head = "POST /once/u HTTP/1.1\r\nhost: fleet.example\r\nx-key: secret\r\n\
                content-length: 4\r\n\r\n";
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the gateway reads");
    stream
}
