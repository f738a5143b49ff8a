//! Catalogue files: error messages with remedies, and concurrent edits by two operators.

use expect_test::expect;
use jacinthhoist_codec::{CatalogueFile, CatalogueView, EntryView};
use jacinthhoist_core::{CatalogueChange, CatalogueState, Offset};

const EXAMPLES: [&str; 3] = [
    include_str!("../../../examples/ballycorrig/catalogue.toml"),
    include_str!("../../../examples/fotoproef/catalogue.toml"),
    include_str!("../../experiments/src/small.toml"),
];

fn view(state: &CatalogueState) -> CatalogueView {
    let entries = state.entries().map(|(id, slot, body)| EntryView {
        entry: id.clone(),
        revision: slot.revision,
        body: Some(body.clone()),
    });
    CatalogueView {
        revision: state.revision(),
        entries: entries.collect(),
    }
}

fn apply(state: &CatalogueState, offset: u64, text: &str) -> Result<CatalogueState, String> {
    let edits = CatalogueFile::parse(text)
        .map_err(|error| error.to_string())?
        .edits(&view(state));
    let change = CatalogueChange {
        operator: "o".to_owned(),
        edits,
    };
    state
        .with_change(Offset(offset), &change)
        .map_err(|error| error.to_string())
}

#[test]
fn examples_are_valid_and_round_trip_through_show() {
    for text in EXAMPLES {
        let state = apply(&CatalogueState::default(), 0, text).unwrap();
        let shown = CatalogueFile::render(&view(&state)).unwrap();
        let again = CatalogueFile::parse(&shown).unwrap();
        assert!(again.entries.iter().all(|entry| entry.unmodified));
        assert!(again.edits(&view(&state)).is_empty());
    }
}

#[test]
fn errors_name_the_entry_the_field_and_a_remedy() {
    let cases = [
        (
            "[works",
            expect![[r#"
            invalid TOML: TOML parse error at line 1, column 7
              |
            1 | [works
              |       ^
            unclosed table, expected `]`
            Correct the marked line"#]],
        ),
        (
            "[jobs.a]",
            expect![
                "`jobs` is not a table of the catalogue: use owners, pools, works, waves, policy or remove"
            ],
        ),
        (
            "[owners.a]\nwieght = 1",
            expect![
                "owners.a: unknown field `wieght`, expected one of `weight`, `max_running`, `max_queued`: correct that field"
            ],
        ),
        (
            "[owners.a]\nweight = 0",
            expect!["owners.a: field `weight` is 0: write a value from 1 to 1000"],
        ),
        (
            "[owners.\"a b\"]\n",
            expect![
                "owners.a b: field `name` cannot be used: use up to 64 letters, digits, `-`, `_` and `.`"
            ],
        ),
        (
            "[pools.a]\nbase_vms = 1\nmin_available = 2",
            expect!["pools.a: field `min_available` is 2: write a value from 0 to 1"],
        ),
        (
            "remove = [\"a\"]",
            expect!["remove: `a` is not of the form works.NAME: correct that field"],
        ),
        (
            "[owners.a]\nseen = \"x\"",
            expect!["owners.a: `seen` is not a value written by `catalogue show`: delete the line"],
        ),
        (
            "[policy]\nfloor_percent = [50, 30, 20]",
            expect!["policy.policy: field `floor_percent` is 100: write a value from 0 to 90"],
        ),
    ];
    for (text, expected) in cases {
        expected.assert_eq(&apply(&CatalogueState::default(), 0, text).unwrap_err());
    }
}

#[test]
fn full_files_of_two_operators_conflict_only_in_entries_that_both_edited() {
    let state = apply(&CatalogueState::default(), 0, EXAMPLES[2]).unwrap();
    let shown = CatalogueFile::render(&view(&state)).unwrap();
    let first = shown.replace("max_unavailable = 1", "max_unavailable = 2");
    let second = shown.replace("weight = 2", "weight = 5");
    let both = apply(&apply(&state, 1, &first).unwrap(), 2, &second).unwrap();
    assert_eq!(both.pool(&"quotes".into()).unwrap().max_unavailable, 2);
    assert_eq!(both.owner(&"depot".into()).unwrap().weight, 5);
    let late = shown.replace("weight = 2", "weight = 7");
    let message = apply(&both, 3, &late).unwrap_err();
    assert!(
        message.contains("owners.depot is at revision 2, newer than 0"),
        "{message}"
    );
}
