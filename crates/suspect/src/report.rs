//! Evidence in messages between processes.

use serde::{Deserialize, Serialize};

use super::{Crash, Evidence, run::Age};

/// What one process tells another about a suspect: its evidence with the ages of the runs
/// that crashes met, which stored evidence has not.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Report {
    evidence: Evidence,
    ages: Vec<(Crash, Age)>,
}

impl From<Evidence> for Report {
    fn from(evidence: Evidence) -> Report {
        let ages = evidence.ages.iter().map(|(crash, age)| (*crash, *age));
        Report {
            ages: ages.collect(),
            evidence: evidence.without_ages(),
        }
    }
}

impl From<Report> for Evidence {
    fn from(report: Report) -> Evidence {
        let mut evidence = report.evidence;
        evidence.ages = report.ages.into_iter().collect();
        evidence
    }
}
