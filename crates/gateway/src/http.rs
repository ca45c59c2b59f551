//! HTTP/1.1 on the wire: heads, body framing, buffered sockets.

mod body_reader;
mod chunked;
mod fields;
mod framing;
mod head;
mod inbound;
mod reply;

pub use body_reader::{BodyError, BodyReader};
pub use chunked::ChunkedDecoder;
pub use fields::Fields;
pub use framing::{BodyLength, FramingError, is_hop_by_hop, request_body, response_body};
pub use head::{HeadError, RequestHead, ResponseHead};
pub use inbound::{Inbound, Socket, linger_close, wrap};
pub use reply::Reply;
