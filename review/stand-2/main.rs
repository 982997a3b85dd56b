//! Plays a case of the review with stand-ins for clients, runners and the platform.
//!
//! Usage: `stand CASE FOLDER`, from the root of the repository. Writes `record.txt` to the folder.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment there is no disruption.

mod crowd;
mod cuts;
mod foreign;
mod frozen;
mod http;
mod source;
mod world;

use std::path::Path;
use std::process::ExitCode;

use world::Record;
use world::Run;

fn main() -> ExitCode {
    match play() {
        Ok(false) => ExitCode::from(0),
        Ok(true) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn play() -> Run<bool> {
    let arguments: Vec<String> = std::env::args().collect();
    // The case starts runners by this program.
    if let [_, name, ip] = &arguments[..]
        && name == "runner"
    {
        return frozen::run(ip);
    }
    let [_, name, folder] = &arguments[..] else {
        return Err("usage: stand CASE FOLDER".into());
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(Path::new(folder))?;
    record.say(format!("case {name}, trouble {}", u8::from(trouble)));
    let is_broken = match name.as_str() {
        "frozen-runner" => frozen::play(&record, trouble)?,
        "foreign-entry" => foreign::play(&record, trouble)?,
        "short-bodies" => crowd::play(&record, trouble)?,
        "slow-reader" => cuts::play_slow_reader(&record, trouble)?,
        "half-event" => cuts::play_half_event(&record, trouble)?,
        _ => return Err("no such case".into()),
    };
    record.say(if is_broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    Ok(is_broken)
}
