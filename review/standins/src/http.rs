//! HTTP/1.1 over blocking sockets, for stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request as a stand-in received it.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a number of the query.
    pub fn query(&self, name: &str) -> Option<u64> {
        let query = self.target.split_once('?')?.1;
        query
            .split('&')
            .find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Reads bytes of a connection, beyond what a message needs.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // Without delay of small segments the times in the record are those of the stand-ins.
        let _ignored = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    fn head(&mut self) -> io::Result<Option<(String, Vec<(String, String)>)>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
                return Ok(Some((first, headers.collect())));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the next request; `None` when the peer has closed the connection.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some((first, headers)) = self.head()? else {
            return Ok(None);
        };
        let mut words = first.split(' ');
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let length = header(&headers, "content-length").and_then(|value| value.parse().ok());
        let mut body = self.exact(length.unwrap_or(0))?;
        if header(&headers, "transfer-encoding").is_some() {
            while let Some(chunk) = self.chunk()? {
                body.extend(chunk);
            }
        }
        Ok(Some(Request {
            method: method.to_owned(),
            target: target.to_owned(),
            headers,
            body,
        }))
    }

    /// Reads a chunk; `None` after the last one.
    fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let bytes = self.exact(size)?;
        self.line()?;
        Ok((size > 0).then_some(bytes))
    }

    /// Writes a whole answer.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Writes the head of an answer in chunks.
    pub fn begin_chunks(&mut self, headers: &[(&str, &str)]) -> io::Result<()> {
        let mut text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n".to_owned();
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        self.stream.write_all(text.as_bytes())
    }

    /// Writes a chunk; an empty one ends the answer.
    pub fn write_chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        self.stream.write_all(&chunk)
    }
}

/// An answer as a caller received it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if the connection ended before the head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as HTTP requires.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the numbers and the data of the events of a stream.
    pub fn events(&self) -> Vec<(u64, String)> {
        let text = self.text();
        let events = text.split("\n\n").filter(|event| event.contains("data:"));
        let field = |event: &str, name: &str| {
            let found = event
                .lines()
                .find_map(|line| line.strip_prefix(name).map(|value| value.trim().to_owned()));
            found.unwrap_or_default()
        };
        events
            .map(|event| {
                (
                    field(event, "id:").parse().unwrap_or_default(),
                    field(event, "data:"),
                )
            })
            .collect()
    }
}

/// Sends a request.
pub fn send(
    stream: &mut TcpStream,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and reads its answer until `limit` has passed.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return answer;
    };
    if send(&mut stream, method, target, headers, body).is_err() {
        return answer;
    }
    let _ignored = stream.set_read_timeout(Some(Duration::from_millis(50)));
    let mut connection = Connection::new(stream);
    let _broken = read_answer(&mut connection, &mut answer, Instant::now() + limit);
    answer
}

/// Reads an answer; what has arrived stays in `answer` when the connection breaks.
pub fn read_answer(connection: &mut Connection, answer: &mut Answer, deadline: Instant) -> io::Result<()> {
    let retry = |result: io::Result<()>| match result {
        Err(failure)
            if matches!(
                failure.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ) && Instant::now() < deadline =>
        {
            Ok(false)
        }
        Err(failure) => Err(failure),
        Ok(()) => Ok(true),
    };
    let mut head = None;
    loop {
        let result = connection.head().map(|found| head = Some(found));
        if retry(result)? {
            break;
        }
    }
    let Some(Some((first, headers))) = head else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    answer.status = first
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or_default();
    let is_chunked = header(&headers, "transfer-encoding").is_some();
    let length = header(&headers, "content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    answer.headers = headers;
    if !is_chunked {
        let mut body = None;
        while !retry(connection.exact(length).map(|bytes| body = Some(bytes)))? {}
        answer.body = body.unwrap_or_default();
        answer.is_complete = true;
        return Ok(());
    }
    loop {
        // A chunk is read only when all of it is there, so that a timeout in its middle loses nothing.
        let Some((skip, size)) = chunk_size(&connection.buffer) else {
            while !retry(connection.fill().and_then(end_of_file))? {}
            continue;
        };
        if connection.buffer.len() < skip + size + 2 {
            while !retry(connection.fill().and_then(end_of_file))? {}
            continue;
        }
        answer
            .body
            .extend_from_slice(&connection.buffer[skip..skip + size]);
        connection.buffer.drain(..skip + size + 2);
        if size == 0 {
            answer.is_complete = true;
            return Ok(());
        }
    }
}

fn end_of_file(count: usize) -> io::Result<()> {
    if count == 0 {
        Err(io::ErrorKind::UnexpectedEof.into())
    } else {
        Ok(())
    }
}

fn chunk_size(buffer: &[u8]) -> Option<(usize, usize)> {
    let end = buffer.windows(2).position(|bytes| bytes == b"\r\n")?;
    let text = std::str::from_utf8(&buffer[..end]).ok()?;
    Some((end + 2, usize::from_str_radix(text.trim(), 16).ok()?))
}
