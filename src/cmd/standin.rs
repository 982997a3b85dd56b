//! `chervilquay standin`: runs a simple replacement of an outside system as a process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::net::rt;
use crate::node::signal;
use crate::standin::engine::Behaviour;
use crate::standin::engine::Engine;
use crate::standin::origin::Origin;
use crate::standin::platform::Platform;

/// Threads that run a stand-in's tasks.
const THREADS: usize = 2;

/// Run a stand-in for an outside system, for trials on one machine.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "standin",
    example = "chervilquay standin platform --listen 127.0.0.1:8500 \\\n    --routes routes.yaml --pools pools.yaml"
)]
pub struct Args {
    #[argh(subcommand)]
    kind: Kind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Kind {
    Platform(PlatformArgs),
    Origin(OriginArgs),
    Engine(EngineArgs),
}

/// Configuration service with blocking queries; publish with PUT /v1/kv/NAME.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// routes table to publish at the start
    #[argh(option)]
    routes: Option<PathBuf>,
    /// pools table to publish at the start
    #[argh(option)]
    pools: Option<PathBuf>,
    /// live list to publish at the start
    #[argh(option)]
    live: Option<PathBuf>,
}

/// Origin of weights; prints the manifest digest of each version.
#[derive(FromArgs)]
#[argh(subcommand, name = "origin")]
struct OriginArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// versions to make from these seeds
    #[argh(option)]
    seed: Vec<u64>,
    /// length of a version, in bytes
    #[argh(option, default = "1 << 20")]
    length: usize,
    /// length of a chunk, in bytes
    #[argh(option, default = "64 << 10")]
    chunk: usize,
}

/// Model engine and plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// time of one token, in microseconds
    #[argh(option, default = "2_000")]
    token_us: u64,
    /// requests in one batch
    #[argh(option, default = "8")]
    batch: usize,
    /// obey orders with old fencing numbers
    #[argh(switch)]
    unfenced: bool,
}

/// Starts the stand-in, prints its address and runs it until a signal to stop.
pub fn run(args: &Args) -> eyre::Result<ExitCode> {
    rt::run(THREADS, async move {
        let running = match &args.kind {
            Kind::Platform(args) => platform(args)?,
            Kind::Origin(args) => origin(args)?,
            Kind::Engine(args) => engine(args)?,
        };
        println!("listening {}", running.addr);
        signal::stop().await;
        Ok(ExitCode::SUCCESS)
    })
}

fn platform(args: &PlatformArgs) -> eyre::Result<crate::standin::ServerHandle> {
    let platform = Platform::default();
    let keys = [
        ("routes", &args.routes),
        ("pools", &args.pools),
        ("live", &args.live),
    ];
    for (key, path) in keys {
        if let Some(path) = path {
            platform.put(key, std::fs::read_to_string(path)?);
        }
    }
    Ok(platform.start(args.listen)?)
}

fn origin(args: &OriginArgs) -> eyre::Result<crate::standin::ServerHandle> {
    let origin = Origin::default();
    for seed in &args.seed {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let mut weights = vec![0; args.length];
        rng.fill(&mut weights);
        println!("version {seed} {}", origin.publish(&weights, args.chunk));
    }
    Ok(origin.start(args.listen)?)
}

fn engine(args: &EngineArgs) -> eyre::Result<crate::standin::ServerHandle> {
    let engine = Engine::new(Behaviour {
        token_us: args.token_us,
        batch: args.batch,
        fenced: !args.unfenced,
    });
    Ok(engine.start(args.listen)?)
}
