#ifndef CAPERJUNCTION_TESTS_PROXY_RELUCTANT_READER_HPP
#define CAPERJUNCTION_TESTS_PROXY_RELUCTANT_READER_HPP

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstddef>
#include <string>

namespace caperjunction::test {

/// Two connected sockets.
inline std::array<int, 2> connected_pair()
{
    std::array<int, 2> ends{};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data())
            == 0);
    return ends;
}

/// The caller's end of a connection, read only when a test says so.
class reluctant_reader
{
public:
    explicit reluctant_reader(int socket)
        : m_socket(socket)
    {
    }

    ~reluctant_reader()
    {
        ::close(m_socket);
    }

    reluctant_reader(reluctant_reader const&) = delete;
    reluctant_reader& operator=(reluctant_reader const&) = delete;

    /// False if the other end is closed.
    bool can_send(std::string const& text) const
    {
        return ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL)
               == static_cast<ssize_t>(text.size());
    }

    void send(std::string const& text) const
    {
        REQUIRE(can_send(text));
    }

    /// Reads a little of what has come.
    void take_some()
    {
        constexpr std::size_t little = 8'192;
        std::array<char, little> bytes{};
        ssize_t const size = recv(m_socket, bytes.data(), bytes.size(), 0);
        if (size > 0) {
            m_got.append(bytes.data(), static_cast<std::size_t>(size));
        }
    }

    /// What has come by now.
    std::string const& got()
    {
        std::array<char, 4'096> bytes{};
        ssize_t size = recv(m_socket, bytes.data(), bytes.size(), 0);
        while (size > 0) {
            m_got.append(bytes.data(), static_cast<std::size_t>(size));
            size = recv(m_socket, bytes.data(), bytes.size(), 0);
        }
        return m_got;
    }

private:
    int m_socket = -1;
    std::string m_got;
};

} // namespace caperjunction::test

#endif
