//! Answers to model requests.

use std::sync::Arc;

use crate::support::{Bench, Script, Step, auth, config, run};
use lentil_policy::protocol;
use lentil_types::{ConfigVersion, FailReason, Outcome, Tokens};
use serde_json::{Value, json};

const USAGE: protocol::Usage = protocol::Usage {
    prompt: Tokens(9),
    cached: Tokens(4),
    output: Tokens(2),
};

/// An engine that answers with these chunks.
fn engine(chunks: Vec<Value>) -> Script {
    Box::new(move |_| {
        let mut steps = vec![Step::Head(200, vec![("content-type", "text/event-stream")])];
        let data = chunks.iter().map(|chunk| chunk.to_string().into_bytes());
        steps.extend(data.map(Step::Piece));
        steps.push(Step::End(USAGE));
        steps
    })
}

fn chunk(index: u64, delta: &Value, finish: &Value) -> Value {
    json!({
        "id": "engine-made", "object": "chat.completion.chunk", "created": 1, "model": "x",
        "system_fingerprint": "fp",
        "choices": [{ "index": index, "delta": delta, "finish_reason": finish }],
    })
}

fn usage_chunk() -> Value {
    json!({ "id": "engine-made", "choices": [], "usage": { "prompt_tokens": 1 } })
}

fn request_body(extra: &Value) -> Value {
    let mut request = json!({
        "model": "sortmind-7b",
        "messages": [{ "role": "user", "content": "lot 1?" }],
        "temperature": 0.5,
        "tools": [{ "type": "function", "function": { "name": "weigh" } }],
    });
    for (key, value) in extra.as_object().into_iter().flatten() {
        request[key] = value.clone();
    }
    request
}

#[rstest::rstest]
#[case::asked(json!({ "include_usage": true }), true)]
#[case::declined(json!({ "include_usage": false }), false)]
#[case::not_said(json!({}), false)]
fn a_stream_has_one_id_and_ends_with_done(#[case] options: Value, #[case] has_usage: bool) {
    run(async {
        let chunks = vec![
            chunk(
                0,
                &json!({ "role": "assistant", "content": "spring" }),
                &Value::Null,
            ),
            chunk(0, &json!({}), &json!("stop")),
            usage_chunk(),
        ];
        let bench = Bench::start(engine(chunks)).await;
        let request = request_body(&json!({ "stream": true, "stream_options": options }));
        let response = bench.chat(&request).await;
        assert_eq!((response.status, response.is_complete), (200, true));
        assert_eq!(response.header("content-type"), Some("text/event-stream"));
        let mut events = response.events();
        assert_eq!(events.pop(), Some("[DONE]"));
        let chunks: Vec<Value> = events
            .iter()
            .map(|event| serde_json::from_str(event).expect("each event is JSON"))
            .collect();
        assert_eq!(chunks.len(), if has_usage { 3 } else { 2 });
        for chunk in &chunks {
            assert_eq!(chunk["id"], chunks[0]["id"]);
            assert_eq!(chunk["created"], chunks[0]["created"]);
            assert_eq!(chunk["model"], "sortmind-7b");
            assert_eq!(chunk["object"], "chat.completion.chunk");
        }
        assert_eq!(chunks[0]["choices"][0]["delta"]["content"], "spring");
        assert_eq!(chunks[0]["system_fingerprint"], "fp");
        assert_eq!(chunks[1]["choices"][0]["finish_reason"], "stop");
        if has_usage {
            assert_eq!(chunks[2]["choices"], json!([]));
            assert_eq!(chunks[2]["usage"]["total_tokens"], 11);
        }
        let request = response.header("x-lentil-request").expect("it is named");
        assert!(response.text().contains(&format!("id: {request}:0\n")));
        assert!(response.text().contains(&format!("id: {request}:1\n")));
    });
}

#[test]
fn an_assembled_answer_keeps_every_field_of_its_chunks() {
    let call =
        |index: u64, part: &Value| json!({ "tool_calls": [{ "index": index, "function": part }] });
    let first = json!({ "tool_calls": [{
        "index": 0, "id": "call-1", "type": "function",
        "function": { "name": "weigh", "arguments": "" },
    }] });
    let logprob = |token: &str| json!({ "content": [{ "token": token, "logprob": -0.5 }] });
    let mut spring = chunk(0, &json!({ "content": "spr" }), &Value::Null);
    spring["choices"][0]["logprobs"] = logprob("spr");
    let mut ing = chunk(0, &json!({ "content": "ing" }), &json!("stop"));
    ing["choices"][0]["logprobs"] = logprob("ing");
    let chunks = vec![
        chunk(
            0,
            &json!({ "role": "assistant", "content": "" }),
            &Value::Null,
        ),
        spring,
        chunk(1, &first, &Value::Null),
        chunk(
            1,
            &call(0, &json!({ "arguments": "{\"lot\"" })),
            &Value::Null,
        ),
        chunk(1, &call(0, &json!({ "arguments": ":1}" })), &Value::Null),
        chunk(2, &json!({ "refusal": "I " }), &Value::Null),
        chunk(2, &json!({ "refusal": "cannot" }), &json!("stop")),
        ing,
        chunk(1, &json!({}), &json!("tool_calls")),
        usage_chunk(),
    ];
    run(async {
        let bench = Bench::start(engine(chunks)).await;
        let response = bench.chat(&request_body(&json!({ "n": 3 }))).await;
        assert_eq!(response.status, 200);
        assert_eq!(response.header("x-lentil-outcome"), Some("done"));
        let completion = response.json();
        assert_eq!(completion["object"], "chat.completion");
        assert_eq!(completion["model"], "sortmind-7b");
        assert_eq!(completion["system_fingerprint"], "fp");
        assert_eq!(
            completion["usage"],
            json!({
                "prompt_tokens": 9, "completion_tokens": 2, "total_tokens": 11,
                "prompt_tokens_details": { "cached_tokens": 4 },
            })
        );
        let expected = json!([
            {
                "index": 0, "finish_reason": "stop",
                "message": { "role": "assistant", "content": "spring" },
                "logprobs": { "content": [
                    { "token": "spr", "logprob": -0.5 }, { "token": "ing", "logprob": -0.5 },
                ] },
            },
            {
                "index": 1, "finish_reason": "tool_calls",
                "message": { "role": "assistant", "content": null, "tool_calls": [{
                    "id": "call-1", "type": "function",
                    "function": { "name": "weigh", "arguments": "{\"lot\":1}" },
                }] },
            },
            {
                "index": 2, "finish_reason": "stop",
                "message": { "role": "assistant", "content": null, "refusal": "I cannot" },
            },
        ]);
        assert_eq!(completion["choices"], expected);
    });
}

#[test]
fn a_text_completion_is_assembled() {
    let part = |text: &str, finish: &Value| json!({ "choices": [{ "index": 0, "text": text, "finish_reason": finish }] });
    let chunks = vec![part("fo", &Value::Null), part("am", &json!("stop"))];
    run(async {
        let bench = Bench::start(engine(chunks)).await;
        let body = json!({ "model": "sortmind-7b", "prompt": "lot 2?" }).to_string();
        let response = bench
            .call("POST", "/v1/completions", &auth(), body.as_bytes())
            .await;
        let completion = response.json();
        assert_eq!(completion["object"], "text_completion");
        assert_eq!(
            completion["choices"],
            json!([{ "index": 0, "text": "foam", "finish_reason": "stop" }])
        );
        let dispatch = bench.runner.dispatch().await;
        assert_eq!(dispatch.call.path, "/v1/completions");
    });
}

#[test]
fn the_engine_gets_every_field_and_the_teams_salt() {
    run(async {
        let chunks = vec![chunk(0, &json!({ "content": "x" }), &json!("stop"))];
        let bench = Bench::start(engine(chunks)).await;
        let request =
            request_body(&json!({ "n": 2, "stream": false, "logit_bias": { "50256": -100 } }));
        bench.chat(&request).await;
        let dispatch = bench.runner.dispatch().await;
        let sent: Value = serde_json::from_slice(&dispatch.call.body).expect("the body is JSON");
        for key in [
            "messages",
            "temperature",
            "tools",
            "n",
            "logit_bias",
            "model",
        ] {
            assert_eq!(sent[key], request[key], "{key}");
        }
        assert_eq!(sent["stream"], true);
        assert_eq!(sent["stream_options"]["include_usage"], true);
        let salt = |dispatch: &protocol::Dispatch| {
            let headers = dispatch.call.headers.iter();
            let salt = headers.clone().find(|header| header.name == "x-cache-salt");
            salt.expect("there is a salt").value.clone()
        };
        let first = salt(&dispatch);
        let other = "authorization: Bearer demo-recycler-b\r\n";
        let body = request.to_string();
        bench
            .call("POST", "/v1/chat/completions", other, body.as_bytes())
            .await;
        assert_ne!(salt(&*bench.runner.dispatch().await), first);
    });
}

// A team that left a scope had left its cache entries to the teams in it.
#[test]
fn a_team_that_leaves_a_scope_leaves_no_cache_entries_to_the_others() {
    const OTHER: &str = "authorization: Bearer demo-recycler-b\r\n";
    run(async {
        let chunks = vec![chunk(0, &json!({ "content": "x" }), &json!("stop"))];
        let bench = Bench::start(engine(chunks)).await;
        let body = request_body(&json!({ "stream": false })).to_string();
        let salts = async || {
            let mut salts = Vec::new();
            for key in [auth().as_str(), OTHER] {
                let path = "/v1/chat/completions";
                let answer = bench.call("POST", path, key, body.as_bytes()).await;
                assert_eq!(answer.status, 200);
                let dispatch = bench.runner.dispatch().await;
                let mut headers = dispatch.call.headers.iter();
                let salt = headers.find(|header| header.name == "x-cache-salt");
                salts.push(salt.expect("there is a salt").value.clone());
            }
            salts
        };
        let apart = config(bench.runner.addresses, "");
        let mut together = apart.clone();
        together.teams[1].scope = together.teams[0].scope.clone();
        let (apart, together) = (Arc::new(apart), Arc::new(together));
        assert!(bench.entry.set_config(ConfigVersion(2), &together));
        let shared = salts().await;
        assert_eq!(shared[0], shared[1], "they share a scope");
        assert!(bench.entry.set_config(ConfigVersion(3), &apart));
        let after = salts().await;
        assert!(!after.contains(&shared[0]), "{after:?}, {shared:?}");
        assert_ne!(after[0], after[1]);
        assert!(bench.entry.set_config(ConfigVersion(4), &together));
        assert_eq!(
            salts().await,
            shared,
            "they share again what they made together"
        );
    });
}

#[test]
fn models_are_listed_and_shown() {
    run(async {
        let bench = Bench::start(engine(Vec::new())).await;
        let list = bench.call("GET", "/v1/models", &auth(), b"").await.json();
        assert_eq!(list["object"], "list");
        assert_eq!(list["data"][0]["id"], "sortmind-7b");
        let one = bench
            .call("GET", "/v1/models/sortmind-7b", &auth(), b"")
            .await;
        assert_eq!(one.json(), list["data"][0]);
    });
}

#[test]
fn an_engines_error_is_passed_through() {
    run(async {
        let script = |_: &_| {
            vec![
                Step::Head(400, vec![("content-type", "application/json")]),
                Step::Piece(b"{\"error\":{\"code\":\"context_length_exceeded\"}}".to_vec()),
                Step::End(protocol::Usage::default()),
            ]
        };
        let bench = Bench::start(Box::new(script)).await;
        for stream in [false, true] {
            let response = bench
                .chat(&request_body(&json!({ "stream": stream })))
                .await;
            assert_eq!(response.status, 400);
            let code = &response.json()["error"]["code"];
            assert_eq!(code, "context_length_exceeded");
        }
    });
}

#[test]
fn a_stream_that_cannot_be_finished_ends_in_an_error_event() {
    run(async {
        let script: Script = Box::new(|dispatch| {
            let mut steps = vec![Step::Head(200, Vec::new())];
            if dispatch.resume.is_none() {
                let data = chunk(0, &json!({ "content": "spring" }), &Value::Null);
                steps.push(Step::Piece(data.to_string().into_bytes()));
            }
            steps.push(Step::Fail(Outcome::Unknown, FailReason::EngineDied, None));
            steps
        });
        let bench = Bench::start(script).await;
        let response = bench.chat(&request_body(&json!({ "stream": true }))).await;
        assert_eq!((response.status, response.is_complete), (200, true));
        assert!(!response.text().contains("[DONE]"));
        assert!(response.text().contains("event: error\n"));
        let last = response.events().pop().expect("there is an event");
        let last: Value = serde_json::from_str(last).expect("the event is JSON");
        assert_eq!(last["error"]["outcome"], "unknown");
    });
}
