//! What callers write down of each way in which an answer can end, against a scripted server.

use std::{convert::Infallible, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody, combinators::BoxBody};
use hyper::{
    Request, Response,
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use lovagedock::RanState;
use lovagedock_daemon::{ProcessClock, load_settings};
use lovagedock_standin::{
    engine::{ChatMessage, chat_prompt, expected_answer},
    load::{
        AnswerCheck, CallBody, CallOutcome, CallRecord, CallerClient, GatewayTarget, LoadRunner,
        MixSpec, ModelCall, ModelPath, PlannedCall, PromptSeed, prompt_text,
    },
};
use tokio::{net::TcpListener, sync::Barrier};

const ANSWER_TOKENS: u64 = 6;
const SEED: PromptSeed = PromptSeed {
    unique: 9,
    common: None,
    tokens: 50,
};
const REQUEST_ID: &str = "000000000000000000000000000000ab";

/// What the server sends: pieces of the body, and whether it ends the body cleanly after them.
struct Script {
    status: u16,
    pieces: Vec<String>,
    clean: bool,
    /// Holds every answer back until this many requests are there.
    gate: Arc<Barrier>,
}

impl Script {
    fn new(pieces: &[String], clean: bool) -> Self {
        Self {
            status: 200,
            pieces: pieces.to_vec(),
            clean,
            gate: Arc::new(Barrier::new(1)),
        }
    }
}

type ScriptedBody = BoxBody<Bytes, std::io::Error>;

async fn serve(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let script = Arc::new(script);
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let script = script.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let script = script.clone();
                async move {
                    let _ = request.into_body().collect().await;
                    script.gate.wait().await;
                    Ok::<_, Infallible>(answer(&script))
                }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

fn answer(script: &Script) -> Response<ScriptedBody> {
    let frames: Vec<Result<Frame<Bytes>, std::io::Error>> = script
        .pieces
        .iter()
        .map(|piece| Ok(Frame::data(Bytes::from(piece.clone()))))
        .collect();
    let cut = match script.clean {
        true => vec![],
        false => vec![Err(std::io::Error::other("cut"))],
    };
    // A pause before the cut lets the pieces before it leave the server.
    let cut = stream::iter(cut).then(|cut| async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        cut
    });
    let body = StreamBody::new(stream::iter(frames).chain(cut));
    Response::builder()
        .status(script.status)
        .header("x-request-id", REQUEST_ID)
        .body(BodyExt::boxed(body))
        .unwrap()
}

fn expected() -> String {
    let content = prompt_text(SEED);
    let message = ChatMessage {
        role: "user".to_owned(),
        content,
    };
    expected_answer(&chat_prompt(&[message]), ANSWER_TOKENS)
}

fn event(text: &str) -> String {
    let data = serde_json::json!({ "choices": [{ "delta": { "content": text } }] });
    format!("data: {data}\n\n")
}

fn done() -> String {
    "data: [DONE]\n\n".to_owned()
}

fn problem(code: u16, ran: &str) -> String {
    serde_json::json!({ "title": "a problem", "code": code, "ran": ran }).to_string()
}

fn planned(streamed: bool) -> PlannedCall {
    PlannedCall {
        number: 0,
        at: Duration::ZERO,
        organisation: 0,
        key: None,
        deadline: Duration::from_secs(5),
        body: CallBody::Model(ModelCall {
            keyed: None,
            path: ModelPath::Chat,
            prompt: SEED,
            answer_tokens: ANSWER_TOKENS,
            streamed,
        }),
    }
}

async fn run(gateways: Vec<GatewayTarget>, plan: Vec<PlannedCall>) -> Vec<CallRecord> {
    run_in_turn(gateways, vec![plan]).await
}

/// Runs plans one after the other with the same callers.
async fn run_in_turn(
    gateways: Vec<GatewayTarget>,
    plans: Vec<Vec<PlannedCall>>,
) -> Vec<CallRecord> {
    let mix: MixSpec = load_settings(Path::new("../examples/mixes/mafraq.jsonc")).unwrap();
    let clock = ProcessClock::new();
    let client = CallerClient::new(gateways, clock).unwrap();
    let runner = LoadRunner::new(mix, client, clock);
    let mut records = Vec::new();
    for plan in plans {
        records.extend(runner.run(plan, clock.now()).await.calls);
    }
    records
}

fn target(address: SocketAddr) -> GatewayTarget {
    GatewayTarget {
        name: "gateway".to_owned(),
        address,
    }
}

struct EndingCase {
    name: &'static str,
    script: Script,
    streamed: bool,
    outcome: CallOutcome,
    answer: AnswerCheck,
}

fn ending_cases() -> Vec<EndingCase> {
    let text = expected();
    let (first, second) = text.split_at(8);
    let no_capacity = CallOutcome::Problem {
        code: 2001,
        ran: RanState::No,
    };
    let whole = serde_json::json!({ "choices": [{ "message": { "content": &text } }] }).to_string();
    vec![
        EndingCase {
            name: "a whole stream in two pieces, cut across events",
            script: Script::new(
                &[
                    event(first),
                    event(second)[..9].to_owned(),
                    format!("{}{}", &event(second)[9..], done()),
                ],
                true,
            ),
            streamed: true,
            outcome: CallOutcome::Complete,
            answer: AnswerCheck::Complete,
        },
        EndingCase {
            name: "a stream that ends cleanly and short",
            script: Script::new(&[event(first), done()], true),
            streamed: true,
            outcome: CallOutcome::Complete,
            answer: AnswerCheck::Prefix,
        },
        EndingCase {
            name: "a stream that stops without its end",
            script: Script::new(&[event(first)], true),
            streamed: true,
            outcome: CallOutcome::Broken,
            answer: AnswerCheck::Prefix,
        },
        EndingCase {
            name: "a stream whose connection breaks",
            script: Script::new(&[event(first)], false),
            streamed: true,
            outcome: CallOutcome::Broken,
            answer: AnswerCheck::Prefix,
        },
        EndingCase {
            name: "a stream that tells of a failure",
            script: Script::new(
                &[
                    event(first),
                    format!("event: error\ndata: {}\n\n", problem(2001, "no")),
                ],
                true,
            ),
            streamed: true,
            outcome: no_capacity,
            answer: AnswerCheck::Prefix,
        },
        EndingCase {
            name: "a stream with pieces of another answer",
            script: Script::new(&[event(first), event("crossed"), done()], true),
            streamed: true,
            outcome: CallOutcome::Complete,
            answer: AnswerCheck::Different,
        },
        EndingCase {
            name: "a whole answer",
            script: Script::new(&[whole], true),
            streamed: false,
            outcome: CallOutcome::Complete,
            answer: AnswerCheck::Complete,
        },
        EndingCase {
            name: "a refusal",
            script: Script {
                status: 503,
                ..Script::new(&[problem(2001, "no")], true)
            },
            streamed: true,
            outcome: no_capacity,
            answer: AnswerCheck::Prefix,
        },
        EndingCase {
            name: "an error that does not say whether the request ran",
            script: Script {
                status: 500,
                ..Script::new(&["oops".to_owned()], true)
            },
            streamed: true,
            outcome: CallOutcome::Broken,
            answer: AnswerCheck::Prefix,
        },
    ]
}

#[tokio::test]
async fn each_ending_is_told_apart() {
    for case in ending_cases() {
        let address = serve(case.script).await;
        let records = run(vec![target(address)], vec![planned(case.streamed)]).await;
        let record = &records[0];
        assert_eq!(record.outcome, case.outcome, "{}", case.name);
        assert_eq!(record.answer, case.answer, "{}", case.name);
        assert_eq!(record.request, Some(0xab), "{}", case.name);
    }
}

// One gateway of two is gone. Its connections are refused before anything is sent, so the balancer
// passes the call on; only when none is left is the call not sent at all.
#[tokio::test]
async fn a_gateway_that_refuses_connections_is_passed_over() {
    let gone = {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        listener.local_addr().unwrap()
    };
    let address = serve(Script::new(&[event(&expected()), done()], true)).await;
    let records = run(
        vec![target(gone), target(address)],
        vec![planned(true), planned(true)],
    )
    .await;
    assert!(records.iter().all(|it| it.outcome == CallOutcome::Complete));

    let records = run(vec![target(gone)], vec![planned(true)]).await;
    assert_eq!(records[0].outcome, CallOutcome::Unsent);
}

// One gateway of two says that it is stopping. The call that heard it was refused; the balancer sends
// those after it to the other.
#[tokio::test]
async fn a_gateway_that_is_stopping_gets_no_further_calls() {
    let stopping = serve(Script {
        status: 503,
        ..Script::new(&[problem(2008, "no")], true)
    })
    .await;
    let serving = serve(Script::new(&[event(&expected()), done()], true)).await;
    let mut gateways = vec![target(stopping), target(serving)];
    gateways[0].name = "stopping".to_owned();
    let plans = (0..6).map(|_| vec![planned(true)]).collect();
    let records = run_in_turn(gateways, plans).await;
    let refused = records.iter().filter(|it| it.gateway == "stopping");
    assert_eq!(refused.count(), 1);
    assert_eq!(records[0].gateway, "stopping");
}

// The server answers nobody before all twenty calls are there. A generator that waits for answers
// before it goes on (closed loop) never gets there; one that keeps to its plan does.
#[tokio::test]
async fn arrivals_do_not_wait_for_answers() {
    const CALLS: u64 = 20;
    let script = Script {
        gate: Arc::new(Barrier::new(CALLS as usize)),
        ..Script::new(&[event(&expected()), done()], true)
    };
    let address = serve(script).await;
    let plan: Vec<PlannedCall> = (0..CALLS)
        .map(|number| PlannedCall {
            number,
            at: Duration::from_millis(number),
            deadline: Duration::from_secs(60),
            ..planned(true)
        })
        .collect();
    let records = run(vec![target(address)], plan).await;
    let complete = records
        .iter()
        .filter(|it| it.outcome == CallOutcome::Complete);
    assert_eq!(complete.count() as u64, CALLS);
}
