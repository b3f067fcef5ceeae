//! The command line: check, help, version.
#![expect(clippy::too_many_lines)]

mod common;
use common::*;
use std::process::Output;

fn run(config: &str, operator: Option<&str>, words: &[&str]) -> Output {
    let config = write_config_file(config);
    let operator = operator.map(write_config_file);
    let mut command = gateway_command(&config);
    command.args(words);
    if let Some(file) = &operator {
        command.arg("--operator").arg(file);
    }
    let out = command.output().expect("it runs");
    let _ = std::fs::remove_file(config);
    operator.map(std::fs::remove_file);
    out
}

fn lines(out: &Output) -> Vec<String> {
    String::from_utf8_lossy(&out.stdout)
        .lines()
        .map(String::from)
        .collect()
}

fn fine() -> String {
    config_text("127.0.0.1:1".parse().expect("an address"), None, 2, "")
}

#[test]
fn check_finds_nothing_wrong_with_files_in_order() {
    let operator = "[membership]\nsource = \"dns-sd\"\n[dns-sd]\nservices = [\"_t._tcp.example.org\"]\nresolvers = [\"127.0.0.1:53\"]\n";
    for operator in [None, Some(operator)] {
        let out = run(&fine(), operator, &["check"]);
        assert_eq!(
            (out.status.code(), lines(&out)),
            (Some(0), vec!["no mistakes".into()])
        );
    }
}

#[test]
fn check_tells_every_mistake_in_both_files_with_place_and_what_is_right() {
    let config = fine()
        .replace("\"sockets\":256", "\"sockets\":8")
        .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\"")
        .replace(
            "\"aimUs\":4000000,\"deadlineUs\":8000000,\"effect\":\"repeatable\"",
            "\"aimUs\":\"long\",\"deadlineUs\":8000000,\"effect\":\"repeatable\"",
        )
        .replace("\"burst\":6", "\"burst\":[]")
        .replace("\"targets\":[]", "\"targets\":[{\"uid\":\"x\"}]");
    let operator = "[membership]\nsource = \"dns\"\nport = 5\n";
    let out = run(&config, Some(operator), &["check"]);
    let said = lines(&out);
    assert_eq!(out.status.code(), Some(1), "{said:?}");
    for (place, right) in [
        ("limits.sockets", "from 64 on"),
        ("listen", "an address and a port"),
        ("settings.services[0].aimUs", "correct its type"),
        ("settings.tariffs[2].burst", "correct its type"),
        ("known.targets[0]", "endpoint"),
        ("line 2, column 10", "[\"list\", \"dns-sd\"]"),
        ("line 3, column 1", "membership.port is not known"),
    ] {
        let told = said
            .iter()
            .any(|l| l.contains(&format!(": {place}: ")) && l.contains(right));
        assert!(told, "{place}: {said:#?}");
    }
    assert_eq!(
        said.last().map(String::as_str),
        Some("7 mistakes"),
        "{said:#?}"
    );
}

/// Guards against a start that fails on what each file alone does not show.
#[test]
fn check_compares_the_classes_and_plans_of_both_files() {
    let operator =
        "[diameter]\nlisten = \"127.0.0.1:0\"\nidentity = \"g\"\nrealm = \"r\"\ncheck_class = \"top-up\"\n\
                    charge_class = \"top-up\"\ndefault_plan = \"lille\"\n";
    let said = lines(&run(&fine(), Some(operator), &["check"]));
    assert!(
        said[0].contains("\"top-up\" is not of the effect") && said.len() == 2,
        "{said:?}"
    );
    let right = operator.replacen("top-up", "balance-check", 1);
    assert_eq!(
        lines(&run(&fine(), Some(&right), &["check"])),
        ["no mistakes"]
    );
    let other = right.replace("lille", "gold");
    assert!(lines(&run(&fine(), Some(&other), &["check"]))[0].contains("no plan \"gold\""));
}

#[test]
fn settings_that_make_no_sense_are_all_told() {
    let config = fine()
        .replace("\"balancers\":2", "\"balancers\":0")
        .replace("\"pays\":1.0", "\"pays\":-1.0");
    let out = run(&config, None, &["check"]);
    // Too few gateways, and three plans.
    assert_eq!(
        lines(&out).last().map(String::as_str),
        Some("4 mistakes"),
        "{:#?}",
        lines(&out)
    );
}

#[test]
fn help_and_version_name_what_there_is() {
    let help = run(&fine(), None, &["--help"]);
    let text = lines(&help).join("\n");
    assert!(
        help.status.success() && text.contains("check") && text.contains("--operator"),
        "{text}"
    );
    let version = run(&fine(), None, &["--version"]);
    assert!(lines(&version)[0].starts_with("frosthatch "));
    assert_eq!(run(&fine(), None, &["--wrong"]).status.code(), Some(2));
}

/// What can be done without a running gateway: a document is checked by itself, against this gateway, and a keeper's folder is made once.
#[test]
fn a_policy_is_checked_and_a_keeper_set_up_without_a_gateway() {
    let config = fine();
    // Mistakes go to standard error, but for those that `check` is there to tell.
    let said = |out: &Output| {
        let all = [out.stdout.clone(), out.stderr.clone()].concat();
        String::from_utf8_lossy(&all)
            .lines()
            .map(String::from)
            .collect::<Vec<_>>()
    };
    let folder = std::env::temp_dir().join(format!("frosthatch-init-{}", std::process::id()));
    let key = write_config_file(&"k".repeat(40));
    let table = |more: &str| {
        let fleet = format!(
            "[fleet]\nlisten = \"127.0.0.1:0\"\nkey_file = \"{}\"\n",
            key.display()
        );
        format!("{fleet}[policy]\nkeepers = [\"a\", \"b\", \"c\"]\nfolder = {folder:?}\n{more}")
    };
    let init = |name: &str| {
        run(
            &config,
            Some(&table("")),
            &["policy", "init", "--name", name],
        )
    };
    assert!(said(&init("x"))
        .iter()
        .any(|l| l.contains("x is none of the keepers a, b, c")));
    assert!(init("a").status.success());
    let again = init("a");
    assert!(
        !again.status.success()
            && said(&again)
                .iter()
                .any(|l| l.contains("there is a state already"))
    );
    let _ = std::fs::remove_dir_all(&folder);

    let wrong = run(
        &config,
        Some(&table("lease_ms = 1\non_lost = \"hope\"\n")),
        &["check"],
    );
    for what in [
        "policy.lease_ms is 1; write a whole number from 200",
        "policy.on_lost is \"hope\"",
    ] {
        assert!(
            said(&wrong).iter().any(|l| l.contains(what)),
            "{what}: {:?}",
            said(&wrong)
        );
    }
    let alone = run(
        &config,
        Some("[policy]\nkeepers = [\"a\", \"a\"]\n"),
        &["check"],
    );
    assert!(
        said(&alone)
            .iter()
            .any(|l| l.contains("there is no [fleet]")),
        "{:?}",
        said(&alone)
    );
    assert!(
        said(&alone).iter().any(|l| l.contains("a name twice")),
        "{:?}",
        said(&alone)
    );

    // In order, but this gateway knows no such plan.
    let text = "version = 1\n[plans.none]\nrate = 1\nburst = 2\n[classes.none]\naim_ms = 5\nworth = 1\nlate_worth = 0\n";
    let document = write_config_file(text);
    let check = run(
        &config,
        None,
        &["policy", "check", document.to_str().expect("a path")],
    );
    assert!(!check.status.success());
    assert!(
        said(&check)
            .iter()
            .any(|l| l.contains("there is no plan \"none\" here")),
        "{:?}",
        said(&check)
    );
    let schema = run(&config, None, &["policy", "schema"]);
    assert!(said(&schema).iter().any(|l| l.contains("ceiling_depth")));
}
