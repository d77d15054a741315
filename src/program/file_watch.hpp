#ifndef CAPERJUNCTION_PROGRAM_FILE_WATCH_HPP
#define CAPERJUNCTION_PROGRAM_FILE_WATCH_HPP

#include <filesystem>
#include <string>

namespace caperjunction::program {

/// Tells when a file was written: settings may change without a signal.
///
/// Thread safety: none.
class file_watch
{
public:
    /// An empty path names no file, which never changes.
    explicit file_watch(std::string path);

    /// Whether the file is another than at the last call, or when this was
    /// made. A file that can't be read is as it was.
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
