//! Formatting of tables and values for the terminal.

use comfy_table::{Table, presets};
use domain::TimeMillis;
use jiff::Timestamp;

/// Returns a table with a header and without a frame, one table row for each row.
pub(crate) fn format_table<const WIDTH: usize>(
    header: [&str; WIDTH],
    rows: impl Iterator<Item = [String; WIDTH]>,
) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(header);
    table.add_rows(rows.map(|row| row.map(|cell| printable(&cell))));
    format!("{}\n", table.trim_fmt())
}

/// Replaces control characters, which a terminal would execute, by `?`; line breaks stay.
pub(crate) fn printable(text: &str) -> String {
    let shown = text
        .chars()
        .map(|c| if c.is_control() && c != '\n' { '?' } else { c });
    shown.collect()
}

/// Returns a point in time in UTC with milliseconds, or the bare number when it is out of range.
pub(crate) fn format_time(time: TimeMillis) -> String {
    let timestamp = i64::try_from(time.0)
        .ok()
        .and_then(|millis| Timestamp::from_millisecond(millis).ok());
    timestamp.map_or_else(|| time.0.to_string(), |timestamp| format!("{timestamp:.3}"))
}

/// Returns the value as text, or a dash for `None`.
pub(crate) fn text_or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// Returns the name of an enum variant in its serialized form, or an empty text for any other value.
pub(crate) fn serialized_name(value: &impl serde::Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().map(str::to_owned).unwrap_or_default()
}
