//! The definition of one kind of call: its path, request type and reply type.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// One kind of call between processes: a request, then any number of replies.
pub trait Call: 'static {
    /// The h2 path of the call, such as `/ledger`.
    const PATH: &'static str;
    /// The request.
    type Req: Serialize + DeserializeOwned + Send + 'static;
    /// Each of the replies.
    type Resp: Serialize + DeserializeOwned + Send + 'static;
}
