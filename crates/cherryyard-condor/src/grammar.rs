//! Generates the parser of `submit.pest`: statements, the arguments of `queue`, and macros.

#[derive(pest_derive::Parser)]
#[grammar = "submit.pest"]
pub(crate) struct Grammar;
