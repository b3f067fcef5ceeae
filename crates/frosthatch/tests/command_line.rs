//! The command line: `check`, `policy`, help and version.
#![expect(clippy::too_many_lines)]

mod common;
use common::*;
use std::process::Output;

fn run(config: &str, operator: Option<&str>, arguments: &[&str]) -> Output {
    let config = write_config_file(config);
    let operator = operator.map(write_config_file);
    let mut command = gateway_command(&config);
    command.args(arguments);
    if let Some(file) = &operator {
        command.arg("--operator").arg(file);
    }
    let out = command.output().expect("the gateway binary runs");
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

fn valid_config() -> String {
    config_text(
        "127.0.0.1:1".parse().expect("the text is a socket address"),
        None,
        2,
        "",
    )
}

#[test]
fn check_accepts_valid_files() {
    let operator = "[membership]\nsource = \"dns-sd\"\n[dns-sd]\nservices = [\"_t._tcp.example.org\"]\nresolvers = [\"127.0.0.1:53\"]\n";
    for operator in [None, Some(operator)] {
        let out = run(&valid_config(), operator, &["check"]);
        assert_eq!(
            (out.status.code(), lines(&out)),
            (Some(0), vec!["no mistakes".into()])
        );
    }
}

#[test]
fn check_reports_every_mistake_in_both_files_with_its_location_and_what_is_expected() {
    let config = valid_config()
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
    let printed = lines(&out);
    assert_eq!(out.status.code(), Some(1), "{printed:?}");
    for (location, expected) in [
        ("limits.sockets", "from 64 on"),
        ("listen", "an address and a port"),
        ("settings.services[0].aimUs", "correct its type"),
        ("settings.tariffs[2].burst", "correct its type"),
        ("known.targets[0]", "endpoint"),
        ("line 2, column 10", "[\"list\", \"dns-sd\"]"),
        ("line 3, column 1", "membership.port is not known"),
    ] {
        let reported = printed
            .iter()
            .any(|l| l.contains(&format!(": {location}: ")) && l.contains(expected));
        assert!(reported, "{location}: {printed:#?}");
    }
    assert_eq!(
        printed.last().map(String::as_str),
        Some("7 mistakes"),
        "{printed:#?}"
    );
}

/// Guards against a start that fails on a mismatch between the files that neither shows alone.
#[test]
fn check_compares_the_classes_and_plans_of_both_files() {
    let operator =
        "[diameter]\nlisten = \"127.0.0.1:0\"\nidentity = \"g\"\nrealm = \"r\"\ncheck_class = \"top-up\"\n\
                    charge_class = \"top-up\"\ndefault_plan = \"lille\"\n";
    let printed = lines(&run(&valid_config(), Some(operator), &["check"]));
    assert!(
        printed[0].contains("\"top-up\" is not of the effect") && printed.len() == 2,
        "{printed:?}"
    );
    let corrected = operator.replacen("top-up", "balance-check", 1);
    assert_eq!(
        lines(&run(&valid_config(), Some(&corrected), &["check"])),
        ["no mistakes"]
    );
    let unknown_plan = corrected.replace("lille", "gold");
    assert!(
        lines(&run(&valid_config(), Some(&unknown_plan), &["check"]))[0]
            .contains("no plan \"gold\"")
    );
}

#[test]
fn check_reports_all_invalid_settings() {
    let config = valid_config()
        .replace("\"balancers\":2", "\"balancers\":0")
        .replace("\"pays\":1.0", "\"pays\":-1.0");
    let out = run(&config, None, &["check"]);
    // One mistake is the number of gateways, three are in the plans.
    assert_eq!(
        lines(&out).last().map(String::as_str),
        Some("4 mistakes"),
        "{:#?}",
        lines(&out)
    );
}

#[test]
fn help_and_version_name_the_subcommands_options_and_program() {
    let help = run(&valid_config(), None, &["--help"]);
    let text = lines(&help).join("\n");
    assert!(
        help.status.success() && text.contains("check") && text.contains("--operator"),
        "{text}"
    );
    let version = run(&valid_config(), None, &["--version"]);
    assert!(lines(&version)[0].starts_with("frosthatch "));
    assert_eq!(
        run(&valid_config(), None, &["--wrong"]).status.code(),
        Some(2)
    );
}

/// Subcommands that need no running gateway: `policy check` checks a document by itself and against this
/// gateway's configuration, `policy init` creates an acceptor's state once.
#[test]
fn a_policy_is_checked_and_an_acceptor_set_up_without_a_gateway() {
    let config = valid_config();
    // Mistakes are printed to standard error, but `check` prints them to standard output.
    let printed = |out: &Output| {
        let all = [out.stdout.clone(), out.stderr.clone()].concat();
        String::from_utf8_lossy(&all)
            .lines()
            .map(String::from)
            .collect::<Vec<_>>()
    };
    let state_directory =
        std::env::temp_dir().join(format!("frosthatch-init-{}", std::process::id()));
    let key = write_config_file(&"k".repeat(40));
    let table = |extra: &str| {
        let fleet = format!(
            "[fleet]\nlisten = \"127.0.0.1:0\"\nkey_file = \"{}\"\n",
            key.display()
        );
        format!("{fleet}[policy]\nkeepers = [\"a\", \"b\", \"c\"]\nfolder = {state_directory:?}\n{extra}")
    };
    let init_acceptor = |name: &str| {
        run(
            &config,
            Some(&table("")),
            &["policy", "init", "--name", name],
        )
    };
    assert!(printed(&init_acceptor("x"))
        .iter()
        .any(|l| l.contains("x is none of the keepers a, b, c")));
    assert!(init_acceptor("a").status.success());
    let second = init_acceptor("a");
    assert!(
        !second.status.success()
            && printed(&second)
                .iter()
                .any(|l| l.contains("there is a state already"))
    );
    let _ = std::fs::remove_dir_all(&state_directory);

    let invalid_values = run(
        &config,
        Some(&table("lease_ms = 1\non_lost = \"hope\"\n")),
        &["check"],
    );
    for message in [
        "policy.lease_ms is 1; write a whole number from 200",
        "policy.on_lost is \"hope\"",
    ] {
        assert!(
            printed(&invalid_values).iter().any(|l| l.contains(message)),
            "{message}: {:?}",
            printed(&invalid_values)
        );
    }
    let without_fleet = run(
        &config,
        Some("[policy]\nkeepers = [\"a\", \"a\"]\n"),
        &["check"],
    );
    assert!(
        printed(&without_fleet)
            .iter()
            .any(|l| l.contains("there is no [fleet]")),
        "{:?}",
        printed(&without_fleet)
    );
    assert!(
        printed(&without_fleet)
            .iter()
            .any(|l| l.contains("a name twice")),
        "{:?}",
        printed(&without_fleet)
    );

    // The document is valid, but this gateway's configuration has no such plan.
    let text = "version = 1\n[plans.none]\nrate = 1\nburst = 2\n[classes.none]\naim_ms = 5\nworth = 1\nlate_worth = 0\n";
    let document = write_config_file(text);
    let check = run(
        &config,
        None,
        &[
            "policy",
            "check",
            document.to_str().expect("the temporary path is UTF-8"),
        ],
    );
    assert!(!check.status.success());
    assert!(
        printed(&check)
            .iter()
            .any(|l| l.contains("there is no plan \"none\" here")),
        "{:?}",
        printed(&check)
    );
    let schema = run(&config, None, &["policy", "schema"]);
    assert!(printed(&schema).iter().any(|l| l.contains("ceiling_depth")));
}
