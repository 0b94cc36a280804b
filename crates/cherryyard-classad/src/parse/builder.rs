//! Converts the grammar's pairs to the nodes of an expression.

use super::error::{ParseError, ParseErrorKind};
use super::grammar::{OPERATORS, Rule, binary_operator};
use super::limits::{MAX_CHAIN, MAX_DEPTH};
use super::literal::{integer, real, unescape};
use crate::expr::{Expr, Node, NodeId, Side};
use crate::function::{Function, UnknownFunction};
use crate::names::{NameId, Names};
use crate::operator::{BinaryOp, UnaryOp};
use crate::value::Value;
use pest::iterators::Pair;

/// Builds the list of nodes of one expression.
pub(super) struct Builder<'a> {
    /// The whole text, for the positions of errors.
    text: &'a str,
    names: &'a mut Names,
    nodes: Vec<Node>,
}

/// A tree of operands and operators, structured by precedence.
enum OperatorTree<'i> {
    Operand(Pair<'i, Rule>),
    Operator(BinaryOp, Box<OperatorTree<'i>>, Box<OperatorTree<'i>>),
}

/// A step in converting an operator tree, whose left branch may be long, to nodes.
enum TreeStep<'i> {
    Visit(OperatorTree<'i>),
    Join(BinaryOp),
}

impl<'a> Builder<'a> {
    pub(super) fn new(text: &'a str, names: &'a mut Names) -> Self {
        Self {
            text,
            names,
            nodes: Vec::new(),
        }
    }

    /// Builds the expression of a pair of the rule `expr`.
    pub(super) fn build(mut self, pair: Pair<'_, Rule>) -> Result<Expr, ParseError> {
        self.expr(pair, 0)?;
        Ok(Expr { nodes: self.nodes })
    }

    fn push(&mut self, node: Node) -> NodeId {
        self.nodes.push(node);
        NodeId(self.nodes.len() as u32 - 1)
    }

    fn error(&self, pair: &Pair<'_, Rule>, kind: ParseErrorKind) -> ParseError {
        ParseError::at(self.text, pair.as_span().start(), kind)
    }

    fn exprs<'i>(
        &mut self,
        pairs: impl Iterator<Item = Pair<'i, Rule>>,
        depth: usize,
    ) -> Result<Box<[NodeId]>, ParseError> {
        pairs.map(|pair| self.expr(pair, depth)).collect()
    }

    fn expr(&mut self, pair: Pair<'_, Rule>, depth: usize) -> Result<NodeId, ParseError> {
        // Conditionals nest without brackets and add to the depth of brackets, hence the
        // factor of two.
        if depth > 2 * MAX_DEPTH {
            return Err(self.error(&pair, ParseErrorKind::TooDeep));
        }
        let mut inner = pair.into_inner();
        let Some(binary) = inner.next() else {
            return Ok(self.push(Node::Constant(Value::Error)));
        };
        let first = self.binary(binary, depth)?;
        let Some(conditional) = inner.next() else {
            return Ok(first);
        };
        let rule = conditional.as_rule();
        let branches = self.exprs(conditional.into_inner(), depth + 1)?;
        Ok(match (rule, &*branches) {
            (Rule::conditional, &[yes, no]) => self.push(Node::Conditional(first, yes, no)),
            (_, &[default, ..]) => self.push(Node::Elvis(first, default)),
            (_, []) => first,
        })
    }

    fn binary(&mut self, pair: Pair<'_, Rule>, depth: usize) -> Result<NodeId, ParseError> {
        if pair.clone().into_inner().count() > 2 * MAX_CHAIN {
            return Err(self.error(&pair, ParseErrorKind::TooManyOperators));
        }
        let tree = OPERATORS
            .map_primary(OperatorTree::Operand)
            .map_infix(|left, operator, right| {
                let operator = binary_operator(operator.as_rule());
                OperatorTree::Operator(operator, Box::new(left), Box::new(right))
            })
            .parse(pair.into_inner());
        // The tree of a chain of operators is deep on its left side and may be long: an
        // explicit stack replaces recursion. Operands are visited in the order of the text.
        let mut steps = vec![TreeStep::Visit(tree)];
        let mut built = Vec::new();
        while let Some(step) = steps.pop() {
            match step {
                TreeStep::Visit(OperatorTree::Operand(operand)) => {
                    built.push(self.unary(operand, depth)?);
                }
                TreeStep::Visit(OperatorTree::Operator(operator, left, right)) => {
                    steps.extend([
                        TreeStep::Join(operator),
                        TreeStep::Visit(*right),
                        TreeStep::Visit(*left),
                    ]);
                }
                TreeStep::Join(operator) => {
                    if let (Some(right), Some(left)) = (built.pop(), built.pop()) {
                        built.push(self.push(Node::Binary(operator, left, right)));
                    }
                }
            }
        }
        Ok(built.pop().unwrap_or(NodeId(0)))
    }

    fn unary(&mut self, pair: Pair<'_, Rule>, depth: usize) -> Result<NodeId, ParseError> {
        let mut signs = Vec::new();
        let mut value = NodeId(0);
        for part in pair.into_inner() {
            match part.as_rule() {
                Rule::sign => signs.push(match part.as_str() {
                    "-" => UnaryOp::Minus,
                    "+" => UnaryOp::Plus,
                    "!" => UnaryOp::Not,
                    _ => UnaryOp::Invert,
                }),
                _ => value = self.postfix(part, depth)?,
            }
        }
        for sign in signs.into_iter().rev() {
            value = self.push(Node::Unary(sign, value));
        }
        Ok(value)
    }

    fn postfix(&mut self, pair: Pair<'_, Rule>, depth: usize) -> Result<NodeId, ParseError> {
        let mut parts = pair.into_inner();
        let Some(atom) = parts.next() else {
            return Ok(self.push(Node::Constant(Value::Error)));
        };
        let mut value = self.atom(atom, depth)?;
        for (count, part) in parts.enumerate() {
            if count > MAX_DEPTH {
                return Err(self.error(&part, ParseErrorKind::TooDeep));
            }
            let rule = part.as_rule();
            for inner in part.into_inner() {
                value = if rule == Rule::index {
                    let index = self.expr(inner, depth + 1)?;
                    self.push(Node::Index(value, index))
                } else {
                    let name = self.name(&inner);
                    self.push(Node::Select(value, name))
                };
            }
        }
        Ok(value)
    }

    fn atom(&mut self, pair: Pair<'_, Rule>, depth: usize) -> Result<NodeId, ParseError> {
        let node = match pair.as_rule() {
            Rule::integer | Rule::real | Rule::string | Rule::keyword => {
                Node::Constant(self.literal(&pair)?)
            }
            Rule::name | Rule::root | Rule::scoped => self.attribute(pair),
            Rule::list => Node::List(self.exprs(pair.into_inner(), depth + 1)?),
            Rule::ad => self.nested_ad(pair, depth + 1)?,
            Rule::call => self.call(&pair, depth + 1)?,
            // An expression in parentheses.
            _ => {
                return match pair.clone().into_inner().next() {
                    Some(inner) => self.expr(inner, depth + 1),
                    None => Err(self.error(&pair, ParseErrorKind::NotAnExpression)),
                };
            }
        };
        Ok(self.push(node))
    }

    fn literal(&self, pair: &Pair<'_, Rule>) -> Result<Value, ParseError> {
        let text = pair.as_str();
        let error = |kind| self.error(pair, kind);
        match pair.as_rule() {
            Rule::integer => integer(text).ok_or_else(|| error(ParseErrorKind::NumberTooLarge)),
            Rule::real => real(text).ok_or_else(|| error(ParseErrorKind::BadNumber)),
            Rule::string => Ok(Value::text(&unescape(&text[1..text.len() - 1]))),
            // A keyword.
            _ => Ok(match text.to_ascii_lowercase().as_str() {
                "true" => Value::Bool(true),
                "false" => Value::Bool(false),
                "undefined" => Value::Undefined,
                _ => Value::Error,
            }),
        }
    }

    /// Builds an attribute reference: `name`, `MY.name`, `TARGET.name`, or `.name` for
    /// `MY.name`.
    fn attribute(&mut self, pair: Pair<'_, Rule>) -> Node {
        if pair.as_rule() == Rule::name {
            return Node::Attribute(Side::Any, self.name(&pair));
        }
        let has_scope = pair.as_rule() == Rule::scoped;
        let mut parts = pair.into_inner();
        let scope = if has_scope { parts.next() } else { None };
        let side = match scope {
            Some(scope) if !scope.as_str().eq_ignore_ascii_case("my") => Side::Target,
            Some(_) | None => Side::My,
        };
        let name = parts.next().map_or(NameId(0), |name| self.name(&name));
        Node::Attribute(side, name)
    }

    fn nested_ad(&mut self, pair: Pair<'_, Rule>, depth: usize) -> Result<Node, ParseError> {
        let mut attributes = Vec::new();
        for attribute in pair.into_inner() {
            let mut parts = attribute.into_inner();
            if let (Some(name), Some(value)) = (parts.next(), parts.next()) {
                let name = self.name(&name);
                attributes.push((name, self.expr(value, depth)?));
            }
        }
        Ok(Node::Ad(attributes.into()))
    }

    fn call(&mut self, pair: &Pair<'_, Rule>, depth: usize) -> Result<Node, ParseError> {
        let mut parts = pair.clone().into_inner();
        let name = parts.next().map_or("", |name| name.as_str());
        let function: Function = name.parse().map_err(|UnknownFunction(name)| {
            self.error(pair, ParseErrorKind::UnknownFunction(name))
        })?;
        let arguments = self.exprs(parts, depth)?;
        let (min_arguments, max_arguments) = function.arity();
        if arguments.len() < min_arguments || arguments.len() > max_arguments {
            let kind = ParseErrorKind::ArgumentCount {
                function: name.to_string(),
                given: arguments.len(),
            };
            return Err(self.error(pair, kind));
        }
        Ok(Node::Call(function, arguments))
    }

    /// Returns the id of a name, which may be quoted.
    pub(super) fn name(&mut self, pair: &Pair<'_, Rule>) -> NameId {
        let text = pair.as_str();
        let quoted = text
            .strip_prefix('\'')
            .and_then(|text| text.strip_suffix('\''));
        match quoted {
            Some(quoted) => self.names.intern(&unescape(quoted)),
            None => self.names.intern(text),
        }
    }
}
