/// Lays out rows in columns, two spaces apart.
pub(crate) fn table<const N: usize>(head: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = head.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = line(widths, head);
    for row in rows {
        text += &line(widths, std::array::from_fn(|i| row[i].as_str()));
    }
    text
}

fn line<const N: usize>(widths: [usize; N], cells: [&str; N]) -> String {
    let mut text = String::new();
    for (width, cell) in widths.into_iter().zip(cells) {
        text += &format!("{cell:width$}  ");
    }
    format!("{}\n", text.trim_end())
}
