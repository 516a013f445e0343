//! The headers of a message, in their order, in one piece of memory.

use crate::http::Malformed;
use std::ops::Range;

/// Those that are about one connection (RFC 9110, 7.6.1), and those that frame a body, which is framed anew.
const OF_THE_CONNECTION: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// What may stand around a value (RFC 9110, 5.6.3). Other blanks of Unicode don't: guards against a length that is one
/// only to this reader.
const BLANKS: [char; 2] = [' ', '\t'];

/// The headers of a message, and whether the connection ends with it.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    /// All names and values, one behind the other: a proxy reads thousands of heads a second, and one piece of memory
    /// for each line would be most of the work.
    text: String,
    lines: Vec<Line>,
    /// Whether the sender closes the connection behind this message.
    pub closes: bool,
    /// Whether the message is of HTTP/1.0.
    pub(crate) of_old_version: bool,
}

#[derive(Clone, Debug)]
struct Line {
    name: Range<usize>,
    value: Range<usize>,
}

impl Headers {
    /// The first value of a header; in what case its name is written makes no difference.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.all(name).next()
    }

    /// The value of a header that may stand there once: of two, others might go by the other one.
    pub fn once(&self, name: &str) -> Result<Option<&str>, Malformed> {
        let mut values = self.all(name);
        let value = values.next();
        if values.next().is_some() { Err(Malformed(400)) } else { Ok(value) }
    }

    /// All values of a header, in their order.
    pub fn all<'a, 'b>(&'a self, name: &'b str) -> impl Iterator<Item = &'a str> + use<'a, 'b> {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Names and values in their order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.lines.iter().map(|line| (&self.text[line.name.clone()], &self.text[line.value.clone()]))
    }

    /// How many lines there are.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// The lines of those that go on to whoever serves the request: all but `own`, which the node writes itself, and
    /// those that are about one connection (RFC 9110, 7.6.1). Guards against an executor that misses what its client
    /// said, its idempotency key above all.
    pub fn passed_on(&self, own: &[&str]) -> String {
        let among = |names: &[&str], name: &str| names.iter().any(|n| n.eq_ignore_ascii_case(name));
        let named: Vec<&str> = self.all("connection").flat_map(elements).collect();
        let stays = |name: &str| among(&OF_THE_CONNECTION, name) || among(&named, name) || among(own, name);
        let mut lines = String::with_capacity(self.text.len() + 4 * self.lines.len());
        for (name, value) in self.iter().filter(|(name, _)| !stays(name)) {
            lines.extend([name, ": ", value, "\r\n"]);
        }
        lines
    }

    pub(crate) fn read(parsed: &[httparse::Header<'_>], version: Option<u8>) -> Headers {
        let length = parsed.iter().map(|line| line.name.len() + line.value.len()).sum();
        let mut headers = Headers { text: String::with_capacity(length), ..Headers::default() };
        headers.lines.reserve_exact(parsed.len());
        for line in parsed {
            headers.push(line.name, String::from_utf8_lossy(line.value).trim_matches(BLANKS));
        }
        headers.of_old_version = version == Some(0);
        headers.closes = headers.says("close") || (headers.of_old_version && !headers.says("keep-alive"));
        headers
    }

    fn push(&mut self, name: &str, value: &str) {
        let start = self.text.len();
        self.text.push_str(name);
        let middle = self.text.len();
        self.text.push_str(value);
        self.lines.push(Line { name: start..middle, value: middle..self.text.len() });
    }

    /// Whether `Connection` says a word.
    fn says(&self, what: &str) -> bool {
        self.all("connection").flat_map(elements).any(|word| word.eq_ignore_ascii_case(what))
    }
}

/// The elements of a value that is a list.
pub(crate) fn elements(value: &str) -> impl Iterator<Item = &str> {
    value.split(',').map(|element| element.trim_matches(BLANKS))
}
