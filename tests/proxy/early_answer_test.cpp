#include "net/upstream_client.hpp"
#include "proxy/relay_fixture.hpp"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

constexpr std::size_t upload_bytes = 2'000'000;
constexpr std::size_t bytes_before_answer = 20'000;

/// How an engine that has answered a long upload early ends the connection.
struct early_end
{
    bool resets = false;
    model::milliseconds delay{0};
};

/// An engine that answers one request on each connection before it has read
/// all of it, and reads no further.
class hasty_engine
{
public:
    hasty_engine(std::string answer, early_end end)
        : m_answer(std::move(answer))
        , m_end(end)
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof at;
        auto* const address = reinterpret_cast<sockaddr*>(&at);
        REQUIRE(bind(m_listener, address, size) == 0);
        REQUIRE(listen(m_listener, 16) == 0);
        getsockname(m_listener, address, &size);
        m_port = ntohs(at.sin_port);
        m_thread = std::thread([this] {
            run();
        });
    }

    ~hasty_engine()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    hasty_engine(hasty_engine const&) = delete;
    hasty_engine& operator=(hasty_engine const&) = delete;

    model::endpoint at() const
    {
        return {"127.0.0.1", m_port};
    }

private:
    void run()
    {
        for (;;) {
            int const caller = accept(m_listener, nullptr, nullptr);
            if (caller < 0) {
                return;
            }
            answer(caller);
        }
    }

    void answer(int caller)
    {
        std::array<char, 4'096> bytes{};
        std::string read;
        while (read.size() < bytes_before_answer) {
            ssize_t const size = recv(caller, bytes.data(), bytes.size(), 0);
            if (size <= 0) {
                break;
            }
            read.append(bytes.data(), static_cast<std::size_t>(size));
        }
        std::string const name = "Attempt-Id: ";
        std::size_t const id = read.find(name);
        std::string text = m_answer;
        if (id != std::string::npos) {
            text.insert(text.find("\r\n") + 2,
                        read.substr(id, read.find("\r\n", id) + 2 - id));
        }
        send(caller, text.data(), text.size(), MSG_NOSIGNAL);
        std::this_thread::sleep_for(m_end.delay);
        linger const at_once{1, 0};
        if (m_end.resets) {
            setsockopt(caller, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        }
        close(caller);
    }

    std::string m_answer;
    early_end m_end;
    int m_listener;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

std::string const head = "HTTP/1.1 200 OK\r\nResponse-Seal: s1\r\n";

/// Answers that end before they are complete, if their connection is reset.
std::vector<std::string> const cut_answers{
    head + "\r\npart",
    head + "Content-Type: text/event-stream\r\n\r\ndata: part\n\n",
    head + "Content-Length: 400\r\n\r\npart",
    head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"};

std::vector<early_end> const resets{
    {true, 0ms}, {true, 30ms}, {true, 200ms}, {false, 0ms}, {false, 30ms}};

/// Makes the engine the only one, and lets callers send long uploads.
void use(relay_fixture& fixture, hasty_engine const& engine)
{
    routing::upstream described;
    described.id = "i-1";
    described.service = "ledger";
    described.at = engine.at();
    described.slots = 4;
    fixture.context.directory.put(described);
    auto lists = fixture.context.table->config();
    lists.limits.body_bytes = 2 * upload_bytes;
    fixture.context.table = std::make_shared<routing::route_table const>(lists);
}

bool is_complete(std::string const& answer)
{
    return answer.find("HTTP/1.1 200") == 0
           && answer.find("\r\n0\r\n\r\n") != std::string::npos;
}

} // namespace

// Guards against a part of an answer that a caller takes for all of it: its
// engine answered a long upload at once and reset the connection, on which the
// upload was still being sent.
TEST_CASE("an early answer to a long upload that is cut doesn't look complete")
{
    for (std::string const& answer : cut_answers) {
        for (early_end const& end : resets) {
            for (std::string const path : {"/book/", "/view/", "/stream/"}) {
                CAPTURE(answer);
                CAPTURE(end.resets);
                CAPTURE(end.delay.count());
                CAPTURE(path);
                hasty_engine engine(answer, end);
                relay_fixture fixture;
                use(fixture, engine);
                auto const caller = fixture.send(relay_fixture::request(
                    path, "a1", "", std::string(upload_bytes, 'u')));
                REQUIRE(fixture.run_until([&] {
                    return !fixture.outcomes.empty();
                }));
                fixture.run_for(5ms);
                std::string const& got = caller->received_bytes;
                CHECK((got.find("HTTP/1.1 502") == 0
                       || got.find("HTTP/1.1 200") == 0));
                CHECK(!is_complete(got));
                CHECK(fixture.outcomes.back() != "served");
            }
        }
    }
}

// Guards against the same in `serve`.
TEST_CASE("an early answer to a long upload that is cut breaks a call of serve")
{
    for (std::string const& answer : cut_answers) {
        for (early_end const& end : resets) {
            CAPTURE(answer);
            CAPTURE(end.resets);
            CAPTURE(end.delay.count());
            hasty_engine engine(answer, end);
            runtime::event_loop loop;
            net::upstream_timeouts timeouts;
            timeouts.first_byte = 1'000ms;
            timeouts.progress = 1'000ms;
            net::upstream_client client(loop, timeouts);
            std::optional<net::call_end> ended;
            net::upstream_call made;
            made.to = engine.at();
            made.path = "/reserve";
            made.body = std::string(upload_bytes, 'u');
            net::call_hooks hooks;
            hooks.done = [&ended](net::call_end how) {
                ended = how;
            };
            client.start(made, std::move(hooks));
            auto const limit = loop.now() + 4s;
            while (!ended && loop.now() < limit) {
                loop.run_once();
            }
            CHECK(ended == net::call_end::broken);
        }
    }
}
