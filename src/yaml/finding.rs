//! Faults of a document, with their location.

use std::fmt;

use crate::common;
use crate::error::Code;
use crate::error::Error;
use crate::yaml::tree::Place;

common! { value
/// One fault of a document and its location.
#[derive(serde::Serialize)]
pub struct Finding {
    /// File or table name.
    pub file: String,
    /// Line, from 1.
    pub line: u64,
    /// Column, from 1.
    pub column: u64,
    /// Path of the field, such as `pools.chat.digest`.
    pub field: String,
    /// Result code.
    #[serde(serialize_with = "code_number")]
    pub code: Code,
    /// What the schema or check expects there.
    pub expected: String,
    /// What the document has there.
    pub found: String,
}
}

fn code_number<S: serde::Serializer>(code: &Code, out: S) -> Result<S::Ok, S::Error> {
    out.serialize_u32(code.number())
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        write!(f, "{} {}: ", self.code, self.field)?;
        write!(f, "expected {}, found {}", self.expected, self.found)
    }
}

impl From<&Finding> for Error {
    fn from(finding: &Finding) -> Error {
        let Finding {
            file,
            line,
            field,
            expected,
            found,
            ..
        } = finding;
        let detail = format!("{file}:{line}: {field}: expected {expected}, found {found}");
        Error::new(finding.code, detail)
    }
}

/// Findings of one file, in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// File or table name, copied to each finding.
    pub file: String,
    /// Findings so far.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Creates an empty list of findings for `file`.
    pub fn new(file: &str) -> Findings {
        Findings {
            file: file.to_string(),
            list: Vec::new(),
        }
    }

    /// Adds a fault of the field at path `field`.
    pub fn add(
        &mut self,
        place: Place,
        field: &str,
        code: Code,
        expected: impl Into<String>,
        found: impl Into<String>,
    ) {
        self.list.push(Finding {
            file: self.file.clone(),
            line: place.line,
            column: place.column,
            field: field.to_string(),
            code,
            expected: expected.into(),
            found: found.into(),
        });
    }

    /// Returns the findings in the order of their location.
    pub fn sorted(mut self) -> Vec<Finding> {
        self.list.sort_by_key(|f| (f.line, f.column));
        self.list
    }
}
