//! Small blocking HTTP/1.1 messages for the stand-ins.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|c| c.parse().ok())
            .unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(text.trim_end_matches(['\r', '\n']).to_string())
}

/// Reads the first line and the headers.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = Message {
        line: line(reader)?,
        ..Message::default()
    };
    loop {
        let text = line(reader)?;
        let Some((name, value)) = text.split_once(':') else {
            return Ok(message);
        };
        message
            .headers
            .push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
    }
}

/// Reads the body that belongs to a head, with a length or in chunks.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let text = line(reader)?;
            let length = usize::from_str_radix(text.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let start = message.body.len();
            message.body.resize(start + length, 0);
            reader.read_exact(&mut message.body[start..])?;
            line(reader)?;
            if length == 0 {
                return Ok(());
            }
        }
    }
    let length = message
        .header("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)
}

/// Reads a whole message.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    read_body(reader, &mut message)?;
    Ok(message)
}

/// Writes an answer with a length.
pub fn answer(
    mut stream: &TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
