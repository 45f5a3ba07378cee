use super::*;

#[test]
fn the_default_that_ships_is_what_the_code_defaults_to() {
    assert_eq!(run(DEFAULT).expect("valid"), Tunables::default());
}

#[test]
fn faults_are_named_and_all_of_them() {
    let faults = run(
        "return {patience = -1, headrom = 2, sick_after = 1.5, idle_spot = 'x', fenced_duties = 1,
            shared_order = 'on', overload_at = 0, class_floor = 0.6, team_weights = {one = 0, two = 1}}",
    )
    .expect_err("faults");
    for name in [
        "patience",
        "headrom",
        "sick_after",
        "idle_spot",
        "fenced_duties",
        "shared_order",
        "overload_at",
        "class_floor",
        "team_weights: one",
    ] {
        assert!(
            faults.iter().any(|fault| fault.to_string().contains(name)),
            "{name} in {faults:?}"
        );
    }
    for table in ["{1, 2}", "{one = 'x'}", "7", "{one = 0/0}"] {
        let faults = run(&format!("return {{team_weights = {table}}}")).expect_err(table);
        assert!(faults[0].to_string().contains("team_weights"), "{faults:?}");
    }
    let weights = run("return {team_weights = {one = 2}}").expect("valid").team_weights;
    assert_eq!(weights.get("one"), Some(&2.0));
    let settings = crate::settings::tests::sample().to_string();
    let site = crate::settings::Settings::parse(&settings).expect("settings").site;
    let known = site.teams[0].name.clone();
    let text = format!("return {{team_weights = {{[\"{known}\"] = 2, nobody = 1}}}}");
    let faults = unknown_teams(&run(&text).expect("valid"), &site);
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(faults, ["script: team_weights: nobody: no such team"]);
}

#[test]
fn a_script_cannot_run_on_or_reach_out() {
    assert!(run("while true do end").expect_err("endless")[0].to_string().contains("too long"));
    assert!(run("local t = {} for i = 1, 1e9 do t[i] = ('x'):rep(100000) .. i end").is_err());
    for reach in ["os.exit()", "io.open('x')", "require('x')", "dofile('x')", "load('x')()"] {
        assert!(run(&format!("{reach} return {{}}")).is_err(), "{reach}");
    }
    assert_eq!(run("return 7").expect_err("no table").len(), 1);
}

/// Operators know the faults by these words.
#[test]
fn faults_are_told_in_these_words() {
    let told = |text: &str| -> Vec<String> {
        run(text).expect_err(text).iter().map(ToString::to_string).collect()
    };
    assert_eq!(told("return 7"), ["script: must return a table, not integer"]);
    assert_eq!(told("error('odd')")[0], "script: runtime error: script:1: odd");
    assert_eq!(told("while true do end")[0], "script: runtime error: runs for too long");
    let missing = read(Some(Path::new("/nonexistent/script"))).expect_err("missing")[0].to_string();
    assert!(missing.starts_with("script: cannot read /nonexistent/script: "), "{missing}");
    assert_eq!(
        told(
            "return {patience = 'x', headroom = 10.5, sick_after = 1.5, fenced_duties = 1,
             team_weights = {one = 1000}, headrom = 2}"
        ),
        [
            "script: patience: must be a number",
            "script: headroom: 10.5 is not from 0 to 10",
            "script: sick_after: must be a whole number",
            "script: team_weights: one: 1000 is not from 0.01 to 100",
            "script: fenced_duties: must be true or false",
            "script: headrom: no such setting",
        ]
    );
    assert_eq!(
        told("return {team_weights = {one = 'x'}}"),
        ["script: team_weights: must hold numbers by name"]
    );
    assert_eq!(
        told("return {team_weights = 7}"),
        ["script: team_weights: must be a table of numbers by name"]
    );
}
