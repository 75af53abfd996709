//! Tables for people.

/// Spaces between two columns.
const GAP: &str = "  ";

/// Lays rows out under their heads; the last column is not padded.
pub fn render(heads: &[&str], rows: &[Vec<String>]) -> String {
    let heads: Vec<_> = heads.iter().map(|&head| head.to_owned()).collect();
    let lines: Vec<Vec<_>> = std::iter::once(&heads)
        .chain(rows)
        .map(|row| row.iter().map(|cell| printable(cell)).collect())
        .collect();
    let width = |at: usize| {
        lines
            .iter()
            .filter_map(|line| line.get(at))
            .map(|c| c.chars().count())
            .max()
    };
    let widths: Vec<_> = (0..heads.len()).map(|at| width(at).unwrap_or(0)).collect();
    let mut text = String::new();
    for line in &lines {
        let cells = line
            .iter()
            .zip(&widths)
            .map(|(cell, &width)| format!("{cell:width$}"));
        let cells: Vec<_> = cells.collect();
        text.push_str(cells.join(GAP).trim_end());
        text.push('\n');
    }
    text
}

/// Names come from other processes; control characters must not reach a terminal.
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
