//! Finds the line of a field in a settings file by its indentation.

/// Returns the line of a dotted field path such as `members.1.address`, from 1.
///
/// If a part of the path cannot be found, because the field is missing or inside a
/// flow mapping in braces, returns the line of its closest parent that was
/// found, or `None` if there is none.
pub(super) fn line_of(text: &str, field: &str) -> Option<usize> {
    let mut block = content_lines(text);
    let mut found = None;
    for part in field.split('.') {
        let next = match part.parse() {
            Ok(index) => sequence_element(&block, index),
            Err(_) => mapping_value(&block, part),
        };
        let Some((number, value)) = next else {
            break;
        };
        found = Some(number);
        block = value;
    }
    found
}

/// A line that is neither empty nor a comment.
#[derive(Clone, Debug)]
struct Line {
    number: usize,
    text: String,
}

impl Line {
    fn indent(&self) -> usize {
        self.text.len() - self.text.trim_start().len()
    }

    /// Returns whether the line begins an element of a sequence.
    fn is_element(&self) -> bool {
        let content = self.text.trim_start();
        content == "-" || content.starts_with("- ")
    }

    fn key(&self) -> Option<&str> {
        let (key, _) = self.text.split_once(':')?;
        Some(key.trim())
    }
}

fn content_lines(text: &str) -> Vec<Line> {
    let lines = text.lines().enumerate().map(|(index, text)| Line {
        number: index + 1,
        text: text.trim_end().to_owned(),
    });
    lines
        .filter(|line| !line.text.is_empty() && !line.text.trim_start().starts_with('#'))
        .collect()
}

/// Returns the line of a field in a mapping, and the lines of its value.
fn mapping_value(block: &[Line], name: &str) -> Option<(usize, Vec<Line>)> {
    let indent = block.first()?.indent();
    let is_named = |line: &Line| line.indent() == indent && line.key() == Some(name);
    let position = block.iter().position(is_named)?;
    // YAML allows the elements of a sequence at the indentation of its field.
    let is_inside =
        |line: &&Line| line.indent() > indent || (line.indent() == indent && line.is_element());
    let value = block[position + 1..].iter().take_while(is_inside);
    Some((block[position].number, value.cloned().collect()))
}

/// Returns the first line of an element of a sequence, and the lines of its value.
fn sequence_element(block: &[Line], index: usize) -> Option<(usize, Vec<Line>)> {
    let indent = block.first()?.indent();
    let starts = block
        .iter()
        .enumerate()
        .filter(|(_, line)| line.indent() == indent && line.is_element());
    let starts: Vec<usize> = starts.map(|(position, _)| position).collect();
    let start = *starts.get(index)?;
    let end = starts.get(index + 1).copied().unwrap_or(block.len());
    let mut value = block[start..end].to_vec();
    // The dash counts as indentation of the element's first field.
    value[0].text = value[0].text.replacen('-', " ", 1);
    Some((block[start].number, value))
}
