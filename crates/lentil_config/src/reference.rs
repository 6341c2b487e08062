//! Reference of all keys that a configuration text may have.

use std::fmt::Write as _;

/// A key of a table.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Name of the key.
    pub name: &'static str,
    /// Type or range of its value, shown in faults too.
    pub value: &'static str,
    /// Value when left out; `None` if required.
    pub default: Option<&'static str>,
    /// Meaning of the key.
    pub about: &'static str,
}

/// A table of the configuration text and its keys.
#[derive(Clone, Copy, Debug)]
pub struct TableKeys {
    /// Header of the table, as written in TOML.
    pub title: &'static str,
    /// What the table describes.
    pub about: &'static str,
    /// Allowed keys.
    pub keys: &'static [Key],
}

const fn required(name: &'static str, value: &'static str, about: &'static str) -> Key {
    Key {
        name,
        value,
        default: None,
        about,
    }
}

const fn optional(
    name: &'static str,
    value: &'static str,
    default: &'static str,
    about: &'static str,
) -> Key {
    Key {
        name,
        value,
        default: Some(default),
        about,
    }
}

/// The top level of the text.
pub const ROOT: TableKeys = TableKeys {
    title: "(top level)",
    about: "One region of one operator.",
    keys: &[
        required("region", "name", "the region"),
        optional(
            "objective",
            "`hit-rate` or `first-token`",
            "`hit-rate`",
            "what counts where reuse of cached prefixes and a short tail of the time to the first token pull apart",
        ),
        optional("place", "tables", "none", "the data centres"),
        optional(
            "class",
            "tables",
            "built-in rules",
            "rules of the classes of requests",
        ),
        optional("model", "tables", "none", "the models"),
        optional("service", "tables", "none", "the services"),
        optional("team", "tables", "none", "the teams"),
    ],
};

/// A data centre of the region.
pub const PLACE: TableKeys = TableKeys {
    title: "[[place]]",
    about: "One data centre.",
    keys: &[required("name", "name", "unique in the text")],
};

/// Rules of a class of requests.
pub const CLASS: TableKeys = TableKeys {
    title: "[[class]]",
    about: "Rules of one class of requests.",
    keys: &[
        required("name", "`urgent`, `normal` or `patient`", "the class"),
        required(
            "deadline_s",
            "1 to 86400",
            "seconds that a request of the class has when it names no deadline; without a table 30, 120 and 1800",
        ),
    ],
};

/// A model and its target weights.
pub const MODEL: TableKeys = TableKeys {
    title: "[[model]]",
    about: "One model and the weights that its engines should have.",
    keys: &[
        required("name", "name", "as callers give it, unique in the text"),
        required(
            "service",
            "name of a service of kind `engine`",
            "the service that runs it",
        ),
        required(
            "weights",
            "1 to 4294967295",
            "version of the weights wanted",
        ),
        optional(
            "adapters",
            "names",
            "none",
            "adapters that the engines load",
        ),
    ],
};

/// A service and its backend servers.
pub const SERVICE: TableKeys = TableKeys {
    title: "[[service]]",
    about: "One service and its backend servers.",
    keys: &[
        required("name", "name", "unique in the text"),
        required("kind", "`engine`, `kv-keeper` or `plain`", "what it is"),
        optional(
            "depends",
            "names of services",
            "none",
            "what it needs; no circles",
        ),
        optional(
            "class",
            "`urgent`, `normal` or `patient`",
            "`normal`",
            "class of requests that do not say theirs",
        ),
        optional(
            "reports_load",
            "`true` or `false`",
            "`false`",
            "whether its backend servers report their load",
        ),
        optional(
            "checks_fencing",
            "`true` or `false`",
            "`false`",
            "whether its engines refuse an order with an old fencing number; otherwise their sidecars do",
        ),
        optional(
            "floor",
            "0 to the number of runners",
            "0",
            "rollouts keep at least this many runners ready",
        ),
        optional(
            "once",
            "tables with `method` and `path`",
            "none",
            "calls of a plain service that may not be repeated; they need an `Idempotency-Key`",
        ),
        optional("runners", "tables", "none", "its backend servers"),
    ],
};

/// A call that may not be repeated.
pub const CALL: TableKeys = TableKeys {
    title: "once = [{ ... }]",
    about: "Calls of a plain service that may not be repeated.",
    keys: &[
        required(
            "method",
            "`POST`, `PUT`, `PATCH`, `DELETE` or `GET`",
            "the HTTP method",
        ),
        required(
            "path",
            "text that begins with `/`",
            "prefix of the path below the service",
        ),
    ],
};

/// A backend server of a service.
pub const RUNNER: TableKeys = TableKeys {
    title: "runners = [{ ... }]",
    about: "One backend server.",
    keys: &[
        required("name", "name", "unique in the text"),
        required("place", "name of a place", "the data centre it is in"),
        required(
            "address",
            "IP:port",
            "where its sidecar listens, unique in the text",
        ),
        optional(
            "role",
            "`mixed`, `prefill` or `decode`",
            "`mixed`",
            "what the engine does of a request",
        ),
    ],
};

/// A team and its API keys.
pub const TEAM: TableKeys = TableKeys {
    title: "[[team]]",
    about: "One team.",
    keys: &[
        required("name", "name", "unique in the text"),
        optional(
            "weight",
            "1 to 1000",
            "1",
            "share of a contended runner against other teams",
        ),
        required(
            "scope",
            "name",
            "cache scope; teams share cached prefixes only inside one scope",
        ),
        optional(
            "keys",
            "SHA-256 in 64 lower-case hexadecimal digits",
            "none",
            "hashes of the team's API keys; a key belongs to one team",
        ),
        optional(
            "limit",
            "table",
            "no limit",
            "limit on the team's requests; the entries do not enforce it yet",
        ),
    ],
};

/// A limit on a team's requests.
pub const LIMIT: TableKeys = TableKeys {
    title: "limit = { ... }",
    about: "Limit on the requests of one team, over all entries together. It is checked, compared \
        and distributed with the text, but the entries do not enforce it yet: a team over its \
        limit is served as if it had none.",
    keys: &[
        optional(
            "unit",
            "`requests` or `tokens`",
            "`requests`",
            "what is counted: requests, or the tokens of the prompt and of the longest allowed output",
        ),
        required("rate", "positive number", "units per second"),
        required(
            "burst",
            "1 to 4294967295",
            "units that may be used at once beyond the rate",
        ),
        optional(
            "uncounted",
            "1 to 4294967295",
            "none",
            "units of a request that states no token count; required for `tokens`, not allowed for `requests`",
        ),
    ],
};

/// All tables, in the order of the page.
pub const TABLES: [&TableKeys; 9] = [
    &ROOT, &PLACE, &CLASS, &MODEL, &SERVICE, &CALL, &RUNNER, &TEAM, &LIMIT,
];

/// Reference of all keys, as a Markdown page.
pub fn page() -> String {
    let mut page = "# Reference of the operators' text\n\n\
        Written by `lentilctl reference`. Names have 1 to 128 of `A-Z a-z 0-9 . _ - : /`.\n"
        .to_owned();
    for table in TABLES {
        let TableKeys { title, about, keys } = table;
        // Writing to a `String` cannot fail.
        let _ = write!(page, "\n## `{title}`\n\n{about}\n\n");
        let _ = writeln!(
            page,
            "| key | value | default | meaning |\n|---|---|---|---|"
        );
        for Key {
            name,
            value,
            default,
            about,
        } in *keys
        {
            let default = default.unwrap_or("(must be there)");
            let _ = writeln!(page, "| `{name}` | {value} | {default} | {about} |");
        }
    }
    page
}
