//! What decisions need of the lines of a chunk.

use serde::{Deserialize, Serialize};

use bw_wire::command::work;

/// The numbers and paths of the lines of a chunk, in line order.
///
/// Lines of a chunk mostly follow each other and call one path, so that runs of
/// such lines take a few bytes a chunk instead of a few bytes a line.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Rows {
    runs: Vec<Run>,
    /// The paths that lines call.
    urls: Vec<String>,
}

/// Lines with consecutive numbers and the same path.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Run {
    first: u32,
    count: u32,
    /// The position of the path, or nothing for lines that cannot be read.
    url: Option<u32>,
}

impl Rows {
    pub(super) fn of(lines: &[work::Line]) -> Rows {
        let mut rows = Rows::default();
        for line in lines {
            let url = match &line.content {
                work::Content::Request { url, .. } => Some(rows.add_url(url)),
                work::Content::Bad { .. } => None,
            };
            match rows.runs.last_mut() {
                Some(run) if run.url == url && run.first + run.count == line.number => {
                    run.count += 1;
                }
                _ => rows.runs.push(Run {
                    first: line.number,
                    count: 1,
                    url,
                }),
            }
        }
        rows.runs.shrink_to_fit();
        rows
    }

    pub(super) fn len(&self) -> u32 {
        self.runs.iter().map(|run| run.count).sum()
    }

    /// Returns the first and the last line number.
    pub(super) fn bounds(&self) -> Option<(u32, u32)> {
        let last = self.runs.last()?;
        Some((self.runs.first()?.first, last.first + (last.count - 1)))
    }

    /// Returns the position of a line by its number.
    pub(super) fn position(&self, number: u32) -> Option<u32> {
        let mut before = 0;
        for run in &self.runs {
            let offset = number.checked_sub(run.first)?;
            if offset < run.count {
                return Some(before + offset);
            }
            before += run.count;
        }
        None
    }

    /// Returns the positions of the lines that cannot run against an endpoint.
    pub(super) fn refused(&self, endpoint: &str) -> impl Iterator<Item = u32> {
        let mut before = 0;
        let positions = self.runs.iter().map(move |run| {
            let first = before;
            before += run.count;
            (run, first..before)
        });
        let refused = positions.filter(move |(run, _)| {
            let url = run.url.and_then(|url| self.urls.get(url as usize));
            url.is_none_or(|url| url != endpoint)
        });
        refused.flat_map(|(_, positions)| positions)
    }

    fn add_url(&mut self, url: &str) -> u32 {
        let known = self.urls.iter().position(|known| known == url);
        let position = known.unwrap_or_else(|| {
            self.urls.push(url.to_owned());
            self.urls.len() - 1
        });
        position as u32
    }
}
