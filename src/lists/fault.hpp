#ifndef CAPERJUNCTION_LISTS_FAULT_HPP
#define CAPERJUNCTION_LISTS_FAULT_HPP

#include <string>

namespace caperjunction::lists {

/// Validation error of a list, with a remedy.
struct fault
{
    /// File or published value that contains the error.
    std::string file;
    /// JSON pointer to the element, e.g. `/plans/3/classes/0`.
    std::string path;
    std::string message;
    std::string remedy;
};

} // namespace caperjunction::lists

#endif
