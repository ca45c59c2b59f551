//! Numbered log events, declared in one place with the texts of the event catalogue.

/// Declares an `Event` enum from `Name = number;` rows; the doc comment of a row is its text in the event catalogue.
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
            /// Every event, in the order of declaration.
            pub const ALL: &[Event] = &[$(Event::$name),*];

            /// The event's name, which is the message of its log line.
            pub const fn name(self) -> &'static str {
                match self { $(Event::$name => stringify!($name),)* }
            }

            /// The event's text in the catalogue, from its doc comment.
            pub const fn text(self) -> &'static str {
                match self { $(Event::$name => concat!($($doc),*),)* }
            }

            /// The event's number, which its log line carries under `event`.
            pub const fn number(self) -> u32 {
                self as u32
            }
        }
    };
}

/// Logs a numbered event at level info, with its details as key-value pairs.
#[macro_export]
macro_rules! log_event {
    ($event:expr, $($key:ident = $value:expr),+ $(,)?) => {{
        let event = $event;
        log::info!(event = event.number(), $($key:% = $value),+; "{}", event.name());
    }};
}
