use super::*;

#[test]
fn the_default_that_ships_is_what_the_code_defaults_to() {
    assert_eq!(run(DEFAULT).expect("valid"), Tunables::default());
}

#[test]
fn faults_are_named_and_all_of_them() {
    let faults = run(
        "return {patience = -1, headrom = 2, sick_after = 1.5, idle_spot = 'x', fenced_duties = 1}",
    )
    .expect_err("faults");
    for name in ["patience", "headrom", "sick_after", "idle_spot", "fenced_duties"] {
        assert!(faults.iter().any(|f| f.contains(name)), "{name} in {faults:?}");
    }
}

#[test]
fn a_script_cannot_run_on_or_reach_out() {
    assert!(run("while true do end").expect_err("endless")[0].contains("too long"));
    assert!(run("local t = {} for i = 1, 1e9 do t[i] = ('x'):rep(100000) .. i end").is_err());
    for reach in ["os.exit()", "io.open('x')", "require('x')", "dofile('x')", "load('x')()"] {
        assert!(run(&format!("{reach} return {{}}")).is_err(), "{reach}");
    }
    assert_eq!(run("return 7").expect_err("no table").len(), 1);
}
