//! Translates the statements of a submit file into jobs.

use crate::cluster::Cluster;
use crate::commands::{Command, Handling, decides_placement, similar_name};
use crate::error::{SubmitErrorKind, SubmitResult, Warning};
use crate::expanded::{ExpandedCommand, ExpandedCommands};
use crate::job;
use crate::limits::{MAX_PROCS, MAX_TEMPLATES};
use crate::location::{File, Location};
use crate::macros::{Bindings, Definitions, Expander, MacroText, Variables};
use crate::options::Options;
use crate::placeholders::{PROCESS, STEP};
use crate::queue::Queue;
use crate::reader::{Reader, Statement, StatementHandler};
use crate::source::Source;
use cherryyard_wire::condor::MAX_JOBS;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// File name that errors show for the statements that are read before those of the file.
const COMMAND_LINE_FILE_NAME: &str = "command line";
/// Suggestion for the user of a file that queues too much.
const SPLIT_FILE_HELP: &str = "split the file";

/// Reads a submit file and returns the jobs that it queues.
///
/// # Errors
///
/// Returns the first error in the file or in one that it includes, with its position.
pub fn read(
    name: &str,
    text: &str,
    options: &Options,
    source: &mut dyn Source,
) -> SubmitResult<Cluster> {
    let mut translator = Translator::new(options);
    let mut reader = Reader::new(Expander::new(source, options.seed), &mut translator);
    if !options.before.is_empty() {
        reader.read_file(&File {
            name: COMMAND_LINE_FILE_NAME.into(),
            text: options.before.join("\n").into(),
        })?;
    }
    let file = File {
        name: name.into(),
        text: text.into(),
    };
    reader.read_file(&file)?;
    if !translator.has_queued {
        let error = Location::end_of(&file).error(SubmitErrorKind::NothingQueued);
        return Err(error.with_help("end the file with `queue`"));
    }
    let mut cluster = translator.cluster;
    cluster.warnings.sort();
    cluster.warnings.dedup();
    Ok(cluster)
}

/// An attribute of the job's ad, set with `+name = value`.
struct Attribute {
    /// The attribute's name, as spelled in the file.
    name: String,
    text: Arc<MacroText>,
    location: Location,
}

/// Collects definitions and translates `queue` statements into jobs.
struct Translator<'a> {
    options: &'a Options,
    definitions: Definitions,
    /// The locations of the statements that set commands, by the commands' usual names.
    command_locations: HashMap<String, Location>,
    /// Attributes by name in lower case.
    attributes: BTreeMap<String, Attribute>,
    cluster: Cluster,
    /// Indices of templates by the commands that decide them.
    templates_by_commands: HashMap<Vec<(String, String)>, usize>,
    /// Indices of templates by their JSON: different commands may lead to the same
    /// template.
    templates_by_json: HashMap<String, usize>,
    /// Number of procs queued so far.
    procs: u64,
    /// Whether the file has had a `queue` statement.
    has_queued: bool,
}

impl StatementHandler for Translator<'_> {
    fn definitions(&self) -> &Definitions {
        &self.definitions
    }

    fn handle(
        &mut self,
        statement: Statement,
        location: &Location,
        expander: &mut Expander<'_>,
    ) -> SubmitResult<()> {
        match statement {
            Statement::Set { name, value } => self.set(&name, &value, location),
            Statement::SetAttribute { name, value } => self.set_attribute(name, &value, location),
            Statement::Queue {
                arguments,
                inline_list,
            } => {
                self.has_queued = true;
                self.queue(&arguments, inline_list.as_deref(), location, expander)
            }
        }
    }
}

impl<'a> Translator<'a> {
    fn new(options: &'a Options) -> Self {
        Self {
            options,
            definitions: Definitions::new(),
            command_locations: HashMap::new(),
            attributes: BTreeMap::new(),
            cluster: Cluster::default(),
            templates_by_commands: HashMap::new(),
            templates_by_json: HashMap::new(),
            procs: 0,
            has_queued: false,
        }
    }

    /// Sets a command or defines a macro.
    fn set(&mut self, name: &str, value: &str, location: &Location) -> SubmitResult<()> {
        let lower = name.to_ascii_lowercase();
        let mut text =
            MacroText::compile(value.trim_end()).map_err(|error| location.error(error))?;
        let command = Command::find(&lower);
        self.check_command(name, command, location)?;
        let key = command.map_or(lower, |command| command.name().to_string());
        if text.refers_to(&key) {
            // Within its own definition, a macro refers to its previous definition.
            let before = self.definitions.get(&key).cloned().unwrap_or_default();
            text = text.with_definition(&key, &before);
        }
        if command.is_some() {
            self.command_locations.insert(key.clone(), location.clone());
        }
        self.definitions.insert(key, Arc::new(text));
        Ok(())
    }

    /// Refuses a command that the scheduler does not support, and warns about a command
    /// without effect and about a macro that may be a misspelled command.
    fn check_command(
        &mut self,
        name: &str,
        command: Option<&Command>,
        location: &Location,
    ) -> SubmitResult<()> {
        let warning = match command.map(|command| (command, command.handling)) {
            Some((_, Handling::Refused(reason))) => {
                return Err(location.error(SubmitErrorKind::UnsupportedCommand {
                    command: name.to_ascii_lowercase(),
                    reason,
                }));
            }
            Some((command, Handling::NoEffect(reason))) => {
                Some(format!("{} has no effect: {reason}", command.name()))
            }
            Some((_, Handling::Honoured | Handling::PassedOn)) => None,
            None => similar_name(&name.to_ascii_lowercase())
                .map(|similar| format!("{name} is taken as a macro; was {similar} meant?")),
        };
        let warnings: &mut Vec<Warning> = &mut self.cluster.warnings;
        warnings.extend(warning.map(|message| location.warning(message)));
        Ok(())
    }

    fn set_attribute(
        &mut self,
        name: String,
        value: &str,
        location: &Location,
    ) -> SubmitResult<()> {
        let text = MacroText::compile(value.trim()).map_err(|error| location.error(error))?;
        let key = name.to_ascii_lowercase();
        let attribute = Attribute {
            name,
            text: Arc::new(text),
            location: location.clone(),
        };
        self.attributes.insert(key, attribute);
        Ok(())
    }

    fn queue(
        &mut self,
        arguments: &str,
        inline_list: Option<&str>,
        location: &Location,
        expander: &mut Expander<'_>,
    ) -> SubmitResult<()> {
        let compiled = MacroText::compile(arguments).map_err(|error| location.error(error))?;
        let bindings = Bindings {
            definitions: &self.definitions,
            variables: &Variables::new(),
        };
        let arguments = expander
            .expand(&compiled, bindings)
            .map_err(|error| location.error(error))?;
        let queue = Queue::parse(&arguments, inline_list, expander.source)
            .map_err(|error| location.error(error))?;
        if queue.items.is_empty() {
            let warning = location.warning("its list of items is empty");
            self.cluster.warnings.push(warning);
        }
        let added = queue.items.len() as u64 * u64::from(queue.count);
        if self.procs + added > MAX_PROCS {
            return Err(location.error(SubmitErrorKind::TooManyProcs));
        }
        for (index, item) in queue.items.iter().enumerate() {
            let mut variables = item_variables(&queue, index, item);
            self.queue_item(&mut variables, queue.count, location, expander)?;
            if self.cluster.groups.len() as u64 > MAX_JOBS {
                let error = location.error(SubmitErrorKind::TooManyJobs);
                return Err(error.with_help(SPLIT_FILE_HELP));
            }
        }
        Ok(())
    }

    /// Adds the procs of one item: as one array, unless commands that decide where procs
    /// run differ between them.
    fn queue_item(
        &mut self,
        variables: &mut Variables,
        count: u32,
        location: &Location,
        expander: &mut Expander<'_>,
    ) -> SubmitResult<()> {
        if count == 0 {
            return Ok(());
        }
        set_proc_variables(variables, PROCESS, STEP);
        let commands = self.expand_commands(variables, expander)?;
        if !placement_depends_on_proc(&commands) {
            self.add_procs(&commands, count, location)?;
            self.procs += u64::from(count);
            return Ok(());
        }
        for step in 0..count {
            set_proc_variables(variables, &self.procs.to_string(), &step.to_string());
            let commands = self.expand_commands(variables, expander)?;
            self.add_procs(&commands, 1, location)?;
            self.procs += 1;
        }
        Ok(())
    }

    fn expand_commands(
        &self,
        variables: &Variables,
        expander: &mut Expander<'_>,
    ) -> SubmitResult<ExpandedCommands> {
        let bindings = Bindings {
            definitions: &self.definitions,
            variables,
        };
        let mut expand = |name: &str, text: &MacroText, location: &Location| {
            let expanded = expander.expand(text, bindings);
            let text = expanded.map_err(|error| {
                location.error(SubmitErrorKind::CommandMacro {
                    command: name.to_string(),
                    error,
                })
            })?;
            let location = location.clone();
            SubmitResult::Ok(ExpandedCommand { location, text })
        };
        let mut commands = ExpandedCommands::new();
        for (name, location) in &self.command_locations {
            if let Some(text) = self.definitions.get(name)
                && Command::find(name).is_some_and(Command::is_used)
            {
                commands.insert(name.clone(), expand(name, text, location)?);
            }
        }
        for attribute in self.attributes.values() {
            let name = format!("+{}", attribute.name);
            let command = expand(&name, &attribute.text, &attribute.location)?;
            commands.insert(name, command);
        }
        Ok(commands)
    }

    /// Adds procs that run with the same commands.
    fn add_procs(
        &mut self,
        commands: &ExpandedCommands,
        count: u32,
        location: &Location,
    ) -> SubmitResult<()> {
        let template = self.template_index(commands, location)?;
        let description = commands
            .iter()
            .map(|(name, command)| (name.clone(), command.text.clone()))
            .collect();
        self.cluster
            .add_procs(template, &Arc::new(description), count);
        Ok(())
    }

    /// Returns the index of the template that these commands describe, and adds the
    /// template if it is new.
    fn template_index(
        &mut self,
        commands: &ExpandedCommands,
        location: &Location,
    ) -> SubmitResult<usize> {
        let placement_commands: Vec<(String, String)> = commands
            .iter()
            .filter(|(name, _)| decides_placement(name))
            .map(|(name, command)| (name.clone(), command.text.clone()))
            .collect();
        if let Some(&index) = self.templates_by_commands.get(&placement_commands) {
            return Ok(index);
        }
        if self.templates_by_commands.len() >= MAX_TEMPLATES {
            let error = location.error(SubmitErrorKind::TooManyTemplates);
            return Err(error.with_help(SPLIT_FILE_HELP));
        }
        let warnings = &mut self.cluster.warnings;
        let template = job::template(commands, location, self.options, warnings)?;
        let json = serde_json::to_string(&template).unwrap_or_default();
        let next = self.cluster.templates.len();
        let index = *self.templates_by_json.entry(json).or_insert(next);
        if index == next {
            self.cluster.templates.push(template);
        }
        self.templates_by_commands.insert(placement_commands, index);
        Ok(index)
    }
}

/// Returns the variables that an item sets.
fn item_variables(queue: &Queue, index: usize, item: &str) -> Variables {
    let mut variables = Variables::new();
    if queue.has_list {
        for (name, value) in queue.values(item) {
            variables.insert(name.to_string(), value.to_string());
        }
        for name in ["itemindex", "row"] {
            variables.insert(name.to_string(), index.to_string());
        }
    }
    variables
}

/// Sets the variables that contain a proc's numbers.
fn set_proc_variables(variables: &mut Variables, process: &str, step: &str) {
    for (name, value) in [("process", process), ("procid", process), ("step", step)] {
        variables.insert(name.into(), value.into());
    }
}

/// Returns whether commands that decide where a job runs contain a proc's numbers.
fn placement_depends_on_proc(commands: &ExpandedCommands) -> bool {
    commands
        .iter()
        .filter(|(name, _)| decides_placement(name))
        .any(|(_, command)| command.text.contains(PROCESS) || command.text.contains(STEP))
}
