//! Prints tables to standard output.

/// Prints rows with left-aligned columns.
pub(super) fn print_table<const COLUMNS: usize>(rows: &[[String; COLUMNS]]) {
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..COLUMNS).map(width).collect();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let padded: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        println!("{}", padded.join("  ").trim_end());
    }
}
