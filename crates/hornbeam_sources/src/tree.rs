//! Which files of the repository are sources outside tests.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::{fs, io};

/// Folders at the root that hold no sources, but documents and results.
const FOLDERS_WITHOUT_SOURCES: [&str; 4] = [".git", "docs", "journal", "target"];
/// Name of the folder beside a manifest that holds the tests of the package.
const TESTS: &str = "tests";
/// Suffixes of documents and of files that programs write.
const SUFFIXES_OF_DOCUMENTS: [&str; 3] = ["lock", "md", "txt"];
/// Words before the name of a file that becomes part of a source.
const INCLUSIONS: [&str; 4] = ["#[path", "include!", "include_str!", "include_bytes!"];

/// Returns the sources outside tests below `root`, and the files of tests that these include.
///
/// # Errors
///
/// Returns the I/O error if a folder or a file cannot be read.
pub fn sources(root: &Path) -> io::Result<BTreeSet<PathBuf>> {
    let mut found = BTreeSet::new();
    for entry in fs::read_dir(root)? {
        let path = entry?.path();
        let is_left_out = path
            .file_name()
            .is_some_and(|name| FOLDERS_WITHOUT_SOURCES.iter().any(|folder| *folder == name));
        if !is_left_out {
            collect(&path, &mut found)?;
        }
    }
    let mut unread: Vec<PathBuf> = found.iter().cloned().collect();
    while let Some(source) = unread.pop() {
        for included in inclusions(&source)? {
            if found.insert(included.clone()) {
                unread.push(included);
            }
        }
    }
    Ok(found)
}

fn collect(path: &Path, found: &mut BTreeSet<PathBuf>) -> io::Result<()> {
    if path.is_dir() {
        let is_of_package = path.parent().is_some_and(|p| p.join("Cargo.toml").is_file());
        if is_of_package && path.file_name().is_some_and(|name| name == TESTS) {
            return Ok(());
        }
        for entry in fs::read_dir(path)? {
            collect(&entry?.path(), found)?;
        }
        return Ok(());
    }
    let suffix = path.extension().unwrap_or_default();
    if !SUFFIXES_OF_DOCUMENTS.iter().any(|s| *s == suffix) {
        found.insert(path.to_owned());
    }
    Ok(())
}

/// Returns the files that a source includes by their path, with the files beside them that they may declare as
/// modules.
fn inclusions(source: &Path) -> io::Result<Vec<PathBuf>> {
    let mut included = Vec::new();
    let Some(folder) = source.parent() else { return Ok(included) };
    let text = String::from_utf8_lossy(&fs::read(source)?).into_owned();
    for line in text.lines() {
        let Some(rest) = INCLUSIONS.iter().find_map(|word| line.split_once(word)) else { continue };
        let Some(name) = rest.1.split('"').nth(1) else { continue };
        let file = folder.join(name);
        if !file.is_file() {
            continue;
        }
        if file.file_name().is_some_and(|name| name == "mod.rs") {
            let mut modules = BTreeSet::new();
            for entry in fs::read_dir(file.parent().unwrap_or(folder))? {
                collect(&entry?.path(), &mut modules)?;
            }
            included.extend(modules);
        } else {
            included.push(file);
        }
    }
    Ok(included)
}
