//! Numbered log events, declared once with their texts.

/// Declares an `Event` enum whose variants carry a number and whose documentation is the catalogue's text.
#[macro_export]
macro_rules! numbered_events {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal;)*) => {
        /// A kind of log event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        #[repr(u32)]
        pub enum Event {
            $($(#[doc = $doc])* $name = $number,)*
        }

        impl Event {
            /// Every event.
            pub const ALL: &[Event] = &[$(Event::$name),*];

            /// The event's name.
            pub const fn name(self) -> &'static str {
                match self { $(Event::$name => stringify!($name),)* }
            }

            /// What the event records.
            pub const fn text(self) -> &'static str {
                match self { $(Event::$name => concat!($($doc),*),)* }
            }

            /// The event's number.
            pub const fn number(self) -> u32 {
                self as u32
            }
        }
    };
}

/// Logs a numbered event with its grounds as key-value pairs.
#[macro_export]
macro_rules! log_event {
    ($event:expr, $($key:ident = $value:expr),+ $(,)?) => {{
        let event = $event;
        log::info!(event = event.number(), $($key:% = $value),+; "{}", event.name());
    }};
}
