#ifndef CAPERJUNCTION_PROGRAM_FILE_WATCH_HPP
#define CAPERJUNCTION_PROGRAM_FILE_WATCH_HPP

#include <filesystem>
#include <string>

namespace caperjunction::program {

/// Detects changes of a file by polling. The settings file may change without a
/// signal.
///
/// Thread safety: none.
class file_watch
{
public:
    /// With an empty path, `has_changed` always returns false.
    explicit file_watch(std::string path);

    /// Returns whether the file has changed since the last call or, before the
    /// first call, since construction. An unreadable file counts as unchanged.
    bool has_changed();

private:
    struct state
    {
        std::filesystem::file_time_type written{};
        std::uintmax_t size = 0;

        friend bool operator==(state const&, state const&) = default;
    };

    bool read_state(state& result) const;

    std::string m_path;
    state m_last;
};

} // namespace caperjunction::program

#endif
