//! Reads the JSON that daemons send to the store.

/// A JSON value; what the stand-ins don't need is `Other`.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Object(Vec<(String, Value)>),
    Array(Vec<Value>),
    Text(String),
    Number(f64),
    Other,
}

static OTHER: Value = Value::Other;

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        let Value::Object(fields) = self else { return &OTHER };
        fields.iter().find(|(key, _)| key == name).map_or(&OTHER, |(_, value)| value)
    }

    pub fn rows(&self) -> &[Value] {
        if let Value::Array(rows) = self { rows } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Value::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Value::Number(number) = self { *number as u64 } else { 0 }
    }
}

/// Parses JSON; malformed text yields `Other` from where it is malformed.
pub fn parse(text: &str) -> Value {
    Reader { text: text.as_bytes(), at: 0 }.value()
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> u8 {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied().unwrap_or(0)
    }

    fn value(&mut self) -> Value {
        match self.peek() {
            b'{' => {
                let mut fields = Vec::new();
                self.at += 1;
                while self.peek() == b'"' {
                    let key = self.string();
                    if self.peek() != b':' {
                        break;
                    }
                    self.at += 1;
                    fields.push((key, self.value()));
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Value::Object(fields)
            }
            b'[' => {
                let mut rows = Vec::new();
                self.at += 1;
                while !matches!(self.peek(), b']' | 0) {
                    rows.push(self.value());
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Value::Array(rows)
            }
            b'"' => Value::Text(self.string()),
            _ => {
                let begin = self.at;
                while self.text.get(self.at).is_some_and(|byte| !b",]} \n".contains(byte)) {
                    self.at += 1;
                }
                let word = std::str::from_utf8(&self.text[begin..self.at]).unwrap_or("");
                self.at += usize::from(self.at == begin);
                word.parse().map_or(Value::Other, Value::Number)
            }
        }
    }

    /// A string; keys and values of the store's calls have no escapes but `\"` and `\\`.
    fn string(&mut self) -> String {
        self.at += 1;
        let mut bytes = Vec::new();
        while let Some(byte) = self.text.get(self.at).copied().filter(|byte| *byte != b'"') {
            self.at += usize::from(byte == b'\\');
            bytes.extend(self.text.get(self.at));
            self.at += 1;
        }
        self.at += 1;
        String::from_utf8_lossy(&bytes).into_owned()
    }
}
