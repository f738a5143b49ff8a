//! The catalogue file: errors with their remedies, and whole files of two operators.

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
fn the_examples_can_be_used_and_shown_again() {
    for text in EXAMPLES {
        let state = apply(&CatalogueState::default(), 0, text).unwrap();
        let shown = CatalogueFile::render(&view(&state)).unwrap();
        let again = CatalogueFile::parse(&shown).unwrap();
        assert!(again.entries.iter().all(|entry| entry.untouched));
        assert!(again.edits(&view(&state)).is_empty());
    }
}

#[test]
fn errors_name_entry_field_and_remedy() {
    let cases = [
        (
            "[works",
            expect![[r#"
            not readable as TOML: TOML parse error at line 1, column 7
              |
            1 | [works
              |       ^
            unclosed table, expected `]`
            Correct the place it points to"#]],
        ),
        (
            "[jobs.a]",
            expect![
                "`jobs` is not a table of a catalogue: use owners, pools, works, waves, policy or remove"
            ],
        ),
        (
            "[owners.a]\nwieght = 1",
            expect![
                "owners.a: unknown field `wieght`, expected one of `weight`, `max_running`, `max_queued`: correct the field it names"
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
            expect!["remove: `a` is not of the form works.NAME: correct the field it names"],
        ),
        (
            "[owners.a]\nseen = \"x\"",
            expect!["owners.a: `seen` is not a mark that `catalogue show` wrote: delete it"],
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
fn two_operators_with_whole_files_conflict_only_where_both_edited() {
    let state = apply(&CatalogueState::default(), 0, EXAMPLES[2]).unwrap();
    let shown = CatalogueFile::render(&view(&state)).unwrap();
    let one = shown.replace("max_unavailable = 1", "max_unavailable = 2");
    let two = shown.replace("weight = 2", "weight = 5");
    let both = apply(&apply(&state, 1, &one).unwrap(), 2, &two).unwrap();
    assert_eq!(both.pool(&"quotes".into()).unwrap().max_unavailable, 2);
    assert_eq!(both.owner(&"depot".into()).unwrap().weight, 5);
    let late = shown.replace("weight = 2", "weight = 7");
    let told = apply(&both, 3, &late).unwrap_err();
    assert!(
        told.contains("owners.depot is at revision 2, newer than 0"),
        "{told}"
    );
}
