#include "kumquathaven/http/connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>
#include <thread>

using namespace kumquathaven;
using namespace kumquathaven::http;
using boost::asio::ip::tcp;

namespace {

/// What a client sees of a server that sends an answer while the client still sends its request,
/// and then resets the connection.
struct EarlyAnswer
{
    std::string received;
    std::optional<ConnectionEnd> end;
};

EarlyAnswer playEarlyAnswer(const std::string &answer, Duration pause)
{
    EarlyAnswer result;
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    std::thread server([&] {
        boost::system::error_code ec;
        tcp::socket socket = acceptor.accept();
        std::string begin(1'000, ' ');
        boost::asio::read(socket, boost::asio::buffer(begin), ec);
        boost::asio::write(socket, boost::asio::buffer(answer), ec);
        std::this_thread::sleep_for(pause);
        socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
        socket.close(ec);
    });
    std::shared_ptr<Connection> connection;
    const settings::Address address{"127.0.0.1", acceptor.local_endpoint().port()};
    connection = Connection::connect(loop, address, [&](bool isConnected) {
        REQUIRE(isConnected);
        ConnectionEvents events;
        events.received = [&](std::string_view bytes) {
            result.received += bytes;
        };
        events.ended = [&](ConnectionEnd end) {
            result.end = end;
            loop.stop();
        };
        connection->setEvents(std::move(events));
        connection->write(std::string(std::size_t{16} * 1024 * 1024, 'x'));
        connection->startReading();
    });
    loop.run_for(std::chrono::seconds(5));
    server.join();
    return result;
}

} // namespace

TEST_CASE("a reset while the request is being sent is never an orderly end")
{
    for (int n = 0; n < 40; ++n) {
        // The part is read before the reset arrives, or together with it.
        const Duration pause = std::chrono::milliseconds(n % 2 == 0 ? 0 : 10);
        const EarlyAnswer it = playEarlyAnswer("HTTP/1.1 200 OK\r\n\r\na part", pause);
        REQUIRE(it.end);
        CHECK(*it.end == ConnectionEnd::Failed);
    }
}
