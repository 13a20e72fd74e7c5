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
use jujube_core::section::Reader;

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
    faults: Vec<Fault>,
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
            faults: Vec::new(),
        };
        file.check_end()?;
        Ok(file)
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
        let faults = reader.finish();
        self.read.insert(name.to_string());
        self.faults.extend(faults);
        value
    }

    /// Reports everything that is wrong, sections that nobody read among it.
    ///
    /// # Errors
    ///
    /// Anything is wrong; one line for each fault, with file, section and key.
    pub fn finish(mut self) -> Result<()> {
        for name in self.ini.sections().flatten() {
            if !self.read.contains(name) {
                self.faults.push(Fault::new(name, "-", "unknown section"));
            }
        }
        if self.faults.is_empty() {
            return Ok(());
        }
        let lines = self
            .faults
            .iter()
            .map(|fault| format!("{}: {fault}", self.name));
        bail!(lines.collect::<Vec<_>>().join("\n"))
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
