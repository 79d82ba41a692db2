#include "pooling/reply_recorder.hpp"

namespace zinniahub::pooling
{

namespace
{

/// Successes that took more attempts than this are all logged.
constexpr unsigned logged_attempts = 2;

/// One in this many ordinary successes is logged.
constexpr std::uint64_t success_sample_interval = 64;

/// True for statements that a member runs; the others are answered here.
bool runs_on_member(statement_kind kind)
{
    switch (kind)
    {
    case statement_kind::read:
    case statement_kind::write:
    case statement_kind::execute:
    case statement_kind::commit:
        return true;
    default:
        return false;
    }
}

double to_milliseconds(duration value)
{
    return to_seconds(value) * 1000;
}

} // namespace

std::string_view reply_recorder::event_of(
    const reply& answer, const operation_trace& trace, bool late)
{
    if (!answer.ok())
    {
        return "reply_failed";
    }
    if (late)
    {
        return "reply_late";
    }
    if (trace.attempts > logged_attempts)
    {
        return "reply_retried";
    }
    const bool sampled =
        trace.attempts > 0 && ++successes_ % success_sample_interval == 0;
    return sampled ? "reply_sampled" : "";
}

void reply_recorder::record(
    const statement& value, const reply& answer, const operation_trace& trace,
    const operation_origin& origin)
{
    const auto latency = clock::now() - trace.started;
    ++metrics_.counter_of(
        "zinniahub_replies_total{code=\"" +
        std::string(to_string(answer.code)) + "\"}");
    if (origin.where && runs_on_member(value.kind))
    {
        metrics_
            .series_of(origin.customer, to_string(origin.where->consistency))
            .record(
                verdict_of(answer.code), trace.failure_code, trace.on_replica,
                latency);
    }
    if (trace.committed)
    {
        record_commit(value, answer, trace);
    }
    const bool late = origin.where && latency > origin.where->target_latency;
    const auto event = event_of(answer, trace, late);
    if (event.empty())
    {
        return;
    }
    const auto waited = trace.connected == time_point{}
                            ? latency
                            : trace.connected - trace.started;
    const std::string_view failure_code =
        answer.ok() ? "" : to_string(trace.failure_code);
    events_.write(
        event, failure_code,
        {{"id", value.id},
         {"database", origin.database},
         {"customer", origin.customer},
         {"code", to_string(answer.code)},
         {"why", failure_code},
         {"instance", trace.instance},
         {"member_code", to_string(trace.member_code)},
         {"attempts", trace.attempts},
         {"waited_ms", to_milliseconds(waited)},
         {"took_ms", to_milliseconds(latency)},
         {"refused_by", trace.refusal.reason},
         {"expected_wait_ms",
          trace.refusal.expected_wait
              ? to_milliseconds(*trace.refusal.expected_wait)
              : -1},
         {"retry_after_ms", to_milliseconds(trace.refusal.retry_after)},
         {"configuration", origin.configuration},
         {"text", answer.text}});
}

void reply_recorder::record_commit(
    const statement& value, const reply& answer, const operation_trace& trace)
{
    events_.write(
        "commit_acknowledged", {{"id", value.id},
                                {"instance", trace.instance},
                                {"position", to_string(*trace.committed)},
                                {"passed_on", answer.ok()}});
}

} // namespace zinniahub::pooling
