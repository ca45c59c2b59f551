//! The numbered log events of the gateway; their comments are the rows of the event catalogue in `docs/`.

teaselcroft_parts::numbered_events! {
    /// The gateway started.
    GatewayStarted = 601;
    /// A planned stop began.
    GatewayStopping = 602;
    /// The planned stop ended.
    GatewayStopped = 603;
    /// The settings file was read again.
    SettingsReloaded = 604;
    /// Log lines were dropped because the reader was slow or the rate limit was reached.
    LinesDropped = 605;
    /// The store answers again.
    StoreRegained = 610;
    /// The store does not answer or rejects calls.
    StoreLost = 611;
    /// The store compacted revisions that a watch needs; its keys are listed again.
    HistoryLost = 612;
    /// An entry of the store cannot be decoded and is ignored.
    EntryIgnored = 613;
    /// This daemon registered itself in the store.
    MemberRegistered = 614;
    /// A list or watch failed after the stated wait; it is repeated.
    StoreCallFailed = 615;
    /// The store came back from an older copy, as it or a peer states by its era; all keys are listed again.
    StoreRestored = 616;
    /// A peer's heartbeats arrive, for the first time or again.
    PeerHeard = 620;
    /// A peer has sent no heartbeat for too long.
    PeerLost = 621;
    /// The placement leader did not answer; this daemon places requests itself for a while.
    PlacingAlone = 622;
    /// This daemon's role in reading the store changed: it reads for itself, reads for its zone, or listens to those that do.
    ReaderRole = 623;
    /// A daemon became known through the store or through a peer, before its own heartbeats arrive.
    PeerLearned = 624;
    /// A silent daemon that is not registered was removed.
    PeerForgotten = 625;
    /// No peer is heard; address answers still name this many peers that were ready last.
    AddressesUnheard = 626;
    /// A peer's known crashes were fetched, since they differed from the known ones.
    CrashesFetched = 627;
    /// The crashes of a suspect that is blocked were written to the store.
    CrashesStored = 628;
    /// A daemon that starts read the stored crashes; states how many suspects have some.
    CrashesRead = 629;
    /// A configuration became active.
    ConfigApplied = 630;
    /// A peer states a newer configuration than the active one; it is fetched unless the store delivers it first.
    ConfigAnnounced = 631;
    /// A peer did not send the configuration that it announced; another one is asked with its next announcement.
    ConfigNotFetched = 632;
    /// A runner registered, changed or registered again.
    RunnerSeen = 640;
    /// A runner is leaving or gone.
    RunnerLeft = 641;
    /// A runner is avoided for a while, because it refused or broke connections.
    RunnerAvoided = 642;
    /// The runners were listed for the first time.
    RunnersListed = 643;
    /// A runner's connection broke during a request; states the content's hash, how far the answer had come, whether the content is counted, the events received and the prompt's shared parts.
    RunnerBrokeOff = 644;
    /// A runner's bytes are no answer or do not end; its connection is closed.
    AnswerCutOff = 645;
    /// A runner states another limit on requests per second from all daemons together, or none any more.
    RunnerLimited = 646;
    /// A runner asked this daemon for a pause; no request goes there until it ends.
    RunnerHeld = 647;
    /// This daemon is about to lead placement and read from the runners what they have cached.
    CachesListed = 648;
    /// A request was sent to a runner.
    Placed = 650;
    /// An attempt failed: the runner was unreachable, declined, or gave no complete usable answer.
    AttemptFailed = 651;
    /// A broken stream resumes at another runner.
    StreamResumed = 652;
    /// A request was refused.
    Rejected = 653;
    /// A request ended.
    RequestEnded = 654;
    /// The caller disconnected before its answer was complete.
    CallerLeft = 655;
    /// A runner broke off after which the request that it ran is blocked, as it crashes runners.
    RequestBlocked = 656;
    /// A runner is silent for so long that another one would take over, but none is free or no retry is left; its answer is waited for.
    RunnerSilent = 657;
    /// An answer cleared a suspect of the crashes that were counted against it.
    CrashesCleared = 658;
    /// A task that served one connection or made one call panicked; its connection was closed.
    TaskPanicked = 660;
    /// A task without which the daemon cannot serve panicked, or a panic left shared state half changed; the process ends.
    ProcessAborted = 661;
    /// An entry of an earlier start of a known runner is ignored.
    EntryOutdated = 662;
    /// A peer sent the rate limits that it knows to this daemon, which starts.
    LimitsLearned = 663;
    /// A check found a configuration that this daemon's watch did not deliver; its watches begin anew on new connections.
    WatchSilent = 670;
    /// A runner registered a later start soon after a request that it has not answered, or whose answer may have been cut; the crash is counted against what the request carries.
    RunnerRestarted = 671;
    /// A runner's entry vanished while it owed an answer, and it fell silent by itself; the crash is counted against what the request carries.
    RunnerRemoved = 672;
    /// A runner's entry vanished while it owed an answer, but others may have fallen silent at the same moment; nothing is counted.
    RemovalDisregarded = 673;
    /// This daemon claimed the duties with this fencing token; it acts at once if the last holder released them, otherwise later.
    DutiesClaimed = 680;
    /// This daemon performs the duties from now on.
    DutiesBegun = 681;
    /// This daemon performs the duties no longer: its lease could not be renewed in time, or a planned stop began.
    DutiesEnded = 682;
    /// The lease of the duties could not be renewed; it is tried again unless the store no longer has the lease.
    RenewalFailed = 683;
    /// A claim of the duties got no answer; whether it was applied is read from the store.
    ClaimUnanswered = 684;
    /// A planned stop gave the duties back; the next holder may act at once.
    DutiesReleased = 685;
    /// A peer said for the first time that it holds the duties with this fencing token, or, with 0, that it no longer does.
    HolderChanged = 686;
    /// The duty holder took over the usage windows from the store; states the oldest one and how many are written down.
    UsageResumed = 690;
    /// The counts of a usage window were fixed; states the requests, the daemons and how long after its end.
    UsageSettled = 691;
    /// A daemon fell silent within a usage window and was not heard since; so many requests were added for it.
    UsageEstimated = 692;
    /// The report of a usage window was not written to the store; it is repeated.
    UsageNotRecorded = 693;
    /// The control API accepted the report of a usage window.
    UsageReported = 694;
    /// The control API did not accept the report of a usage window; states whether it is repeated.
    UsageNotReported = 695;
    /// A usage window was given up, as its report was not accepted for ten windows.
    UsageGivenUp = 696;
    /// The time on which the daemons agree moved against the monotonic clock; states from how many clocks it is taken.
    AgreedTimeMoved = 697;
    /// The store came back from an older copy; states how many reports of usage it had lost and has again.
    UsageRewritten = 698;
    /// A service's rule for ordering runners cannot be used; the service keeps the runners that it has.
    ScalingInvalid = 700;
    /// Runners are ordered; states the figures that decided it, in runners.
    RunnersOrdered = 701;
    /// An order was refused, as no such runners are available in the zone or for another reason, or got no answer; it is repeated.
    OrderRefused = 702;
    /// This daemon decides the orders for a service from now on, with a predecessor's record or without one.
    ScalingResumed = 703;
    /// Orders could not be stored and were not sent; they are stored and sent later.
    OrdersUnstored = 704;
    /// A zone lost most of its preemptible runners at once; replacements are ordered elsewhere.
    ZoneReclaimed = 705;
    /// A runner fails most of its requests while others of its service do not, and gets none for the stated time.
    RunnerEjected = 720;
}
