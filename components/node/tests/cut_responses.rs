//! Back ends that break off a response, by closing or resetting its connection.

use std::net::SocketAddr;

use node::back_end::{ConnectionPool, ExchangeError};
use platform::message::ResponseCheck;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Memory of the process in bytes.
const MEMORY: u64 = 100 << 20;
const ID: &str = "9c41";
const HEAD: &str = "POST /orders/ HTTP/1.1\r\nRequest-Id: 9c41\r\nContent-Length: 4\r\n\r\n";
const BODY: &[u8] = b"body";
const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\nRequest-Id: 9c41\r\nResponse-Stamp: 3e1b\r\nContent-Length: 8\r\n\r\n12345678";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nRequest-Id: 9c41\r\nResponse-Stamp: 3e1b\r\n\
    Transfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n0\r\n\r\n";
const WITHOUT_LENGTH: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: 9c41\r\nResponse-Stamp: 3e1b\r\n\r\n12345678";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The connection is closed.
    Closed,
    /// It is closed with unread bytes, which resets it.
    Reset,
}

/// Exchanges one request with a back end that writes `response` and breaks off.
async fn exchange(response: &[u8], end: End) -> Result<ResponseCheck, ExchangeError> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any_port).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let response = response.to_vec();
    let back_end = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let read = match end {
            End::Closed => HEAD.len() + BODY.len(),
            End::Reset => HEAD.len(),
        };
        let mut request = vec![0; read];
        stream.read_exact(&mut request).await.expect("a request");
        stream
            .write_all(&response)
            .await
            .expect("an open connection");
    });
    let pool = ConnectionPool::new(address, MEMORY);
    let exchange = pool.exchange(HEAD.as_bytes(), BODY, ID.as_bytes(), true);
    let (result, _) = tokio::join!(exchange, back_end);
    let (response, check) = result?;
    assert_eq!(response.body, "12345678");
    Ok(check)
}

// Guards against: a success with an empty or short body that looks whole, after a cut head or body.
#[rstest]
#[tokio::test]
async fn a_response_that_breaks_off_reaches_no_caller(
    #[values(WITH_LENGTH, CHUNKED)] response: &str,
    #[values(End::Closed, End::Reset)] end: End,
) {
    for cut in 0..response.len() {
        let result = exchange(&response.as_bytes()[..cut], end).await;
        assert_eq!(result, Err(ExchangeError::Cut), "cut at {cut}");
    }
    if end == End::Closed {
        let whole = exchange(response.as_bytes(), end).await;
        assert_eq!(whole, Ok(ResponseCheck::Valid));
    }
}

// Guards against: the same, of a response that ends with its connection: closed, it is whole, but not
// reset, nor without its head.
#[rstest]
#[tokio::test]
async fn a_response_without_length_is_whole_only_if_its_connection_is_closed(
    #[values(End::Closed, End::Reset)] end: End,
) {
    let head = WITHOUT_LENGTH.len() - "12345678".len();
    let cuts = match end {
        End::Closed => head,
        End::Reset => WITHOUT_LENGTH.len() + 1,
    };
    for cut in 0..cuts {
        let result = exchange(&WITHOUT_LENGTH.as_bytes()[..cut], end).await;
        assert_eq!(result, Err(ExchangeError::Cut), "cut at {cut}");
    }
    if end == End::Closed {
        let whole = exchange(WITHOUT_LENGTH.as_bytes(), end).await;
        assert_eq!(whole, Ok(ResponseCheck::Valid));
    }
}
