//! Explanations of requests from the logs of entries.

use hornbeamctl::explain::{explain, render};
use hornbeamctl::logs::{parse, render_timeline};

/// A search with missing shards, a lookup that was shed, and a write whose server closed the
/// connection, as entries log them, among lines of other requests.
const LOGS: &str = r#"
{"unix_ms":1000,"instance":"entry-1","belief":"feed_lost","controller":"10.2.0.3","reason":"timed out","heard_ms_ago":1201}
{"unix_ms":1001,"instance":"entry-1","decision":"table_in_force","table":7,"routes":12}
{"unix_ms":1100,"instance":"entry-1","decision":"admitted","request":"aaa","route":"sweep","table":7,"deadline_ms":1200,"shards":20,"sent":19,"waiting":0,"lacking":1}
{"unix_ms":1105,"instance":"entry-1","decision":"ejected","server":"s3-0","service":"s3","failures":2,"for_ms":250}
{"unix_ms":1119,"instance":"entry-1","decision":"hedge_denied","request":"aaa","service":"s4","entries":9}
{"unix_ms":1120,"instance":"entry-1","decision":"admitted","request":"bbb","route":"sweep","table":7,"deadline_ms":1200,"shards":20,"sent":20,"waiting":0,"lacking":0}
{"unix_ms":1130,"instance":"entry-1","decision":"attempt_failed","request":"aaa","attempt":5,"kind":"first","server":"s3-0","outcome":"lost","after_ms":30,"retried":false}
{"unix_ms":1166,"instance":"entry-1","decision":"answered","request":"aaa","route":"sweep","took_ms":66,"parts":18,"missing":2,"waiting":0,"late":1,"sends":21}
  12.3 entry-2 {"unix_ms":2000,"instance":"entry-2","decision":"refused","request":"ccc","route":"lookup","reason":"overloaded","took_ms":48,"parts":0,"sends":0,"retry_after_ms":110,"queue":14,"usable":5}
{"unix_ms":3000,"instance":"entry-3","decision":"sent","request":"ddd","attempt":9,"kind":"first","service":"tablet","server":"t-1","cost":1.02,"outstanding":1,"left_ms":4000}
{"unix_ms":3012,"instance":"entry-3","decision":"attempt_failed","request":"ddd","attempt":9,"kind":"first","server":"t-1","outcome":"lost","after_ms":12,"retried":false}
{"unix_ms":3012,"instance":"entry-3","decision":"refused","request":"ddd","route":"write","reason":"failed","took_ms":12,"parts":0,"sends":1,"retry_after_ms":null,"queue":0,"usable":5}
not a line of ours
"#;

/// The same three cases, from the logs of a simulated day (docs/incidents/, inc-d08d).
const SIMULATED_DAY: &str = r#"
  4.1893 edge-portland-1 {"unix_ms":1786724182100,"instance":"edge-portland-1","decision":"admitted","request":"c6c8f1a2fe83b5e3","route":"r-rf8qs3v","table":8,"deadline_ms":797,"shards":20,"sent":19,"waiting":1,"lacking":0,"left_out":2}
  4.2570 edge-portland-1 {"unix_ms":1786724182167,"instance":"edge-portland-1","decision":"answered","request":"c6c8f1a2fe83b5e3","route":"r-rf8qs3v","took_ms":67,"parts":19,"missing":1,"waiting":1,"late":0,"sends":19}
  9.0000 edge-nashua-2 {"unix_ms":1786724187000,"instance":"edge-nashua-2","decision":"refused","request":"08959dedb6fd80a1","route":"r-rf8qs3v","reason":"overloaded","took_ms":0,"parts":0,"sends":0,"retry_after_ms":58,"queue":5,"usable":51}
 40.1000 edge-portland-1 {"unix_ms":1786724218100,"instance":"edge-portland-1","decision":"sent","request":"5112d35a4e2771e7","attempt":4260,"kind":"first","service":"raje30c","server":"i-2e42393e86","cost":0.9760769978313624,"outstanding":1,"left_ms":8000}
 40.1010 edge-portland-1 {"unix_ms":1786724218101,"instance":"edge-portland-1","decision":"attempt_failed","request":"5112d35a4e2771e7","attempt":4260,"kind":"first","server":"i-2e42393e86","outcome":"lost","after_ms":0,"retried":false}
 40.1010 edge-portland-1 {"unix_ms":1786724218101,"instance":"edge-portland-1","decision":"refused","request":"5112d35a4e2771e7","route":"r-edjvqzp","reason":"failed","took_ms":0,"parts":0,"sends":1,"retry_after_ms":null,"queue":0,"usable":7}
"#;

#[test]
fn simulated_day() {
    let cause = |request: &str| explain(request, parse(SIMULATED_DAY)).cause;
    assert!(cause("c6c8f1a2fe83b5e3").contains("1 waited for server capacity"));
    assert!(cause("08959dedb6fd80a1").contains("has not run: 5 requests waited"));
    let write = cause("5112d35a4e2771e7");
    assert!(write.contains("may have run") && write.contains("i-2e42393e86: lost"), "{write}");
}

fn cause(request: &str) -> String {
    explain(request, parse(LOGS)).cause
}

#[test]
fn partial_answer() {
    let cause = cause("aaa");
    for text in [
        "66 ms",
        "without 2 shards",
        "1 were outstanding",
        "1 had failed",
        "s3-0: lost",
        "1 hedges",
    ] {
        assert!(cause.contains(text), "{text}: {cause}");
    }
    let beliefs = explain("aaa", parse(LOGS)).beliefs;
    let kinds: Vec<_> = beliefs.iter().map(|l| l.fields.to_string()).collect();
    assert!(kinds.iter().any(|k| k.contains("feed_lost")), "{kinds:?}");
    assert!(kinds.iter().any(|k| k.contains("table_in_force")), "{kinds:?}");
    assert!(kinds.iter().any(|k| k.contains("ejected")), "{kinds:?}");
}

#[test]
fn shed_lookup() {
    let cause = cause("ccc");
    assert!(cause.contains("has not run") && cause.contains("14 requests waited"), "{cause}");
}

/// A quarantined request reached no server, and the operator is told so.
#[test]
fn quarantined_request() {
    let log = r#"{"unix_ms":1,"instance":"e","decision":"refused","request":"qqq","route":"lookup","reason":"quarantined","took_ms":0,"parts":0,"sends":0,"retry_after_ms":600000,"queue":0,"usable":5}"#;
    let cause = explain("qqq", parse(log)).cause;
    assert!(cause.contains("has not run") && !cause.contains("may have run"), "{cause}");
    assert!(cause.contains("servers have ended"), "{cause}");
}

#[test]
fn lost_write() {
    let cause = cause("ddd");
    assert!(cause.contains("may have run"), "{cause}");
    assert!(cause.contains("t-1: lost after 12 ms, not retried"), "{cause}");
}

#[test]
fn unknown_request() {
    assert!(cause("zzz").contains("no log contains the request"));
    assert!(cause("bbb").contains("no outcome is logged"));
}

#[test]
fn render_order() {
    let text = render("aaa", &explain("aaa", parse(LOGS)));
    let first = text.lines().nth(1).unwrap();
    assert!(
        first.trim_start().starts_with("+0 ms  entry-1") && first.contains("admitted"),
        "{text}"
    );
    assert!(text.lines().last().unwrap().starts_with("aaa: "), "{text}");
}

#[test]
fn timeline_order() {
    let text = render_timeline(parse(LOGS));
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 12, "{text}");
    assert!(lines[0].contains("+0 ms  entry-1") && lines[0].contains("feed_lost"), "{text}");
    assert!(lines[8].contains("+1000 ms  entry-2"), "{text}");
}

/// A search whose shard groups were delegated to other entries.
const GROUPS: &str = r#"
{"unix_ms":5000,"instance":"entry-1","decision":"delegated","request":"eee","shards":90,"groups":10,"peers":17}
{"unix_ms":5002,"instance":"entry-4","decision":"gathering","request":"eee","route":"sweep","due_ms":50,"shards":9,"sent":9,"waiting":0,"lacking":0}
{"unix_ms":5030,"instance":"entry-1","decision":"group_failed","request":"eee","peer":"entry-9","reason":"not_begun","after_ms":30,"shards":9,"sent_from_here":9}
{"unix_ms":5052,"instance":"entry-4","decision":"gathered","request":"eee","took_ms":50,"parts":7,"missing":2,"waiting":0,"late":2,"sends":11}
{"unix_ms":5063,"instance":"entry-1","decision":"answered","request":"eee","route":"sweep","took_ms":63,"parts":88,"missing":2,"waiting":0,"late":2,"sends":99}
"#;

#[test]
fn delegated_groups() {
    let cause = explain("eee", parse(GROUPS)).cause;
    assert!(cause.contains("entry-9 did not gather 9 shards (not_begun)"), "{cause}");
    assert!(cause.contains("entry-4 gathered a group without 2 shards"), "{cause}");
}

/// Three requests of one simulated day on hanak-search (`hunt-2e3e-31`), from the logs of its
/// entries.
const HANAK_SEARCH_DAY: &str = r#"
{"unix_ms":1776164735639,"instance":"edge-hana-prostejov-1","belief":"feed_open","controller":"10.1.0.43"}
{"unix_ms":1776164735639,"instance":"edge-hana-prostejov-1","belief":"feed_open","controller":"10.2.0.24"}
{"unix_ms":1776164735639,"instance":"edge-hana-prostejov-1","belief":"feed_open","controller":"10.3.0.18"}
{"unix_ms":1776164735642,"instance":"edge-hana-prostejov-1","belief":"feed_open","controller":"10.4.0.35"}
{"unix_ms":1776164736511,"instance":"edge-hana-prerov-2","decision":"admitted","request":"e0ac0a0d9a3c40ae","route":"r-vjxzx8u","table":8,"deadline_ms":1200,"shards":20,"sent":19,"waiting":1,"lacking":0}
{"unix_ms":1776164736528,"instance":"edge-hana-prerov-2","decision":"sent","request":"e0ac0a0d9a3c40ae","attempt":944,"kind":"hedge","service":"bazi5q","server":"i-db5e3c3b63","cost":1.5125016204420372,"outstanding":1,"left_ms":1182}
{"unix_ms":1776164736528,"instance":"edge-hana-prerov-2","decision":"hedge_denied","request":"e0ac0a0d9a3c40ae","service":"bowu93w","entries":9}
{"unix_ms":1776164736578,"instance":"edge-hana-prerov-2","decision":"answered","request":"e0ac0a0d9a3c40ae","route":"r-vjxzx8u","took_ms":67,"parts":18,"missing":2,"waiting":1,"late":1,"sends":20}
{"unix_ms":1776164750674,"instance":"edge-hana-kromeriz-1","decision":"sent","request":"8a7807fbfba0c874","attempt":1728,"kind":"first","service":"dezi52c","server":"i-1298a2844d","cost":1.037148752458355,"outstanding":1,"left_ms":4000}
{"unix_ms":1776164750675,"instance":"edge-hana-kromeriz-1","decision":"attempt_failed","request":"8a7807fbfba0c874","attempt":1728,"kind":"first","server":"i-1298a2844d","outcome":"lost","after_ms":0,"retried":false}
{"unix_ms":1776164750675,"instance":"edge-hana-kromeriz-1","decision":"refused","request":"8a7807fbfba0c874","route":"r-7u9q2sb","reason":"failed","took_ms":0,"parts":0,"sends":1,"retry_after_ms":null,"queue":0,"usable":5}
{"unix_ms":1776164765341,"instance":"edge-hana-prostejov-1","belief":"feed_lost","controller":"10.2.0.24","heard_ms_ago":1201,"reason":"timed out"}
{"unix_ms":1776164765419,"instance":"edge-hana-prostejov-1","belief":"feed_lost","controller":"10.3.0.18","heard_ms_ago":1200,"reason":"timed out"}
{"unix_ms":1776164765529,"instance":"edge-hana-prostejov-1","belief":"feed_lost","controller":"10.4.0.35","heard_ms_ago":1201,"reason":"timed out"}
{"unix_ms":1776164765765,"instance":"edge-hana-prostejov-1","decision":"refused","request":"919bbe7a196f544e","route":"r-u37sp36","reason":"overloaded","took_ms":0,"parts":0,"sends":0,"retry_after_ms":53,"queue":7,"usable":48}
"#;

#[test]
fn hanak_search_day() {
    let cause = |request: &str| explain(request, parse(HANAK_SEARCH_DAY)).cause;
    let partial = cause("e0ac0a0d9a3c40ae");
    assert!(partial.contains("1 waited for server capacity, 1 were outstanding"), "{partial}");
    assert!(partial.contains("1 hedges were denied by the retry budget"), "{partial}");
    let refused = cause("919bbe7a196f544e");
    assert!(refused.contains("has not run: 7 requests waited"), "{refused}");
    assert!(refused.contains("lost 3 of 4 controllers: check its network"), "{refused}");
    let write = cause("8a7807fbfba0c874");
    assert!(write.contains("may have run") && write.contains("not retried"), "{write}");
}

/// A lookup at an entry without servers, which one entry refuses and another one serves.
const RELAYED: &str = r#"
{"unix_ms":900,"instance":"entry-1","decision":"servers_lost","silent":4,"usable":40}
{"unix_ms":1000,"instance":"entry-1","decision":"relayed","request":"eee","peer":"entry-2","shards":1,"before":0}
{"unix_ms":1002,"instance":"entry-1","decision":"group_refused","request":"eee","peer":"entry-2","reason":"overloaded","after_ms":2,"shards":1}
{"unix_ms":1002,"instance":"entry-1","decision":"relayed","request":"eee","peer":"entry-3","shards":1,"before":1}
{"unix_ms":1050,"instance":"entry-1","decision":"answered","request":"eee","route":"lookup","took_ms":50,"parts":1,"missing":0,"waiting":0,"late":0,"sends":1}
"#;

#[test]
fn relayed_request() {
    let explanation = explain("eee", parse(RELAYED));
    for text in [
        "answered completely after 50 ms",
        "entry-1 reached no server of 1 shards and relayed them to entry-2",
        "entry-2 refused 1 shards (overloaded) after 2 ms",
        "relayed them to entry-3",
    ] {
        assert!(explanation.cause.contains(text), "{text}: {}", explanation.cause);
    }
    assert_eq!(explanation.beliefs.len(), 1, "when the entry lost its servers");
}
