//! What one kind of exchange looks like.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// One kind of exchange between processes: a request, then any number of replies.
pub trait Call: 'static {
    /// The h2 path it goes to, such as `/ledger`.
    const PATH: &'static str;
    /// What is asked.
    type Req: Serialize + DeserializeOwned + Send + 'static;
    /// What comes back, once or many times.
    type Resp: Serialize + DeserializeOwned + Send + 'static;
}
