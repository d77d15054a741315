#ifndef CAPERJUNCTION_TESTS_PROXY_SLOW_READER_HPP
#define CAPERJUNCTION_TESTS_PROXY_SLOW_READER_HPP

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstddef>
#include <string>

namespace caperjunction::test {

/// Creates two connected sockets.
inline std::array<int, 2> make_socket_pair()
{
    std::array<int, 2> ends{};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data())
            == 0);
    return ends;
}

/// The caller's end of a connection; reads only when a test calls it.
class slow_reader
{
public:
    explicit slow_reader(int socket)
        : m_socket(socket)
    {
    }

    ~slow_reader()
    {
        ::close(m_socket);
    }

    slow_reader(slow_reader const&) = delete;
    slow_reader& operator=(slow_reader const&) = delete;

    /// Sends `text`. Returns false if the peer has closed.
    bool can_send(std::string const& text) const
    {
        return ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL)
               == static_cast<ssize_t>(text.size());
    }

    void send(std::string const& text) const
    {
        REQUIRE(can_send(text));
    }

    /// Reads a part of the pending input.
    void read_some()
    {
        constexpr std::size_t little = 8'192;
        std::array<char, little> bytes{};
        ssize_t const size = recv(m_socket, bytes.data(), bytes.size(), 0);
        if (size > 0) {
            m_received_bytes.append(bytes.data(),
                                    static_cast<std::size_t>(size));
        }
    }

    /// Reads all pending input and returns everything received.
    std::string const& received_bytes()
    {
        std::array<char, 4'096> bytes{};
        ssize_t size = recv(m_socket, bytes.data(), bytes.size(), 0);
        while (size > 0) {
            m_received_bytes.append(bytes.data(),
                                    static_cast<std::size_t>(size));
            size = recv(m_socket, bytes.data(), bytes.size(), 0);
        }
        return m_received_bytes;
    }

private:
    int m_socket = -1;
    std::string m_received_bytes;
};

} // namespace caperjunction::test

#endif
