//! Tests the ClassAd language with tables of expressions, with properties, and with hostile
//! texts.

use cherryyard_classad::{Ad, Expr, Function, Names, Scope, Value, fold};
use proptest::prelude::*;

const MY: &str = r#"[ Cpus = 2; Memory = 4096; Image = "posting-7"; Owner = "ayesha";
    Need = Cpus * 2; Loop = Pool; Pool = Loop; WantSpot = undefined;
    List = {1, 2.5, "three", undefined}; Other = [ a = 1; b = a + 1 ] ]"#;
const TARGET: &str = r#"[ Cpus = 8; Memory = 16K; Zone = "lahore-east"; Spot = false;
    Back = TARGET.Cpus; Start = TARGET.Owner == "AYESHA"; 'odd name' = 3 ]"#;

fn eval(text: &str) -> String {
    let mut names = Names::default();
    let my = Ad::parse(MY, &mut names).unwrap();
    let target = Ad::parse(TARGET, &mut names).unwrap();
    let expr = Expr::parse(text, &mut names).unwrap_or_else(|e| panic!("{text}: {e}"));
    let scope = Scope {
        my: &my,
        target: Some(&target),
        now: 1_000_000,
    };
    let value = scope.evaluate(&expr);
    // Folding an expression, and printing and parsing it again, must not change its value.
    let folded = fold(&expr, &my);
    assert!(
        have_same_text(&scope.evaluate(&folded), &value),
        "{text}, folded: {}",
        folded.print(&names)
    );
    let reparsed = Expr::parse(&expr.print(&names), &mut names).unwrap();
    assert!(
        have_same_text(&scope.evaluate(&reparsed), &value),
        "{text}, printed"
    );
    value.to_string()
}

fn have_same_text(a: &Value, b: &Value) -> bool {
    a.to_string() == b.to_string()
}

fn check_table(rows: &[(&str, &str)]) {
    for (text, value) in rows {
        assert_eq!(eval(text), *value, "{text}");
    }
}

/// Guards against wrong values of literals and arithmetic operators.
#[test]
fn literals_and_arithmetic() {
    check_table(&[
        ("1 + 2 * 3", "7"),
        ("(1 + 2) * 3", "9"),
        ("7 / 2", "3"),
        ("-7 % 3", "-1"),
        ("7 / 2.0", "3.5"),
        ("1 / 0", "error"),
        ("2K", "2048"),
        ("1.5M", "1572864.0"),
        ("0x1f", "31"),
        ("017", "15"),
        ("1e3", "1000.0"),
        (".5", "0.5"),
        ("true + 1", "2"),
        ("\"a\" + 1", "error"),
        ("1 << 4 | 3", "19"),
        ("-1 >>> 60", "15"),
        ("~0", "-1"),
        ("- - 3", "3"),
        (r#""tab\tq\"\\ \101""#, r#""tab\tq\"\\ A""#),
    ]);
}

/// Guards against wrong results of operators on `undefined` and `error`, and of comparisons
/// across types.
#[test]
fn logic_with_undefined_and_error() {
    let values = ["true", "false", "undefined", "error"];
    // Rows are the first operand and columns the second, in the order true, false,
    // undefined, error.
    let and = ["tfue", "ffff", "ufue", "eeee"];
    let or = ["tttt", "tfue", "tuue", "eeee"];
    let letter = |v: &str| v.chars().next().unwrap();
    for (i, a) in values.iter().enumerate() {
        for (k, b) in values.iter().enumerate() {
            let expect = |rows: [&str; 4]| rows[i].chars().nth(k).unwrap();
            let got = |op: &str| letter(&eval(&format!("{a} {op} {b}")));
            assert_eq!(got("&&"), expect(and), "{a} && {b}");
            assert_eq!(got("||"), expect(or), "{a} || {b}");
        }
    }
    check_table(&[
        ("!undefined", "undefined"),
        ("undefined == 1", "undefined"),
        ("undefined + error", "error"),
        ("undefined =?= undefined", "true"),
        ("error =?= error", "true"),
        ("1 =?= 1.0", "false"),
        ("1 == 1.0", "true"),
        ("\"A\" == \"a\"", "true"),
        ("\"A\" =?= \"a\"", "false"),
        ("\"A\" =!= \"a\"", "true"),
        ("\"b\" > \"A\"", "true"),
        ("1 == \"1\"", "error"),
        ("undefined is undefined", "true"),
        ("3 isnt 3", "false"),
        ("undefined ? 1 : 2", "undefined"),
        ("\"x\" ? 1 : 2", "error"),
        ("1 ? 2 : 3 ? 4 : 5", "2"),
        ("NoSuch ?: 4", "4"),
        ("0 ?: 4", "0"),
        ("5 && 0.0", "false"),
    ]);
}

/// Guards against attributes that are looked up in the wrong ad, and cyclic references
/// without end.
#[test]
fn attributes_and_scopes() {
    check_table(&[
        ("cPUS", "2"),
        ("TARGET.Cpus", "8"),
        ("target.memory", "16384"),
        ("Zone", "\"lahore-east\""),
        ("MY.Zone", "undefined"),
        ("Need", "4"),
        ("TARGET.Back", "2"),
        ("TARGET.Start", "true"),
        ("TARGET.'odd name'", "3"),
        ("NoSuch >= 4", "undefined"),
        ("NoSuch >= 4 || TARGET.Cpus >= 4", "true"),
        ("Loop", "error"),
        ("List[1]", "2.5"),
        ("List[9]", "error"),
        ("Other.b", "2"),
        ("[a = 2; b = a * Cpus].b", "4"),
        ("[a = 1; b = [c = a + 1]].b.c", "2"),
        ("{1, {2, 3}}[1][0]", "2"),
        ("size(List)", "4"),
        (
            "TARGET.Memory >= Memory && (TARGET.Spot =!= true || WantSpot)",
            "true",
        ),
    ]);
}

/// Guards against wrong values of functions, and functions that cannot be found by their
/// name.
#[test]
fn functions() {
    check_table(&[
        ("ifThenElse(undefined, 1, 2)", "undefined"),
        ("ifThenElse(Cpus > 1, \"many\", 1/0)", "\"many\""),
        ("isUndefined(NoSuch) && !isError(1)", "true"),
        ("isError(1/0)", "true"),
        ("int(3.9) + int(\"4\")", "7"),
        ("floor(-1.5)", "-2"),
        ("ceiling(1.2)", "2"),
        ("round(2.5)", "2"),
        ("real(\"2.5\")", "2.5"),
        ("string(12) == \"12\"", "true"),
        ("strcat(\"a\", 1, true)", "\"a1true\""),
        ("strcat(\"a\", NoSuch)", "undefined"),
        ("join(\",\", \"a\", \"b\")", "\"a,b\""),
        ("substr(\"abcdef\", 2, 3)", "\"cde\""),
        ("substr(\"abcdef\", -2)", "\"ef\""),
        ("substr(\"abcdef\", 1, -2)", "\"bcd\""),
        ("toUpper(\"aB\")", "\"AB\""),
        ("TOLOWER(\"aB\")", "\"ab\""),
        ("regexp(\"^lahore-\", Zone)", "true"),
        ("regexp(\"LAHORE\", Zone, \"i\")", "true"),
        ("regexp(\"(\", Zone)", "error"),
        (
            "regexps(\"([a-z]+)-(.*)\", Zone, \"\\\\2/\\\\1\")",
            "\"east/lahore\"",
        ),
        ("stringListMember(\"b\", \"a, b,c\")", "true"),
        ("stringListIMember(\"B\", \"a b c\")", "true"),
        ("stringListSize(\"a:b\", \":\")", "2"),
        ("stringListSum(\"1, 2\")", "3"),
        ("stringListMax(\"1, 2.5\")", "2.5"),
        ("stringListsIntersect(\"a,b\", \"b,c\")", "true"),
        ("member(\"THREE\", List)", "true"),
        ("identicalMember(\"THREE\", List)", "false"),
        ("anyCompare(\">\", {1, 5}, 4)", "true"),
        ("splitUserName(\"ayesha@multan\")[1]", "\"multan\""),
        ("split(\"a, b\")", "{\"a\", \"b\"}"),
        ("quantize(5, 4)", "8"),
        ("quantize(5, {4, 16})", "16"),
        ("max({1, 2.5})", "2.5"),
        ("sum({1, 2, undefined})", "3"),
        ("pow(2, 10)", "1024"),
        ("time()", "1000000"),
    ]);
    for function in Function::ALL {
        let name = <&str>::from(*function);
        assert_eq!(name.to_uppercase().parse(), Ok(*function), "{name}");
    }
}

/// Guards against folding that leaves parts that the job alone decides, or replaces parts
/// that depend on the target.
#[test]
fn folding_keeps_only_what_depends_on_the_target() {
    let mut names = Names::default();
    let my = Ad::parse(MY, &mut names).unwrap();
    let mut folded = |text: &str| {
        let expr = Expr::parse(text, &mut names).unwrap();
        fold(&expr, &my).print(&names)
    };
    assert_eq!(folded("TARGET.Cpus >= Need"), "TARGET.Cpus >= 4");
    assert_eq!(folded("Cpus > 5 && TARGET.X"), "false");
    assert_eq!(
        folded("MY.NoSuch || Zone == strcat(\"a\", Cpus)"),
        "undefined || TARGET.Zone == \"a2\""
    );
    assert_eq!(folded("Cpus == 2 ? TARGET.P : TARGET.Q"), "TARGET.P");
    assert_eq!(folded("time() > 5"), "time() > 5");
    assert_eq!(folded("Loop || TARGET.P"), "Loop || TARGET.P");
}

/// Guards against parse errors with a wrong position or text.
#[test]
fn errors_name_line_and_column() {
    let error = |text: &str| {
        Expr::parse(text, &mut Names::default())
            .unwrap_err()
            .to_string()
    };
    assert_eq!(error("Cpus >=\n  * 2"), "2:3: expected a value");
    assert!(error("1 + nosuch(2)").starts_with("1:5: no function `nosuch`"));
    assert_eq!(error("size()"), "1:1: `size` does not take 0 arguments");
    assert_eq!(error("1 2").split(": ").next(), Some("1:3"));
    assert_eq!(error("99999999999999999999"), "1:1: too large a number");
    assert!(error("").starts_with("1:1: "));
    assert!(error("\"open").starts_with("1:1: "));
}

/// Guards against hostile texts that exhaust time or memory; each must lead to an error, or
/// stay unfolded, within the bounds.
#[test]
fn hostile_texts_are_refused() {
    let mut names = Names::default();
    let mut error = |text: &str| Expr::parse(text, &mut names).unwrap_err().kind.to_string();
    let deep = format!("{}1{}", "(".repeat(10_000), ")".repeat(10_000));
    assert_eq!(error(&deep), "nested too deep");
    assert_eq!(error(&"[a=".repeat(5000)), "nested too deep");
    assert_eq!(
        error(&format!("{}1", "!".repeat(50_000))),
        "nested too deep"
    );
    assert_eq!(error(&"1?".repeat(10_000)), "nested too deep");
    assert_eq!(
        error(&vec!["a"; 20_000].join("+")),
        "more than 250 operators in a row"
    );
    assert_eq!(error(&"x".repeat(70_000)), "longer than 64 KiB");
    // Each attribute refers to the previous one twice, so an unbounded evaluation takes
    // 2^60 steps.
    let mut ad = String::from("[a0 = 1");
    for i in 1..60 {
        ad += &format!("; a{i} = a{} + a{}", i - 1, i - 1);
    }
    let ad = Ad::parse(&(ad + "]"), &mut names).unwrap();
    let scope = Scope {
        my: &ad,
        target: None,
        now: 0,
    };
    let last = names.get("a59").unwrap();
    assert_eq!(scope.attribute(last), Value::Error);
    let expr = Expr::parse("a59 || TARGET.X", &mut names).unwrap();
    assert_eq!(fold(&expr, &ad), expr, "too large to fold: left as it is");
}

fn any_expr() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        any::<u32>().prop_map(|n| n.to_string()),
        (0.0..1e9f64).prop_map(|x| format!("{x:?}")),
        "[ -~]{0,8}".prop_map(|s| format!("\"{}\"", s.replace('\\', "\\\\").replace('"', "\\\""))),
        prop::sample::select(vec![
            "true",
            "false",
            "undefined",
            "error",
            "Cpus",
            "MY.Memory",
            "TARGET.Cpus",
            "Zone",
            "NoSuch",
            "Need",
            "List",
            "'odd name'",
        ])
        .prop_map(str::to_string),
    ];
    leaf.prop_recursive(5, 60, 4, |inner| {
        let ops = vec![
            "||", "&&", "|", "^", "&", "==", "!=", "=?=", "=!=", "<", "<=", ">", ">=", "<<", ">>",
            ">>>", "+", "-", "*", "/", "%",
        ];
        prop_oneof![
            (inner.clone(), prop::sample::select(ops), inner.clone())
                .prop_map(|(a, op, b)| format!("{a} {op} {b}")),
            inner.clone().prop_map(|a| format!("({a})")),
            (
                prop::sample::select(vec!["-", "!", "~", "+"]),
                inner.clone()
            )
                .prop_map(|(s, a)| format!("{s}({a})")),
            (inner.clone(), inner.clone(), inner.clone())
                .prop_map(|(a, b, c)| format!("({a}) ? {b} : {c}")),
            (inner.clone(), inner.clone()).prop_map(|(a, b)| format!("({a}) ?: ({b})")),
            prop::collection::vec(inner.clone(), 0..4)
                .prop_map(|all| format!("{{{}}}", all.join(", "))),
            (inner.clone(), inner.clone()).prop_map(|(a, b)| format!("ifThenElse({a}, {b}, 1)")),
            inner.clone().prop_map(|a| format!("isUndefined({a})")),
            inner.prop_map(|a| format!("strcat(\"x\", {a})")),
        ]
    })
}

proptest! {
    /// Guards against printing and folding that change the value of an expression, and
    /// against panics: every evaluation must end in a value.
    #[test]
    fn printing_and_folding_preserve_values(text in any_expr()) {
        let mut names = Names::default();
        let my = Ad::parse(MY, &mut names).unwrap();
        let target = Ad::parse(TARGET, &mut names).unwrap();
        let expr = Expr::parse(&text, &mut names).unwrap();
        let printed = expr.print(&names);
        let reparsed = Expr::parse(&printed, &mut names).unwrap();
        prop_assert_eq!(reparsed.print(&names), printed);
        let scope = Scope { my: &my, target: Some(&target), now: 7 };
        let value = scope.evaluate(&expr);
        prop_assert!(have_same_text(&scope.evaluate(&reparsed), &value));
        let folded = fold(&expr, &my);
        prop_assert!(have_same_text(&scope.evaluate(&folded), &value), "{}", folded.print(&names));
    }

    /// Guards against panics: any text leads to an expression or an error.
    #[test]
    fn arbitrary_text_does_not_panic(text in "[a-z0-9 .()\\[\\]{}\"'?:=<>&|!+*/%;,\\\\-]{0,60}") {
        let _ = Expr::parse(&text, &mut Names::default());
        let _ = Ad::parse(&text, &mut Names::default());
    }
}
