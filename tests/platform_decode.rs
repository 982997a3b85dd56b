//! Decoding of the outside platform's settings, configuration, registrations and
//! headers.

use chervilquay::member::registry::complete_version;
use chervilquay::platform::config;
use chervilquay::platform::headers;
use chervilquay::platform::registry;
use chervilquay::platform::settings;
use chervilquay::table::routing::Repeat;
use chervilquay::time::Millis;
use http::HeaderMap;
use http::StatusCode;

const SETTINGS: &str = "node_name=front-a-1
ip=10.1.0.40
zone=a
zones.a=r
zones.b=s
listen.front=10.1.0.40:8005
listen.ready=10.1.0.40:8002
internal_ports=7700,7715
seeds=10.1.0.40:8000,bad,10.2.0.37:8000
bounds.grace_s=8
bounds.version_ms=9700
platform.address=10.200.1.7:8007
something.new=1
";

/// Guards against a process that does not start because of an unknown field, an
/// invalid seed or a missing runner, or that starts without a required field.
#[test]
fn settings_are_parsed() {
    let parsed = settings::parse(SETTINGS).expect("settings");
    assert_eq!(parsed.name, "front-a-1");
    assert_eq!(parsed.zones.len(), 2);
    assert_eq!(parsed.seeds.len(), 2);
    assert_eq!(parsed.runner, None);
    assert_eq!(parsed.grace, Millis(8_000));
    assert_eq!(parsed.rollout_bound, Millis(9_700));
    let missing = SETTINGS.replace("platform.address", "platform.other");
    assert!(settings::parse(&missing).is_err());
}

/// Guards against a check of settings that misses a fault with which no process
/// starts, or a seed that a process would leave out.
#[test]
fn faults_of_settings_are_found() {
    let found = |text: &str| {
        let faults = settings::faults(text);
        let brief = faults
            .iter()
            .map(|f| (f.line, f.field.clone(), f.found.clone()));
        brief.collect::<Vec<_>>()
    };
    let seed = (9, "seeds".to_string(), "bad".to_string());
    assert_eq!(found(SETTINGS), std::slice::from_ref(&seed));
    let bad = SETTINGS.replace("ip=10.1.0.40\n", "ip=here\n");
    let ip = (2, "ip".to_string(), "ip=here".to_string());
    assert_eq!(found(&bad), [ip, seed]);
    let missing = SETTINGS.replace("platform.address", "platform.other");
    assert_eq!(found(&missing)[0].1, "platform.address");
}

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r1","host":"A.example","prefix":"/x/","kind":"streaming","timeout_ms":6000,"slo_ms":400,"priority":1,"service":"s","max_attempts":2,"public":false,"resumable":true,"gap_target_ms":400},
 {"name":"r2","host":"a.example","prefix":"/x/y/","kind":"non_idempotent","timeout_ms":800,"slo_ms":150,"backends":[{"service":"s","weight":90},{"service":"t","weight":10}],"max_attempts":1}],
 "services":[{"name":"s","health_path":"/health","max_conns":424,"engine":{"slots":16,"read_per_s":19100.0,"stride":5,"layers":16,"chunks":48,"chunk_bytes":49152,"models":[{"name":"m","warm_s":0.3}]}},{"name":"o","origin":"172.20.0.3:8006","zone":"z"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1}]}"#;

/// Guards against a configuration whose routes are matched in another order than the
/// longest prefix first, or whose API keys or pool weights are misread.
#[test]
fn configuration_is_decoded() {
    let routing = config::decode(CONFIG.as_bytes()).expect("configuration");
    let longest = routing.route("a.example:80", "/x/y/z").expect("a route");
    assert_eq!(
        (longest.name.as_str(), longest.repeat),
        ("r2", Repeat::Never)
    );
    let other = routing.route("A.EXAMPLE", "/x/z").expect("a route");
    assert_eq!((other.name.as_str(), other.repeat), ("r1", Repeat::Resume));
    assert!(routing.route("a.example", "/").is_none());
    assert!(routing.organisation("k2").is_some_and(|o| o.name == "t1"));
    assert!(routing.organisation("k3").is_none());
    let count = |pool: &str| {
        let ids = (0..1_000).map(|i| i.to_string());
        ids.filter(|id| longest.pool(id) == Some(pool)).count()
    };
    assert!((850..950).contains(&count("s")), "{}", count("s"));
    assert!(routing.pool("o").is_some_and(|p| p.origin.is_some()));
}

/// Returns a registration with these further fields.
fn registration(rest: &str) -> String {
    format!(
        r#"{{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready"{rest}}}"#
    )
}

/// Guards against a runner without loaded layers, which it states as null, whose
/// registration is refused, and against one that counts as complete although layers
/// are missing or of another version.
#[test]
fn complete_version_needs_all_layers() {
    let model = r#","models":[{"name":"m","version":2,"adapters":[]}]"#;
    let cases = [
        (String::new(), None),
        (r#","models":[],"layers":null"#.to_string(), None),
        (format!(r#"{model},"layers":null"#), Some(2)),
        (
            format!(r#"{model},"layers":{{"from":0,"to":16,"version":2}}"#),
            Some(2),
        ),
        (
            format!(r#"{model},"layers":{{"from":0,"to":8,"version":2}}"#),
            None,
        ),
        (
            format!(
                r#"{model},"layers":[{{"from":0,"to":8,"version":2}},{{"from":8,"to":16,"version":2}}]"#
            ),
            Some(2),
        ),
        (
            format!(
                r#"{model},"layers":[{{"from":0,"to":8,"version":2}},{{"from":8,"to":16,"version":1}}]"#
            ),
            None,
        ),
        (
            format!(r#"{model},"layers":[{{"from":4,"to":16,"version":2}}]"#),
            None,
        ),
    ];
    for (rest, version) in cases {
        let decoded = registry::decode("servers/i-1", registration(&rest).as_bytes())
            .expect("a registration");
        assert_eq!(
            complete_version(&decoded.holdings, "m", 16),
            version,
            "{rest}"
        );
    }
}

/// Guards against forwarding a caller's own headers for organisation, instance or
/// deadline to a runner, or its API key.
#[test]
fn runner_gets_no_forged_headers() {
    let mut caller = HeaderMap::new();
    for (name, value) in [
        ("x-tenant", "forged"),
        ("x-expect-instance", "forged"),
        ("x-credential", "secret"),
        ("x-deadline-ms", "999999"),
        ("x-request-urgency", "0"),
        ("connection", "close, x-hop"),
        ("x-hop", "1"),
        ("transfer-encoding", "chunked"),
        ("x-model", "m"),
        ("x-request-id", "id"),
    ] {
        caller.insert(name, value.parse().expect("a value"));
    }
    let dispatch = headers::Dispatch {
        instance: "i-1".to_string(),
        organisation: None,
        time_left: Millis(700),
        urgency: 2,
        last_event: None,
    };
    let sent = headers::to_runner(&caller, &dispatch);
    let get = |name: &str| sent.get(name).and_then(|v| v.to_str().ok());
    assert_eq!(get("x-tenant"), None);
    assert_eq!(get("x-credential"), None);
    assert_eq!(get("x-hop"), None);
    assert_eq!(get("transfer-encoding"), None);
    assert_eq!(get("x-expect-instance"), Some("i-1"));
    assert_eq!(get("x-deadline-ms"), Some("700"));
    assert_eq!(get("x-request-urgency"), Some("2"));
    assert_eq!(get("x-model"), Some("m"));
    assert_eq!(get("x-request-id"), Some("id"));
}

/// Guards against an entry that overlooks, for some status of an answer, that the
/// runner is leaving.
#[test]
fn leaving_is_read_from_any_answer() {
    let leaving = |status: u16, value: Option<&str>| {
        let mut answer = HeaderMap::new();
        if let Some(value) = value {
            answer.insert("server-leaving", value.parse().expect("a value"));
        }
        let status = StatusCode::from_u16(status).expect("a status");
        headers::decode_reply(status, &answer).leaving
    };
    for status in [200, 404, 421, 500, 503] {
        assert!(leaving(status, Some("1")), "{status}");
        assert!(!leaving(status, Some("0")), "{status}");
        assert!(!leaving(status, None), "{status}");
    }
}

/// Guards against a `Retry-After` that is missed on a refusal with status 503, read
/// from an answer with another status, or accepted when it is not a valid number.
#[test]
fn back_off_is_read_from_a_refusal() {
    let back_off = |status: u16, value: &str| {
        let mut answer = HeaderMap::new();
        answer.insert("retry-after", value.parse().expect("a value"));
        let status = StatusCode::from_u16(status).expect("a status");
        headers::decode_reply(status, &answer).back_off
    };
    assert_eq!(back_off(503, "2"), Some(Millis(2_000)));
    assert_eq!(back_off(503, "0.25"), Some(Millis(250)));
    for value in ["-1", "NaN", "inf", "", "Fri, 04 Dec 2026 09:00:00 GMT"] {
        assert_eq!(back_off(503, value), None, "{value}");
    }
    for status in [200, 429, 500] {
        assert_eq!(back_off(status, "2"), None, "{status}");
    }
}

/// Guards against a part of one request alone, or its length, that counts as shared.
#[test]
fn shared_parts_are_decoded() {
    let parts = |list: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("x-prompt-prefix", list.parse().expect("value"));
        headers::decode_caller(&headers).shared_parts
    };
    assert_eq!(
        parts("5c1e07a2:800,91BD3F06:410, e4402b7d:250"),
        ["5c1e07a2", "91bd3f06"]
    );
    assert_eq!(parts("a:1,a:1,b:2"), ["a"]);
    assert_eq!(parts("a,:3,b"), ["a"]);
    assert!(parts("e4402b7d:250").is_empty());
    assert!(parts("").is_empty());
    let long = (0..1_000).map(|i| format!("{i:x}:1")).collect::<Vec<_>>();
    assert_eq!(parts(&long.join(",")).len(), 32);
    assert!(
        headers::decode_caller(&HeaderMap::new())
            .shared_parts
            .is_empty()
    );
}

/// Guards against a limit of an upstream that is not read, or a value that is none.
#[test]
fn rate_limit_is_decoded() {
    let limit = |value: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("server-limit", value.parse().expect("value"));
        headers::decode_reply(StatusCode::OK, &headers).rate_limit
    };
    assert_eq!(limit("1.9"), Some(1.9));
    assert_eq!(limit(" 3 "), Some(3.0));
    assert_eq!(limit("0"), Some(0.0));
    for value in ["", "-1", "NaN", "inf", "many"] {
        assert_eq!(limit(value), None, "{value}");
    }
    let none = headers::decode_reply(StatusCode::OK, &HeaderMap::new());
    assert_eq!(none.rate_limit, None);
}

/// Guards against a statement about a cold runner, or its limit, that is not read.
#[test]
fn cold_statements_are_decoded() {
    let cold = |value: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("x-cold-ms", value.parse().expect("value"));
        headers::decode_reply(StatusCode::OK, &headers).cold_left
    };
    assert_eq!(cold("2500"), Some(Millis(2_500)));
    assert_eq!(cold("0.2"), Some(Millis(1)));
    assert_eq!((cold("-1"), cold("NaN"), cold("soon")), (None, None, None));
    let member = |rest: &str| {
        let doc = registration(rest);
        let decoded = registry::decode("servers/r", doc.as_bytes());
        decoded.expect("registration").cold_left
    };
    assert_eq!(member(r#","cold_left_ms":7900"#), Millis(7_900));
    assert_eq!(member(r#","seq":1"#), Millis(0));
    let pool = |rest: &str| {
        let doc = format!(r#"{{"version":1,"services":[{{"name":"p"{rest}}}]}}"#);
        let routing = config::decode(doc.as_bytes()).expect("configuration");
        let pool = routing.pool("p").expect("pool").clone();
        (pool.cold_span, pool.cold_rate)
    };
    let both = pool(r#","cold_s":8,"cold_per_s":26"#);
    assert_eq!(both, (Millis(8_000), Some(26.0)));
    assert_eq!(pool(""), (Millis(0), None));
    let bounds = |rest: &str| settings::parse(&format!("{SETTINGS}{rest}")).map(|s| s.cold_bounds);
    assert_eq!(bounds("").expect("settings"), (1.5, 5.0));
    let set = bounds("bounds.cold_overshoot=1.2\nbounds.cold_slack=2\n");
    assert_eq!(set.expect("settings"), (1.2, 2.0));
    assert!(bounds("bounds.cold_slack=some\n").is_err());
}
