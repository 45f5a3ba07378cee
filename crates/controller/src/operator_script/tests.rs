use super::*;

#[test]
fn the_shipped_script_has_the_same_defaults_as_the_code() {
    assert_eq!(run(DEFAULT_SCRIPT).expect("valid script"), Tunables::default());
}

#[test]
fn every_invalid_setting_is_reported() {
    let errors = run(
        "return {patience = -1, headrom = 2, sick_after = 1.5, idle_spot = 'x', fenced_duties = 1,
            shared_order = 'on', overload_at = 0, class_floor = 0.6, team_weights = {one = 0, two = 1}}",
    )
    .expect_err("invalid settings");
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
            errors.iter().any(|error| error.to_string().contains(name)),
            "{name} in {errors:?}"
        );
    }
    for table in ["{1, 2}", "{one = 'x'}", "7", "{one = 0/0}"] {
        let errors = run(&format!("return {{team_weights = {table}}}")).expect_err(table);
        assert!(errors[0].to_string().contains("team_weights"), "{errors:?}");
    }
    let weights = run("return {team_weights = {one = 2}}").expect("valid script").team_weights;
    assert_eq!(weights.get("one"), Some(&2.0));
    let settings = crate::settings::tests::sample().to_string();
    let site = crate::settings::Settings::parse(&settings).expect("valid platform settings").site;
    let known = site.teams[0].name.clone();
    let text = format!("return {{team_weights = {{[\"{known}\"] = 2, nobody = 1}}}}");
    let errors = unknown_teams(&run(&text).expect("valid script"), &site);
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(errors, ["script: team_weights: nobody: no such team"]);
}

#[test]
fn a_script_cannot_run_forever_or_access_anything_outside_the_sandbox() {
    assert!(run("while true do end").expect_err("endless loop")[0]
        .to_string()
        .contains("too long"));
    assert!(run("local t = {} for i = 1, 1e9 do t[i] = ('x'):rep(100000) .. i end").is_err());
    for call in ["os.exit()", "io.open('x')", "require('x')", "dofile('x')", "load('x')()"] {
        assert!(run(&format!("{call} return {{}}")).is_err(), "{call}");
    }
    assert_eq!(run("return 7").expect_err("not a table").len(), 1);
}

/// Operators recognize errors by their messages, so a change of the text must be deliberate.
#[test]
fn error_messages_have_their_exact_text() {
    let messages = |text: &str| -> Vec<String> {
        run(text).expect_err(text).iter().map(ToString::to_string).collect()
    };
    assert_eq!(messages("return 7"), ["script: must return a table, not integer"]);
    assert_eq!(messages("error('odd')")[0], "script: runtime error: script:1: odd");
    assert_eq!(messages("while true do end")[0], "script: runtime error: runs for too long");
    let missing =
        read(Some(Path::new("/nonexistent/script"))).expect_err("missing file")[0].to_string();
    assert!(missing.starts_with("script: cannot read /nonexistent/script: "), "{missing}");
    assert_eq!(
        messages(
            "return {patience = 'x', headroom = 10.5, sick_after = 1.5, fenced_duties = 1,
             team_weights = {one = 1000}, headrom = 2}"
        ),
        [
            "script: patience: must be a number",
            "script: headroom: 10.5 is out of range: must be from 0 to 10",
            "script: sick_after: must be a whole number",
            "script: team_weights: one: 1000 is out of range: must be from 0.01 to 100",
            "script: fenced_duties: must be true or false",
            "script: headrom: no such setting",
        ]
    );
    assert_eq!(
        messages("return {team_weights = {one = 'x'}}"),
        ["script: team_weights: every entry must map a name to a number"]
    );
    assert_eq!(
        messages("return {team_weights = 7}"),
        ["script: team_weights: must be a table that maps names to numbers"]
    );
}
