//! Numbered result codes, and whether the request ran in each case.

use std::fmt;

/// What a result code says about execution, so that callers know whether a retry is safe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ran {
    /// It ran, and its answer is whole.
    Ran,
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

impl Ran {
    /// The name sent to callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Ran::Ran => "ran",
            Ran::NotRun => "not-run",
            Ran::MayHaveRun => "may-have-run",
        }
    }
}

macro_rules! result_codes {
    ($($(#[doc = $doc:literal])* $name:ident = $code:literal, $status:literal, $ran:ident, $text:literal;)*) => {
        /// The result of a request, as sent to its caller by number and name.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[repr(u32)]
        pub enum ResultCode {
            $($(#[doc = $doc])* $name = $code,)*
        }

        impl ResultCode {
            /// Every code.
            pub const ALL: &[ResultCode] = &[$(ResultCode::$name),*];

            /// The HTTP status sent with this code.
            pub const fn status(self) -> u16 {
                match self { $(ResultCode::$name => $status,)* }
            }

            /// Whether a request with this code ran.
            pub const fn ran(self) -> Ran {
                match self { $(ResultCode::$name => Ran::$ran,)* }
            }

            /// What happened and what the caller can do next.
            pub const fn text(self) -> &'static str {
                match self { $(ResultCode::$name => $text,)* }
            }

            /// The name sent to callers.
            pub const fn name(self) -> &'static str {
                match self { $(ResultCode::$name => stringify!($name),)* }
            }
        }
    };
}

result_codes! {
    /// Success.
    Done = 0, 200, Ran, "the request ran and its answer is whole";
    /// The body or a header cannot be read.
    Malformed = 1001, 400, NotRun, "the request cannot be read; correct it before sending it again";
    /// No customer has this bearer key.
    BadKey = 1002, 401, NotRun, "no customer has this bearer key; check the key";
    /// No accepted questionnaire has this class.
    UnknownClass = 1003, 404, NotRun, "no questionnaire in force has this class; check its name";
    /// The body is over the limit.
    BodyTooLarge = 1004, 413, NotRun, "the body is over the limit; send a shorter one";
    /// The body did not arrive in time.
    SlowSender = 1005, 408, NotRun, "the body did not arrive in time; send it again";
    /// A call that must not repeat has no idempotency key.
    KeyMissing = 1006, 400, NotRun, "this class must not repeat; send an Idempotency-Key";
    /// The path or method is unknown.
    UnknownPath = 1007, 404, NotRun, "no such path; see the API page";
    /// The class's target cannot be met now.
    Overloaded = 2001, 503, NotRun, "the target cannot be met now; send the request again after the stated time";
    /// The class's patience ran out while the request waited.
    PatienceOver = 2002, 504, NotRun, "no runner was free before the patience ran out; send the request again later";
    /// The daemon is about to stop.
    Stopping = 2003, 503, NotRun, "this daemon is stopping; ask for addresses again";
    /// The request crashed its runners.
    Condemned = 2004, 422, MayHaveRun, "this request crashed each runner that ran it; do not send it again";
    /// The call's executor is not known or not confirmed.
    NoExecutor = 2005, 503, MayHaveRun, "the executor of this call is not confirmed; send it again with the same key";
    /// No configuration is in force yet.
    NoConfiguration = 2006, 503, NotRun, "no configuration is in force yet; send the request again shortly";
    /// The upstream refused the call without running it.
    UpstreamRefused = 2007, 502, NotRun, "the upstream refused the call without running it; send it again later";
    /// Another daemon executes the call's slot; daemons retry this among themselves.
    SlotMoved = 2008, 503, MayHaveRun, "another daemon executes this call now; send it again with the same key";
    /// An earlier executor claimed the call.
    ClaimedBefore = 3001, 409, MayHaveRun, "this call was begun before and its outcome is not known; read it back before sending it anew";
    /// The upstream's reply was lost.
    ReplyLost = 3002, 502, MayHaveRun, "the upstream's reply was lost; read the call back before sending it anew";
    /// An earlier executor may have run calls without a trace.
    JournalGap = 3003, 409, MayHaveRun, "calls of this slot may have run unrecorded; read the call back before sending it anew";
    /// The stream broke and could not be resumed in time.
    StreamBroken = 3004, 502, MayHaveRun, "the answer broke off and could not be resumed in time; send the request again";
}

impl ResultCode {
    /// The code's number.
    pub const fn number(self) -> u32 {
        self as u32
    }

    /// The code with this number.
    pub fn from_number(number: u32) -> Option<ResultCode> {
        ResultCode::ALL.iter().copied().find(|code| code.number() == number)
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}
