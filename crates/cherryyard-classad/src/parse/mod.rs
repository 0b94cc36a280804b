//! Parses expressions and ads, according to the grammar in `classad.pest`.

mod builder;
mod check;
mod error;
mod grammar;
mod limits;
mod literal;

pub use error::{ParseError, ParseErrorKind};

use crate::ad::Ad;
use crate::expr::Expr;
use crate::names::Names;
use builder::Builder;
use check::check;
use grammar::{Grammar, Rule};
use pest::Parser;
use pest::iterators::Pair;

impl Expr {
    /// Parses an expression and interns the names in it.
    ///
    /// # Errors
    ///
    /// Returns the first error in the text, with its position: the text is not an
    /// expression, too long, or nested too deep.
    pub fn parse(text: &str, names: &mut Names) -> Result<Self, ParseError> {
        check(text)?;
        let mut pairs = Grammar::parse(Rule::whole_expr, text)?;
        match pairs.next() {
            Some(pair) => Builder::new(text, names).build(pair),
            None => Ok(Self { nodes: Vec::new() }),
        }
    }
}

impl Ad {
    /// Parses an ad, such as `[a = 1; b = a + 1]`, and interns the names in it.
    ///
    /// # Errors
    ///
    /// Returns the first error in the text, with its position, as [`Expr::parse`] does.
    pub fn parse(text: &str, names: &mut Names) -> Result<Self, ParseError> {
        check(text)?;
        let mut pairs = Grammar::parse(Rule::whole_ad, text)?;
        let mut ad = Self::default();
        for attribute in pairs.next().into_iter().flat_map(Pair::into_inner) {
            let mut parts = attribute.into_inner();
            if let (Some(name), Some(value)) = (parts.next(), parts.next()) {
                let mut builder = Builder::new(text, names);
                let name = builder.name(&name);
                ad.set(name, builder.build(value)?);
            }
        }
        Ok(ad)
    }
}
