//! HTTP client of the daemons' admin API.

use http_types::Method;
use serde::de::DeserializeOwned;
use teaselcroft_parts::Millis;
use teaselcroft_policy::TeamConfig;
use teaselcroft_router::http_client::{HttpCall, HttpReply};
use teaselcroft_router::{AdminError, DaemonStatus};

use crate::command_error::CommandError;
use crate::config::Config;

const GET_TIMEOUT: Millis = Millis(5_000);
const APPLY_TIMEOUT: Millis = Millis(30_000);

/// A blocking client of the admin API at the configured daemons.
#[derive(Debug, Clone)]
pub struct AdminClient {
    config: Config,
}

impl AdminClient {
    /// Creates a client of the daemons in `config`.
    pub const fn new(config: Config) -> AdminClient {
        AdminClient { config }
    }

    fn call(&self, method: Method, address: &str, path: &str, body: Vec<u8>) -> HttpCall {
        let headers = vec![("authorization", format!("Bearer {}", self.config.key))];
        let timeout = if method == Method::Get { GET_TIMEOUT } else { APPLY_TIMEOUT };
        HttpCall { method, headers, body, ..HttpCall::get(address, path.to_owned(), timeout) }
    }

    /// Gets `path` from the first daemon that answers, in the configured order.
    ///
    /// # Errors
    ///
    /// No daemon answers, or the first that does rejects the request.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        for address in &self.config.daemons {
            if let Ok(reply) = smol::block_on(self.call(Method::Get, address, path, Vec::new()).send()) {
                return decode_reply(&reply);
            }
        }
        Err(CommandError::Unreachable("no daemon answers; check the addresses".to_owned()))
    }

    /// Gets `path` from every daemon, with its address; `None` where that fails.
    pub fn get_from_all<T: DeserializeOwned>(&self, path: &str) -> Vec<(String, Option<T>)> {
        let read = |address: &String| {
            let reply = smol::block_on(self.call(Method::Get, address, path, Vec::new()).send());
            (address.clone(), reply.ok().and_then(|reply| decode_reply(&reply).ok()))
        };
        self.config.daemons.iter().map(read).collect()
    }

    /// The status of every daemon, with its address; `None` where it cannot be read.
    pub fn statuses(&self) -> Vec<(String, Option<DaemonStatus>)> {
        self.get_from_all("/admin/status")
    }

    /// Submits a questionnaire, based on revision `base`, to the first daemon that accepts a
    /// connection.
    ///
    /// Once a connection was made, no other daemon is tried, because the request may have taken
    /// effect.
    ///
    /// # Errors
    ///
    /// No daemon answers, `base` is not the revision in force, or the questionnaire is rejected.
    pub fn apply(&self, team: &str, base: u64, questionnaire: Vec<u8>) -> Result<TeamConfig, ApplyError> {
        let path = format!("/admin/teams/{team}?base={base}");
        for address in &self.config.daemons {
            let call = self.call(Method::Put, address, &path, questionnaire.clone());
            match smol::block_on(call.send()) {
                Ok(reply) if reply.status == 409 => return Err(ApplyError::conflict(&reply)),
                Ok(reply) => return decode_reply(&reply).map_err(ApplyError::Other),
                Err(teaselcroft_router::http_client::HttpError::Refused) => {}
                Err(error) => {
                    let reason = format!(
                        "{error}; the questionnaire may have been accepted: check with `team show` before a retry"
                    );
                    return Err(ApplyError::Other(CommandError::Unreachable(reason)));
                }
            }
        }
        let reason = "no daemon answers; check the addresses".to_owned();
        Err(ApplyError::Other(CommandError::Unreachable(reason)))
    }
}

/// The failure to put a questionnaire in force.
#[derive(Debug)]
pub enum ApplyError {
    /// The revision in force is not the base of the questionnaire: the daemon's message, and the
    /// configuration in force if the daemon sent it.
    Conflict(String, Option<Box<TeamConfig>>),
    /// Any other failure.
    Other(CommandError),
}

impl ApplyError {
    fn conflict(reply: &HttpReply) -> ApplyError {
        match serde_json::from_slice::<AdminError>(&reply.body) {
            Ok(error) => ApplyError::Conflict(error.message, error.current.map(Box::new)),
            Err(_) => ApplyError::Conflict("another revision is in force".to_owned(), None),
        }
    }
}

/// Parses the body of a successful reply; other replies become errors with the daemon's message.
///
/// Status 503 and 504 count as unreachable.
fn decode_reply<T: DeserializeOwned>(reply: &HttpReply) -> Result<T, CommandError> {
    if reply.status == 200 {
        return serde_json::from_slice(&reply.body)
            .map_err(|error| CommandError::Refused(format!("cannot parse the daemon's response: {error}")));
    }
    let error: Option<AdminError> = serde_json::from_slice(&reply.body).ok();
    let reason =
        error.map_or_else(|| format!("the daemon responded with status {}", reply.status), |error| error.message);
    if reply.status == 503 || reply.status == 504 {
        return Err(CommandError::Unreachable(reason));
    }
    Err(CommandError::Refused(reason))
}
