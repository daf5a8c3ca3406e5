// The websocketpp types that a hub uses.

#ifndef KUMQUATHAVEN_WIRE_ENDPOINT_H
#define KUMQUATHAVEN_WIRE_ENDPOINT_H

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace kumquathaven::wire {

/// The common configuration of accepted and outgoing links, so that both have the same connection
/// type. Timeouts are in milliseconds.
struct EndpointConfig : websocketpp::config::asio_client
{
    // The library looks up the members by these names.
    // NOLINTBEGIN(readability-identifier-naming)
    static constexpr std::size_t connection_read_buffer_size = 4096;
    static constexpr bool drop_on_protocol_error = true;
    static constexpr long timeout_open_handshake = 2000;
    static constexpr long timeout_close_handshake = 500;

    struct transport_config : websocketpp::config::asio_client::transport_config
    {
        static constexpr long timeout_connect = 2000;
        static constexpr long timeout_dns_resolve = 2000;
        static constexpr long timeout_socket_shutdown = 500;
    };
    // NOLINTEND(readability-identifier-naming)

    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};

using Acceptor = websocketpp::server<EndpointConfig>;
using Connector = websocketpp::client<EndpointConfig>;
using ConnectionPtr = Acceptor::connection_ptr;

} // namespace kumquathaven::wire

#endif // KUMQUATHAVEN_WIRE_ENDPOINT_H
