// Loaded into the hosts of a soak: leads their connections to upstreams through
// links of their own, which the soak cuts, while all hosts read, and tell each
// other, the same addresses.

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>

namespace {

/// The ports of upstreams, and what is added to them.
struct port_map
{
    unsigned first = 0;
    unsigned end = 0;
    unsigned offset = 0;
};

port_map read_map()
{
    port_map result;
    char const* const text = std::getenv("LINK_MAP");
    if (text == nullptr
        || std::sscanf(
               text, "%u,%u,%u", &result.first, &result.end, &result.offset)
               != 3) {
        std::fputs("LINK_MAP is not first,end,offset\n", stderr);
        std::abort();
    }
    return result;
}

} // namespace

extern "C" int connect(int socket, sockaddr const* to, socklen_t size)
{
    using function = int (*)(int, sockaddr const*, socklen_t);
    static auto const s_connect =
        reinterpret_cast<function>(dlsym(RTLD_NEXT, "connect"));
    static port_map const s_map = read_map();
    if (to->sa_family != AF_INET || size < sizeof(sockaddr_in)) {
        return s_connect(socket, to, size);
    }
    sockaddr_in led = *reinterpret_cast<sockaddr_in const*>(to);
    unsigned const port = ntohs(led.sin_port);
    if (port >= s_map.first && port < s_map.end) {
        led.sin_port = htons(static_cast<std::uint16_t>(port + s_map.offset));
    }
    return s_connect(
        socket, reinterpret_cast<sockaddr const*>(&led), sizeof led);
}
