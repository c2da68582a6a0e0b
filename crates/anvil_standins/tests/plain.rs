//! Tests of the plain service over HTTP.

use anvil_standins::client::Client;
use anvil_standins::plain;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;

#[tokio::test]
async fn orders_are_counted_by_header_and_by_field() {
    let service = plain::start(plain::Config::default()).await.unwrap();
    let url = format!("http://{}/orders/new", service.addr());
    let client = Client::default();
    let by_header = Request::post(&url).header(plain::ORDER_ID, "o1");
    let by_header = by_header.body(Full::default()).unwrap();
    client.fetch(&url, by_header).await.unwrap();
    let by_field = Full::new(Bytes::from_static(br#"{"order_id":"o1"}"#));
    let by_field = Request::post(&url).body(by_field).unwrap();
    client.fetch(&url, by_field).await.unwrap();
    assert_eq!(service.run_counts()["o1"], 2);
    assert_eq!(service.calls(), 2);
}

#[tokio::test]
async fn a_broken_response_still_counts_the_call() {
    let service = plain::start(plain::Config::default()).await.unwrap();
    service.set_breaks_responses(true);
    let url = format!("http://{}/deposits", service.addr());
    let req = Request::post(&url).header(plain::ORDER_ID, "d1");
    let response = Client::default()
        .fetch(&url, req.body(Full::default()).unwrap())
        .await;
    assert!(response.is_err());
    assert_eq!(service.run_counts()["d1"], 1);
}
