//! Minimal HTTP/1.1 messages over blocking sockets.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Result;
use std::net::TcpStream;

/// First line and headers of a message, header names in lower case.
pub struct Head {
    pub line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header, named in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(held, _)| held == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 when the line is no status line.
    pub fn status(&self) -> u16 {
        let code = self.line.split(' ').nth(1);
        code.and_then(|c| c.parse().ok()).unwrap_or(0)
    }

    /// Returns a parameter of the query of a request.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let target = self.line.split(' ').nth(1)?;
        let pairs = target.split_once('?')?.1.split('&');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Reads a head; none when the connection ends before its first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut text = String::new();
        if reader.read_line(&mut text)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let text = text.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    Ok(Some(Head {
        line: line.trim_end().to_string(),
        headers,
    }))
}

/// Reads the body of a message with a length or in chunks. Fails when it is not whole.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> Result<Vec<u8>> {
    if head.header("transfer-encoding").is_some() {
        let mut body = Vec::new();
        while read_chunk(reader, &mut body)? {}
        return Ok(body);
    }
    let length = head.header("content-length");
    let mut body = vec![0; length.and_then(|l| l.parse().ok()).unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads a chunk; false for the last one.
fn read_chunk(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Result<bool> {
    let mut size = String::new();
    reader.read_line(&mut size)?;
    let size = usize::from_str_radix(size.trim(), 16)
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
    let mut part = vec![0; size + 2];
    reader.read_exact(&mut part)?;
    body.extend_from_slice(&part[..size]);
    Ok(size > 0)
}
