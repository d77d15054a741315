#ifndef CAPERJUNCTION_TESTS_PROXY_STORE_READER_FIXTURE_HPP
#define CAPERJUNCTION_TESTS_PROXY_STORE_READER_FIXTURE_HPP

#include "platform/platform.hpp"
#include "proxy/relay_fixture.hpp"
#include "proxy/store_reader.hpp"

#include <fmt/format.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace caperjunction::test {

inline std::string json(std::string const& body, int status = 200)
{
    return fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n{}",
                       status,
                       body.size(),
                       body);
}

inline std::string const one_item =
    R"({"items":[{"key":"servers/i-1","value":"e30=","revision":4}],)"
    R"("more_pages":false,"store_revision":9})";

inline std::string const no_events = R"({"events":[],"store_revision":9})";

/// Returns `answer` with the header that names an era.
inline std::string of_era(std::string const& era, std::string answer)
{
    std::string const first_line_end = " X\r\n";
    return answer.insert(answer.find(first_line_end) + first_line_end.size(),
                         "Store-Era: " + era + "\r\n");
}

inline std::string page(std::string const& key, int revision, bool has_more)
{
    return json(
        fmt::format(R"({{"items":[{{"key":"{}","value":"","revision":4}}],)"
                    R"("more_pages":{},"store_revision":{}}})",
                    key,
                    has_more,
                    revision));
}

inline std::string change(std::string const& key, int revision)
{
    return json(
        fmt::format(R"({{"events":[{{"key":"{}","value":"","revision":{}}}],)"
                    R"("store_revision":{}}})",
                    key,
                    revision,
                    revision));
}

inline bool is_complete_read(std::string const& target)
{
    return target == "/kv-range?prefix=";
}

/// Returns `answer` as sent over a saturated link: in pieces, slowly.
inline script in_pieces(std::string const& answer,
                        std::size_t pieces,
                        model::milliseconds delay)
{
    std::size_t const head = answer.find("\r\n\r\n") + 4;
    script slow{answer.substr(0, head)};
    slow.remainder = answer.substr(head);
    slow.delay = delay;
    slow.piece_bytes = slow.remainder.size() / pieces + 1;
    return slow;
}

/// A reader on a scripted store; its callbacks are recorded.
struct reader_fixture
{
    runtime::event_loop loop;
    model::time_point created_at = loop.now();
    std::deque<std::string> answers;
    std::vector<std::string> targets;
    scripted_upstream store;
    proxy::store_codec codec = platform::store_codec();
    /// Answers once the script is at its end; null: the store is silent.
    std::function<std::string(std::string const& target)> answer_to;
    /// Time that passes on the reader's clock with each answer.
    model::milliseconds time_per_answer{0};
    model::milliseconds time_passed{0};
    std::size_t slow_pieces = 0;
    model::milliseconds delay{0};
    /// Time after which the store begins an answer.
    model::milliseconds answer_delay{0};
    std::vector<std::string> events;
    std::optional<model::time_point> confirmed;
    std::uint64_t revision = 0;
    std::vector<std::uint64_t> eras;
    std::vector<std::string> era_faults;
    proxy::store_reader reader;

    explicit reader_fixture(std::deque<std::string> script_of_store)
        : answers(std::move(script_of_store))
        , store(loop,
                [this](received const& request) -> script {
                    targets.push_back(request.head.target);
                    time_passed += time_per_answer;
                    if (answers.empty()) {
                        return answer_to ? script{answer_to(targets.back())}
                                         : script{};
                    }
                    std::string const next = answers.front();
                    answers.pop_front();
                    if (next == "reset") {
                        return {"", false, true};
                    }
                    if (answer_delay > 0ms) {
                        script late;
                        late.remainder = next;
                        late.delay = answer_delay;
                        return late;
                    }
                    return slow_pieces == 0
                               ? script{next}
                               : in_pieces(next, slow_pieces, delay);
                })
        , reader(loop,
                 store.at(),
                 codec,
                 "",
                 {[this](proxy::store_item const& item) {
                      events.push_back((item.removed ? "-" : "+") + item.key);
                  },
                  [this](proxy::store_list const& list) {
                      events.push_back("all "
                                       + std::to_string(list.keys.size()));
                  },
                  [this](model::time_point as_of,
                         routing::store_position all_up_to) {
                      confirmed = as_of;
                      revision = all_up_to.revision;
                  },
                  [this](proxy::store_failure const& loss) {
                      events.push_back("lost " + std::string(loss.reason));
                  },
                  [this] {
                      events.emplace_back("regained");
                  },
                  nullptr,
                  [this](std::uint64_t era) {
                      eras.push_back(era);
                  },
                  [this](proxy::era_fault const& fault) {
                      era_faults.push_back(std::string(fault.reason) + " "
                                           + fault.value);
                  }})
    {
        reader.start(200ms, [this] {
            return now();
        });
    }

    /// Time on the reader's clock.
    model::time_point now() const
    {
        return loop.now() + time_passed;
    }

    void run_for(model::milliseconds time)
    {
        bool over = false;
        loop.after(time, [&over] {
            over = true;
        });
        while (!over) {
            loop.run_once();
        }
    }

    bool run_until_requested(std::size_t times)
    {
        auto const limit = loop.now() + 5s;
        while (targets.size() < times && loop.now() < limit) {
            loop.run_once();
        }
        return targets.size() >= times;
    }
};

} // namespace caperjunction::test

#endif
