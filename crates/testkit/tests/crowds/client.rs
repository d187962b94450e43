//! An ordinary client: one request on a connection of its own, with the answer read completely.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which a request counts as not answered: the deadline that ordinary callers state.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends a request and returns the status and the rest of the answer.
///
/// # Errors
///
/// Returns an error if the connection breaks before the answer is complete.
pub async fn request(
    address: SocketAddr,
    head: &str,
    body: &[u8],
) -> std::io::Result<(u16, String)> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        let head = format!("{head}connection: close\r\ncontent-length: {}\r\n\r\n", body.len())
            .into_bytes();
        stream.write_all(&[&head, body].concat()).await?;
        read_answer(&mut stream).await
    };
    timeout(ANSWER_TIMEOUT, exchange).await?
}

/// Reads an answer until the server closes the connection.
pub async fn read_answer(stream: &mut TcpStream) -> std::io::Result<(u16, String)> {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok((status.ok_or(std::io::ErrorKind::InvalidData)?, text))
}
