//! Tables and texts for people.

use comfy_table::{Table, presets};
use domain::TimeMillis;
use jiff::Timestamp;

/// Returns a table with a header and no frame, one line for each row.
pub(crate) fn table<const WIDTH: usize>(
    header: [&str; WIDTH],
    rows: impl Iterator<Item = [String; WIDTH]>,
) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(header);
    table.add_rows(rows.map(|row| row.map(|cell| printable(&cell))));
    format!("{}\n", table.trim_fmt())
}

/// Replaces control characters, which a terminal would obey, and keeps line ends.
pub(crate) fn printable(text: &str) -> String {
    let shown = text
        .chars()
        .map(|c| if c.is_control() && c != '\n' { '?' } else { c });
    shown.collect()
}

/// Returns a point in time in UTC.
pub(crate) fn time_text(time: TimeMillis) -> String {
    let timestamp = i64::try_from(time.0)
        .ok()
        .and_then(|millis| Timestamp::from_millisecond(millis).ok());
    timestamp.map_or_else(|| time.0.to_string(), |timestamp| format!("{timestamp:.3}"))
}

/// Returns the value, or a dash when there is none.
pub(crate) fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// Returns the word that stands for a value in the interfaces.
pub(crate) fn word(value: &impl serde::Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().map(str::to_owned).unwrap_or_default()
}
