#include "observability/log.hpp"
#include "standins/commands.hpp"
#include "standins/control_port.hpp"

#include <zinniahub/time.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <popt.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace zinniahub::standin
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t read_buffer_bytes = 64 << 10;
/// Flow control: a direction stops reading above this number of buffered bytes.
constexpr std::size_t max_waiting_bytes = 1 << 20;
constexpr std::size_t http2_preface_bytes = 24;

/// The fields of an HTTP/2 frame header that the proxy evaluates.
struct frame
{
    static constexpr std::uint8_t data_type = 0;
    static constexpr std::uint8_t headers_type = 1;
    static constexpr std::uint8_t end_stream_flag = 1;

    std::size_t length = 0;
    std::uint8_t type = 0;
    std::uint8_t flags = 0;
    std::uint32_t stream = 0;
};

/// Finds the frame boundaries in one direction of an HTTP/2 connection, which
/// distinguishes a response from PING and SETTINGS frames and other streams.
class frame_scanner
{
public:
    explicit frame_scanner(std::size_t skip)
        : skip_(skip)
    {
    }

    /// Calls `found` for each frame that begins in the next bytes.
    template<typename Function>
    void scan(std::string_view bytes, Function found)
    {
        while (!bytes.empty())
        {
            const auto skipped = std::min(skip_, bytes.size());
            skip_ -= skipped;
            bytes.remove_prefix(skipped);
            const auto taken = std::min(header_bytes - filled_, bytes.size());
            std::copy_n(bytes.begin(), taken, header_.begin() + filled_);
            filled_ += taken;
            bytes.remove_prefix(taken);
            if (filled_ < header_bytes)
                continue;
            const auto next = parse();
            filled_ = 0;
            skip_ = next.length;
            found(next);
        }
    }

private:
    static constexpr std::size_t header_bytes = 9;

    std::uint32_t number(std::size_t first, std::size_t count) const
    {
        std::uint32_t value = 0;
        for (auto at = first; at < first + count; ++at)
            value = value << 8 | static_cast<unsigned char>(header_[at]);
        return value;
    }

    frame parse() const
    {
        return {
            number(0, 3), static_cast<std::uint8_t>(number(3, 1)),
            static_cast<std::uint8_t>(number(4, 1)), number(5, 4) & 0x7fffffff};
    }

    std::size_t skip_;
    std::array<char, header_bytes> header_{};
    std::size_t filled_ = 0;
};

/// Active faults; they apply to all connections.
struct fault_state
{
    bool cut_to = false;
    bool cut_from = false;
    bool frozen = false;
    std::chrono::milliseconds delay{0};
    std::uint64_t answers_to_drop = 0;
};

/// One direction of a connection.
struct direction
{
    direction(tcp::socket& source, tcp::socket& sink, std::size_t preface)
        : from(source)
        , to(sink)
        , scanner(preface)
        , due(source.get_executor())
    {
    }

    struct chunk
    {
        time_point due;
        std::string bytes;
    };

    tcp::socket& from;
    tcp::socket& to;
    frame_scanner scanner;
    std::string buffer = std::string(read_buffer_bytes, '\0');
    std::deque<chunk> waiting;
    std::size_t waiting_bytes = 0;
    asio::steady_timer due;
    bool is_writing = false;
    /// True while reading is stopped because `waiting` exceeds its limit.
    bool is_paused = false;
    bool ended = false;
};

/// One proxied connection, kept alive by its pending operations.
class proxied_connection
    : public std::enable_shared_from_this<proxied_connection>
{
public:
    proxied_connection(tcp::socket caller, fault_state& faults)
        : faults_(faults)
        , caller_(std::move(caller))
        , target_(caller_.get_executor())
        , to_target_(caller_, target_, http2_preface_bytes)
        , to_caller_(target_, caller_, 0)
    {
    }

    /// Connects to the target and forwards until either side closes.
    void start(const tcp::endpoint& target)
    {
        target_.async_connect(
            target,
            [self = shared_from_this()](error_code failed)
            {
                if (failed)
                    return self->close();
                error_code ignored;
                self->caller_.set_option(tcp::no_delay(true), ignored);
                self->target_.set_option(tcp::no_delay(true), ignored);
                self->read(self->to_target_);
                self->read(self->to_caller_);
            });
    }

    void close()
    {
        closed_ = true;
        error_code ignored;
        caller_.close(ignored);
        target_.close(ignored);
        to_target_.due.cancel();
        to_caller_.due.cancel();
    }

    /// Forwards the data that was buffered during a freeze.
    void resume()
    {
        write(to_target_);
        write(to_caller_);
    }

    bool is_closed() const
    {
        return closed_;
    }

    /// True if bytes were discarded, so that the connection cannot be resumed.
    bool is_damaged() const
    {
        return damaged_;
    }

private:
    void read(direction& flow)
    {
        flow.is_paused = flow.waiting_bytes > max_waiting_bytes;
        if (closed_ || flow.is_paused)
            return;
        flow.from.async_read_some(
            asio::buffer(flow.buffer),
            [self = shared_from_this(),
             &flow](error_code failed, std::size_t size)
            {
                flow.ended = failed.failed();
                if (!flow.ended && !self->closed_)
                    self->accept(
                        flow, std::string_view(flow.buffer).substr(0, size));
                self->write(flow);
                if (!flow.ended)
                    self->read(flow);
            });
    }

    void accept(direction& flow, std::string_view bytes)
    {
        const bool is_request = &flow == &to_target_;
        flow.scanner.scan(
            bytes, [&](const frame& next)
            { is_request ? track_request(next) : check_answer(next); });
        if (is_request ? faults_.cut_to : faults_.cut_from)
        {
            damaged_ = true;
            return;
        }
        flow.waiting.push_back(
            {clock::now() + faults_.delay, std::string(bytes)});
        flow.waiting_bytes += bytes.size();
    }

    void track_request(const frame& next)
    {
        if (next.type != frame::data_type || next.length == 0 ||
            faults_.answers_to_drop == 0 || faults_.cut_to)
            return;
        if (unanswered_.insert(next.stream).second)
            --faults_.answers_to_drop;
    }

    /// Closes the connection before the first bytes of a response that must be
    /// dropped. A HEADERS frame counts as a response only if it ends the
    /// stream.
    void check_answer(const frame& next)
    {
        const bool ends = next.type == frame::headers_type &&
                          (next.flags & frame::end_stream_flag) != 0;
        if ((next.type == frame::data_type || ends) &&
            unanswered_.contains(next.stream))
            close();
    }

    void write(direction& flow)
    {
        if (closed_ || flow.is_writing)
            return;
        if (flow.waiting.empty())
        {
            if (flow.ended)
                close();
            return;
        }
        if (faults_.frozen)
            return;
        if (flow.waiting.front().due > clock::now())
            return wait(flow);
        flow.is_writing = true;
        asio::async_write(
            flow.to, asio::buffer(flow.waiting.front().bytes),
            [self = shared_from_this(), &flow](error_code failed, std::size_t)
            { self->finish_write(flow, failed); });
    }

    void wait(direction& flow)
    {
        flow.due.expires_after(flow.waiting.front().due - clock::now());
        flow.due.async_wait(
            [self = shared_from_this(), &flow](error_code failed)
            {
                if (!failed)
                    self->write(flow);
            });
    }

    void finish_write(direction& flow, error_code failed)
    {
        flow.is_writing = false;
        flow.waiting_bytes -= flow.waiting.front().bytes.size();
        flow.waiting.pop_front();
        if (failed)
            return close();
        if (flow.is_paused)
            read(flow);
        write(flow);
    }

    fault_state& faults_;
    tcp::socket caller_;
    tcp::socket target_;
    direction to_target_;
    direction to_caller_;
    /// Streams whose next response must be dropped.
    std::set<std::uint32_t> unanswered_;
    bool closed_ = false;
    bool damaged_ = false;
};

class fault_proxy
{
public:
    fault_proxy(
        asio::io_context& context, tcp::endpoint listen, tcp::endpoint target)
        : context_(context)
        , acceptor_(context)
        , reserved_(context)
        , listen_(std::move(listen))
        , target_(std::move(target))
    {
        open();
    }

    control_commands commands()
    {
        return {
            {"cut", plain_command([this] { cut(); })},
            {"cut-to", plain_command([this] { faults_.cut_to = true; })},
            {"cut-from", plain_command([this] { faults_.cut_from = true; })},
            {"freeze", plain_command([this] { faults_.frozen = true; })},
            {"delay", number_command(
                          [this](std::uint64_t value) {
                              faults_.delay = std::chrono::milliseconds(value);
                          })},
            {"drop-answers",
             number_command([this](std::uint64_t value)
                            { faults_.answers_to_drop = value; })},
            {"heal", plain_command([this] { heal(); })},
            {"stats", [this](const std::string&) { return stats(); }},
        };
    }

private:
    void open()
    {
        if (acceptor_.is_open())
            return;
        reserved_.close();
        acceptor_ = tcp::acceptor(context_, listen_);
        accept();
    }

    void accept()
    {
        acceptor_.async_accept(
            [this](error_code failed, tcp::socket caller)
            {
                if (!acceptor_.is_open())
                    return;
                if (!failed)
                    start(std::move(caller));
                // operation_aborted comes from a previous acceptor, which was
                // closed and then replaced.
                if (failed != asio::error::operation_aborted)
                    accept();
            });
    }

    void start(tcp::socket caller)
    {
        remove_closed();
        ++accepted_;
        const auto added =
            std::make_shared<proxied_connection>(std::move(caller), faults_);
        connections_.insert(added);
        added->start(target_);
    }

    void cut()
    {
        error_code ignored;
        acceptor_.close(ignored);
        // A bound socket that does not listen refuses connections and keeps
        // the port reserved against other test programs.
        reserved_.close();
        reserved_.open(listen_.protocol());
        reserved_.set_option(tcp::socket::reuse_address(true));
        reserved_.bind(listen_, ignored);
        for (const auto& connection : connections_)
            connection->close();
        remove_closed();
    }

    void heal()
    {
        faults_ = {};
        for (const auto& connection : connections_)
            if (connection->is_damaged())
                connection->close();
            else
                connection->resume();
        remove_closed();
        open();
    }

    void remove_closed()
    {
        std::erase_if(
            connections_,
            [](const auto& connection) { return connection->is_closed(); });
    }

    std::string stats()
    {
        remove_closed();
        return fmt::format(
            "connections={} accepted={} answers_to_drop={}",
            connections_.size(), accepted_, faults_.answers_to_drop);
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    /// Bound to the listening address while the link is cut.
    tcp::socket reserved_;
    const tcp::endpoint listen_;
    const tcp::endpoint target_;
    fault_state faults_;
    std::set<std::shared_ptr<proxied_connection>> connections_;
    std::uint64_t accepted_ = 0;
};

} // namespace

int run_fault(int argc, const char** argv)
{
    char* listen = nullptr;
    char* target = nullptr;
    char* control = nullptr;
    const poptOption table[] = {
        {"listen", 0, POPT_ARG_STRING, &listen, 0, "address", "IP:PORT"},
        {"to", 0, POPT_ARG_STRING, &target, 0, "target address", "IP:PORT"},
        {"control", 0, POPT_ARG_STRING, &control, 0, "control address",
         "IP:PORT"},
        POPT_AUTOHELP POPT_TABLEEND};
    parse_options(argc, argv, table);
    const auto text = [](const char* value)
    { return std::string(value == nullptr ? "" : value); };

    asio::io_context context;
    fault_proxy proxy(
        context, parse_endpoint(text(listen)), parse_endpoint(text(target)));
    const control_port port(context, text(control), proxy.commands());
    log::info("standin_started", "listen={}", text(listen));
    run_until_signal(context);
    return 0;
}

} // namespace zinniahub::standin
