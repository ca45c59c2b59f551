//! Numbered log events of the gateway.

teaselcroft_parts::numbered_events! {
    /// The gateway started.
    GatewayStarted = 601;
    /// A planned stop began.
    GatewayStopping = 602;
    /// The planned stop ended.
    GatewayStopped = 603;
    /// The settings file was read again.
    SettingsReloaded = 604;
    /// Log lines were dropped because the reader was slow or the bound was reached.
    LinesDropped = 605;
    /// The store answers again.
    StoreRegained = 610;
    /// The store does not answer or turns this VM away.
    StoreLost = 611;
    /// The store's history was lost; everything is listed again.
    HistoryLost = 612;
    /// An entry of the store cannot be used.
    EntryIgnored = 613;
    /// This daemon registered itself in the store.
    MemberRegistered = 614;
    /// A peer is heard.
    PeerHeard = 620;
    /// A peer was not heard for too long.
    PeerLost = 621;
    /// The placing daemon left questions unanswered; this one places by itself for a while.
    PlacingAlone = 622;
    /// This daemon's part in reading the store changed: it reads, reads for others, or listens to those that do.
    ReaderRole = 623;
    /// A configuration came into force.
    ConfigApplied = 630;
    /// A runner registered, changed or registered again.
    RunnerSeen = 640;
    /// A runner is leaving or gone.
    RunnerLeft = 641;
    /// A runner is avoided for a while, because it refused or broke connections.
    RunnerAvoided = 642;
    /// The runners were listed for the first time.
    RunnersListed = 643;
    /// A request was sent to a runner.
    Placed = 650;
    /// A runner's answer cannot be used, or it gave none.
    AttemptFailed = 651;
    /// A broken stream goes on at another runner.
    StreamResumed = 652;
    /// A request was refused.
    Rejected = 653;
    /// A request ended.
    RequestEnded = 654;
    /// The caller left before its answer was whole.
    CallerLeft = 655;
}
