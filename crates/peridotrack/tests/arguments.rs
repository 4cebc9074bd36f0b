//! Parsing of the command line, help texts and exit codes of the process.

use std::process::Command;

use peridotrack::{arguments, help, report::Exit};
use rstest::rstest;

fn parse(line: &str) -> Result<arguments::Invocation, peridotrack::report::Failure> {
    arguments::parse(line.split_whitespace().map(Into::into).collect())
}

#[rstest]
#[case::unknown("frobnicate", "no such command")]
#[case::none("", "a command is needed")]
#[case::incomplete("config", "no such command")]
#[case::unknown_subcommand("config frobnicate", "no such command")]
#[case::missing("config check --register r", "--rules")]
#[case::address("config show --platform localhost", "--platform")]
#[case::extra("config show --platform 127.0.0.1:1 surplus", "surplus")]
#[case::unknown_option("config show --platform 127.0.0.1:1 --now", "--now")]
#[case::no_router("status --operator-key-file k", "--router")]
#[case::no_key("status --router 127.0.0.1:1", "--operator-key-file")]
#[case::wait_without_routers(
    "config apply --platform 127.0.0.1:1 --register r --rules s --wait",
    "--wait needs --router"
)]
#[case::request(
    "explain nonsense --router 127.0.0.1:1 --operator-key-file k",
    "REQUEST-ID"
)]
#[case::no_log("explain 9c41 --logs", "needs a file")]
#[case::other_command("status --logs a", "--logs is for")]
#[case::unconfirmed(
    "budget release --platform 127.0.0.1:1 --budget b --holder 00000000000000aa --spent 1",
    "--confirm-destroyed"
)]
#[case::no_signature("quarantine lift --store 127.0.0.1:1", "--signature")]
#[case::malformed_signature(
    "quarantine lift --store 127.0.0.1:1 --signature request:1f",
    "malformed signature"
)]
#[case::holder(
    "budget release --platform 127.0.0.1:1 --budget b --holder aa --spent 1 --confirm-destroyed",
    "--holder"
)]
fn invalid_usage_is_reported(#[case] line: &str, #[case] expected: &str) {
    match parse(line) {
        Err(failure) => {
            assert_eq!(failure.exit, Exit::Usage);
            assert!(failure.to_string().contains(expected), "{failure}");
        }
        Ok(invocation) => panic!("{line}: {invocation:?}"),
    }
}

#[rstest]
#[case("config check --register r --rules s")]
#[case("config apply --platform 127.0.0.1:1 --register r --rules s")]
#[case(
    "config apply --wait --timeout-s 3 --router 127.0.0.1:2 --router 127.0.0.1:3 \
     --operator-key-file k --platform 127.0.0.1:1 --register r --rules s --json"
)]
#[case("config show --platform [::1]:1")]
#[case("budget show --platform 127.0.0.1:1 --budget b")]
#[case(
    "budget release --confirm-destroyed --platform 127.0.0.1:1 --budget b \
     --holder 00000000000000aa --spent 1"
)]
#[case("quarantine show --store 127.0.0.1:1")]
#[case("quarantine lift --store 127.0.0.1:1 --signature 1f")]
#[case(
    "quarantine lift --store 127.0.0.1:1 \
     --signature request:000102030405060708090a0b0c0d0e0f"
)]
#[case::former_name("part show --store 127.0.0.1:1")]
#[case::former_option("part lift --store 127.0.0.1:1 --part 1f")]
#[case("timeline --router 127.0.0.1:1 --operator-key-file k --last 5")]
#[case("timeline --last 5 --logs a b")]
#[case("explain 9c41d07be2a35f68 --logs a b")]
#[case("explain 00000000000000aa-7 --router 127.0.0.1:1 --operator-key-file k")]
#[case("explain --router 127.0.0.1:1 --operator-key-file k 00000000000000aa-7")]
fn valid_usage_is_accepted(#[case] line: &str) {
    parse(line).unwrap();
}

#[test]
fn every_command_has_help_with_its_options_and_exit_codes() {
    for entry in help::COMMANDS {
        let invocation = parse(&format!("{} --help", entry.words)).unwrap();
        let arguments::Command::Print(text) = invocation.command else {
            panic!("{}: {:?}", entry.words, invocation.command);
        };
        assert!(
            text.starts_with(&format!("usage: peridotrack {}", entry.words)),
            "{text}"
        );
        assert!(text.contains(help::EXIT_CODES));
    }
}

fn tool(line: &str) -> (Option<i32>, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_peridotrack"))
        .args(line.split_whitespace())
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

#[rstest]
#[case::version("--version", 0, concat!("peridotrack ", env!("CARGO_PKG_VERSION")), "")]
#[case::help("--help", 0, "Commands:", "")]
#[case::usage("frobnicate", 2, "", "no such command")]
#[case::input(
    "config check --register /no/register --rules /no/rules",
    2,
    "",
    "/no/register"
)]
#[case::unreachable("config show --platform 127.0.0.1:1", 3, "", "127.0.0.1:1")]
#[case::json("--json frobnicate", 2, "\"error\"", "no such command")]
fn the_process_exits_with_the_documented_code(
    #[case] line: &str,
    #[case] code: i32,
    #[case] stdout: &str,
    #[case] stderr: &str,
) {
    let output = tool(line);
    assert_eq!(output.0, Some(code), "{output:?}");
    assert!(output.1.contains(stdout), "{output:?}");
    assert!(output.2.contains(stderr), "{output:?}");
}
