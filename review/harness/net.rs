//! Small HTTP/1.1 server and client over blocking sockets, a JSON reader, and a proxy that can reset
//! or silence single connections. Only the standard library is used.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = JsonReader { bytes: text.as_bytes(), at: 0 };
        reader.value()
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.get(key),
            _ => None,
        }
    }

    pub fn str(&self, key: &str) -> String {
        match self.get(key) {
            Some(Json::Str(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn num(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(Json::Num(number)) => Some(*number as u64),
            _ => None,
        }
    }
}

struct JsonReader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl JsonReader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        Some(self.bytes[self.at])
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.take(b'{')?;
                let mut map = BTreeMap::new();
                while self.peek()? != b'}' {
                    let key = self.string()?;
                    self.take(b':')?;
                    map.insert(key, self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.take(b'}')?;
                Some(Json::Map(map))
            }
            b'[' => {
                self.take(b'[')?;
                let mut list = Vec::new();
                while self.peek()? != b']' {
                    list.push(self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.take(b']')?;
                Some(Json::List(list))
            }
            b'"' => self.string().map(Json::Str),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Num)
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| self.at += word.len())?;
        Some(value)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    let escaped = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                            self.at += 4;
                            let c = char::from_u32(code).unwrap_or('?');
                            out.extend(c.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                byte => {
                    out.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line: method and path of a request, status line of an answer.
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")))?;
        Some(pair.to_owned())
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = message.headers.get("content-length").and_then(|text| text.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Serves requests; a handler that returns `None` gives no answer and the connection stays silent.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(&Message) -> Option<(u16, Vec<u8>)> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(message) = read_message(&mut reader) {
                    let Some((status, body)) = handle(&message) else {
                        continue;
                    };
                    let head = format!(
                        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n\
                         content-length: {}\r\n\r\n",
                        body.len()
                    );
                    if writer.write_all(&[head.as_bytes(), &body].concat()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends one request on a new connection. The error says why there is no answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Message, String> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))
        .map_err(|error| format!("no connection: {error}"))?;
    call_on(stream, method, path, headers, body, timeout)
}

/// Sends one request on an open connection, and closes it afterwards.
pub fn call_on(
    mut stream: TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Message, String> {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(timeout));
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    if !body.is_empty() {
        head.push_str("content-type: application/json\r\n");
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(&[head.as_bytes(), body].concat()).map_err(|error| error.to_string())?;
    let started = Instant::now();
    let mut reader = BufReader::new(stream);
    read_message(&mut reader).ok_or_else(|| {
        let ms = started.elapsed().as_millis();
        let kind = if started.elapsed() >= timeout { "no answer" } else { "connection broken" };
        format!("{kind} after {ms} ms")
    })
}

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// Lets the next close of the socket reset its connection.
pub fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1i32, 0];
    // SAFETY: the socket is open and the option value is a `struct linger` of two ints.
    let _ = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

struct Link {
    /// Name of the agent that opened the connection, as its first frame tells; else empty.
    agent: Arc<Mutex<String>>,
    inbound: TcpStream,
    outbound: TcpStream,
    is_reset: Arc<AtomicBool>,
}

/// A proxy in front of one address.
pub struct Proxy {
    pub address: SocketAddr,
    links: Arc<Mutex<Vec<Link>>>,
}

impl Proxy {
    /// Listens on `address` and connects to `target`.
    pub fn start(address: SocketAddr, target: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let links: Arc<Mutex<Vec<Link>>> = Arc::default();
        let accepted = links.clone();
        thread::spawn(move || {
            for inbound in listener.incoming().flatten() {
                let Ok(outbound) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
                let is_reset = Arc::new(AtomicBool::new(false));
                let copies = (inbound.try_clone(), outbound.try_clone());
                if let (Ok(a), Ok(b)) = copies {
                    let agent: Arc<Mutex<String>> = Arc::default();
                    pump(&a, &b, is_reset.clone(), Some(agent.clone()));
                    pump(&b, &a, is_reset.clone(), None);
                    let link = Link { agent, inbound, outbound, is_reset };
                    accepted.lock().unwrap().push(link);
                }
            }
        });
        Ok(Proxy { address, links })
    }

    /// Number of connections that are open.
    pub fn open(&self) -> usize {
        self.links
            .lock()
            .unwrap()
            .iter()
            .filter(|link| !link.is_reset.load(Ordering::SeqCst))
            .count()
    }

    /// Resets the open connections of one agent, or all if the name is empty, on both sides.
    /// Returns how many.
    pub fn reset(&self, agent: &str) -> usize {
        let mut links = self.links.lock().unwrap();
        let mut count = 0;
        let all = std::mem::take(&mut *links);
        for link in all {
            if link.is_reset.load(Ordering::SeqCst) {
                continue;
            }
            if !agent.is_empty() && *link.agent.lock().unwrap() != agent {
                links.push(link);
                continue;
            }
            link.is_reset.store(true, Ordering::SeqCst);
            count += 1;
            reset_on_close(&link.inbound);
            reset_on_close(&link.outbound);
            // Wakes the copying threads, whose handles keep the sockets open.
            let _ = link.inbound.shutdown(Shutdown::Read);
            let _ = link.outbound.shutdown(Shutdown::Read);
        }
        count
    }
}

/// Finds the name of an agent, which its first frame holds in the form `side-N@START`.
fn agent_in(bytes: &[u8]) -> Option<String> {
    let start = bytes.windows(5).position(|window| window == b"side-")?;
    let name: Vec<u8> = bytes[start..].iter().copied().take_while(|b| *b != b'@').collect();
    (name.len() < 12).then(|| String::from_utf8_lossy(&name).into_owned())
}

fn pump(
    from: &TcpStream,
    to: &TcpStream,
    is_reset: Arc<AtomicBool>,
    agent: Option<Arc<Mutex<String>>>,
) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { return };
    thread::spawn(move || {
        let mut buf = vec![0; 16 << 10];
        loop {
            match from.read(&mut buf) {
                Ok(count) if count > 0 && !is_reset.load(Ordering::SeqCst) => {
                    if let Some(agent) = &agent {
                        let mut name = agent.lock().unwrap();
                        if name.is_empty() {
                            *name = agent_in(&buf[..count]).unwrap_or_default();
                        }
                    }
                    if to.write_all(&buf[..count]).is_err() {
                        break;
                    }
                }
                _ => break,
            }
        }
        if !is_reset.swap(true, Ordering::SeqCst) {
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
        }
    });
}

/// An address of the deployment's loopback network.
pub fn host(net: (u8, u8), number: u8, port: u16) -> SocketAddr {
    (Ipv4Addr::new(127, net.0, net.1, number), port).into()
}
