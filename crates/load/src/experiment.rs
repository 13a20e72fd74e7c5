//! An experiment, described in INI.

use std::path::Path;
use std::time::Duration;

use anyhow::Result;
use jujube_program::settings::File;

use crate::arrivals::Pattern;

/// What is sent, when, and where to.
#[derive(Clone, Debug, Default)]
pub struct Experiment {
    /// A name for the report.
    pub name: String,
    /// Entries, as `http://HOST:PORT`; requests go to them in turn.
    pub entries: Vec<String>,
    /// The API key.
    pub key: String,
    /// The model.
    pub model: String,
    /// Words of each prompt.
    pub prompt_words: usize,
    /// Tokens of each answer.
    pub max_tokens: usize,
    /// How requests arrive.
    pub pattern: Pattern,
    /// Requests a second, on average.
    pub per_second: f64,
    /// How long requests arrive.
    pub length: Duration,
    /// The seed of the arrivals.
    pub seed: u64,
}

impl Experiment {
    /// Reads and checks an experiment.
    ///
    /// # Errors
    ///
    /// One line for each fault, with file, section, key and what was expected.
    pub fn read(path: &Path) -> Result<Self> {
        let mut file = File::open(path)?;
        let mut experiment = file.section("experiment", |section| {
            let entries = section.list("entries");
            Self {
                name: section.text("name", "a name", None),
                entries: entries.iter().map(ToString::to_string).collect(),
                key: section.text("key", "an API key", None),
                seed: section.number("seed", Some(1)),
                length: Duration::from_secs(section.number("seconds", Some(10))),
                ..Self::default()
            }
        });
        file.section("arrivals", |section| {
            let pattern = "`steady` or `bursts`";
            experiment.pattern = section.value("pattern", pattern, Some(Pattern::Steady));
            experiment.per_second = section.value("per-second", "a number", None);
        });
        file.section("request", |section| {
            experiment.model = section.text("model", "a model", None);
            experiment.prompt_words = section.number("prompt-words", Some(16)) as usize;
            experiment.max_tokens = section.number("max-tokens", Some(64)) as usize;
        });
        file.finish()?;
        Ok(experiment)
    }
}
