//! The counts of one run of a daemon, as daemons send them to each other and the store keeps them.

use std::collections::{BTreeMap, BTreeSet};

use teaselcroft_parts::{CustomerCounts, CustomerName, Incarnation, Member, UnixMs, UsageStatement, UsageWindow};

use super::UsageNewsError;

/// The most customers in one message. With names of the greatest length and four windows it has 10 KB, less than the
/// largest datagram that is received whole.
const MAX_CUSTOMERS: usize = 64;

/// The most windows that a message may span; a checkpoint has at most 13.
const MAX_WINDOWS: usize = 64;

/// The counts of one run of a daemon.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UsageNews {
    /// The daemon's name.
    #[prost(string, tag = "1")]
    pub daemon: String,
    /// Distinguishes its runs.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The Unix time in milliseconds up to which the counts are complete.
    #[prost(uint64, tag = "3")]
    pub as_of: u64,
    /// The first window.
    #[prost(uint64, tag = "4")]
    pub window: u64,
    /// The customers.
    #[prost(string, repeated, tag = "5")]
    pub customers: Vec<String>,
    /// For the first window and each following one the count of each customer.
    #[prost(uint64, repeated, tag = "6")]
    pub counts: Vec<u64>,
}

impl UsageNews {
    /// The messages that state these counts; more than one only with more than 64 customers.
    pub fn split(statement: &UsageStatement) -> Vec<UsageNews> {
        let Some((first, last)) = statement.windows.keys().next().zip(statement.windows.keys().next_back()) else {
            return Vec::new();
        };
        let names: BTreeSet<&CustomerName> = statement.windows.values().flat_map(BTreeMap::keys).collect();
        let names: Vec<&CustomerName> = names.into_iter().collect();
        let news = |names: &[&CustomerName]| {
            let count = |window: u64, name| {
                let counts = statement.windows.get(&UsageWindow(window));
                counts.and_then(|counts| counts.get(name)).copied().unwrap_or_default()
            };
            UsageNews {
                daemon: statement.member.name.to_string(),
                incarnation: statement.member.incarnation.0,
                as_of: statement.as_of.0,
                window: first.0,
                customers: names.iter().map(ToString::to_string).collect(),
                counts: (first.0..=last.0)
                    .flat_map(|window| names.iter().map(move |name| count(window, *name)))
                    .collect(),
            }
        };
        names.chunks(MAX_CUSTOMERS).map(news).collect()
    }
}

impl TryFrom<UsageNews> for UsageStatement {
    type Error = UsageNewsError;

    fn try_from(news: UsageNews) -> Result<UsageStatement, UsageNewsError> {
        let width = news.customers.len();
        let is_past_end = news.window.checked_add(MAX_WINDOWS as u64).is_none();
        if is_past_end
            || width == 0
            || !news.counts.len().is_multiple_of(width)
            || news.counts.len() / width > MAX_WINDOWS
        {
            return Err(UsageNewsError::Rows);
        }
        let customers = news.customers.into_iter().map(CustomerName::try_from).collect::<Result<Vec<_>, _>>()?;
        let row = |(window, counts): (u64, &[u64])| {
            let counts = customers.iter().zip(counts).filter(|(_, count)| **count > 0);
            let counts: CustomerCounts = counts.map(|(customer, count)| (customer.clone(), *count)).collect();
            (UsageWindow(window), counts)
        };
        let windows = (news.window..).zip(news.counts.chunks(width)).map(row);
        Ok(UsageStatement {
            member: Member { name: news.daemon.parse()?, incarnation: Incarnation(news.incarnation) },
            as_of: UnixMs(news.as_of),
            windows: windows.filter(|(_, counts)| !counts.is_empty()).collect(),
        })
    }
}
