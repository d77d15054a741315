#include "program/file_watch.hpp"

#include <system_error>
#include <utility>

namespace caperjunction::program {

file_watch::file_watch(std::string path)
    : m_path(std::move(path))
{
    read_state(m_last);
}

bool file_watch::read_state(state& result) const
{
    std::error_code failure;
    state now;
    now.written = std::filesystem::last_write_time(m_path, failure);
    if (!failure) {
        now.size = std::filesystem::file_size(m_path, failure);
    }
    if (failure) {
        // The file may be absent for a moment while it is being replaced.
        return false;
    }
    result = now;
    return true;
}

bool file_watch::has_changed()
{
    if (m_path.empty()) {
        return false;
    }
    state now;
    if (!read_state(now) || now == m_last) {
        return false;
    }
    m_last = now;
    return true;
}

} // namespace caperjunction::program
