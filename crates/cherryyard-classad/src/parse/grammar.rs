//! Generates the parser of `classad.pest` and defines the precedence of its operators.

use crate::operator::BinaryOp;
use pest::pratt_parser::{Assoc, Op, PrattParser};
use std::sync::LazyLock;

#[derive(pest_derive::Parser)]
#[grammar = "classad.pest"]
pub(super) struct Grammar;

/// Parser of operators with two operands, from the lowest precedence to the highest.
pub(super) static OPERATORS: LazyLock<PrattParser<Rule>> = LazyLock::new(|| {
    let left = |rule| Op::infix(rule, Assoc::Left);
    PrattParser::new()
        .op(left(Rule::or))
        .op(left(Rule::and))
        .op(left(Rule::bit_or))
        .op(left(Rule::bit_xor))
        .op(left(Rule::bit_and))
        .op(left(Rule::eq) | left(Rule::ne) | left(Rule::is) | left(Rule::isnt))
        .op(left(Rule::lt) | left(Rule::le) | left(Rule::gt) | left(Rule::ge))
        .op(left(Rule::shl) | left(Rule::shr) | left(Rule::ushr))
        .op(left(Rule::add) | left(Rule::sub))
        .op(left(Rule::mul) | left(Rule::div) | left(Rule::rem))
});

/// Returns the operator of an infix rule.
pub(super) fn binary_operator(rule: Rule) -> BinaryOp {
    match rule {
        Rule::or => BinaryOp::Or,
        Rule::and => BinaryOp::And,
        Rule::bit_or => BinaryOp::BitOr,
        Rule::bit_xor => BinaryOp::BitXor,
        Rule::bit_and => BinaryOp::BitAnd,
        Rule::eq => BinaryOp::Eq,
        Rule::ne => BinaryOp::Ne,
        Rule::is => BinaryOp::Is,
        Rule::isnt => BinaryOp::Isnt,
        Rule::lt => BinaryOp::Lt,
        Rule::le => BinaryOp::Le,
        Rule::gt => BinaryOp::Gt,
        Rule::ge => BinaryOp::Ge,
        Rule::shl => BinaryOp::Shl,
        Rule::shr => BinaryOp::Shr,
        Rule::ushr => BinaryOp::Ushr,
        Rule::add => BinaryOp::Add,
        Rule::sub => BinaryOp::Sub,
        Rule::mul => BinaryOp::Mul,
        Rule::div => BinaryOp::Div,
        // `rem` is the only remaining infix rule.
        _ => BinaryOp::Rem,
    }
}
