//! Prints expressions as text.

use crate::expr::{Expr, Node, NodeId, Side};
use crate::names::{NameId, Names};
use crate::value::{Value, write_quoted};
use std::fmt::{Result, Write};

/// Precedence of the conditional operators, the lowest.
const CONDITIONAL: u8 = 0;
/// Precedence just above conditionals, required of a condition: it must not be a
/// conditional itself.
const ABOVE_CONDITIONAL: u8 = 1;
/// Precedence of operators with one operand, above that of all with two.
const UNARY: u8 = 11;
/// Precedence of literals, calls and postfix operators, the highest.
const POSTFIX: u8 = 12;

/// Words that are not attribute names unless they are quoted.
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
    /// Returns the expression as text that parses to the same expression.
    pub fn print(&self, names: &Names) -> String {
        let mut printer = Printer {
            expr: self,
            names,
            out: String::new(),
        };
        // Writing to a string does not fail.
        let _ = printer.write_node(self.root(), CONDITIONAL);
        printer.out
    }
}

struct Printer<'a> {
    expr: &'a Expr,
    names: &'a Names,
    out: String,
}

impl<'a> Printer<'a> {
    /// Writes a node, in parentheses if its precedence is lower than `min_precedence`.
    fn write_node(&mut self, id: NodeId, min_precedence: u8) -> Result {
        let node = self.expr.node(id);
        if precedence(node) >= min_precedence {
            return self.write_node_without_parentheses(node);
        }
        write!(self.out, "(")?;
        self.write_node_without_parentheses(node)?;
        write!(self.out, ")")
    }

    /// Writes a node without parentheses around it.
    fn write_node_without_parentheses(&mut self, node: &'a Node) -> Result {
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
                self.write_node(*operand, UNARY)
            }
            Node::Binary(op, left, right) => {
                let (symbol, precedence) = op.symbol_and_precedence();
                self.write_infix(*left, precedence, symbol, *right, precedence + 1)
            }
            Node::Conditional(condition, yes, no) => {
                self.write_infix(*condition, ABOVE_CONDITIONAL, "?", *yes, CONDITIONAL)?;
                write!(self.out, " : ")?;
                self.write_node(*no, CONDITIONAL)
            }
            Node::Elvis(value, default) => {
                self.write_infix(*value, ABOVE_CONDITIONAL, "?:", *default, CONDITIONAL)
            }
            Node::Call(function, arguments) => {
                write!(self.out, "{}", <&str>::from(*function))?;
                self.write_list("(", arguments, ")")
            }
            Node::List(items) => self.write_list("{", items, "}"),
            Node::Ad(attributes) => self.write_nested_ad(attributes),
            Node::Index(list, index) => {
                self.write_node(*list, POSTFIX)?;
                self.write_list("[", &[*index], "]")
            }
            Node::Select(ad, name) => {
                // The parentheses are needed: after a bare name the dot would end a scope,
                // and after digits it would belong to a number.
                self.write_list("(", &[*ad], ")")?;
                write!(self.out, ".")?;
                write_name(&mut self.out, self.names.name(*name))
            }
        }
    }

    fn write_infix(
        &mut self,
        left: NodeId,
        left_min_precedence: u8,
        symbol: &str,
        right: NodeId,
        right_min_precedence: u8,
    ) -> Result {
        self.write_node(left, left_min_precedence)?;
        write!(self.out, " {symbol} ")?;
        self.write_node(right, right_min_precedence)
    }

    fn write_list(&mut self, open: &str, items: &[NodeId], close: &str) -> Result {
        write!(self.out, "{open}")?;
        for (i, &item) in items.iter().enumerate() {
            if i > 0 {
                write!(self.out, ", ")?;
            }
            self.write_node(item, CONDITIONAL)?;
        }
        write!(self.out, "{close}")
    }

    fn write_nested_ad(&mut self, attributes: &[(NameId, NodeId)]) -> Result {
        write!(self.out, "[")?;
        for (i, &(name, expr)) in attributes.iter().enumerate() {
            if i > 0 {
                write!(self.out, "; ")?;
            }
            write_name(&mut self.out, self.names.name(name))?;
            write!(self.out, " = ")?;
            self.write_node(expr, CONDITIONAL)?;
        }
        write!(self.out, "]")
    }
}

/// Returns the precedence of a node when it is printed.
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

/// Writes an attribute name, quoted unless the name is an identifier and not reserved.
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
