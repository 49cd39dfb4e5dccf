//! What the HTTP client makes of answers that a proxy or a broken connection gives.

use lovagedock_platform::{CallPurpose, HttpObjectStore, ObjectStore, PutCondition, StoreError};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

struct AnswerCase {
    answer: &'static str,
    write: Result<u64, StoreError>,
    read: Result<Option<u64>, StoreError>,
}

/// A proxy answers 502, 503 and 504 also when the store was cut off after it had the write, and
/// an answer that breaks off says nothing: for a write each is "unknown", for a read "unavailable".
const CASES: &[AnswerCase] = &[
    AnswerCase {
        answer: "HTTP/1.1 200 OK\r\netag: \"7\"\r\ncontent-length: 0\r\n\r\n",
        write: Ok(7),
        read: Ok(Some(7)),
    },
    AnswerCase {
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        write: Err(StoreError::OutcomeUnknown),
        read: Err(StoreError::Malformed),
    },
    AnswerCase {
        answer: "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n",
        write: Err(StoreError::OutcomeUnknown),
        read: Err(StoreError::Unavailable),
    },
    AnswerCase {
        answer: "HTTP/1.1 504 Late\r\ncontent-length: 0\r\n\r\n",
        write: Err(StoreError::OutcomeUnknown),
        read: Err(StoreError::Unavailable),
    },
    AnswerCase {
        answer: "HTTP/1.1 200 OK\r\netag: \"7\"\r\ncontent-length: 9\r\n\r\ncut",
        write: Err(StoreError::OutcomeUnknown),
        read: Err(StoreError::Unavailable),
    },
    AnswerCase {
        answer: "",
        write: Err(StoreError::OutcomeUnknown),
        read: Err(StoreError::Unavailable),
    },
    AnswerCase {
        answer: "HTTP/1.1 429 Rate\r\ncontent-length: 0\r\n\r\n",
        write: Err(StoreError::RateLimited),
        read: Err(StoreError::RateLimited),
    },
    AnswerCase {
        answer: "HTTP/1.1 412 No\r\ncontent-length: 0\r\n\r\n",
        write: Err(StoreError::Conflict { current: None }),
        read: Err(StoreError::Malformed),
    },
    AnswerCase {
        answer: "HTTP/1.1 400 Bad\r\ncontent-length: 0\r\n\r\n",
        write: Err(StoreError::Malformed),
        read: Err(StoreError::Malformed),
    },
];

async fn answer_each(listener: TcpListener, answer: &'static str) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut request = [0; 4096];
        let _length = stream.read(&mut request).await;
        let _best_effort = stream.write_all(answer.as_bytes()).await;
    }
}

#[tokio::test]
async fn ambiguous_answers_are_never_taken_for_not_written() {
    for case in CASES {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let address = listener.local_addr().expect("address");
        let server = tokio::spawn(answer_each(listener, case.answer));
        let store = HttpObjectStore::new(&format!("http://{address}"));
        let put = store.put("a", "".into(), PutCondition::Any, CallPurpose::Claim);
        assert_eq!(put.await, case.write, "{}", case.answer);
        let read = store.get("a", CallPurpose::Claim).await;
        let version = read.map(|object| object.map(|object| object.version));
        assert_eq!(version, case.read, "{}", case.answer);
        server.abort();
    }
}
