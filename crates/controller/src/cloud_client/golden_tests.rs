//! Every request to the cloud, as it is sent, and what is read of its answers. Kept in
//! `golden/requests.txt`.

use std::cell::RefCell;

use walnutlug_scheduler::protocol::cloud::CloudMachineState;

use super::*;
use crate::golden_file::Golden;

const FILE: &str = "src/cloud_client/golden/requests.txt";

/// A cloud that gives these answers, one after the other, and what it was asked.
struct Scripted {
    cloud: CloudClient,
    asked: Rc<RefCell<Vec<String>>>,
}

impl Scripted {
    fn new(answers: &[(u16, &'static str)]) -> Scripted {
        let asked: Rc<RefCell<Vec<String>>> = Rc::default();
        let answers = RefCell::new(answers.to_vec());
        let noted = asked.clone();
        let script = move |method: &str, path: &str, body: &[u8]| {
            let body = String::from_utf8(body.to_vec()).expect("text");
            noted.borrow_mut().push(format!("{method} {path}\n{body}").trim_end().to_owned());
            let (status, body) = answers.borrow_mut().remove(0);
            Ok(Response { status, body: body.as_bytes().to_vec() })
        };
        let addr = SocketAddrV4::new([127, 0, 0, 1].into(), 1);
        let client = Rc::new(Client::scripted(Box::new(script)));
        Scripted { cloud: CloudClient::new(client, addr, 1_000.0), asked }
    }

    fn asked(&self) -> String {
        self.asked.borrow().join("\n")
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
    let scripted = Scripted::new(&[(
        200,
        r#"{"breeds":[{"sku":"g8","vcpus":96,"gpus":8,"memoryGb":768,"localGb":200,"pullGbPerS":1.5,"price":12.0,"lowPrice":4.5,"bootS":45,"groves":["a","b"]}]}"#,
    )]);
    let types = scripted.cloud.types().await.expect("types");
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
    assert!(types == [read], "machine types: a field was read otherwise");
    ("machine types", scripted.asked())
}

async fn rent_requests() -> Vec<(&'static str, String)> {
    let rented = Scripted::new(&[(200, r#"{"trees":["n-000231","n-000232"]}"#)]);
    let names = rented.cloud.scale_out(&scale_out(), &always).await;
    assert!(names.expect("names") == ["n-000231", "n-000232"], "rent: the names");
    // An answer that can't be read: asked once more under the same name.
    let again = Scripted::new(&[(200, "?"), (503, r#"{"error":"no capacity"}"#)]);
    let answer = again.cloud.scale_out(&scale_out(), &always).await;
    assert!(matches!(answer, Err(CloudError::NoCapacity { .. })), "rent: no capacity");
    let refused = Scripted::new(&[(503, r#"{"error":"trouble"}"#)]);
    let answer = refused.cloud.scale_out(&scale_out(), &always).await;
    assert!(matches!(answer, Err(CloudError::Rejected { .. })), "rent: refused");
    vec![("rent", rented.asked()), ("rent, twice", again.asked())]
}

async fn return_request() -> (&'static str, String) {
    let scripted = Scripted::new(&[(200, "{}")]);
    let names = ["n-000231".to_owned(), "n-000232".to_owned()];
    let answer = scripted.cloud.terminate(&names, &always).await;
    assert!(matches!(answer, Ok(())), "return");
    ("return", scripted.asked())
}

async fn list_request() -> (&'static str, String) {
    let scripted = Scripted::new(&[
        (
            200,
            r#"{"trees":[{"ref":"n-000231","address":"10.1.0.232:9000","breed":"g8","grove":"a","windfall":true,"stage":"running","ageS":61.5},{"ref":"n-000232","address":null,"breed":"t8","grove":"b","windfall":false,"stage":"booting"}],"hasNext":true}"#,
        ),
        (
            200,
            r#"{"trees":[{"ref":"n-000233","breed":"t8","grove":"b","windfall":false,"stage":"failed","ageS":3},{"ref":"n-000234","breed":"t8","grove":"b","windfall":false,"stage":"later"}],"hasNext":false}"#,
        ),
    ]);
    let machines = scripted.cloud.list().await.expect("a list");
    let first = &machines[0];
    assert!(first.name == "n-000231" && first.kind == "g8" && first.zone == "a", "list: names");
    assert!(first.address.as_deref() == Some("10.1.0.232:9000"), "list: address");
    assert!(first.spot && first.age_s == 61.5, "list: spot and age");
    assert!(machines[1].address.is_none() && !machines[1].spot, "list: a booting machine");
    let stages: Vec<CloudMachineState> = machines.iter().map(|machine| machine.stage).collect();
    let expected = [
        CloudMachineState::Running,
        CloudMachineState::Booting,
        CloudMachineState::Failed,
        CloudMachineState::Other,
    ];
    assert!(stages == expected, "list: stages");
    ("list", scripted.asked())
}

#[tokio::test(start_paused = true)]
async fn requests_are_sent_and_answers_read_as_before() {
    let mut found = vec![types_request().await, return_request().await, list_request().await];
    found.extend(rent_requests().await);
    Golden::check(FILE, &found);
}
