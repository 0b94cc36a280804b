//! Evaluates the commands and attributes of one job.

use crate::commands::decides_placement;
use crate::error::{CommandError, SubmitError, SubmitErrorKind, SubmitResult, Warning};
use crate::expanded::ExpandedCommands;
use crate::location::Location;
use cherryyard_classad::{Ad, Expr, Names, Scope, Value};

/// The commands of one job, and the ad that their expressions refer to.
pub(super) struct JobCommands<'a> {
    commands: &'a ExpandedCommands,
    /// The location of the `queue` statement, for errors that belong to no other statement.
    pub(super) location: &'a Location,
    pub(super) names: Names,
    pub(super) ad: Ad,
}

impl<'a> JobCommands<'a> {
    pub(super) fn new(commands: &'a ExpandedCommands, location: &'a Location) -> Self {
        Self {
            commands,
            location,
            names: Names::default(),
            ad: Ad::default(),
        }
    }

    /// Returns a command's text, unless it is empty.
    pub(super) fn text(&self, name: &str) -> Option<&'a str> {
        let text = self.commands.get(name)?.text.trim();
        (!text.is_empty()).then_some(text)
    }

    /// Returns the location of the statement that sets a command, or of the `queue`
    /// statement if none does.
    pub(super) fn location_of(&self, name: &str) -> &'a Location {
        self.commands
            .get(name)
            .map_or(self.location, |command| &command.location)
    }

    /// Returns an error of a command's value, with its location.
    pub(super) fn error(&self, name: &str, error: impl Into<CommandError>) -> Box<SubmitError> {
        command_error(self.location_of(name), name, error.into())
    }

    /// Refuses `$$(...)`, which refers to the chosen machine, in commands and attributes
    /// that decide the choice of the machine; elsewhere such references stay unchanged,
    /// with a warning.
    pub(super) fn check_machine_attributes(&self, warnings: &mut Vec<Warning>) -> SubmitResult<()> {
        for (name, command) in self.commands {
            if !command.text.contains("$$(") {
                continue;
            }
            if decides_placement(name) {
                return Err(self.error(name, CommandError::MachineAttribute));
            }
            let message = format!("{name}: `{}` stays as it is", command.text.trim());
            warnings.push(command.location.warning(message));
        }
        Ok(())
    }

    /// Parses the attributes, `+name = value`, into the job's ad.
    pub(super) fn parse_attributes(&mut self) -> SubmitResult<()> {
        for (key, command) in self.commands {
            if let Some(name) = key.strip_prefix('+') {
                let expr = self.parse(key, command.text.trim())?;
                let name = self.names.intern(name);
                self.ad.set(name, expr);
            }
        }
        Ok(())
    }

    /// Parses the expression of a command or attribute that is set.
    pub(super) fn parse(&mut self, name: &str, text: &str) -> SubmitResult<Expr> {
        Expr::parse(text, &mut self.names).map_err(|error| {
            let location = self.location_of(name);
            // The column is exact if the statement in the file contains the text unchanged,
            // that is, without expanded macros.
            let statement = location.file.text.get(location.start..).unwrap_or("");
            let position = statement.find(text).filter(|_| error.line == 1);
            let Some(position) = position else {
                return self.error(name, error.kind);
            };
            let offset = text.char_indices().nth(error.column - 1);
            let offset = offset.map_or(text.len(), |(offset, _)| offset);
            let exact = Location {
                file: location.file.clone(),
                start: (location.start + position + offset).min(location.file.text.len()),
                len: 1,
            };
            command_error(&exact, name, error.kind.into())
        })
    }

    /// Evaluates a command to a number that does not depend on the machine.
    pub(super) fn number(&mut self, name: &str) -> SubmitResult<Option<f64>> {
        match self.text(name) {
            Some(text) => self.evaluate_number(name, text).map(Some),
            None => Ok(None),
        }
    }

    /// Evaluates an expression to a number that does not depend on the machine.
    pub(super) fn evaluate_number(&mut self, name: &str, text: &str) -> SubmitResult<f64> {
        let expr = self.parse(name, text)?;
        let scope = Scope {
            my: &self.ad,
            target: None,
            now: 0,
        };
        let value = scope.evaluate(&expr);
        match value.real().filter(|x| x.is_finite()) {
            Some(number) => Ok(number),
            None => Err(self.error(name, CommandError::NotNumber(value))),
        }
    }

    /// Returns an attribute's key among the commands, and its text unless that is empty.
    pub(super) fn attribute(&self, name: &str) -> Option<(&'a str, &'a str)> {
        let has_name = |key: &&String| {
            key.strip_prefix('+')
                .is_some_and(|key| key.eq_ignore_ascii_case(name))
        };
        let key = self.commands.keys().find(has_name)?;
        Some((key, self.text(key)?))
    }

    /// Returns an attribute's value as a boolean; `false` if the attribute is not set.
    pub(super) fn flag(&self, name: &str) -> SubmitResult<bool> {
        let Some((key, text)) = self.attribute(name) else {
            return Ok(false);
        };
        match text.to_ascii_lowercase().as_str() {
            "true" => Ok(true),
            "false" => Ok(false),
            _ => Err(self.error(key, CommandError::NotBoolean)),
        }
    }

    /// Returns an attribute's value as a number that is not negative.
    pub(super) fn non_negative_number(&mut self, name: &str) -> SubmitResult<Option<f64>> {
        let Some((key, text)) = self.attribute(name) else {
            return Ok(None);
        };
        let amount = self.evaluate_number(key, text)?;
        if amount < 0.0 {
            return Err(self.error(key, CommandError::Negative));
        }
        Ok(Some(amount))
    }

    /// Sets an attribute of the job's ad, unless the file sets it.
    pub(super) fn set_default(&mut self, name: &str, value: Value) {
        let name = self.names.intern(name);
        if self.ad.get(name).is_none() {
            self.ad.set_value(name, value);
        }
    }
}

fn command_error(location: &Location, name: &str, error: CommandError) -> Box<SubmitError> {
    location.error(SubmitErrorKind::Command {
        command: name.to_string(),
        error,
    })
}
