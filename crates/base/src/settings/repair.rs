//! Finds all values of the wrong type in a settings document.
//!
//! Deserialization stops at the first one. To find the next one, the value is replaced
//! by a placeholder that its type accepts, until the whole document can be
//! deserialized.

use serde::de;
use serde_norway::Value;
use serde_path_to_error::Segment;

use super::Problem;

/// Maximum number of problems to find, so that a document that is not a settings file
/// at all does not flood the output.
const MAX_PROBLEMS: usize = 100;

/// The result of a search for problems.
pub(super) struct Found<T> {
    /// The settings with placeholders, if the whole document could be deserialized.
    pub(super) settings: Option<T>,
    /// Missing values and values of the wrong type.
    pub(super) problems: Vec<Problem>,
    /// Fields that the settings type does not have, if the whole document could be
    /// deserialized.
    pub(super) unknown: Vec<String>,
}

/// The path of a value in a document.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Path(Vec<Step>);

#[derive(Clone, Debug, Eq, PartialEq)]
enum Step {
    Field(String),
    Element(usize),
}

/// Why a document cannot be deserialized, and the path of the value at fault.
struct Failure {
    path: Path,
    reason: String,
}

/// Finds all values of the wrong type; `None` if the text is not YAML.
pub(super) fn find<T: de::DeserializeOwned>(text: &str) -> Option<Found<T>> {
    let mut document: Value = serde_norway::from_str(text).ok()?;
    let mut problems = Vec::new();
    while problems.len() < MAX_PROBLEMS {
        let failure = match deserialize(&document) {
            Ok((settings, unknown)) => {
                return Some(Found {
                    settings: Some(settings),
                    problems,
                    unknown,
                });
            }
            Err(failure) => failure,
        };
        problems.push(Problem {
            field: failure.path.dotted(),
            line: None,
            value: failure.path.get(&document).and_then(scalar_text),
            reason: failure.reason,
        });
        if !insert_placeholder::<T>(&mut document, &failure.path) {
            break;
        }
    }
    Some(Found {
        settings: None,
        problems,
        unknown: Vec::new(),
    })
}

/// Deserializes a document and lists the fields that its type does not have.
fn deserialize<T: de::DeserializeOwned>(document: &Value) -> Result<(T, Vec<String>), Failure> {
    let mut unknown = Vec::new();
    let mut track = serde_path_to_error::Track::new();
    let tracked = serde_path_to_error::Deserializer::new(document.clone(), &mut track);
    let result = serde_ignored::deserialize(tracked, |field| unknown.push(field.to_string()));
    result
        .map(|settings| (settings, unknown))
        .map_err(|error: serde_norway::Error| Failure::new(&track.path(), &error.to_string()))
}

/// Replaces the value at a path by a placeholder that its type accepts and returns
/// whether there is one.
fn insert_placeholder<T: de::DeserializeOwned>(document: &mut Value, path: &Path) -> bool {
    let placeholders = [
        Value::Null,
        Value::from(0),
        Value::from(false),
        Value::from(""),
        Value::Sequence(Vec::new()),
        Value::Mapping(serde_norway::Mapping::new()),
    ];
    placeholders.into_iter().any(|placeholder| {
        path.set(document, placeholder)
            && deserialize::<T>(document)
                .map_or_else(|failure| !failure.path.is_within(path), |_| true)
    })
}

/// Returns a scalar value as text.
fn scalar_text(value: &Value) -> Option<String> {
    match value {
        Value::Null => Some("null".to_owned()),
        Value::Bool(value) => Some(value.to_string()),
        Value::Number(value) => Some(value.to_string()),
        Value::String(value) => Some(value.clone()),
        Value::Sequence(_) | Value::Mapping(_) | Value::Tagged(_) => None,
    }
}

impl Failure {
    fn new(path: &serde_path_to_error::Path, reason: &str) -> Failure {
        let steps = path.iter().filter_map(|segment| match segment {
            Segment::Seq { index } => Some(Step::Element(*index)),
            Segment::Map { key } => Some(Step::Field(key.clone())),
            Segment::Enum { .. } | Segment::Unknown => None,
        });
        let mut path = Path(steps.collect());
        // The path of a missing field is that of the mapping that lacks it.
        let missing = reason.strip_prefix("missing field `");
        if let Some((field, _)) = missing.and_then(|rest| rest.split_once('`')) {
            path.0.push(Step::Field(field.to_owned()));
        }
        Failure {
            path,
            reason: reason.to_owned(),
        }
    }
}

impl Path {
    /// Returns the path with dots, or `file` for the whole document.
    fn dotted(&self) -> String {
        if self.0.is_empty() {
            return "file".to_owned();
        }
        let steps: Vec<String> = self.0.iter().map(Step::to_string).collect();
        steps.join(".")
    }

    fn is_within(&self, outer: &Path) -> bool {
        self.0.starts_with(&outer.0)
    }

    fn get<'a>(&self, document: &'a Value) -> Option<&'a Value> {
        let mut steps = self.0.iter();
        steps.try_fold(document, |value, step| match step {
            Step::Field(field) => value.get(field.as_str()),
            Step::Element(index) => value.get(*index),
        })
    }

    /// Sets the value at this path and returns whether its parent exists.
    fn set(&self, document: &mut Value, value: Value) -> bool {
        let Some((last, parents)) = self.0.split_last() else {
            return false;
        };
        let mut steps = parents.iter();
        let parent = steps.try_fold(document, |value, step| match step {
            Step::Field(field) => value.get_mut(field.as_str()),
            Step::Element(index) => value.get_mut(*index),
        });
        match (parent, last) {
            (Some(Value::Mapping(mapping)), Step::Field(field)) => {
                mapping.insert(Value::from(field.as_str()), value);
                true
            }
            (Some(Value::Sequence(elements)), Step::Element(index)) => {
                let element = elements.get_mut(*index);
                element.map(|element| *element = value).is_some()
            }
            _ => false,
        }
    }
}

impl std::fmt::Display for Step {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Step::Field(field) => formatter.write_str(field),
            Step::Element(index) => write!(formatter, "{index}"),
        }
    }
}
