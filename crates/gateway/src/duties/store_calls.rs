//! Makes the store calls that a duty holder or candidate asks for.

use async_io::Timer;
use futures_lite::future::or;
use teaselcroft_parts::{DutyAction, DutyAnswer, DutyTimes};

use super::{HISTORY_KEY, HOLDER_KEY};
use crate::store::{Item, LeaseId, Revision, Store, StoreError, Transaction, Write};

/// Makes one store call, and gives it up early enough that a renewal can be repeated while the lease is valid.
pub async fn perform<S: Store>(store: &S, action: DutyAction, times: DutyTimes) -> DutyAnswer {
    let timeout = async {
        Timer::after(times.answer().into()).await;
        Err(StoreError::Silent)
    };
    or(call(store, action, times), timeout).await.unwrap_or_else(answer_to)
}

async fn call<S: Store>(store: &S, action: DutyAction, times: DutyTimes) -> Result<DutyAnswer, StoreError> {
    let done = |()| DutyAnswer::Done;
    match action {
        DutyAction::ReadHolder => store.get(HOLDER_KEY).await.map(found),
        DutyAction::ReadHistory => store.get(HISTORY_KEY).await.map(found),
        DutyAction::Grant => store.grant(times.lease).await.map(|lease| DutyAnswer::Granted(lease.0)),
        DutyAction::Renew(lease) => store.renew(LeaseId(lease)).await.map(done),
        DutyAction::Revoke(lease) => store.revoke(LeaseId(lease)).await.map(done),
        DutyAction::Claim(claim) => {
            let holder = write(HOLDER_KEY, claim.holder_value(), Some(LeaseId(claim.lease)));
            let history = write(HISTORY_KEY, claim.history.to_string(), None);
            let conditions = vec![(HOLDER_KEY.to_owned(), None), (HISTORY_KEY.to_owned(), claim.read_at.map(Revision))];
            let transaction = Transaction { conditions, writes: vec![holder, history], removals: Vec::new() };
            store.commit(transaction).await.map(|_| DutyAnswer::Done)
        }
        DutyAction::Release(token, history) => {
            let transaction = Transaction {
                conditions: vec![(HOLDER_KEY.to_owned(), Some(Revision(token.0)))],
                writes: vec![write(HISTORY_KEY, history.to_string(), None)],
                removals: vec![HOLDER_KEY.to_owned()],
            };
            store.commit(transaction).await.map(|_| DutyAnswer::Done)
        }
    }
}

fn found(item: Item) -> DutyAnswer {
    DutyAnswer::Found { value: item.value, revision: item.revision.0, created: item.created.0 }
}

fn write(key: &str, value: String, lease: Option<LeaseId>) -> Write {
    Write { key: key.to_owned(), value: value.into_bytes(), lease }
}

fn answer_to(error: StoreError) -> DutyAnswer {
    match error {
        StoreError::Missing => DutyAnswer::Missing,
        StoreError::Conflict => DutyAnswer::Conflict,
        StoreError::Busy => DutyAnswer::Rejected,
        // A transaction whose answer cannot be read may have been applied.
        StoreError::Silent | StoreError::Compacted | StoreError::Unreadable => DutyAnswer::Silent,
    }
}
