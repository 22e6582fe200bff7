//! Heads of requests and responses.

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name as received.
    pub name: String,
    /// Value without surrounding white space.
    pub value: String,
}

/// Header fields in the order of the message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<Header>);

impl Headers {
    /// No headers.
    #[must_use]
    pub fn new() -> Headers {
        Headers::default()
    }

    /// Adds a field at the end.
    pub fn push(&mut self, name: &str, value: impl Into<String>) {
        self.0.push(Header {
            name: name.to_owned(),
            value: value.into(),
        });
    }

    /// Returns the headers with one more field at the end.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl Into<String>) -> Headers {
        self.push(name, value);
        self
    }

    /// The value of the first field of that name, ignoring case.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.as_str())
    }

    /// The values of all fields of that name, ignoring case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.as_str())
    }

    /// The value of the first field of that name as a number; `None` where it is not one.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.trim().parse().ok()
    }

    /// Whether `Connection` closes the connection after this message.
    #[must_use]
    pub fn closes(&self) -> bool {
        self.all(super::name::CONNECTION)
            .flat_map(|value| value.split(','))
            .any(|token| token.trim().eq_ignore_ascii_case("close"))
    }
}

/// Request line and headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// HTTP method.
    pub method: String,
    /// Path and query as received.
    pub target: String,
    /// Headers of the request.
    pub headers: Headers,
}

/// Status line and headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Headers of the response.
    pub headers: Headers,
}

impl RequestHead {
    pub(super) fn parse(bytes: &[u8]) -> Option<RequestHead> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut lines = text.split("\r\n");
        let mut first = lines.next()?.split(' ');
        let method = first.next()?.to_owned();
        let target = first.next()?.to_owned();
        let version = first.next()?;
        if version != "HTTP/1.1" || first.next().is_some() || !target.starts_with('/') {
            return None;
        }
        Some(RequestHead {
            method,
            target,
            headers: parse_headers(lines)?,
        })
    }
}

impl ResponseHead {
    pub(super) fn parse(bytes: &[u8]) -> Option<ResponseHead> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut lines = text.split("\r\n");
        let first = lines.next()?.strip_prefix("HTTP/1.1 ")?;
        let status = first.get(..3)?.parse().ok()?;
        Some(ResponseHead {
            status,
            headers: parse_headers(lines)?,
        })
    }
}

fn parse_headers<'a>(lines: impl Iterator<Item = &'a str>) -> Option<Headers> {
    let mut headers = Headers::new();
    for line in lines.filter(|line| !line.is_empty()) {
        let (name, value) = line.split_once(':')?;
        let is_token = !name.is_empty() && !name.contains(char::is_whitespace);
        if !is_token {
            return None;
        }
        headers.push(name, value.trim());
    }
    Some(headers)
}
