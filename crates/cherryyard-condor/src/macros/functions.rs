//! Evaluates the functions of macros, such as `$INT(...)` and `$CHOICE(...)`.

use super::error::MacroError;
use super::expander::{Bindings, Expander};
use super::format::{file_name, formatted_number, is_file_name_options};
use super::text::Piece;
use rand::RngExt;

/// The value of `$ENV` for a variable that is not set.
const UNDEFINED_VARIABLE: &str = "UNDEFINED";

/// A call whose arguments have been expanded.
struct Call<'a> {
    /// The function's name, as spelled in the file.
    function: &'a str,
    arguments: Vec<String>,
    bindings: Bindings<'a>,
}

impl Call<'_> {
    fn first(&self) -> &str {
        self.arguments.first().map_or("", String::as_str)
    }

    fn whole_number(&self, text: &str) -> Result<i64, MacroError> {
        let number = text.trim().parse();
        number.map_err(|_| MacroError::NotWholeNumber {
            function: self.function.to_string(),
            text: text.to_string(),
        })
    }

    /// Returns the argument at `index` as a whole number, or `default` if it is not given.
    fn whole_number_at(&self, index: usize, default: i64) -> Result<i64, MacroError> {
        match self.arguments.get(index) {
            Some(text) => self.whole_number(text),
            None => Ok(default),
        }
    }

    /// Returns the second argument, which is the format of functions that take one.
    fn format(&self) -> Option<&str> {
        self.arguments.get(1).map(String::as_str)
    }
}

impl Expander<'_> {
    /// Expands a function call and appends its value to `out`.
    pub(super) fn call(
        &mut self,
        function: &str,
        arguments: &[Vec<Piece>],
        bindings: Bindings<'_>,
        out: &mut String,
    ) -> Result<(), MacroError> {
        let mut texts = Vec::new();
        for argument in arguments {
            let mut text = String::new();
            self.expand_pieces(argument, bindings, &mut text)?;
            texts.push(text.trim().to_string());
        }
        let call = Call {
            function,
            arguments: texts,
            bindings,
        };
        let value = match function.to_ascii_uppercase().as_str() {
            "ENV" => self.environment_variable(&call),
            "INT" => {
                let value = self.named_number(&call, "INT")?;
                formatted_number(call.format(), &format!("{}", value as i64))?
            }
            "REAL" => {
                let value = self.named_number(&call, "REAL")?;
                formatted_number(call.format(), &format!("{value:?}"))?
            }
            "STRING" => self.named_text(&call)?,
            "SUBSTR" => self.substring(&call)?,
            "CHOICE" => self.choice(&call)?,
            "RANDOM_CHOICE" => self.random_choice(&call)?,
            "RANDOM_INTEGER" => self.random_integer(&call)?.to_string(),
            upper if upper.starts_with('F') && is_file_name_options(&function[1..]) => {
                file_name(&self.named_text(&call)?, &function[1..])
            }
            _ => return Err(MacroError::UnknownFunction(function.to_string())),
        };
        out.push_str(&value);
        Ok(())
    }

    /// Expands the macro whose name, without `$(...)`, is the first argument.
    fn named_text(&mut self, call: &Call<'_>) -> Result<String, MacroError> {
        let mut text = String::new();
        let name = call.first().to_ascii_lowercase();
        self.expand_named(&name, None, call.bindings, &mut text)?;
        Ok(text)
    }

    fn named_number(&mut self, call: &Call<'_>, function: &'static str) -> Result<f64, MacroError> {
        let text = self.named_text(call)?;
        let number = text.trim().parse();
        number.map_err(|_| MacroError::NotNumber { function, text })
    }

    /// Evaluates `$ENV(name)` or `$ENV(name:default)`.
    fn environment_variable(&mut self, call: &Call<'_>) -> String {
        let (name, default) = match call.first().split_once(':') {
            Some((name, default)) => (name, default),
            None => (call.first(), UNDEFINED_VARIABLE),
        };
        let value = self.source.variable(name.trim());
        value.unwrap_or_else(|| default.to_string())
    }

    /// Evaluates `$SUBSTR(name, start [, length])`, which counts in characters; a negative
    /// start counts from the end, a negative length omits that many characters at the end.
    fn substring(&mut self, call: &Call<'_>) -> Result<String, MacroError> {
        let chars: Vec<char> = self.named_text(call)?.chars().collect();
        let start = call.whole_number_at(1, 0)?;
        let length = call.whole_number_at(2, i64::MAX)?;
        let count = chars.len() as i64;
        let start = if start < 0 { count + start } else { start }.clamp(0, count);
        let end = if length < 0 {
            count + length
        } else {
            start.saturating_add(length)
        };
        let end = end.clamp(start, count);
        Ok(chars[start as usize..end as usize].iter().collect())
    }

    /// Evaluates `$CHOICE(index, list)` or `$CHOICE(index, a, b, ...)`, where the index is
    /// a number or the name of a macro, and the list is the name of a macro.
    fn choice(&mut self, call: &Call<'_>) -> Result<String, MacroError> {
        let index = match call.whole_number(call.first()) {
            Ok(index) => index,
            Err(_) => call.whole_number(&self.named_text(call)?)?,
        };
        let mut items = call.arguments.get(1..).unwrap_or_default().to_vec();
        if let [name] = items.as_slice()
            && let Some(list) = call.bindings.definitions.get(&name.to_ascii_lowercase())
        {
            let mut expanded = String::new();
            self.expand_pieces(&list.pieces, call.bindings, &mut expanded)?;
            items = expanded
                .split(',')
                .map(|item| item.trim().to_string())
                .collect();
        }
        let item = usize::try_from(index)
            .ok()
            .and_then(|index| items.get(index));
        item.cloned().ok_or(MacroError::NoSuchItem(index))
    }

    fn random_choice(&mut self, call: &Call<'_>) -> Result<String, MacroError> {
        if call.arguments.is_empty() {
            return Err(MacroError::NothingToChoose);
        }
        let index = self.rng.random_range(0..call.arguments.len());
        Ok(call.arguments[index].clone())
    }

    /// Evaluates `$RANDOM_INTEGER(from, to [, step])`.
    fn random_integer(&mut self, call: &Call<'_>) -> Result<i64, MacroError> {
        let from = call.whole_number(call.first())?;
        let to = call.whole_number_at(1, from)?;
        let step = call.whole_number_at(2, 1)?;
        if step < 1 || to < from {
            return Err(MacroError::EmptyRange);
        }
        let steps = to.abs_diff(from) / step.unsigned_abs();
        let chosen = self.rng.random_range(0..=steps) as i64;
        Ok(from.saturating_add(chosen.saturating_mul(step)))
    }
}
