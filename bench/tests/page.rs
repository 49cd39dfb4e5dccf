//! Tables in a page.

use std::{env, fs, path::PathBuf, process};

use lovagedock_bench::page::replace_table;

fn page_file(name: &str, text: &str) -> PathBuf {
    let path = env::temp_dir().join(format!("lovagedock-{}-{name}.md", process::id()));
    fs::write(&path, text).expect("temporary directory");
    path
}

#[test]
fn only_the_named_table_is_replaced() {
    let text = "before\n<!-- a: begin, written by bench/capacity -->\nold\n<!-- a: end -->\n\
                <!-- b: begin, written by bench/capacity -->\nkept\n<!-- b: end -->\nafter\n";
    let path = page_file("replace", text);
    replace_table(&path, "a", "| new |\n").expect("has markers");
    let page = fs::read_to_string(&path).expect("page");
    fs::remove_file(&path).expect("page");
    assert_eq!(page, text.replace("old\n", "\n| new |\n\n"));
}

/// A page that lost its markers must not look as if it had been written anew.
#[test]
fn a_page_without_markers_is_refused() {
    let path = page_file("refuse", "no markers\n");
    let refused = replace_table(&path, "a", "| new |").is_err();
    let page = fs::read_to_string(&path).expect("page");
    fs::remove_file(&path).expect("page");
    assert!(refused);
    assert_eq!(page, "no markers\n");
}
