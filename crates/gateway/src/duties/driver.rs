//! The task that claims, renews and gives back the duties.

use std::sync::Arc;

use async_io::Timer;
use futures_lite::future::or;
use teaselcroft_parts::{DutyAction, DutyAnswer, DutyView, FencingToken, Millis};

use super::store_calls::perform;
use super::{CANDIDATES, DutyAccess, boot_time};
use crate::control_api::ControlApi;
use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::heartbeat::Phase;
use crate::peers::announce_duty;
use crate::store::{Revision, Store};
use crate::{Event, log_event};

/// The time between two looks of the holder and of the candidates at what is due.
const STEP_INTERVAL: Millis = Millis(50);

/// The time between two looks of all other daemons, which only check whether they became candidates.
const IDLE_INTERVAL: Millis = Millis(500);

/// How long a daemon is ready before it counts as a candidate. A daemon that has not heard its peers yet takes itself for
/// the first one; all do after a power loss, and the store would get the claims of all.
const FIRST_DELAY: Millis = Millis(1_000);

/// What the driver has told others.
#[derive(Debug, Default)]
struct Told {
    claimed: Option<FencingToken>,
    acting: Option<FencingToken>,
    announced: Millis,
}

/// Claims the duties when it is this daemon's turn, and keeps them; returns when a planned stop has given them back.
pub async fn hold_duties<D: Dialect, S: Store, C: ControlApi>(gateway: Arc<Gateway<D>>, access: Arc<DutyAccess<C, S>>) {
    let mut told = Told::default();
    let mut ready = None;
    loop {
        let news = gateway.duty_news();
        let now = boot_time();
        if gateway.is_stopping() {
            access.holder().leave(now);
        }
        tell(&gateway, &access, &mut told, now).await;
        let view = view(&gateway, &access, &mut ready);
        let action = access.holder().step(now, view);
        let Some(action) = action else {
            if access.holder().has_left() {
                return;
            }
            let is_busy = view.rank.is_some() || told.claimed.is_some();
            let pause = if is_busy { STEP_INTERVAL } else { IDLE_INTERVAL };
            let timer = async {
                Timer::after(pause.into()).await;
            };
            or(timer, news).await;
            continue;
        };
        let mut answer = perform(access.store(), action.clone(), access.times()).await;
        gateway.note_store_era(access.store().era(), "store");
        if matches!(action, DutyAction::Renew(_)) && is_key_lost(&access) {
            answer = DutyAnswer::Missing;
        }
        log_answer(&action, &answer);
        access.holder().answered(boot_time(), answer);
    }
}

/// Whether the store came back from an older copy since this daemon's key was written: its lease may be there, its key not.
fn is_key_lost<S: Store, C: ControlApi>(access: &DutyAccess<C, S>) -> bool {
    access.holder().key_token().is_some_and(|token| Some(Revision(token.0).era()) < access.store().era())
}

fn view<D: Dialect, S: Store, C: ControlApi>(
    gateway: &Gateway<D>,
    access: &DutyAccess<C, S>,
    ready: &mut Option<Millis>,
) -> DutyView {
    let now = gateway.now();
    let rank = {
        let roster = gateway.roster();
        if ready.is_none() && roster.is_listed() && roster.me.phase() == Phase::Ready {
            *ready = Some(now);
        }
        let candidates = roster.leader_candidates(now);
        candidates.iter().take(CANDIDATES).position(|member| member.name == roster.me.name)
    };
    let is_early = ready.is_none_or(|ready| now.since(ready) < FIRST_DELAY);
    // The holder tells the candidates every sixth of the lease time that it holds the duties.
    let window = Millis(access.times().lease.0 / 2);
    DutyView {
        rank: rank.filter(|_| !is_early).and_then(|rank| u32::try_from(rank).ok()),
        is_held: gateway.holders().is_held(window, now),
        has_settled: access.has_settled(),
    }
}

/// Tells the duties, the peers, the log and the metrics what changed.
async fn tell<D: Dialect, S: Store, C: ControlApi>(
    gateway: &Gateway<D>,
    access: &DutyAccess<C, S>,
    told: &mut Told,
    now: Millis,
) {
    let (claimed, acting) = {
        let holder = access.holder();
        (holder.claimed(now), holder.token(now))
    };
    if acting != told.acting {
        access.set_acting(acting);
        gateway.metrics.duty_held.set(i64::from(acting.is_some()));
        if let Some(token) = acting {
            gateway.metrics.duty_fence.set(i64::try_from(token.0).unwrap_or(i64::MAX));
            log_event!(Event::DutiesBegun, fence = token);
        } else if let Some(token) = told.acting {
            let reason = if gateway.is_stopping() { "planned stop" } else { "the lease is not certainly valid" };
            log_event!(Event::DutiesEnded, fence = token, reason = reason);
        }
        told.acting = acting;
    }
    if claimed != told.claimed {
        if let Some(token) = claimed {
            log_event!(Event::DutiesClaimed, fence = token, acts = acting.is_some());
        }
        gateway.holders().set_own(claimed);
        gateway.request_heartbeats();
        told.claimed = claimed;
    }
    if claimed.is_some() && now.since(told.announced) >= access.times().answer() {
        told.announced = now;
        announce_duty(gateway, access.times().answer()).await;
    }
}

fn log_answer(action: &DutyAction, answer: &DutyAnswer) {
    match (action, answer) {
        (DutyAction::Claim(claim), DutyAnswer::Silent) => {
            log_event!(Event::ClaimUnanswered, nonce = claim.nonce, lease = claim.lease);
        }
        (DutyAction::Renew(lease), DutyAnswer::Done) => log::trace!("renewed the lease {lease} of the duties"),
        (DutyAction::Renew(lease), _) => {
            log_event!(Event::RenewalFailed, lease = lease, reason = format!("{answer:?}"));
        }
        (DutyAction::Release(token, _), _) => {
            log_event!(Event::DutiesReleased, fence = token, outcome = format!("{answer:?}"));
        }
        _ => log::debug!("a store call for the duties: {action:?}, {answer:?}"),
    }
}
