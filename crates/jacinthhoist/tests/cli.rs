//! Command-line client against a running system: tables, JSON and exit codes.

use std::{net::SocketAddr, path::PathBuf, process::Output};

use expect_test::expect;
use jacinthhoist_experiments::{FleetPlan, LocalFleet};
use tokio::process::Command;

const CLI: &str = env!("CARGO_BIN_EXE_jacinthhoist");

fn write(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

async fn run(admin: SocketAddr, args: &[&str]) -> Output {
    Command::new(CLI)
        .arg("--admin")
        .arg(admin.to_string())
        .args(args)
        .output()
        .await
        .unwrap()
}

fn output_text(output: &Output) -> String {
    let text = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    String::from_utf8(text).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_show_and_change_a_running_system() {
    let fleet = LocalFleet::start(FleetPlan::small()).await;
    let admin = fleet.admin(0);
    let pools = run(admin, &["pools"]).await;
    expect![[r#"
        POOL           VMS  AVAILABLE  MIN  MAX OUT  MAINTENANCE  ARRIVING  RUNNING  WAITING
        quotes         4    4          2    1        0            0         0        0
        spare (spare)  2    2          0    2        0            0         0        0
    "#]]
    .assert_eq(&output_text(&pools));
    for view in ["status", "vms", "members"] {
        let table = run(admin, &[view]).await;
        assert!(table.status.success(), "{}", output_text(&table));
        let json = run(admin, &["--json", view]).await;
        assert!(serde_json::from_slice::<serde_json::Value>(&json.stdout).is_ok());
    }
    let shown = run(admin, &["catalogue", "show"]).await;
    let file = write(
        "shown.toml",
        &output_text(&shown).replace("weight = 2", "weight = 3"),
    );
    let path = file.to_str().unwrap();
    let diff = output_text(&run(admin, &["catalogue", "diff", path]).await);
    assert!(diff.contains("change  owners.depot"), "{diff}");
    let applied = run(admin, &["catalogue", "apply", "--wait", "30", path]).await;
    assert_eq!(applied.status.code(), Some(0), "{}", output_text(&applied));
    assert!(output_text(&applied).contains("is in force on every live member"));
    let unchanged = run(admin, &["catalogue", "apply", path]).await;
    assert_eq!(output_text(&unchanged), "no changes\n");
    let conflicting = write(
        "conflicting.toml",
        &output_text(&shown).replace("weight = 2", "weight = 9"),
    );
    let refused = run(
        admin,
        &["catalogue", "apply", conflicting.to_str().unwrap()],
    )
    .await;
    assert_eq!(refused.status.code(), Some(1));
    assert!(
        output_text(&refused).contains("refused: owners.depot is at revision"),
        "{}",
        output_text(&refused)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn exit_codes_distinguish_invalid_files_from_unreachable_members() {
    let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
    let good = write(
        "good.toml",
        include_str!("../../experiments/src/small.toml"),
    );
    let bad = write("bad.toml", "[owners.a]\nweight = 0\n");
    let cases = [
        (
            vec!["catalogue", "check", good.to_str().unwrap()],
            0,
            "7 entries are valid",
        ),
        (
            vec!["catalogue", "check", bad.to_str().unwrap()],
            2,
            "field `weight` is 0: write a value from 1 to 1000",
        ),
        (
            vec!["catalogue", "check", "no-such-file"],
            2,
            "cannot be read",
        ),
        (
            vec!["status"],
            3,
            "set --admin to the admin address of a running member",
        ),
    ];
    for (args, code, expected) in cases {
        let output = run(unreachable, &args).await;
        assert_eq!(
            output.status.code(),
            Some(code),
            "{args:?}: {}",
            output_text(&output)
        );
        assert!(
            output_text(&output).contains(expected),
            "{args:?}: {}",
            output_text(&output)
        );
    }
}
