//! Guards against answers that are incomplete, mixed up or wrongly marked when
//! a query passes through separate host processes to upstreams and back.

use cornelwinch_lab::{Deployment, DeploymentShape, HostProgram, SearchShape};
use cornelwinch_standins::documents;
use cornelwinch_types::{KeyRange, SnapshotId};
use serde_json::{Value, json};

const SHARDS: u32 = 8;

fn post(deployment: &Deployment, host: usize, token: &str, request: &Value) -> (u16, Value) {
    let agent = ureq::Agent::new_with_config(
        ureq::Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .build(),
    );
    let url = format!("http://{}/v1/query", deployment.hosts[host].caller());
    let mut resp = agent
        .post(url)
        .header("Authorization", format!("Bearer {token}"))
        .send_json(request)
        .unwrap();
    let status = resp.status().as_u16();
    (status, resp.body_mut().read_json().unwrap())
}

#[test]
fn query_answers_whole() {
    let shape = DeploymentShape::new("test", 2, 3).with_search(SearchShape::new("portal", SHARDS));
    let program = HostProgram::new(env!("CARGO_BIN_EXE_cornelwinchd"));
    let deployment = Deployment::spawn(shape, &program).unwrap();
    let token = Deployment::token("portal");

    for host in 0..3 {
        for body in ["20 atlas", "5 diary"] {
            let request = json!({ "search": "portal", "body": body, "deadline_ms": 10_000 });
            let (status, answer) = post(&deployment, host, &token, &request);
            assert_eq!(status, 200, "answer={answer}");
            let range = KeyRange {
                start: 0,
                end: u64::from(SHARDS) * 100,
            };
            let expected = documents("portal", SnapshotId(1), range, body);
            assert_eq!(answer["hits"], json!(expected), "host={host} body={body}");
            assert_eq!(answer["coverage"], json!(1.0));
            assert_eq!(answer["missing"], json!([]));
            assert_eq!(answer["covered"], json!([{ "start": 0, "end": 800 }]));
        }
    }

    let refused = |token: &str, request: Value| {
        let (status, answer) = post(&deployment, 0, token, &request);
        assert_eq!(answer["outcome"], "not_run", "answer={answer}");
        status
    };
    assert_eq!(
        refused("wrong", json!({ "search": "portal", "body": "x" })),
        401
    );
    assert_eq!(
        refused(&token, json!({ "search": "none", "body": "x" })),
        404
    );
    assert_eq!(refused(&token, json!({ "search": "portal" })), 400);
    let unknown_class = json!({ "search": "portal", "class": "none", "body": "x" });
    assert_eq!(refused(&token, unknown_class), 400);
    let spent = json!({ "search": "portal", "body": "x", "deadline_ms": 0 });
    assert_eq!(refused(&token, spent), 504);
}
