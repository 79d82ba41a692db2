#pragma once

#include "observability/metrics.hpp"
#include "serve/fleet_state.hpp"
#include "session/session_registry.hpp"
#include "settings/settings.hpp"
#include "zinniahub/v1/caller.grpc.pb.h"

#include <zinniahub/outcome.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <grpcpp/grpcpp.h>

#include <memory>
#include <mutex>
#include <string>

namespace zinniahub::session
{

/// @brief One caller connection: runs its requests one after the other and
/// owns its open transaction.
class caller_session final
    : public grpc::ServerBidiReactor<v1::Request, v1::Reply>,
      public boost::intrusive_ref_counter<
          caller_session, boost::thread_safe_counter>
{
public:
    caller_session(
        serve::proxy_state& state,
        const settings::host_settings::limits_section& limits,
        metrics::registry& metrics, session_registry& sessions);

    /// @brief Ends the stream with `draining_status` once it has no request
    /// without a reply. Thread-safe.
    void end();

    void OnReadDone(bool ok) override;
    void OnWriteDone(bool ok) override;
    void OnDone() override;

private:
    using self_pointer = boost::intrusive_ptr<caller_session>;

    /// Data looked up while a request is checked and used to run it.
    struct accepted_request
    {
        std::string customer;
        std::uint32_t weight = 1;
        std::shared_ptr<traffic::customer_admission> admission;
        std::shared_ptr<traffic::group_traffic> group;
        std::shared_ptr<const token_codec> codec;
        session_token token;
    };

    void read_next();
    void finish_stream();
    void handle_request();
    result<accepted_request> check_request();
    result<void> check_host(const serve::traffic_snapshot* snapshot) const;
    result<std::string> check_customer(
        const serve::traffic_snapshot& snapshot,
        const group_resource& group) const;
    result<void> check_transaction() const;

    bool is_in_transaction() const;
    bool needs_rate_token() const;

    void admit();
    void submit();
    traffic::request::pointer make_request();
    void on_transaction_open(traffic::transaction_pointer opened);
    void reply_outcome(result<traffic::answer> outcome);
    void reply_failure(const error& failure);
    void write_reply();
    void close_transaction();

    serve::proxy_state& state_;
    const settings::host_settings::limits_section& limits_;
    metrics::registry& metrics_;
    session_registry& sessions_;

    v1::Request request_;
    v1::Reply reply_;
    accepted_request accepted_;
    time_point received_at_{};
    time_point deadline_{};

    traffic::transaction_pointer transaction_;
    std::shared_ptr<traffic::group_traffic> transaction_group_;
    std::string transaction_customer_;

    /// Guards the flags below, as `end` can run while a request arrives.
    std::mutex mutex_;
    bool is_reading_ = false;
    bool is_ending_ = false;
    bool is_finished_ = false;
};

} // namespace zinniahub::session
