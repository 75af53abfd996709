//! Formatting of text tables.

/// Separator of columns.
const COLUMN_SEPARATOR: &str = "  ";

/// Formats rows as columns under their headers, without padding the last column.
pub fn render(headers: &[&str], rows: &[Vec<String>]) -> String {
    let headers: Vec<_> = headers.iter().map(|&header| header.to_owned()).collect();
    let lines: Vec<Vec<_>> = std::iter::once(&headers)
        .chain(rows)
        .map(|row| row.iter().map(|cell| printable(cell)).collect())
        .collect();
    let width = |column: usize| {
        lines
            .iter()
            .filter_map(|line| line.get(column))
            .map(|c| c.chars().count())
            .max()
    };
    let widths: Vec<_> = (0..headers.len())
        .map(|column| width(column).unwrap_or(0))
        .collect();
    let mut text = String::new();
    for line in &lines {
        let cells = line
            .iter()
            .zip(&widths)
            .map(|(cell, &width)| format!("{cell:width$}"));
        let cells: Vec<_> = cells.collect();
        text.push_str(cells.join(COLUMN_SEPARATOR).trim_end());
        text.push('\n');
    }
    text
}

/// Escapes control characters, since names come from other processes and must not control the
/// operator's terminal.
pub fn printable(cell: &str) -> String {
    let escape = |c: char| {
        if c.is_control() {
            c.escape_default().to_string()
        } else {
            c.to_string()
        }
    };
    cell.chars().map(escape).collect()
}
