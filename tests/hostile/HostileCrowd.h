/// @file
/// Clients that do not keep to the limits of the documentation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lentilsaddle::testing_support {

/// Opens connections to a port on 127.0.0.1, sends a part of a request on each and keeps them open without reading.
class HostileCrowd {
public:
    struct Plan {
        std::uint16_t port = 0;
        int connections = 0;
        /// Header of each request, without the length and the empty line.
        std::string header;
        /// Bytes of the body that are sent.
        std::size_t sentBytes = 0;
        /// Length that the header announces; 0 sends a chunked body.
        std::size_t announcedBytes = 0;
        /// A chunked body also announces a length of 1.
        bool conflictingLength = false;
        std::size_t chunkBytes = 65'536;
        /// Bytes of a body that are sent on one connection before the next one has its turn.
        std::size_t pieceBytes = 1 << 30;
        /// The header is not ended, and its last line is continued with `sentBytes` bytes.
        bool endlessHeader = false;
        /// Each connection of this many sends its request to the end; 0 means none.
        int completeEvery = 0;
    };

    /// Sends everything, or on each connection as much as the server accepts.
    explicit HostileCrowd(const Plan& plan);
    ~HostileCrowd();
    HostileCrowd(const HostileCrowd&) = delete;
    HostileCrowd& operator=(const HostileCrowd&) = delete;

    int size() const { return static_cast<int>(m_connections.size()); }

private:
    struct Connection {
        int descriptor = -1;
        bool complete = false;
        /// Bytes of the body that were sent.
        std::size_t sent = 0;
        bool closedByServer = false;
    };

    std::string header(bool complete) const;
    void sendPiece(Connection& connection) const;
    static void send(Connection& connection, const std::string& bytes);

    Plan m_plan;
    std::vector<Connection> m_connections;
};

} // namespace lentilsaddle::testing_support
