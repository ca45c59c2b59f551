//! HTTP/1.1 over TCP: heads, body framing and buffered connections.

mod body_reader;
mod chunked;
mod connection;
mod fields;
mod framing;
mod head;
mod path_timeout;
mod reply;

pub use body_reader::{BodyError, BodyReader};
pub use chunked::ChunkedDecoder;
pub use connection::{Connection, Socket, into_socket, linger_close};
pub use fields::Fields;
pub use framing::{BodyLength, FramingError, is_hop_by_hop, request_body, response_body};
pub use head::{HeadError, RequestHead, ResponseHead};
pub use path_timeout::PathTimeout;
pub use reply::Reply;
