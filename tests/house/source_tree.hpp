#ifndef CAPERJUNCTION_TESTS_HOUSE_SOURCE_TREE_HPP
#define CAPERJUNCTION_TESTS_HOUSE_SOURCE_TREE_HPP

#include <set>
#include <string>
#include <vector>

namespace caperjunction::house {

/// A file of the tree, read whole.
struct source_file
{
    /// From the tree's root, e.g. src/lists/parse.cpp.
    std::string path;
    std::string text;
};

/// All C++ files below a folder of the tree, without generated ones.
std::vector<source_file> read_sources(std::string const& folder);

/// Empty if there is no such file.
std::string read_text(std::string const& path);

/// The first group of each match of a regular expression.
std::set<std::string> find_all(std::string const& text, char const* expression);

} // namespace caperjunction::house

#endif
