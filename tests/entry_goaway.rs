//! Stop of an entry while an HTTP/2 caller reads a stream.

use std::time::Duration;

use chervilquay::bench::fleet;
use chervilquay::bench::fleet::Fleet;
use chervilquay::bench::fleet::Plan;
use chervilquay::net::body;
use chervilquay::net::client;
use chervilquay::net::rt;
use http_body_util::BodyExt;
use hyper::client::conn::http2;
use hyper::client::conn::http2::SendRequest;
use smol_hyper::rt::FuturesIo;

const HANG_GUARD: Duration = Duration::from_secs(60);
const TOKENS: u64 = 200;

fn completion(fleet: &Fleet) -> http::Request<body::BoxBody> {
    let text = format!(r#"{{"prompt":"p","max_tokens":{TOKENS},"stream":true}}"#);
    let uri = format!("http://{}/v1/completions", fleet.entries[0].http);
    let request = http::Request::post(uri).body(body::full(text));
    request.expect("request is well formed")
}

async fn connect(fleet: &Fleet) -> (SendRequest<body::BoxBody>, smol::Task<()>) {
    let stream = client::connect_tcp(fleet.entries[0].http)
        .await
        .expect("entry listens");
    let io = FuturesIo::new(stream);
    let (sender, conn) = http2::handshake(rt::Spawner, io).await.expect("handshake");
    let task = rt::spawn(async move {
        let _ = conn.await;
    });
    (sender, task)
}

// Guards against a stop that cuts the stream of an HTTP/2 caller, and against one
// that sends no GOAWAY and so leaves the connection open for new requests.
#[test]
fn stream_ends_whole() {
    rt::run(4, async {
        let plan = Plan {
            engines: 1,
            services: 1,
            ..Plan::default()
        };
        let fleet = Fleet::start(plan).await.expect("fleet starts");
        fleet.until_serving(HANG_GUARD).await.expect("fleet serves");
        let (mut sender, connection) = connect(&fleet).await;
        let answer = sender.send_request(completion(&fleet)).await;
        let mut answer = answer.expect("answer starts");
        assert_eq!(answer.status(), 200);
        let first = answer.body_mut().frame().await;
        let first = first.expect("data").expect("whole frame");
        let mut received = first.into_data().expect("data frame").to_vec();
        let stop = fleet.stop_entry(0);
        let rest = async { answer.into_body().collect().await };
        let (_, rest) = smol::future::zip(stop, rest).await;
        received.extend_from_slice(&rest.expect("stream is not cut").to_bytes());
        let text = fleet::stream_text(&received).expect("stream has its end mark");
        assert_eq!(text.split_whitespace().count() as u64, TOKENS);
        // After the GOAWAY the connection ends with its last stream.
        connection.await;
        assert!(sender.send_request(completion(&fleet)).await.is_err());
    });
}
