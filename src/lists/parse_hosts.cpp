#include "lists/parse_hosts.hpp"

#include "lists/object_reader.hpp"
#include "lists/parse_document.hpp"

#include <set>

namespace caperjunction::lists {
namespace {

void read_host(object_reader& from,
               std::set<std::string>& seen_names,
               model::host_list& into)
{
    model::host item;
    from.require_name("name", item.name);
    from.require_name("region", item.region);
    from.require_name("data_centre", item.data_centre);
    from.require_endpoint("callers", item.callers);
    from.require_endpoint("peers", item.peers);
    from.read_boolean("leaving", item.leaving);
    if (!item.name.empty() && !seen_names.insert(item.name).second) {
        from.add_fault(
            "name", "is a duplicate", "rename or remove one of the two");
    }
    into.members.push_back(std::move(item));
}

} // namespace

model::host_list parse_hosts(std::string_view text,
                             std::string const& file,
                             std::vector<fault>& faults)
{
    model::host_list list;
    std::set<std::string> seen_names;
    parse_document(text, file, faults, [&](object_reader& root) {
        root.read_objects("hosts", [&](object_reader& item) {
            read_host(item, seen_names, list);
        });
    });
    return list;
}

} // namespace caperjunction::lists
