//! Expressions as text.

use crate::expr::{Expr, Node, NodeId, Side};
use crate::names::{NameId, Names};
use crate::value::{Value, write_quoted};
use std::fmt::{Result, Write};

/// Precedence of the conditional operators, the lowest.
const CONDITIONAL: u8 = 0;
/// Precedence above that of conditionals: the condition of one must not be one itself.
const ABOVE_CONDITIONAL: u8 = 1;
/// Precedence of operators with one operand, above that of all with two.
const UNARY: u8 = 11;
/// Precedence of literals, calls and postfix operators, the highest.
const POSTFIX: u8 = 12;

/// Words that mean something other than an attribute unless they are quoted.
const RESERVED_WORDS: [&str; 8] = [
    "true",
    "false",
    "undefined",
    "error",
    "is",
    "isnt",
    "my",
    "target",
];

impl Expr {
    /// The expression as text that parses to the same expression.
    pub fn print(&self, names: &Names) -> String {
        let mut printer = Printer {
            expr: self,
            names,
            out: String::new(),
        };
        // Writing to a string does not fail.
        let _ = printer.node(self.root(), CONDITIONAL);
        printer.out
    }
}

struct Printer<'a> {
    expr: &'a Expr,
    names: &'a Names,
    out: String,
}

impl<'a> Printer<'a> {
    /// Writes a node, in parentheses if it binds less tightly than `least`.
    fn node(&mut self, id: NodeId, least: u8) -> Result {
        let node = self.expr.node(id);
        if precedence(node) >= least {
            return self.bare(node);
        }
        write!(self.out, "(")?;
        self.bare(node)?;
        write!(self.out, ")")
    }

    /// Writes a node without parentheses around it.
    fn bare(&mut self, node: &'a Node) -> Result {
        match node {
            Node::Constant(value) => write!(self.out, "{value}"),
            Node::Attribute(side, name) => {
                let scope = match side {
                    Side::Any => "",
                    Side::My => "MY.",
                    Side::Target => "TARGET.",
                };
                write!(self.out, "{scope}")?;
                write_name(&mut self.out, self.names.name(*name))
            }
            Node::Unary(op, operand) => {
                write!(self.out, "{}", op.symbol())?;
                self.node(*operand, UNARY)
            }
            Node::Binary(op, left, right) => {
                let (symbol, precedence) = op.symbol_and_precedence();
                self.infix(*left, precedence, symbol, *right, precedence + 1)
            }
            Node::Conditional(condition, yes, no) => {
                self.infix(*condition, ABOVE_CONDITIONAL, "?", *yes, CONDITIONAL)?;
                write!(self.out, " : ")?;
                self.node(*no, CONDITIONAL)
            }
            Node::Elvis(value, default) => {
                self.infix(*value, ABOVE_CONDITIONAL, "?:", *default, CONDITIONAL)
            }
            Node::Call(function, arguments) => {
                write!(self.out, "{}", <&str>::from(*function))?;
                self.list("(", arguments, ")")
            }
            Node::List(items) => self.list("{", items, "}"),
            Node::Ad(attributes) => self.nested_ad(attributes),
            Node::Index(list, index) => {
                self.node(*list, POSTFIX)?;
                self.list("[", &[*index], "]")
            }
            Node::Select(ad, name) => {
                // After a bare word the dot would end a scope, after digits a number.
                self.list("(", &[*ad], ")")?;
                write!(self.out, ".")?;
                write_name(&mut self.out, self.names.name(*name))
            }
        }
    }

    fn infix(
        &mut self,
        left: NodeId,
        left_least: u8,
        symbol: &str,
        right: NodeId,
        right_least: u8,
    ) -> Result {
        self.node(left, left_least)?;
        write!(self.out, " {symbol} ")?;
        self.node(right, right_least)
    }

    fn list(&mut self, open: &str, items: &[NodeId], close: &str) -> Result {
        write!(self.out, "{open}")?;
        for (i, &item) in items.iter().enumerate() {
            if i > 0 {
                write!(self.out, ", ")?;
            }
            self.node(item, CONDITIONAL)?;
        }
        write!(self.out, "{close}")
    }

    fn nested_ad(&mut self, attributes: &[(NameId, NodeId)]) -> Result {
        write!(self.out, "[")?;
        for (i, &(name, expr)) in attributes.iter().enumerate() {
            if i > 0 {
                write!(self.out, "; ")?;
            }
            write_name(&mut self.out, self.names.name(name))?;
            write!(self.out, " = ")?;
            self.node(expr, CONDITIONAL)?;
        }
        write!(self.out, "]")
    }
}

/// How tightly a node binds when it is printed.
fn precedence(node: &Node) -> u8 {
    match node {
        Node::Conditional(..) | Node::Elvis(..) => CONDITIONAL,
        Node::Binary(op, ..) => op.symbol_and_precedence().1,
        Node::Unary(..) => UNARY,
        // A negative number prints as a minus sign and its digits.
        Node::Constant(Value::Int(n)) if *n < 0 => UNARY,
        Node::Constant(Value::Real(x)) if x.is_sign_negative() => UNARY,
        Node::Constant(_)
        | Node::Attribute(..)
        | Node::Call(..)
        | Node::List(_)
        | Node::Ad(_)
        | Node::Index(..)
        | Node::Select(..) => POSTFIX,
    }
}

/// Writes an attribute name, in quotes unless it is an identifier and not reserved.
fn write_name(out: &mut String, name: &str) -> Result {
    let mut bytes = name.bytes();
    let is_identifier = bytes
        .next()
        .is_some_and(|b| b.is_ascii_alphabetic() || b == b'_')
        && bytes.all(|b| b.is_ascii_alphanumeric() || b == b'_');
    let is_reserved = RESERVED_WORDS
        .iter()
        .any(|word| word.eq_ignore_ascii_case(name));
    if is_identifier && !is_reserved {
        write!(out, "{name}")
    } else {
        write_quoted(out, name, '\'')
    }
}
