//! Checked settings in INI.

use std::collections::BTreeSet;
use std::path::Path;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use ini::Ini;
use ini::Properties;
use jujube_core::section;
use jujube_core::section::Fault;
use jujube_core::section::Finding;
use jujube_core::section::Reader;
use jujube_core::section::Replacement;

/// The section in which a file tells about itself.
const ABOUT_FILE: &str = "file";

/// A settings file while it is read.
///
/// # Examples
///
/// ```
/// # use jujube_program::settings::File;
/// let mut file = File::parse("test.ini", "[entry]\nlisten = 127.0.0.1:0\n").unwrap();
/// let listen = file.section("entry", |section| section.text("listen", "an address", None));
/// assert_eq!(listen, "127.0.0.1:0");
/// file.finish().unwrap();
/// ```
pub struct File {
    name: String,
    ini: Ini,
    read: BTreeSet<String>,
    findings: Vec<Finding>,
}

impl File {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// It cannot be read, or is no INI.
    pub fn open(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).with_context(|| name.clone())?;
        Self::parse(&name, &text)
    }

    /// Reads a text; the name is for error messages.
    ///
    /// # Errors
    ///
    /// It is no INI, or was cut off before the section that its `[file] last_section` names.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let ini = section::load_plain(text).with_context(|| name.to_string())?;
        let mut file = Self {
            name: name.to_string(),
            ini,
            read: BTreeSet::new(),
            findings: Vec::new(),
        };
        file.check_end()?;
        file.check_sections();
        Ok(file)
    }

    /// Records sections that come twice: only one of them would be read.
    fn check_sections(&mut self) {
        let mut seen = BTreeSet::new();
        for name in self.ini.iter().filter_map(|(name, _)| name) {
            if seen.insert(name) {
                continue;
            }
            self.findings.push(Finding {
                fault: Fault::new(name, "-", "duplicate section"),
                replacement: None,
            });
        }
    }

    /// Checks that the file is whole, if it says by which section it ends.
    ///
    /// A number that is cut off is still a number, and what is missing may have a default.
    fn check_end(&mut self) -> Result<()> {
        const UNNAMED: &str = "";
        let about = self.ini.section(Some(ABOUT_FILE));
        let Some(last) = about.and_then(|about| about.get("last_section")) else {
            return Ok(());
        };
        if last == UNNAMED || self.ini.section(Some(last)).is_none() {
            bail!("{}: cut off before the section `{last}`", self.name);
        }
        self.read.extend([ABOUT_FILE.to_string(), last.to_string()]);
        Ok(())
    }

    /// Reads one section; a missing one reads as empty.
    pub fn section<T>(&mut self, name: &str, read: impl FnOnce(&mut Reader<'_>) -> T) -> T {
        let empty = Properties::new();
        let properties = self.ini.section(Some(name)).unwrap_or(&empty);
        let mut reader = Reader::new(name, properties);
        let value = read(&mut reader);
        let findings = reader.finish();
        self.read.insert(name.to_string());
        self.findings.extend(findings);
        value
    }

    /// Reports everything that is wrong, sections that nobody read among it.
    ///
    /// # Errors
    ///
    /// Anything is wrong; one line for each fault, with file, section and key.
    pub fn finish(self) -> Result<()> {
        self.refuse(|_| true)
    }

    /// Returns what was replaced, and reports what the program cannot do without.
    ///
    /// # Errors
    ///
    /// Anything else than a replaced value is wrong; lines as those of [`File::finish`].
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_program::settings::File;
    /// let mut file = File::parse("test.ini", "[retry]\nratio = true\n")?;
    /// let ratio = file.section("retry", |section| section.amount("ratio", "a number", 0.2));
    /// let replaced = file.finish_replaced()?;
    /// assert_eq!(ratio, 0.2);
    /// assert_eq!(replaced[0].to_string(), "key=retry.ratio value=true used=0.2");
    /// # Ok::<(), anyhow::Error>(())
    /// ```
    pub fn finish_replaced(self) -> Result<Vec<Replacement>> {
        let findings = self.findings.iter();
        let replaced = findings.filter_map(|finding| finding.replacement.clone());
        let replaced = replaced.collect();
        self.refuse(|finding| finding.replacement.is_none())?;
        Ok(replaced)
    }

    /// Reports findings, and sections that nobody read.
    fn refuse(&self, is_refused: impl Fn(&Finding) -> bool) -> Result<()> {
        let findings = self.findings.iter().filter(|finding| is_refused(finding));
        let faults = findings.map(|finding| finding.fault.clone());
        let sections = self.ini.sections().flatten();
        let unknown = sections.filter(|name| !self.read.contains(*name));
        let unknown = unknown.map(|name| Fault::new(name, "-", "unknown section"));
        let lines = faults.chain(unknown);
        let lines: Vec<String> = lines
            .map(|fault| format!("{}: {fault}", self.name))
            .collect();
        if lines.is_empty() {
            return Ok(());
        }
        bail!(lines.join("\n"))
    }
}

/// Reads `[trust] keys`: the public keys that sign configurations.
pub fn trust(file: &mut File) -> jujube_core::bundle::Trust {
    let keys = file.section("trust", |section| section.list("keys"));
    jujube_core::bundle::Trust { keys }
}

/// Where logs and counters go.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Telemetry {
    /// A statsd address; counters are dropped when it is empty.
    pub statsd: String,
    /// The log level.
    pub level: String,
}

/// Reads `[telemetry]`.
pub fn telemetry(file: &mut File) -> Telemetry {
    file.section("telemetry", |section| Telemetry {
        statsd: section.text("statsd", "an IP number and port", Some("")),
        level: section.text("level", "error, warn, info or debug", Some("info")),
    })
}
