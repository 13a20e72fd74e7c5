//! Calls to plain services by odd paths and headers.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

mod support;

use hyper::Method;
use hyper::StatusCode;
use support::DESK;
use support::Fleet;
use support::streams::slow;

/// Guards against a call that reaches a service which its path does not name.
#[tokio::test(flavor = "multi_thread")]
async fn a_path_names_its_service_once() {
    let fleet = Fleet::start(slow()).await;
    let prefixes = [
        "/services//services/",
        "/services//",
        "/services/./",
        "/services/%64esk/",
        "//services/",
    ];

    let usual = format!("/services/{DESK}/approvals");
    let usual = fleet
        .caller(0)
        .send(Method::GET, &usual, &[], "")
        .await
        .unwrap();

    assert_eq!(usual.status, StatusCode::OK);
    for prefix in prefixes {
        let path = format!("{prefix}{DESK}/approvals");
        let answer = fleet
            .caller(0)
            .send(Method::GET, &path, &[], "")
            .await
            .unwrap();
        assert!(answer.status.is_client_error(), "{path}: {}", answer.status);
    }
}
