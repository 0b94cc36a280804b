//! Lists the names and arities of the language's functions.

/// The error that no function has this name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no function `{0}`")]
pub struct UnknownFunction(pub String);

macro_rules! functions {
    ($($variant:ident $name:literal $min_arguments:literal $max_arguments:literal,)*) => {
        /// A function of the language.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Function {
            $(
                #[doc = concat!("`", $name, "`")]
                $variant,
            )*
        }

        impl Function {
            /// All functions.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the smallest and the largest number of arguments that the function
            /// takes.
            pub fn arity(self) -> (usize, usize) {
                match self { $(Self::$variant => ($min_arguments, $max_arguments),)* }
            }
        }

        impl From<Function> for &'static str {
            fn from(function: Function) -> Self {
                match function { $(Function::$variant => $name,)* }
            }
        }
    };
}

functions! {
    IfThenElse "ifThenElse" 3 3,
    IsUndefined "isUndefined" 1 1,
    IsError "isError" 1 1,
    IsString "isString" 1 1,
    IsInteger "isInteger" 1 1,
    IsReal "isReal" 1 1,
    IsBoolean "isBoolean" 1 1,
    IsList "isList" 1 1,
    IsClassad "isClassad" 1 1,
    Int "int" 1 1,
    Real "real" 1 1,
    String "string" 1 1,
    Bool "bool" 1 1,
    Floor "floor" 1 1,
    Ceiling "ceiling" 1 1,
    Round "round" 1 1,
    Pow "pow" 2 2,
    Quantize "quantize" 2 2,
    Min "min" 1 1,
    Max "max" 1 1,
    Sum "sum" 1 1,
    Avg "avg" 1 1,
    Time "time" 0 0,
    Size "size" 1 1,
    Member "member" 2 2,
    IdenticalMember "identicalMember" 2 2,
    AnyCompare "anyCompare" 3 3,
    AllCompare "allCompare" 3 3,
    Strcat "strcat" 0 100,
    Join "join" 1 100,
    Split "split" 1 2,
    Substr "substr" 2 3,
    Strcmp "strcmp" 2 2,
    Stricmp "stricmp" 2 2,
    ToUpper "toUpper" 1 1,
    ToLower "toLower" 1 1,
    Regexp "regexp" 2 3,
    Regexps "regexps" 3 4,
    RegexpMember "regexpMember" 2 3,
    StringListMember "stringListMember" 2 3,
    StringListIMember "stringListIMember" 2 3,
    StringListSize "stringListSize" 1 2,
    StringListSum "stringListSum" 1 2,
    StringListAvg "stringListAvg" 1 2,
    StringListMin "stringListMin" 1 2,
    StringListMax "stringListMax" 1 2,
    StringListsIntersect "stringListsIntersect" 2 3,
    SplitUserName "splitUserName" 1 1,
    SplitSlotName "splitSlotName" 1 1,
}

impl std::str::FromStr for Function {
    type Err = UnknownFunction;

    /// Finds the function with this name, ignoring case.
    fn from_str(name: &str) -> Result<Self, UnknownFunction> {
        let has_name = |function: &&Self| <&str>::from(**function).eq_ignore_ascii_case(name);
        let found = Self::ALL.iter().find(has_name).copied();
        found.ok_or_else(|| UnknownFunction(name.to_string()))
    }
}
