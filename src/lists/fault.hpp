#ifndef CAPERJUNCTION_LISTS_FAULT_HPP
#define CAPERJUNCTION_LISTS_FAULT_HPP

#include <string>

namespace caperjunction::lists {

/// One thing that is wrong in a list, and what mends it.
struct fault
{
    /// The file or published value that it stands in.
    std::string file;
    /// JSON pointer to the place, e.g. `/plans/3/classes/0`.
    std::string path;
    std::string message;
    std::string remedy;
};

} // namespace caperjunction::lists

#endif
