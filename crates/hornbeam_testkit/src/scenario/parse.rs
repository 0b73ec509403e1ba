//! Parses scenario files, which hold one statement per line.

use std::time::Duration;

use snafu::Snafu;
use winnow::Parser;
use winnow::ascii::{digit1, space0, space1};
use winnow::combinator::{alt, delimited, eof, opt, preceded, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::take_while;

type ParseResult<T> = Result<T, ErrMode<ContextError>>;

/// Content of a scenario file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scenario {
    /// Name of the layout; see [`crate::layouts::Layout::named`].
    pub layout: String,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Patience that replaces the one of the layout.
    pub patience: Option<Duration>,
    /// Queries per second on average.
    pub rate: f64,
    /// Non-idempotent requests per second on average.
    pub writes: f64,
    /// Length of the scenario.
    pub until: Duration,
    /// Actions with their times from the start, in order of time.
    pub actions: Vec<(Duration, Action)>,
    /// Expectations of the responses to queries sent from the first time until the second.
    pub expects: Vec<(Duration, Duration, Expect)>,
}

/// Fault of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Ends the fault.
    Recovers,
    /// Refuses requests as not run.
    Sheds,
    /// Never replies.
    Hangs,
    /// Runs requests and closes the connection without a reply.
    Breaks,
    /// Replies with another index version.
    Misversions,
}

/// Event that a scenario injects.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Cuts the links between two zones, instances or servers.
    Cut(String, String),
    /// Cuts the links between a zone and all other zones, or between an instance and all others.
    CutFromOthers(String),
    /// Removes every cut.
    Heal,
    /// Stops a server without a shutdown.
    ServerDies(String),
    /// Restarts a server.
    ServerReturns(String),
    /// Drains a server; the flag says whether it announces that.
    ServerDrains(String, bool),
    /// Sets the time added to every search of a server.
    ServerDelays(String, Duration),
    /// Sets the fault of a server.
    ServerFault(String, Fault),
    /// Sets the time added to every search of every server.
    ServersDelay(Duration),
    /// Sets the share of all searches that straggle, in percent.
    ServersStraggle(u32),
    /// Stops every server of a zone without a shutdown.
    ZoneDies(String),
    /// Restarts every server of a zone.
    ZoneReturns(String),
    /// Stops an instance and its voter without a shutdown.
    InstanceDies(String),
    /// Restarts an instance with its disk.
    InstanceReturns(String),
    /// Restarts an instance with an empty disk.
    InstanceReturnsEmpty(String),
    /// Stops the instance of the control leader without a shutdown.
    LeaderDies,
    /// Cuts the links between the instance of the control leader and all others.
    LeaderCut,
    /// Adds an index version to every server, with this many shards or as many as before.
    IndexLoads(u64, Option<u32>),
    /// Removes an index version from every server.
    IndexRetires(u64),
    /// Sets the patience, in milliseconds, through the leader.
    Change(u64),
    /// Submits a change of the same revision through each voter at the same time.
    Race,
}

/// Expectation of the responses to the queries of a period.
#[derive(Clone, Debug, PartialEq)]
pub enum Expect {
    /// Every query gets a complete response.
    CoverageFull,
    /// The responses cover at least this many percent of the shards.
    CoverageAtLeast(u32),
    /// The 99th percentile of the time to an outcome is at most this.
    P99AtMost(Duration),
    /// No query is refused.
    NoneRefused,
    /// At least one query is answered.
    SomeAnswered,
    /// Every instance that is up serves at least this revision at the end.
    RevisionAtLeast(u64),
}

/// Statement of one line.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// Empty line or comment.
    Blank,
    /// `layout NAME`
    Layout(String),
    /// `seed N`
    Seed(u64),
    /// `patience TIME`
    Patience(Duration),
    /// `rate N`
    Rate(f64),
    /// `writes N`
    Writes(f64),
    /// `until TIME`
    Until(Duration),
    /// `at TIME ACTION`
    At(Duration, Action),
    /// `from TIME to TIME expect ...`
    Expect(Duration, Duration, Expect),
    /// `always INVARIANT`; documentation only, as every invariant is checked in every scenario.
    Always(&'static str),
}

/// Reason why a scenario cannot be parsed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ScenarioError {
    /// A line is not a valid statement.
    #[snafu(display("line {line}: {text:?} is not a statement: see docs/SCENARIOS.md"))]
    Line {
        /// Line number, starting at 1.
        line: usize,
        /// Content of the line.
        text: String,
    },
    /// A mandatory statement is missing.
    #[snafu(display("the scenario has no {statement} statement: add one"))]
    Missing {
        /// Keyword of the missing statement.
        statement: &'static str,
    },
}

/// Parses the text of a scenario file.
///
/// # Errors
///
/// Returns the first line that is not a statement, or the missing statement.
pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
    let mut scenario = Scenario::default();
    for (i, line) in text.lines().enumerate() {
        let statement = statement
            .parse(line.trim())
            .map_err(|_| ScenarioError::Line { line: i + 1, text: line.to_owned() })?;
        match statement {
            Statement::Blank | Statement::Always(_) => {}
            Statement::Layout(name) => scenario.layout = name,
            Statement::Seed(seed) => scenario.seed = seed,
            Statement::Patience(time) => scenario.patience = Some(time),
            Statement::Rate(rate) => scenario.rate = rate,
            Statement::Writes(rate) => scenario.writes = rate,
            Statement::Until(time) => scenario.until = time,
            Statement::At(time, action) => scenario.actions.push((time, action)),
            Statement::Expect(from, to, expect) => scenario.expects.push((from, to, expect)),
        }
    }
    if scenario.layout.is_empty() {
        return Err(ScenarioError::Missing { statement: "layout" });
    }
    if scenario.until.is_zero() {
        return Err(ScenarioError::Missing { statement: "until" });
    }
    scenario.actions.sort_by_key(|(at, _)| *at);
    Ok(scenario)
}

fn statement(input: &mut &str) -> ParseResult<Statement> {
    terminated(
        alt((
            setting,
            preceded(("at", space1), (terminated(time, space1), action))
                .map(|(at, action)| Statement::At(at, action)),
            span,
            preceded(("always", space1), invariant).map(Statement::Always),
            ("#", take_while(0.., |_| true)).value(Statement::Blank),
            "".value(Statement::Blank),
        )),
        (space0, eof),
    )
    .parse_next(input)
}

fn setting(input: &mut &str) -> ParseResult<Statement> {
    alt((
        preceded(("layout", space1), word).map(Statement::Layout),
        preceded(("seed", space1), number).map(Statement::Seed),
        preceded(("patience", space1), time).map(Statement::Patience),
        preceded(("rate", space1), number).map(|n| Statement::Rate(n as f64)),
        preceded(("writes", space1), number).map(|n| Statement::Writes(n as f64)),
        preceded(("until", space1), time).map(Statement::Until),
    ))
    .parse_next(input)
}

fn span(input: &mut &str) -> ParseResult<Statement> {
    let from = delimited(("from", space1), time, space1);
    let to = delimited(("to", space1), time, space1);
    (from, to, preceded(("expect", space1), expect))
        .map(|(from, to, expect)| Statement::Expect(from, to, expect))
        .parse_next(input)
}

fn invariant(input: &mut &str) -> ParseResult<&'static str> {
    alt((
        "one-snapshot".value("one-snapshot"),
        "truthful-coverage".value("truthful-coverage"),
        "own-answer".value("own-answer"),
        "refused-not-run".value("refused-not-run"),
        "at-most-once".value("at-most-once"),
        "no-work-after-drain".value("no-work-after-drain"),
        "no-revert".value("no-revert"),
        "one-leader".value("one-leader"),
        "accepted-kept".value("accepted-kept"),
    ))
    .parse_next(input)
}

fn word(input: &mut &str) -> ParseResult<String> {
    take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.')
        .map(str::to_owned)
        .parse_next(input)
}

fn number(input: &mut &str) -> ParseResult<u64> {
    digit1.parse_to().parse_next(input)
}

fn time(input: &mut &str) -> ParseResult<Duration> {
    alt((
        terminated(number, "ms").map(Duration::from_millis),
        terminated(number, "s").map(Duration::from_secs),
    ))
    .parse_next(input)
}

/// Matches the words of `list`, separated by one or more blanks.
fn words<'a>(list: &'static [&'static str]) -> impl Parser<&'a str, (), ErrMode<ContextError>> {
    move |input: &mut &'a str| {
        for (i, w) in list.iter().enumerate() {
            if i > 0 {
                space1.parse_next(input)?;
            }
            let mut w = *w;
            w.parse_next(input)?;
        }
        Ok(())
    }
}

fn action(input: &mut &str) -> ParseResult<Action> {
    alt((
        cut,
        "heal".value(Action::Heal),
        control,
        preceded((words(&["servers", "delay"]), space1), time).map(Action::ServersDelay),
        delimited((words(&["servers", "straggle"]), space1), number, "%")
            .map(|n| Action::ServersStraggle(n as u32)),
        preceded(("server", space1), server),
        preceded(("zone", space1), zone),
        preceded(("instance", space1), instance),
        preceded(("index", space1), index),
    ))
    .parse_next(input)
}

fn control(input: &mut &str) -> ParseResult<Action> {
    alt((
        words(&["leader", "dies"]).value(Action::LeaderDies),
        words(&["leader", "cut"]).value(Action::LeaderCut),
        "race".value(Action::Race),
        preceded(("change", space1, "patience", space1), time)
            .map(|t| Action::Change(t.as_millis() as u64)),
    ))
    .parse_next(input)
}

fn cut(input: &mut &str) -> ParseResult<Action> {
    let a = preceded(("cut", space1), word);
    let b = preceded((space1, "from", space1), word);
    (a, b)
        .map(|(a, b)| if b == "others" { Action::CutFromOthers(a) } else { Action::Cut(a, b) })
        .parse_next(input)
}

fn server(input: &mut &str) -> ParseResult<Action> {
    let name = terminated(word, space1).parse_next(input)?;
    alt((
        "dies".map(|_| Action::ServerDies(name.clone())),
        "returns".map(|_| Action::ServerReturns(name.clone())),
        words(&["drains", "silently"]).map(|()| Action::ServerDrains(name.clone(), false)),
        "drains".map(|_| Action::ServerDrains(name.clone(), true)),
        preceded(("delays", space1), time).map(|t| Action::ServerDelays(name.clone(), t)),
        fault.map(|f| Action::ServerFault(name.clone(), f)),
    ))
    .parse_next(input)
}

fn fault(input: &mut &str) -> ParseResult<Fault> {
    alt((
        "recovers".value(Fault::Recovers),
        "sheds".value(Fault::Sheds),
        "hangs".value(Fault::Hangs),
        "breaks".value(Fault::Breaks),
        "misversions".value(Fault::Misversions),
    ))
    .parse_next(input)
}

fn zone(input: &mut &str) -> ParseResult<Action> {
    let name = terminated(word, space1).parse_next(input)?;
    alt((
        "dies".map(|_| Action::ZoneDies(name.clone())),
        "returns".map(|_| Action::ZoneReturns(name.clone())),
    ))
    .parse_next(input)
}

fn instance(input: &mut &str) -> ParseResult<Action> {
    let name = terminated(word, space1).parse_next(input)?;
    alt((
        "dies".map(|_| Action::InstanceDies(name.clone())),
        words(&["returns", "empty"]).map(|()| Action::InstanceReturnsEmpty(name.clone())),
        "returns".map(|_| Action::InstanceReturns(name.clone())),
    ))
    .parse_next(input)
}

fn index(input: &mut &str) -> ParseResult<Action> {
    let version = terminated(number, space1).parse_next(input)?;
    let shards = opt(preceded((space1, "with", space1), terminated(number, (space1, "shards"))));
    alt((
        preceded("loads", shards).map(|n| Action::IndexLoads(version, n.map(|n| n as u32))),
        "retires".map(|_| Action::IndexRetires(version)),
    ))
    .parse_next(input)
}

fn expect(input: &mut &str) -> ParseResult<Expect> {
    alt((
        words(&["coverage", "=", "full"]).value(Expect::CoverageFull),
        delimited((words(&["coverage", ">="]), space1), number, "%")
            .map(|n| Expect::CoverageAtLeast(n as u32)),
        preceded((words(&["p99", "<="]), space1), time).map(Expect::P99AtMost),
        words(&["refused", "=", "none"]).value(Expect::NoneRefused),
        words(&["answered", "=", "some"]).value(Expect::SomeAnswered),
        preceded((words(&["revision", ">="]), space1), number).map(Expect::RevisionAtLeast),
    ))
    .parse_next(input)
}
