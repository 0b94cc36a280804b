//! Parses and evaluates ClassAd expressions, the language of HTCondor's `requirements` and
//! `rank`.
//!
//! An expression is parsed once ([`Expr::parse`]) into a flat list of nodes whose attribute
//! names are interned ([`Names`]). The evaluation of an expression ([`Scope::evaluate`])
//! allocates nothing for numbers and booleans; an evaluation that is nested too deep or
//! takes too many steps yields `error`. [`fold`] evaluates in advance the parts that depend
//! on one ad alone, so that matching against many machines evaluates only the parts that
//! depend on the machine. `docs/condor.md` names the published version of the language.
//!
//! The modules in the order of their dependencies: `names`, `value`, `operator` and
//! `function` define the elements of the language; `expr` and `ad` the syntax tree; `parse`
//! and `print` convert the tree from and to text; `builtins`, `eval` and `fold` evaluate
//! it.

mod ad;
mod builtins;
mod eval;
mod expr;
mod fold;
mod function;
mod names;
mod operator;
mod parse;
mod print;
mod value;

pub use ad::Ad;
pub use eval::Scope;
pub use expr::{Expr, Node, NodeId, Side};
pub use fold::fold;
pub use function::{Function, UnknownFunction};
pub use names::{NameId, Names};
pub use operator::{BinaryOp, UnaryOp};
pub use parse::{ParseError, ParseErrorKind};
pub use value::Value;
