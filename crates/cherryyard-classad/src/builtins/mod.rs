//! Implements the strict functions, which compute a value from evaluated arguments.
//!
//! The value of a strict function is `error` if any argument is `error`, else `undefined`
//! if any argument is `undefined`. The implementations return `None` for arguments that
//! they do not apply to, and the call then evaluates to `error`.

mod arguments;
mod list;
mod numeric;
mod pattern;
mod string_list;
mod text;

use crate::function::Function;
use crate::value::Value;
use arguments::Arguments;
use numeric::Aggregate;

/// Evaluates a call of a strict function.
pub(crate) fn call(function: Function, arguments: &[Value]) -> Value {
    if arguments.contains(&Value::Error) {
        return Value::Error;
    }
    if arguments.contains(&Value::Undefined) {
        return Value::Undefined;
    }
    dispatch(function, Arguments::new(arguments)).unwrap_or(Value::Error)
}

fn dispatch(function: Function, arguments: Arguments<'_>) -> Option<Value> {
    match function {
        Function::Int => numeric::round_by(arguments, f64::trunc),
        Function::Floor => numeric::round_by(arguments, f64::floor),
        Function::Ceiling => numeric::round_by(arguments, f64::ceil),
        Function::Round => numeric::round_by(arguments, f64::round_ties_even),
        Function::Real => numeric::real(arguments),
        Function::Bool => numeric::bool(arguments),
        Function::Pow => numeric::pow(arguments),
        Function::Quantize => numeric::quantize(arguments),
        Function::Min => list::aggregate(arguments, Aggregate::Min),
        Function::Max => list::aggregate(arguments, Aggregate::Max),
        Function::Sum => list::aggregate(arguments, Aggregate::Sum),
        Function::Avg => list::aggregate(arguments, Aggregate::Avg),
        Function::Size => list::size(arguments),
        Function::Member => list::member(arguments),
        Function::IdenticalMember => list::identical_member(arguments),
        Function::AnyCompare => list::any_compare(arguments),
        Function::AllCompare => list::all_compare(arguments),
        Function::String => text::string(arguments),
        Function::Strcat => text::strcat(arguments),
        Function::Join => text::join(arguments),
        Function::Substr => text::substr(arguments),
        Function::Strcmp => text::strcmp(arguments),
        Function::Stricmp => text::stricmp(arguments),
        Function::ToUpper => text::to_upper(arguments),
        Function::ToLower => text::to_lower(arguments),
        Function::SplitUserName => text::split_user_name(arguments),
        Function::SplitSlotName => text::split_slot_name(arguments),
        Function::Regexp => pattern::regexp(arguments),
        Function::Regexps => pattern::regexps(arguments),
        Function::RegexpMember => pattern::regexp_member(arguments),
        Function::Split => string_list::split(arguments),
        Function::StringListMember => string_list::member(arguments),
        Function::StringListIMember => string_list::member_ignoring_case(arguments),
        Function::StringListSize => string_list::size(arguments),
        Function::StringListSum => string_list::aggregate(arguments, Aggregate::Sum),
        Function::StringListAvg => string_list::aggregate(arguments, Aggregate::Avg),
        Function::StringListMin => string_list::aggregate(arguments, Aggregate::Min),
        Function::StringListMax => string_list::aggregate(arguments, Aggregate::Max),
        Function::StringListsIntersect => string_list::intersect(arguments),
        // The evaluator handles these, because they are not strict or need its state.
        Function::IfThenElse
        | Function::IsUndefined
        | Function::IsError
        | Function::IsString
        | Function::IsInteger
        | Function::IsReal
        | Function::IsBoolean
        | Function::IsList
        | Function::IsClassad
        | Function::Time => None,
    }
}
