//! Clients that send a part of a request and stay.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::cluster::Cluster;

/// Value combined with the seed, so that other choices of a seed do not depend on the crowds.
const SEED_SALT: u64 = 0xc0de;
/// Pause between two crowds, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 500..2000;
/// Number of clients of a crowd.
const CLIENTS: std::ops::Range<usize> = 20..120;
/// Time for which a crowd stays, in milliseconds.
const STAY_MS: std::ops::Range<u64> = 200..3000;
/// Time after which a client that cannot send stays as it is.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of a body that stops short of its end.
const BODY_BYTES: usize = 200_000;

/// What a client of a crowd sends.
#[derive(Clone, Copy, Debug)]
enum Part {
    Nothing,
    EmptyLines,
    Head,
    Body,
    Chunks,
    UnreadAnswers,
}

const PARTS: [Part; 6] =
    [Part::Nothing, Part::EmptyLines, Part::Head, Part::Body, Part::Chunks, Part::UnreadAnswers];

impl Part {
    fn bytes(self) -> Vec<u8> {
        let post = "POST /jobs/00 HTTP/1.1\r\nhost: desk.example\r\n";
        match self {
            Self::Nothing => Vec::new(),
            Self::EmptyLines => b"\r\n".repeat(BODY_BYTES),
            Self::Head => format!("GET / HTTP/1.1\r\n{}", "x-filler: y\r\n".repeat(1000)).into(),
            Self::Body => {
                let head = format!("{post}content-length: {}\r\n\r\n", BODY_BYTES + 1);
                [head.into_bytes(), b" ".repeat(BODY_BYTES)].concat()
            }
            Self::Chunks => {
                let head = format!("{post}transfer-encoding: chunked\r\n\r\n");
                [head.into_bytes(), b"1\r\n \r\n".repeat(BODY_BYTES / 10)].concat()
            }
            Self::UnreadAnswers => {
                b"GET /jobs/ HTTP/1.1\r\nhost: desk.example\r\n\r\n".repeat(BODY_BYTES / 100)
            }
        }
    }
}

/// Lets crowds press the entries, one after another, until a time.
pub(crate) async fn press(cluster: Arc<Cluster>, seed: u64, until: Instant) {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_SALT);
    let mut crowds = tokio::task::JoinSet::new();
    while Instant::now() < until {
        let address = cluster.caller_address(rng.random_range(0..cluster.entries));
        let bytes = Arc::new(PARTS[rng.random_range(0..PARTS.len())].bytes());
        let stay = Duration::from_millis(rng.random_range(STAY_MS));
        for _ in 0..rng.random_range(CLIENTS) {
            let bytes = bytes.clone();
            crowds.spawn(async move {
                let connected = timeout(SEND_TIMEOUT, TcpStream::connect(address)).await;
                // The entry may be down, may read no more, or may have closed the connection.
                if let Ok(Ok(mut stream)) = connected {
                    let _ = timeout(SEND_TIMEOUT, stream.write_all(&bytes)).await;
                    sleep(stay).await;
                }
            });
        }
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
    crowds.join_all().await;
}
