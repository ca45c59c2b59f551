//! Why `async-h1` does not read runners' responses: it drops the body of a response that ends with its connection.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

use async_h1::client;

#[test]
fn async_h1_drops_the_body_of_a_response_that_ends_with_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _count = stream.read(&mut [0; 1024]).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nthe whole answer").unwrap();
    });

    let body = smol::block_on(async {
        let stream = smol::net::TcpStream::connect(address).await.unwrap();
        let url = http_types::Url::parse(&format!("http://{address}/")).unwrap();
        let mut response =
            client::connect(stream, http_types::Request::new(http_types::Method::Get, url)).await.unwrap();
        response.body_string().await.unwrap()
    });

    assert_eq!(body, "", "async-h1 now keeps such bodies: reconsider whether the gateway must frame HTTP itself");
}
