#ifndef CAPERJUNCTION_TESTS_HOUSE_SOURCE_TREE_HPP
#define CAPERJUNCTION_TESTS_HOUSE_SOURCE_TREE_HPP

#include <set>
#include <string>
#include <vector>

namespace caperjunction::house {

/// Path and complete text of a source file.
struct source_file
{
    /// Relative to the root of the tree, e.g. src/lists/parse.cpp.
    std::string path;
    std::string text;
};

/// Returns all C++ files below a folder of the tree except generated ones.
std::vector<source_file> read_sources(std::string const& folder);

/// Returns the text of a file, or an empty text if the file does not exist.
std::string read_text(std::string const& path);

/// Returns the first group of each match of a regular expression.
std::set<std::string> find_all(std::string const& text, char const* expression);

} // namespace caperjunction::house

#endif
