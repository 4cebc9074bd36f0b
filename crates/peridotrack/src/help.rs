//! Names and help texts of the commands.

/// Name and help of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Words that select the command on the command line, such as `config apply`.
    pub words: &'static str,
    /// One line for the list of commands.
    pub summary: &'static str,
    /// Usage and options, without the common options.
    pub text: &'static str,
}

/// Exit codes, the same for every command.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  a promise is broken, the operation was refused, or a router does not hold the
     applied version
  2  the usage or an input is wrong
  3  the platform or a router could not be reached";

/// Options that every command accepts.
pub const COMMON_OPTIONS: &str = "\
Common options:
  --json     print one JSON value on one line in place of text
  --help     print this help
  --version  print the version";

/// Every command, in the order in which the help lists them.
pub const COMMANDS: &[Entry] = &[
    Entry {
        words: "config check",
        summary: "check a register and rules, each and together",
        text: "\
usage: peridotrack config check --register FILE --rules FILE

Prints every error of both files at its JSON path.",
    },
    Entry {
        words: "config apply",
        summary: "write a register and rules as the next version",
        text: "\
usage: peridotrack config apply --platform ADDRESS --register FILE --rules FILE
           [--wait] [--router ADDRESS]... [--operator-key-file FILE] [--timeout-s N]

Checks the files, then writes them as the next version. If two operators apply
at the same time, one succeeds and the other is refused. If the response to
the write is lost, the version that the platform holds shows whether it took effect.

  --platform ADDRESS        address of the platform, IP:PORT
  --router ADDRESS          operator address of a router; repeat for each router
  --operator-key-file FILE  file with the operators' bearer key
  --wait                    wait until each router given holds the version, and
                            report which does not and why
  --timeout-s N             longest wait in seconds; 15 by default",
    },
    Entry {
        words: "config show",
        summary: "show the configuration that the platform holds",
        text: "\
usage: peridotrack config show --platform ADDRESS

Prints the version and the numbers of elements declared; with --json, the
complete configuration.",
    },
    Entry {
        words: "status",
        summary: "show routers, their peers and configuration versions",
        text: "\
usage: peridotrack status --router ADDRESS... --operator-key-file FILE",
    },
    Entry {
        words: "budget show",
        summary: "show purchased, spent and held tokens of budgets",
        text: "\
usage: peridotrack budget show --platform ADDRESS [--budget NAME]

With --budget, shows each holder too. Tokens of a holder that died without
closing stay counted as spent until `budget release`.",
    },
    Entry {
        words: "budget release",
        summary: "release the tokens of a budget that a destroyed router held",
        text: "\
usage: peridotrack budget release --platform ADDRESS --budget NAME
           --holder INCARNATION --spent TOKENS --confirm-destroyed
           [--router ADDRESS]... [--operator-key-file FILE]

  --holder INCARNATION  incarnation of the router, as `budget show` prints it
  --spent TOKENS        total tokens that the provider counted for it
  --confirm-destroyed   states that the VM is destroyed and can never run
                        again; a paused VM that is resumed would overspend
  --router ADDRESS      operator address of a router; the release is refused if
                        the holder runs there or is a live peer of it",
    },
    Entry {
        words: "quarantine show",
        summary: "show the requests and prompt parts that gateways refuse",
        text: "\
usage: peridotrack quarantine show --store ADDRESS

Prints the signature of each request and each prompt part under which backend
servers crashed, the servers, and which gateways reported them.

  --store ADDRESS  address of the metadata store of the users' platform, IP:PORT",
    },
    Entry {
        words: "quarantine lift",
        summary: "have requests with a signature sent again",
        text: "\
usage: peridotrack quarantine lift --store ADDRESS --signature SIGNATURE
       peridotrack part lift --store ADDRESS --part ID

Withdraws the crashes that were reported under the signature. If servers crash
under it again, it is blocked again.

  --store ADDRESS        address of the metadata store of the users' platform,
                         IP:PORT
  --signature SIGNATURE  as `quarantine show` prints it: `request:` and the digest
                         of a request, or the hexadecimal identifier of a prompt
                         part",
    },
    Entry {
        words: "timeline",
        summary: "merge the events of routers into one timeline",
        text: "\
usage: peridotrack timeline --router ADDRESS... --operator-key-file FILE [--last N]
       peridotrack timeline [--last N] --logs FILE...

Times are by the clock of this machine: the offset of each router's clock is
estimated from the midpoints of requests, and printed with its error bound.

  --last N        print only the last N events
  --logs FILE...  read log files instead of querying routers",
    },
    Entry {
        words: "explain",
        summary: "show what happened to one request and why",
        text: "\
usage: peridotrack explain REQUEST-ID --router ADDRESS... --operator-key-file FILE
       peridotrack explain REQUEST-ID --logs FILE...

Prints the events of the request at all routers given, with their causes. With
--logs, REQUEST-ID may be the client's, and a line states why the request
succeeded or failed.",
    },
    Entry {
        words: "demo",
        summary: "run a fleet with stand-ins in this process",
        text: "\
usage: peridotrack demo

Starts a platform, engines, plain services and four routers in two failure
domains on loopback, serves chat completions and calls of plain services, cuts
one domain off from the platform, kills one router, tops up a budget, stops the
fleet, and prints what happened. Exits with 1 if a promise is broken.",
    },
];

/// Returns the help of the command that `words` selects, or else the list of commands.
pub fn text(words: &str) -> String {
    match COMMANDS.iter().find(|entry| entry.words == words) {
        Some(entry) => format!("{}\n\n{COMMON_OPTIONS}\n\n{EXIT_CODES}\n", entry.text),
        None => overview(words),
    }
}

/// Returns the list of the commands that begin with `word`, or of all if none does.
fn overview(word: &str) -> String {
    let mut text = "usage: peridotrack COMMAND [OPTIONS]\n\nCommands:\n".to_owned();
    let below: Vec<_> = COMMANDS
        .iter()
        .filter(|entry| !word.is_empty() && entry.words.starts_with(word))
        .collect();
    let shown = if below.is_empty() {
        COMMANDS.iter().collect()
    } else {
        below
    };
    for entry in shown {
        text.push_str(&format!("  {:<15}{}\n", entry.words, entry.summary));
    }
    format!("{text}\n{COMMON_OPTIONS}\n\n{EXIT_CODES}\n")
}
