//! Compares every request to the cloud with `golden/requests.txt`, and checks how the answers are
//! decoded.

use std::cell::RefCell;

use walnutlug_scheduler::protocol::cloud::CloudMachineState;

use super::*;
use crate::golden_file::Golden;

const GOLDEN_FILE: &str = "src/cloud_client/golden/requests.txt";

/// A fake cloud that returns the given answers in order and records the requests, with a client of
/// it.
struct FakeCloud {
    client: CloudClient,
    requests: Rc<RefCell<Vec<String>>>,
}

impl FakeCloud {
    fn new(answers: &[(u16, &'static str)]) -> FakeCloud {
        let requests: Rc<RefCell<Vec<String>>> = Rc::default();
        let answers = RefCell::new(answers.to_vec());
        let recorded = requests.clone();
        let script = move |method: &str, path: &str, body: &[u8]| {
            let body = String::from_utf8(body.to_vec()).expect("text");
            recorded.borrow_mut().push(format!("{method} {path}\n{body}").trim_end().to_owned());
            let (status, body) = answers.borrow_mut().remove(0);
            Ok(Response { status, body: body.as_bytes().to_vec() })
        };
        let addr = SocketAddrV4::new([127, 0, 0, 1].into(), 1);
        let client = Rc::new(Client::scripted(Box::new(script)));
        FakeCloud { client: CloudClient::new(client, addr, 1_000.0), requests }
    }

    fn requests(&self) -> String {
        self.requests.borrow().join("\n")
    }
}

fn scale_out() -> ScaleOutRequest {
    ScaleOutRequest {
        request: "r-17".into(),
        kind: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
    }
}

async fn types_request() -> (&'static str, String) {
    let cloud = FakeCloud::new(&[(
        200,
        r#"{"breeds":[{"sku":"g8","vcpus":96,"gpus":8,"memoryGb":768,"localGb":200,"pullGbPerS":1.5,"price":12.0,"lowPrice":4.5,"bootS":45,"groves":["a","b"]}]}"#,
    )]);
    let types = cloud.client.types().await.expect("types");
    let read = MachineType {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.5,
        price: 12.0,
        spot_price: 4.5,
        boot_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    };
    assert!(types == [read], "machine types: the decoded type differs");
    ("machine types", cloud.requests())
}

async fn rent_requests() -> Vec<(&'static str, String)> {
    let rented = FakeCloud::new(&[(200, r#"{"trees":["n-000231","n-000232"]}"#)]);
    let names = rented.client.scale_out(&scale_out(), &may_always_send).await;
    assert!(names.expect("names") == ["n-000231", "n-000232"], "rent: wrong machine names");
    // After an answer that can't be decoded, the request is sent once more under the same name.
    let retried = FakeCloud::new(&[(200, "?"), (503, r#"{"error":"no capacity"}"#)]);
    let answer = retried.client.scale_out(&scale_out(), &may_always_send).await;
    assert!(
        matches!(answer, Err(CloudError::NoCapacity { .. })),
        "rent: the retry must report missing capacity"
    );
    let refused = FakeCloud::new(&[(503, r#"{"error":"trouble"}"#)]);
    let answer = refused.client.scale_out(&scale_out(), &may_always_send).await;
    assert!(
        matches!(answer, Err(CloudError::Rejected { .. })),
        "rent: a refusal must be reported as rejected"
    );
    vec![("rent", rented.requests()), ("rent, twice", retried.requests())]
}

async fn return_request() -> (&'static str, String) {
    let cloud = FakeCloud::new(&[(200, "{}")]);
    let names = ["n-000231".to_owned(), "n-000232".to_owned()];
    let answer = cloud.client.terminate(&names, &may_always_send).await;
    assert!(matches!(answer, Ok(())), "return: failed");
    ("return", cloud.requests())
}

async fn list_request() -> (&'static str, String) {
    let cloud = FakeCloud::new(&[
        (
            200,
            r#"{"trees":[{"ref":"n-000231","address":"10.1.0.232:9000","breed":"g8","grove":"a","windfall":true,"stage":"running","ageS":61.5},{"ref":"n-000232","address":null,"breed":"t8","grove":"b","windfall":false,"stage":"booting"}],"hasNext":true}"#,
        ),
        (
            200,
            r#"{"trees":[{"ref":"n-000233","breed":"t8","grove":"b","windfall":false,"stage":"failed","ageS":3},{"ref":"n-000234","breed":"t8","grove":"b","windfall":false,"stage":"later"}],"hasNext":false}"#,
        ),
    ]);
    let machines = cloud.client.list().await.expect("a list");
    let first = &machines[0];
    assert!(
        first.name == "n-000231" && first.kind == "g8" && first.zone == "a",
        "list: wrong name, type or zone"
    );
    assert!(first.address.as_deref() == Some("10.1.0.232:9000"), "list: wrong address");
    assert!(first.spot && first.age_s == 61.5, "list: wrong spot flag or age");
    assert!(
        machines[1].address.is_none() && !machines[1].spot,
        "list: wrong address or spot flag of a booting machine"
    );
    let states: Vec<CloudMachineState> = machines.iter().map(|machine| machine.stage).collect();
    let expected = [
        CloudMachineState::Running,
        CloudMachineState::Booting,
        CloudMachineState::Failed,
        CloudMachineState::Other,
    ];
    assert!(states == expected, "list: wrong machine states");
    ("list", cloud.requests())
}

#[tokio::test(start_paused = true)]
async fn requests_match_golden_file_and_answers_are_decoded() {
    let mut found = vec![types_request().await, return_request().await, list_request().await];
    found.extend(rent_requests().await);
    Golden::check(GOLDEN_FILE, &found);
}
