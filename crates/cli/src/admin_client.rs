//! Talks to the daemons' operators' API.

use http_types::Method;
use serde::de::DeserializeOwned;
use teaselcroft_parts::Millis;
use teaselcroft_policy::TeamConfig;
use teaselcroft_router::http_client::{HttpCall, HttpReply};
use teaselcroft_router::{AdminError, DaemonStatus};

use crate::command_error::CommandError;
use crate::config::Config;

const READ_TIMEOUT: Millis = Millis(5_000);
const APPLY_TIMEOUT: Millis = Millis(30_000);

/// A client of the operators' API.
#[derive(Debug, Clone)]
pub struct AdminClient {
    config: Config,
}

impl AdminClient {
    /// A client of the daemons in `config`.
    pub const fn new(config: Config) -> AdminClient {
        AdminClient { config }
    }

    fn call(&self, method: Method, address: &str, path: &str, body: Vec<u8>) -> HttpCall {
        let headers = vec![("authorization", format!("Bearer {}", self.config.key))];
        let timeout = if method == Method::Get { READ_TIMEOUT } else { APPLY_TIMEOUT };
        HttpCall { method, headers, body, ..HttpCall::get(address, path.to_owned(), timeout) }
    }

    /// Reads `path` from the first daemon that answers.
    ///
    /// # Errors
    ///
    /// No daemon answers, or one refuses.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        for address in &self.config.daemons {
            if let Ok(reply) = smol::block_on(self.call(Method::Get, address, path, Vec::new()).send()) {
                return decode(&reply);
            }
        }
        Err(CommandError::Unreachable("no daemon answers; check the addresses".to_owned()))
    }

    /// Reads `path` from every daemon; those that do not answer are `None`.
    pub fn get_each<T: DeserializeOwned>(&self, path: &str) -> Vec<(String, Option<T>)> {
        let read = |address: &String| {
            let reply = smol::block_on(self.call(Method::Get, address, path, Vec::new()).send());
            (address.clone(), reply.ok().and_then(|reply| decode(&reply).ok()))
        };
        self.config.daemons.iter().map(read).collect()
    }

    /// The state of every daemon.
    pub fn statuses(&self) -> Vec<(String, Option<DaemonStatus>)> {
        self.get_each("/admin/status")
    }

    /// Submits a questionnaire at the first daemon that answers.
    ///
    /// # Errors
    ///
    /// No daemon answers, another revision is in force, or the questionnaire is refused.
    pub fn apply(&self, team: &str, base: u64, questionnaire: Vec<u8>) -> Result<TeamConfig, ApplyError> {
        let path = format!("/admin/teams/{team}?base={base}");
        for address in &self.config.daemons {
            let call = self.call(Method::Put, address, &path, questionnaire.clone());
            match smol::block_on(call.send()) {
                Ok(reply) if reply.status == 409 => return Err(ApplyError::conflict(&reply)),
                Ok(reply) => return decode(&reply).map_err(ApplyError::Other),
                Err(teaselcroft_router::http_client::HttpError::Refused) => {}
                Err(error) => {
                    let reason = format!("{error}; the questionnaire may have been accepted: show the team first");
                    return Err(ApplyError::Other(CommandError::Unreachable(reason)));
                }
            }
        }
        let reason = "no daemon answers; check the addresses".to_owned();
        Err(ApplyError::Other(CommandError::Unreachable(reason)))
    }
}

/// Why a questionnaire was not put in force.
#[derive(Debug)]
pub enum ApplyError {
    /// Another revision is in force.
    Conflict(String, Option<Box<TeamConfig>>),
    /// Something else.
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

fn decode<T: DeserializeOwned>(reply: &HttpReply) -> Result<T, CommandError> {
    if reply.status == 200 {
        return serde_json::from_slice(&reply.body)
            .map_err(|error| CommandError::Refused(format!("the daemon's answer cannot be read: {error}")));
    }
    let error: Option<AdminError> = serde_json::from_slice(&reply.body).ok();
    let reason = error.map_or_else(|| format!("the daemon answered {}", reply.status), |error| error.message);
    if reply.status == 503 || reply.status == 504 {
        return Err(CommandError::Unreachable(reason));
    }
    Err(CommandError::Refused(reason))
}
