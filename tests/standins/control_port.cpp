#include "standins/control_port.hpp"

#include "observability/log.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <popt.h>

#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>

namespace zinniahub::standin
{

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

std::string run(const control_commands& commands, std::string line)
{
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    const auto space = line.find(' ');
    const auto found = commands.find(std::string_view(line).substr(0, space));
    if (found == commands.end())
        return "error unknown command";
    return found->second(
        space == std::string::npos ? "" : line.substr(space + 1));
}

/// One connection to the control port; kept alive by its pending operation.
class control_session : public std::enable_shared_from_this<control_session>
{
public:
    control_session(
        asio::ip::tcp::socket socket, const control_commands& commands)
        : socket_(std::move(socket))
        , commands_(commands)
    {
    }

    void read()
    {
        asio::async_read_until(
            socket_, asio::dynamic_buffer(input_), '\n',
            [self = shared_from_this()](error_code failed, std::size_t size)
            {
                if (!failed)
                    self->reply(size);
            });
    }

private:
    void reply(std::size_t size)
    {
        auto line = input_.substr(0, size - 1);
        input_.erase(0, size);
        output_ = run(commands_, std::move(line)) + "\n";
        asio::async_write(
            socket_, asio::buffer(output_),
            [self = shared_from_this()](error_code failed, std::size_t)
            {
                if (!failed)
                    self->read();
            });
    }

    asio::ip::tcp::socket socket_;
    const control_commands& commands_;
    std::string input_;
    std::string output_;
};

} // namespace

std::function<std::string(std::string)>
number_command(std::function<void(std::uint64_t)> apply)
{
    return [apply = std::move(apply)](const std::string& argument)
    {
        const auto number = parse_number(argument);
        if (!number)
            return std::string("error number expected");
        apply(*number);
        return std::string("ok");
    };
}

std::function<std::string(std::string)>
plain_command(std::function<void()> apply)
{
    return [apply = std::move(apply)](const std::string&)
    {
        apply();
        return std::string("ok");
    };
}

control_port::control_port(
    asio::io_context& context, const std::string& address,
    control_commands commands)
    : acceptor_(context)
    , commands_(std::move(commands))
{
    if (address.empty())
        return;
    acceptor_ = asio::ip::tcp::acceptor(context, parse_endpoint(address));
    accept();
}

void control_port::accept()
{
    acceptor_.async_accept(
        [this](error_code failed, asio::ip::tcp::socket socket)
        {
            if (failed == asio::error::operation_aborted)
                return;
            if (!failed)
                std::make_shared<control_session>(std::move(socket), commands_)
                    ->read();
            accept();
        });
}

asio::ip::tcp::endpoint parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    const auto port = colon == std::string::npos
                          ? std::nullopt
                          : parse_number(text.substr(colon + 1));
    error_code failed;
    const auto address = asio::ip::make_address(text.substr(0, colon), failed);
    const auto number = port.value_or(65536);
    if (failed || number > 65535)
        throw std::invalid_argument("IP:PORT expected, got '" + text + "'");
    return {address, static_cast<std::uint16_t>(number)};
}

void parse_options(int argc, const char** argv, const poptOption* options)
{
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, argc, argv, options, 0), poptFreeContext);
    const int code = poptGetNextOpt(context.get());
    if (code < -1)
        throw std::invalid_argument(fmt::format(
            "{}: {}", poptBadOption(context.get(), 0), poptStrerror(code)));
    if (const char* extra = poptGetArg(context.get()))
        throw std::invalid_argument(
            fmt::format("unexpected argument '{}'", extra));
}

void run_until_signal(asio::io_context& context)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](error_code, int) { context.stop(); });
    context.run();
}

int serve(
    grpc::Service& service, const std::string& listen,
    const std::string& control, control_commands commands,
    const std::function<void()>& stop)
{
    parse_endpoint(listen);
    grpc::ServerBuilder builder;
    // With SO_REUSEPORT, the default of gRPC, two processes on one port would
    // share its connections.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(16 << 20);
    builder.AddListeningPort(listen, grpc::InsecureServerCredentials());
    builder.RegisterService(&service);
    const auto server = builder.BuildAndStart();
    if (!server)
        throw std::runtime_error("cannot listen on " + listen);
    asio::io_context context;
    const control_port port(context, control, std::move(commands));
    log::info("standin_started", "listen={}", listen);
    run_until_signal(context);
    stop();
    server->Shutdown(std::chrono::system_clock::now());
    log::info("standin_stopped", "listen={}", listen);
    return 0;
}

} // namespace zinniahub::standin
