//! Expressions in their flat form, ads, and how both are printed.

use crate::functions::Function;
use crate::names::Names;
use crate::value::{Value, write_text};
use indexmap::IndexMap;
use std::fmt::Write;

/// Whose attribute a name means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Without a scope: this ad's, or the other's if this one has none.
    Any,
    /// `MY.`
    My,
    /// `TARGET.`
    Target,
}

/// Operators on one value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum UnaryOp {
    Minus,
    Plus,
    Not,
    Invert,
}

/// Operators on two values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum BinaryOp {
    Or,
    And,
    BitOr,
    BitXor,
    BitAnd,
    Eq,
    Ne,
    Is,
    Isnt,
    Lt,
    Le,
    Gt,
    Ge,
    Shl,
    Shr,
    Ushr,
    Add,
    Sub,
    Mul,
    Div,
    Rem,
}

impl BinaryOp {
    /// How it is written, and how tightly it binds.
    pub fn sign(self) -> (&'static str, u8) {
        use BinaryOp::*;
        match self {
            Or => ("||", 1),
            And => ("&&", 2),
            BitOr => ("|", 3),
            BitXor => ("^", 4),
            BitAnd => ("&", 5),
            Eq => ("==", 6),
            Ne => ("!=", 6),
            Is => ("=?=", 6),
            Isnt => ("=!=", 6),
            Lt => ("<", 7),
            Le => ("<=", 7),
            Gt => (">", 7),
            Ge => (">=", 7),
            Shl => ("<<", 8),
            Shr => (">>", 8),
            Ushr => (">>>", 8),
            Add => ("+", 9),
            Sub => ("-", 9),
            Mul => ("*", 10),
            Div => ("/", 10),
            Rem => ("%", 10),
        }
    }
}

/// One step of an expression; others are named by their places before it.
#[derive(Clone, Debug, PartialEq)]
pub enum Node {
    /// A value.
    Const(Value),
    /// An attribute.
    Attr(Side, u32),
    /// An operator on one value.
    Unary(UnaryOp, u32),
    /// An operator on two.
    Binary(BinaryOp, u32, u32),
    /// `a ? b : c`.
    Choice(u32, u32, u32),
    /// `a ?: b`: `a` unless it is undefined.
    Elvis(u32, u32),
    /// A function.
    Call(Function, Box<[u32]>),
    /// A list.
    List(Box<[u32]>),
    /// A nested ad.
    Ad(Box<[(u32, u32)]>),
    /// `a[b]`.
    Index(u32, u32),
    /// `a.name`.
    Select(u32, u32),
}

/// An expression: nodes, each after those that it names; the last is the whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Expr {
    pub(crate) nodes: Vec<Node>,
}

impl Expr {
    /// A constant.
    pub fn constant(value: Value) -> Self {
        Self {
            nodes: vec![Node::Const(value)],
        }
    }

    /// The nodes, each after those that it names.
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// The whole's place.
    pub(crate) fn root(&self) -> u32 {
        self.nodes.len() as u32 - 1
    }

    /// The value, if it is a constant.
    pub fn as_constant(&self) -> Option<&Value> {
        match self.nodes.as_slice() {
            [Node::Const(value)] => Some(value),
            _ => None,
        }
    }

    /// The expressions that all must hold for this one to: it is taken apart at `&&`.
    pub fn clauses(&self) -> Vec<Self> {
        let (mut todo, mut all) = (vec![self.root()], Vec::new());
        while let Some(at) = todo.pop() {
            match &self.nodes[at as usize] {
                Node::Binary(BinaryOp::And, a, b) => todo.extend([*b, *a]),
                _ => all.push(Self {
                    nodes: self.nodes[..=at as usize].to_vec(),
                }),
            }
        }
        all
    }

    /// Whether it names attributes of the other ad only.
    pub fn is_of_target(&self) -> bool {
        let of_target = |n: &Node| !matches!(n, Node::Attr(Side::My | Side::Any, _) | Node::Ad(_));
        self.nodes.iter().all(of_target)
    }

    /// Names of the other ad's attributes that it may ask for, each once.
    pub fn attributes(&self) -> Vec<u32> {
        let (mut todo, mut all) = (vec![self.root()], Vec::new());
        while let Some(at) = todo.pop() {
            match &self.nodes[at as usize] {
                Node::Const(_) | Node::Attr(Side::My, _) => {}
                Node::Attr(_, name) => {
                    if !all.contains(name) {
                        all.push(*name);
                    }
                }
                Node::Unary(_, a) | Node::Select(a, _) => todo.push(*a),
                Node::Binary(_, a, b) | Node::Elvis(a, b) | Node::Index(a, b) => {
                    todo.extend([*b, *a]);
                }
                Node::Choice(a, b, c) => todo.extend([*c, *b, *a]),
                Node::Call(_, parts) | Node::List(parts) => todo.extend(parts.iter().rev()),
                Node::Ad(parts) => todo.extend(parts.iter().rev().map(|p| p.1)),
            }
        }
        all
    }

    /// The expression as text that parses to the same.
    pub fn print(&self, names: &Names) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = self.write(self.root(), 0, names, &mut text);
        text
    }

    fn write_list(&self, all: &[u32], names: &Names, out: &mut String) -> std::fmt::Result {
        for (i, &part) in all.iter().enumerate() {
            if i > 0 {
                write!(out, ", ")?;
            }
            self.write(part, 0, names, out)?;
        }
        Ok(())
    }

    /// Writes a node; in parentheses if it binds less tightly than `least`.
    fn write(&self, at: u32, least: u8, names: &Names, out: &mut String) -> std::fmt::Result {
        const UNARY: u8 = 11;
        const POSTFIX: u8 = 12;
        let node = &self.nodes[at as usize];
        let binds = match node {
            Node::Choice(..) | Node::Elvis(..) => 0,
            Node::Binary(op, ..) => op.sign().1,
            Node::Unary(..) => UNARY,
            Node::Const(Value::Int(n)) if *n < 0 => UNARY,
            Node::Const(Value::Real(x)) if x.is_sign_negative() => UNARY,
            _ => POSTFIX,
        };
        // A choice's condition must not be a choice; so it is 0, and needs 1.
        if binds < least {
            write!(out, "(")?;
            self.write(at, 0, names, out)?;
            return write!(out, ")");
        }
        match node {
            Node::Const(value) => write!(out, "{value}"),
            Node::Attr(side, name) => {
                let scope = match side {
                    Side::Any => "",
                    Side::My => "MY.",
                    Side::Target => "TARGET.",
                };
                write!(out, "{scope}")?;
                write_name(out, names.name(*name))
            }
            Node::Unary(op, a) => {
                let sign = match op {
                    UnaryOp::Minus => '-',
                    UnaryOp::Plus => '+',
                    UnaryOp::Not => '!',
                    UnaryOp::Invert => '~',
                };
                write!(out, "{sign}")?;
                self.write(*a, UNARY, names, out)
            }
            Node::Binary(op, a, b) => {
                let (sign, binds) = op.sign();
                self.write(*a, binds, names, out)?;
                write!(out, " {sign} ")?;
                self.write(*b, binds + 1, names, out)
            }
            Node::Choice(a, b, c) => {
                self.write(*a, 1, names, out)?;
                write!(out, " ? ")?;
                self.write(*b, 0, names, out)?;
                write!(out, " : ")?;
                self.write(*c, 0, names, out)
            }
            Node::Elvis(a, b) => {
                self.write(*a, 1, names, out)?;
                write!(out, " ?: ")?;
                self.write(*b, 0, names, out)
            }
            Node::Call(function, parts) => {
                write!(out, "{}(", <&str>::from(*function))?;
                self.write_list(parts, names, out)?;
                write!(out, ")")
            }
            Node::List(parts) => {
                write!(out, "{{")?;
                self.write_list(parts, names, out)?;
                write!(out, "}}")
            }
            Node::Ad(parts) => {
                write!(out, "[")?;
                for (i, (name, part)) in parts.iter().enumerate() {
                    if i > 0 {
                        write!(out, "; ")?;
                    }
                    write_name(out, names.name(*name))?;
                    write!(out, " = ")?;
                    self.write(*part, 0, names, out)?;
                }
                write!(out, "]")
            }
            Node::Index(a, b) => {
                self.write(*a, POSTFIX, names, out)?;
                write!(out, "[")?;
                self.write(*b, 0, names, out)?;
                write!(out, "]")
            }
            Node::Select(a, name) => {
                // After a bare word a dot would be a scope's, or a number's.
                write!(out, "(")?;
                self.write(*a, 0, names, out)?;
                write!(out, ").")?;
                write_name(out, names.name(*name))
            }
        }
    }
}

/// A name, in quotes unless it can stand as a word of its own.
fn write_name(out: &mut String, name: &str) -> std::fmt::Result {
    let mut bytes = name.bytes();
    let plain = bytes
        .next()
        .is_some_and(|b| b.is_ascii_alphabetic() || b == b'_')
        && bytes.all(|b| b.is_ascii_alphanumeric() || b == b'_');
    let lower = name.to_ascii_lowercase();
    let words = [
        "true",
        "false",
        "undefined",
        "error",
        "is",
        "isnt",
        "my",
        "target",
    ];
    if plain && !words.contains(&lower.as_str()) {
        write!(out, "{name}")
    } else {
        write_text(out, name, '\'')
    }
}

/// A set of named expressions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ad {
    attrs: IndexMap<u32, Expr>,
}

impl Ad {
    /// Sets an attribute.
    pub fn set(&mut self, name: u32, expr: Expr) {
        self.attrs.insert(name, expr);
    }

    /// Sets an attribute to a value.
    pub fn set_value(&mut self, name: u32, value: Value) {
        self.set(name, Expr::constant(value));
    }

    /// An attribute's expression.
    pub fn get(&self, name: u32) -> Option<&Expr> {
        self.attrs.get(&name)
    }

    /// All attributes, in the order in which they were set.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Expr)> {
        self.attrs.iter().map(|(&name, expr)| (name, expr))
    }
}
