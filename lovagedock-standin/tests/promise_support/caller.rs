//! Callers, and what they can tell of an answer.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use lovagedock_standin::engine::expected_answer;
use serde_json::{Value, json};

/// Its SHA-256 is in the configuration.
const API_KEY: &str = "secret";
/// Only turns a wait without end into a failure.
const CALL_LIMIT: Duration = Duration::from_secs(90);

/// One call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    path: &'static str,
    body: Value,
    key: Option<String>,
    deadline_ms: Option<u64>,
}

impl Call {
    /// A completion whose answer comes as a stream.
    pub(crate) fn streamed(prompt: &str, tokens: u64) -> Self {
        Self::completion("reader", prompt, tokens, true)
    }

    /// A completion whose answer comes as one document.
    pub(crate) fn whole(prompt: &str, tokens: u64) -> Self {
        Self::completion("reader", prompt, tokens, false)
    }

    /// A completion that must not run twice.
    pub(crate) fn once(prompt: &str, tokens: u64) -> Self {
        Self::completion("reader:tracing", prompt, tokens, false)
    }

    /// A call of the plain service that must not run twice.
    pub(crate) fn receipt(amount: u64) -> Self {
        Self::new("/registry/receipts", json!({ "amount": amount }))
    }

    pub(crate) fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    pub(crate) fn with_deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = Some(deadline_ms);
        self
    }

    fn completion(model: &str, prompt: &str, tokens: u64, stream: bool) -> Self {
        let body = json!({
            "model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream,
        });
        Self::new("/v1/completions", body)
    }

    fn new(path: &'static str, body: Value) -> Self {
        Self {
            path,
            body,
            key: None,
            deadline_ms: None,
        }
    }

    /// What a whole answer to a completion says.
    fn expected(&self) -> Option<String> {
        let prompt = self.body["prompt"].as_str()?;
        Some(expected_answer(prompt, self.body["max_tokens"].as_u64()?))
    }

    fn is_streamed(&self) -> bool {
        self.body["stream"] == json!(true)
    }

    fn request(&self, address: SocketAddr) -> Request<Full<Bytes>> {
        let uri = format!("http://{address}{}", self.path);
        let mut builder = Request::post(uri).header("authorization", format!("Bearer {API_KEY}"));
        if let Some(key) = &self.key {
            builder = builder.header("idempotency-key", key);
        }
        if let Some(deadline) = self.deadline_ms {
            builder = builder.header("x-lovagedock-deadline-ms", deadline);
        }
        let body = Full::new(Bytes::from(self.body.to_string()));
        builder.body(body).expect("request")
    }
}

/// How an answer ended, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The whole answer to this call; anything else that ends cleanly fails the test.
    Whole(String),
    /// A problem document in place of an answer.
    Refused(Problem),
    /// The answer began and broke off, with the problem that a stream names.
    Broken(Option<Problem>),
    /// The gateway's connection broke before any status.
    Disconnected,
}

/// Code and what is said about having run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Problem {
    pub(crate) code: u64,
    pub(crate) ran: String,
}

impl Problem {
    pub(crate) fn new(code: u64, ran: &str) -> Self {
        Self {
            code,
            ran: ran.to_owned(),
        }
    }

    fn parse(text: &str) -> Option<Self> {
        let document: Value = serde_json::from_str(text).ok()?;
        Some(Self {
            code: document["code"].as_u64()?,
            ran: document["ran"].as_str()?.to_owned(),
        })
    }
}

/// One answer.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    /// Id that the gateway gave the request; empty when it said none.
    pub(crate) id: String,
    pub(crate) ending: Ending,
}

impl Reply {
    pub(crate) fn is_whole(&self) -> bool {
        matches!(self.ending, Ending::Whole(_))
    }

    /// The problem, when there is one.
    pub(crate) fn problem(&self) -> Option<&Problem> {
        match &self.ending {
            Ending::Refused(problem) | Ending::Broken(Some(problem)) => Some(problem),
            Ending::Whole(_) | Ending::Broken(None) | Ending::Disconnected => None,
        }
    }

    /// Whether the caller was told that the call did not run.
    pub(crate) fn says_not_run(&self) -> bool {
        self.problem().is_some_and(|problem| problem.ran == "no")
    }
}

/// A caller of one gateway.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    address: SocketAddr,
}

impl Caller {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Calls and reads to the end.
    pub(crate) async fn call(&self, call: &Call) -> Reply {
        let reading = async {
            match self.open(call).await {
                Ok(response) => read(call, response).await,
                Err(()) => Reply {
                    id: String::new(),
                    ending: Ending::Disconnected,
                },
            }
        };
        let reply = tokio::time::timeout(CALL_LIMIT, reading).await;
        reply.expect("the call ends within its time")
    }

    /// Calls in the background.
    pub(crate) fn spawn(&self, call: Call) -> tokio::task::JoinHandle<Reply> {
        let caller = self.clone();
        tokio::spawn(async move { caller.call(&call).await })
    }

    /// Calls up to the status.
    pub(crate) async fn open(&self, call: &Call) -> Result<Response<Incoming>, ()> {
        let client = Client::builder(TokioExecutor::new()).build_http();
        client
            .request(call.request(self.address))
            .await
            .map_err(drop)
    }
}

/// Reads an answer to its end and judges it.
pub(crate) async fn read(call: &Call, response: Response<Incoming>) -> Reply {
    let status = response.status();
    let id = response.headers().get("x-request-id");
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    let id = id.to_owned();
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut is_cut = false;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
            Err(_) => {
                is_cut = true;
                break;
            }
        }
    }
    let text = String::from_utf8(bytes).expect("text");
    let ending = match (is_cut, status.is_success()) {
        (true, _) => Ending::Broken(named_problem(&text)),
        (false, true) => {
            judge_whole(call, &text);
            Ending::Whole(text)
        }
        (false, false) => Ending::Refused(Problem::parse(&text).expect("a problem document")),
    };
    Reply { id, ending }
}

/// A clean end must be the whole answer to this very call.
fn judge_whole(call: &Call, text: &str) {
    let Some(expected) = call.expected() else {
        return;
    };
    if !call.is_streamed() {
        let document: Value = serde_json::from_str(text).expect("a document");
        assert_eq!(document["choices"][0]["text"], json!(expected));
        return;
    }
    let answer: String = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
        .collect();
    assert_eq!(answer, expected, "a clean end without the whole answer");
    assert!(text.trim_end().ends_with("data: [DONE]"));
}

fn named_problem(text: &str) -> Option<Problem> {
    let (_, event) = text.split_once("event: error\ndata: ")?;
    Problem::parse(event.trim_end())
}

/// A control call whose answer is JSON.
pub(crate) async fn get_json(address: SocketAddr, path: &str) -> Value {
    control(Method::GET, address, path).await
}

/// An order to a control surface.
pub(crate) async fn post(address: SocketAddr, path: &str) -> Value {
    control(Method::POST, address, path).await
}

/// The status that a control surface answers with.
pub(crate) async fn status(address: SocketAddr, path: &str) -> StatusCode {
    respond(Method::GET, address, path).await.status()
}

async fn respond(method: Method, address: SocketAddr, path: &str) -> Response<Incoming> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Full::<Bytes>::default())
        .expect("request");
    let client = Client::builder(TokioExecutor::new()).build_http();
    client.request(request).await.expect("an answer")
}

async fn control(method: Method, address: SocketAddr, path: &str) -> Value {
    let response = respond(method, address, path).await;
    assert!(response.status().is_success(), "{path}: {response:?}");
    let body = response.into_body().collect().await.expect("a body");
    serde_json::from_slice(&body.to_bytes()).unwrap_or_default()
}
