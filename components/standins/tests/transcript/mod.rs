//! Transcript of a session over HTTP, in which all values that differ between two runs are replaced by names.

use serde_json::Value;
use standins::{HttpReply, Testbed, send_request};

/// Headers of an answer that the transcript shows.
const SHOWN_HEADERS: [&str; 5] = [
    "content-type",
    "azuretide-run",
    "azuretide-program",
    "azuretide-generation",
    "retry-after",
];

/// Limit of the lines that are shown of a request's body.
const SHOWN_LINES: usize = 3;

/// Entry that receives all requests.
const ENTRY: &str = "entry-1";

/// Minimum length of a run of digits that is treated as a time, a start or a hash.
const LONG_NUMBER_DIGITS: usize = 9;

/// Transcript of a session so far, with the names assigned to its programs, generations and addresses.
#[derive(Debug)]
pub struct SessionTranscript {
    folder: String,
    entry_url: String,
    programs: Vec<String>,
    generations: Vec<String>,
    addresses: Vec<(String, String)>,
    text: String,
}

impl SessionTranscript {
    /// Creates an empty transcript.
    pub fn new(testbed: &Testbed) -> Self {
        let hosts = testbed.host_names();
        let addresses = hosts
            .into_iter()
            .map(|name| (testbed.address(&name).to_string(), name));
        Self {
            folder: testbed.folder().display().to_string(),
            entry_url: testbed.entry_url(ENTRY),
            programs: Vec::new(),
            generations: Vec::new(),
            addresses: addresses.collect(),
            text: String::new(),
        }
    }

    /// Returns the text of the transcript.
    pub fn into_text(self) -> String {
        self.text
    }

    /// Adds a heading of the second level.
    pub fn heading(&mut self, title: &str) {
        self.text.push_str(&["\n## ", title, "\n"].concat());
    }

    /// Sends a request to the entry and adds the request and the answer to the transcript.
    pub async fn exchange(
        &mut self,
        request: (&str, &str),
        headers: &[(&str, &str)],
        body: &str,
    ) -> HttpReply {
        let (method, path) = request;
        let url = format!("{}{path}", self.entry_url);
        let reply = send_request(method, &url, headers, body).await.unwrap();
        let mut shown = vec![format!("{method} {path}")];
        shown.extend(headers.iter().map(|(name, value)| format!("{name}: {value}")));
        shown.extend(shorten_body(body));
        let request = self.normalise(&mark_lines("> ", &shown));
        let answer = self.normalise(&mark_lines("< ", &render_reply(&reply)));
        self.text.push_str(&["\n", &request, &answer].concat());
        reply
    }

    /// Adds the logs of interchangeable hosts under one name. The lines are sorted, since the order of
    /// unrelated events differs between runs.
    pub fn add_logs(&mut self, name: &str, logs: &[(String, String)]) {
        let mut lines = Vec::new();
        for (host, log) in logs {
            let log = self.normalise(log).replace(host.as_str(), name);
            lines.extend(log.lines().filter(|line| !line.is_empty()).map(str::to_owned));
        }
        lines.sort_unstable();
        // A late cache event makes an agent release a program's cache a second time, which has no effect.
        lines.dedup_by(|line, last| line.contains("cache released") && line == last);
        self.text.push_str(&mark_lines("", &lines));
    }

    /// Replaces ids, times, addresses and the path of the testbed's folder by names.
    pub fn normalise(&mut self, text: &str) -> String {
        let text = text.replace(&self.folder, "FOLDER");
        let mut normal = String::new();
        let mut word = String::new();
        let mut last = String::new();
        for character in text.chars().chain(['\n']) {
            if character.is_ascii_alphanumeric() || "-_.:+".contains(character) {
                word.push(character);
                continue;
            }
            if !word.is_empty() {
                normal += &self.normalise_word(&last, &word);
                let ended = std::mem::take(&mut word);
                if ended != ":" {
                    last = ended;
                }
            }
            normal.push(character);
        }
        normal.pop();
        normal
    }

    fn normalise_word(&mut self, last: &str, word: &str) -> String {
        if word.bytes().all(|byte| byte.is_ascii_digit()) && word != "0" {
            match last.trim_end_matches(':') {
                "generation" | "azuretide-generation" | "base" => return self.generation_name(word),
                "incarnation" => return "INCARNATION".to_owned(),
                "ran_ms" => return "TIME".to_owned(),
                // How much of a budget the entries hold as slices depends on timing; what is spent does not.
                "left" | "reserved" => return "SLICES".to_owned(),
                _ => {}
            }
        }
        let bare = word.trim_end_matches(['.', ':']);
        let rest = &word[bare.len()..];
        let (host, port) = bare.split_once(':').unwrap_or((bare, ""));
        if let Some((_, name)) = self.addresses.iter().find(|(address, _)| address == host) {
            return format!("{name}:{port}{rest}");
        }
        let length = program_length(bare);
        if length > 0 {
            let name = self.program_name(&bare[..length]);
            return format!("{name}{}", &word[length..]);
        }
        if host.starts_with("127.") {
            return format!("LOOPBACK{rest}");
        }
        let is_long_number =
            bare.len() >= LONG_NUMBER_DIGITS && bare.bytes().all(|byte| byte.is_ascii_digit());
        let is_date = bare.starts_with("20") && bare.contains('T') && bare.contains(':');
        if is_long_number || is_date {
            return format!("TIME{rest}");
        }
        word.to_owned()
    }

    fn program_name(&mut self, program: &str) -> String {
        format!("PROGRAM-{}", position_of(program, &mut self.programs))
    }

    fn generation_name(&mut self, generation: &str) -> String {
        format!("GENERATION-{}", position_of(generation, &mut self.generations))
    }
}

// Returns the position of a word, from 1, in the order of first appearance.
fn position_of(word: &str, known: &mut Vec<String>) -> usize {
    if let Some(index) = known.iter().position(|known| known == word) {
        return index + 1;
    }
    known.push(word.to_owned());
    known.len()
}

// Returns the length of the program id with which a word begins, or 0.
fn program_length(word: &str) -> usize {
    let mut parts = word.split('-');
    let (Some("p"), Some(incarnation), Some(sequence)) = (parts.next(), parts.next(), parts.next()) else {
        return 0;
    };
    let numbers = [incarnation, sequence];
    let are_numbers = numbers.iter().all(|number| number.parse::<u64>().is_ok());
    if are_numbers {
        "p--".len() + incarnation.len() + sequence.len()
    } else {
        0
    }
}

// Returns the first lines of a request's body. A configuration text is shown in full where it is read back.
fn shorten_body(body: &str) -> Vec<String> {
    let mut lines: Vec<_> = body.lines().map(str::to_owned).collect();
    if lines.len() > SHOWN_LINES {
        let rest = lines.len() - SHOWN_LINES;
        lines.truncate(SHOWN_LINES);
        lines.push(format!("(and {rest} lines)"));
    }
    lines
}

// Replaces arrays of bytes by the text that they encode.
fn show_bytes(value: &mut Value) {
    match value {
        Value::Object(fields) => fields.values_mut().for_each(show_bytes),
        Value::Array(items) => {
            let bytes: Option<Vec<u8>> = items
                .iter()
                .map(|item| item.as_u64().and_then(|byte| byte.try_into().ok()))
                .collect();
            match bytes.filter(|bytes| !bytes.is_empty()) {
                Some(bytes) => *value = Value::from(format!("(bytes) {}", String::from_utf8_lossy(&bytes))),
                None => items.iter_mut().for_each(show_bytes),
            }
        }
        _ => {}
    }
}

fn mark_lines(mark: &str, lines: &[String]) -> String {
    let marked = lines.iter().flat_map(|line| [mark, line, "\n"]);
    marked.collect()
}

fn render_reply(reply: &HttpReply) -> Vec<String> {
    let mut lines = vec![reply.status.to_string()];
    let headers = SHOWN_HEADERS
        .iter()
        .filter_map(|name| Some((name, reply.header(name)?)));
    lines.extend(headers.map(|(name, value)| format!("{name}: {value}")));
    let is_stream = reply
        .header("content-type")
        .is_some_and(|kind| kind.starts_with("text/event-stream"));
    let body = if is_stream {
        render_stream(&reply.text())
    } else {
        render_body(&reply.text())
    };
    lines.extend(body);
    lines
}

fn render_body(body: &str) -> Vec<String> {
    let shown = match serde_json::from_str::<Value>(body) {
        Ok(mut value) => {
            show_bytes(&mut value);
            serde_json::to_string_pretty(&value).unwrap()
        }
        Err(_) => body.trim_end().to_owned(),
    };
    shown.lines().map(str::to_owned).collect()
}

// Joins the events of a stream, since their boundaries depend on timing. The offset in the id of each event
// must match the joined text.
fn render_stream(body: &str) -> Vec<String> {
    let mut text = String::new();
    let mut others = Vec::new();
    let mut first_offset = None;
    for event in body.split("\n\n").filter(|event| !event.is_empty()) {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        let data = field("data: ").unwrap_or_default();
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        let content = chunk["choices"][0]["delta"]["content"].as_str();
        let Some(content) = content.filter(|text| !text.is_empty()) else {
            others.extend(event.lines().map(str::to_owned));
            continue;
        };
        let offset = field("id: ").unwrap().split('-').next().unwrap();
        let offset: usize = offset.parse().unwrap();
        let first = *first_offset.get_or_insert(offset - content.len());
        text += content;
        assert_eq!(offset, first + text.len(), "id of {event}");
    }
    let joined = format!(
        "(joined text from byte {}) {text:?}",
        first_offset.unwrap_or_default()
    );
    [vec![joined], others].concat()
}
