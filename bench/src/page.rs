//! Puts tables into the page that shows them.

use std::{fs, io, path::Path};

/// Replaces what stands between the page's markers of this name.
pub fn replace_table(path: &Path, name: &str, table: &str) -> io::Result<()> {
    let begin = format!("<!-- {name}: begin, written by bench/capacity -->\n");
    let end = format!("<!-- {name}: end -->");
    let page = fs::read_to_string(path)?;
    let parts = page
        .split_once(&begin)
        .and_then(|(before, rest)| Some((before, rest.split_once(&end)?.1)));
    let Some((before, after)) = parts else {
        return Err(io::Error::other(format!(
            "the page has no markers for {name}"
        )));
    };
    fs::write(path, format!("{before}{begin}\n{table}\n{end}{after}"))
}
