#include "house/source_tree.hpp"

#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

namespace caperjunction::house {
namespace {

std::filesystem::path const root = SOURCE_ROOT;

bool is_source(std::filesystem::path const& file)
{
    bool const is_cpp =
        file.extension() == ".cpp" || file.extension() == ".hpp";
    return is_cpp && file.string().find("generated") == std::string::npos;
}

} // namespace

std::string read_text(std::string const& path)
{
    std::ifstream file(root / path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<source_file> read_sources(std::string const& folder)
{
    std::vector<source_file> files;
    if (!std::filesystem::exists(root / folder)) {
        return files;
    }
    for (auto const& entry :
         std::filesystem::recursive_directory_iterator(root / folder)) {
        if (entry.is_regular_file() && is_source(entry.path())) {
            std::string const path =
                std::filesystem::relative(entry.path(), root).string();
            files.push_back({path, read_text(path)});
        }
    }
    return files;
}

std::set<std::string> find_all(std::string const& text, char const* expression)
{
    std::regex const pattern(expression);
    std::set<std::string> found;
    for (std::sregex_iterator match(text.begin(), text.end(), pattern), end;
         match != end;
         ++match) {
        found.insert((*match)[1].str());
    }
    return found;
}

} // namespace caperjunction::house
