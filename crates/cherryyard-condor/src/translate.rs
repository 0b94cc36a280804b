//! From commands to jobs.

use crate::Source;
use crate::cluster::Cluster;
use crate::commands::{Handling, alike, command};
use crate::error::{File, Place, SubmitError};
use crate::items::Queue;
use crate::job::Job;
use crate::lines::{Reader, Statement, Taker};
use crate::macros::{Expander, PROCESS, STEP, Scope, Text};
use cherryyard_wire::condor::MAX_JOBS;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Most procs of a file.
const MAX_PROCS: u64 = 1_000_000;
/// Most sets of commands that decide where jobs run: each is worked out.
const MAX_TEMPLATES: usize = 2000;

/// What else than the file decides.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The team, where the file names none.
    pub team: Option<String>,
    /// Statements that come before the file's.
    pub before: Vec<String>,
    /// For `$RANDOM_CHOICE` and `$RANDOM_INTEGER`.
    pub seed: u64,
}

/// Reads a submit file.
pub fn read(
    name: &str,
    text: &str,
    options: &Options,
    source: &mut dyn Source,
) -> Result<Cluster, Box<SubmitError>> {
    let mut translator = Translator {
        options,
        table: HashMap::new(),
        places: HashMap::new(),
        attributes: BTreeMap::new(),
        cluster: Cluster::default(),
        templates: HashMap::new(),
        alike: HashMap::new(),
        procs: 0,
        queued: false,
    };
    let mut reader = Reader::new(Expander::new(source, options.seed), &mut translator);
    if !options.before.is_empty() {
        reader.file(&File {
            name: "command line".into(),
            text: options.before.join("\n").into(),
        })?;
    }
    let file = File {
        name: name.into(),
        text: text.into(),
    };
    reader.file(&file)?;
    if !translator.queued {
        let end = Place {
            at: file.text.trim_end().len(),
            file,
            len: 0,
        };
        return Err(end
            .error("nothing is queued")
            .with_help("end the file with `queue`"));
    }
    let mut cluster = translator.cluster;
    cluster.warnings.sort();
    cluster.warnings.dedup();
    Ok(cluster)
}

/// Expanded commands of some procs: where each stands, and what it says.
pub(crate) type Commands = BTreeMap<String, (Place, String)>;

struct Translator<'a> {
    options: &'a Options,
    table: HashMap<String, Arc<Text>>,
    /// Where commands stand, by their first names; macros have no place of their own.
    places: HashMap<String, Place>,
    /// `+name`, as it is spelled, by its name in lower case.
    attributes: BTreeMap<String, (String, Arc<Text>, Place)>,
    cluster: Cluster,
    /// Templates by what decides them, and by what they come to.
    templates: HashMap<Vec<(String, String)>, usize>,
    alike: HashMap<String, usize>,
    procs: u64,
    queued: bool,
}

impl Taker for Translator<'_> {
    fn table(&self) -> &HashMap<String, Arc<Text>> {
        &self.table
    }

    fn take(
        &mut self,
        statement: Statement,
        place: &Place,
        expander: &mut Expander<'_>,
    ) -> Result<(), Box<SubmitError>> {
        match statement {
            Statement::Set(name, value) => self.set(&name, &value, place),
            Statement::Attribute(name, value) => {
                let text = Text::compile(value.trim()).map_err(|e| place.error(e))?;
                let entry = (name.clone(), Arc::new(text), place.clone());
                self.attributes.insert(name.to_ascii_lowercase(), entry);
                Ok(())
            }
            Statement::Queue(args, inline) => {
                self.queued = true;
                self.queue(&args, inline.as_deref(), place, expander)
            }
        }
    }
}

impl Translator<'_> {
    fn set(&mut self, name: &str, value: &str, place: &Place) -> Result<(), Box<SubmitError>> {
        let lower = name.to_ascii_lowercase();
        let mut text = Text::compile(value.trim_end()).map_err(|e| place.error(e))?;
        let known = command(&lower);
        match known {
            Some((_, Handling::Refused(why))) => {
                return Err(place.error(format!("{lower} is not supported: {why}")));
            }
            Some((first, Handling::NoEffect(why))) => {
                let text = format!("{first} has no effect: {why}");
                self.cluster.warnings.push(place.warning(text));
            }
            Some(_) => {}
            None => {
                if let Some(other) = alike(&lower) {
                    let text = format!("{name} is taken as a macro; was {other} meant?");
                    self.cluster.warnings.push(place.warning(text));
                }
            }
        }
        let key = known.map_or(lower, |k| k.0.to_string());
        if text.names(&key) {
            // Itself, as it was before.
            let before = self.table.get(&key).cloned().unwrap_or_default();
            text = text.with_own(&key, &before);
        }
        if known.is_some() {
            self.places.insert(key.clone(), place.clone());
        }
        self.table.insert(key, Arc::new(text));
        Ok(())
    }

    fn queue(
        &mut self,
        args: &str,
        inline: Option<&str>,
        place: &Place,
        expander: &mut Expander<'_>,
    ) -> Result<(), Box<SubmitError>> {
        let none = HashMap::new();
        let compiled = Text::compile(args).map_err(|e| place.error(e))?;
        let scope = Scope {
            table: &self.table,
            vars: &none,
        };
        let args = expander
            .expand(&compiled, &scope)
            .map_err(|e| place.error(e))?;
        let queue = Queue::read(&args, inline, expander.source).map_err(|e| place.error(e))?;
        if queue.items.is_empty() {
            self.cluster
                .warnings
                .push(place.warning("its list of items is empty"));
        }
        let all = queue.items.len() as u64 * u64::from(queue.count);
        if self.procs + all > MAX_PROCS {
            return Err(place.error(format!("more than {MAX_PROCS} procs")));
        }
        let mut vars = HashMap::new();
        for (row, item) in queue.items.iter().enumerate() {
            vars.clear();
            if queue.listed {
                for (name, value) in queue.values(item) {
                    vars.insert(name.to_string(), value.to_string());
                }
                for name in ["itemindex", "row"] {
                    vars.insert(name.to_string(), row.to_string());
                }
            }
            self.procs_of(&mut vars, queue.count, place, expander)?;
            if self.cluster.groups.len() as u64 > MAX_JOBS {
                let error = place.error(format!("more than {MAX_JOBS} different jobs"));
                return Err(error.with_help("split the file"));
            }
        }
        Ok(())
    }

    /// The procs of one item: one array, unless what decides where they run differs.
    fn procs_of(
        &mut self,
        vars: &mut HashMap<String, String>,
        count: u32,
        place: &Place,
        expander: &mut Expander<'_>,
    ) -> Result<(), Box<SubmitError>> {
        if count == 0 {
            return Ok(());
        }
        number(vars, PROCESS, STEP);
        let as_one = self.expand_all(vars, expander)?;
        let own = |c: &Commands| {
            let mut deciding = c.iter().filter(|(name, _)| decides(name));
            deciding.any(|(_, (_, text))| text.contains(PROCESS) || text.contains(STEP))
        };
        if !own(&as_one) {
            self.add(&as_one, count, place)?;
            self.procs += u64::from(count);
            return Ok(());
        }
        for step in 0..count {
            number(vars, &self.procs.to_string(), &step.to_string());
            let one = self.expand_all(vars, expander)?;
            self.add(&one, 1, place)?;
            self.procs += 1;
        }
        Ok(())
    }

    fn expand_all(
        &self,
        vars: &HashMap<String, String>,
        expander: &mut Expander<'_>,
    ) -> Result<Commands, Box<SubmitError>> {
        let mut all = Commands::new();
        let scope = Scope {
            table: &self.table,
            vars,
        };
        for (name, place) in &self.places {
            let useful = command(name)
                .is_some_and(|c| matches!(c.1, Handling::Honoured | Handling::Described));
            if let Some(text) = self.table.get(name).filter(|_| useful) {
                let text = expander
                    .expand(text, &scope)
                    .map_err(|e| place.error(format!("{name}: {e}")))?;
                all.insert(name.clone(), (place.clone(), text));
            }
        }
        for (name, text, place) in self.attributes.values() {
            let text = expander
                .expand(text, &scope)
                .map_err(|e| place.error(format!("+{name}: {e}")))?;
            all.insert(format!("+{name}"), (place.clone(), text));
        }
        Ok(all)
    }

    fn add(&mut self, commands: &Commands, n: u32, place: &Place) -> Result<(), Box<SubmitError>> {
        let deciding = commands.iter().filter(|(name, _)| decides(name));
        let key: Vec<(String, String)> = deciding.map(|(k, v)| (k.clone(), v.1.clone())).collect();
        let template = match self.templates.get(&key) {
            Some(&template) => template,
            None => {
                let job = Job {
                    commands,
                    place,
                    options: self.options,
                };
                if self.templates.len() >= MAX_TEMPLATES {
                    let what = format!("more than {MAX_TEMPLATES} different ways to run");
                    return Err(place.error(what).with_help("split the file"));
                }
                let template = job.template(&mut self.cluster.warnings)?;
                let text = serde_json::to_string(&template).unwrap_or_default();
                let next = self.cluster.templates.len();
                let at = *self.alike.entry(text).or_insert(next);
                if at == next {
                    self.cluster.templates.push(template);
                }
                self.templates.insert(key, at);
                at
            }
        };
        let described = commands
            .iter()
            .map(|(k, v)| (k.clone(), v.1.clone()))
            .collect();
        self.cluster.add(template, &Arc::new(described), n);
        Ok(())
    }
}

/// Sets a proc's numbers among its variables.
fn number(vars: &mut HashMap<String, String>, process: &str, step: &str) {
    for (name, value) in [("process", process), ("procid", process), ("step", step)] {
        vars.insert(name.into(), value.into());
    }
}

/// Whether a command decides where a job runs, beside what it runs.
pub(crate) fn decides(name: &str) -> bool {
    name.starts_with('+') || command(name).is_some_and(|c| c.1 == Handling::Honoured)
}
