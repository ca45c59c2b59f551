//! The daemon's numbered log events; their doc comments are the texts in `docs/LOG-EVENTS.md`.

teaselcroft_parts::numbered_events! {
    /// The daemon started.
    DaemonStarted = 101;
    /// A planned stop began.
    DaemonStopping = 102;
    /// The planned stop ended.
    DaemonStopped = 103;
    /// A peer's heartbeats arrive.
    PeerLive = 110;
    /// A peer sent no heartbeat for too long, or refuses connections.
    PeerDead = 111;
    /// A request was sent to a dispatcher.
    DispatcherChosen = 201;
    /// A dispatcher granted a runner.
    Granted = 202;
    /// A request was refused.
    Refused = 203;
    /// A running request gave up its runner for an urgent one.
    Preempted = 204;
    /// A runner is much slower than the others and gets one request at a time.
    RunnerEjected = 205;
    /// A request crashed its runners and is refused everywhere from now on.
    Condemned = 206;
    /// A broken or silent stream is resumed elsewhere at its offset.
    Resumed = 207;
    /// A request ended.
    Ended = 208;
    /// This daemon executes a slot.
    SlotOwned = 301;
    /// This daemon released a slot.
    SlotReleased = 302;
    /// A call that must not repeat was sent to the executor of its slot.
    ExecutorChosen = 303;
    /// A call that must not repeat starts to run.
    CallRuns = 304;
    /// A call that must not repeat was not run here, because its slot moved.
    CallMoved = 305;
    /// A witness agreed that calls may run while the journal cannot be written.
    OutageConsent = 306;
    /// A configuration came into force.
    ConfigInForce = 401;
    /// A runner acknowledged a configuration.
    ConfigPushed = 402;
    /// A questionnaire was accepted.
    QuestionnaireAccepted = 403;
    /// A questionnaire was rejected because another was accepted first or its base revision is old.
    QuestionnaireConflict = 404;
    /// The key-value service does not answer.
    StoreUnreachable = 501;
    /// The key-value service answers again.
    StoreReachable = 502;
    /// The VM list cannot be read.
    VmListUnreachable = 503;
}
