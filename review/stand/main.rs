//! Stand-ins and the cases of the review. `stand CASE DIR` runs a case and writes
//! DIR/record.txt; `stand runner ...` is one of its runners.

mod caller;
mod crash;
mod fleet;
mod http;
mod link;
mod plain;
mod pool;
mod store;
mod storm;
mod upload;

use std::path::Path;
use std::sync::Arc;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    if let ["runner", addr, id, deadly] = words[1..] {
        plain::run(addr.parse().expect("an address"), id, deadly);
        return;
    }
    let [case, dir] = words[1..] else {
        eprintln!("usage: stand CASE DIR");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|t| t != "0");
    let record = Arc::new(fleet::Record::create(&Path::new(dir).join("record.txt")));
    let temp = std::env::temp_dir().join(format!("stand-{}", std::process::id()));
    std::fs::create_dir_all(&temp).expect("a temporary folder");
    let code = match case {
        "storm" => storm::run(&temp, &record, trouble),
        "crash" => crash::run(&temp, &record, &crash::LOOKUP, trouble),
        "stream" => crash::run(&temp, &record, &crash::STREAM, trouble),
        "upload" => upload::run(&temp, &record, trouble),
        _ => 2,
    };
    let is_kept = std::env::var("KEEP").is_ok();
    if !is_kept {
        let _ = std::fs::remove_dir_all(&temp);
    }
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}
