#include "lists/parse_hosts.hpp"

#include "lists/parse_document.hpp"
#include "lists/reader.hpp"

#include <set>

namespace caperjunction::lists {
namespace {

void read_host(reader& from, std::set<std::string>& taken, model::hosts& into)
{
    model::host item;
    from.need_name("name", item.name);
    from.need_name("region", item.region);
    from.need_name("data_centre", item.data_centre);
    from.need_endpoint("callers", item.callers);
    from.need_endpoint("peers", item.peers);
    from.boolean("leaving", item.leaving);
    if (!item.name.empty() && !taken.insert(item.name).second) {
        from.note("name", "is given twice", "rename or remove one of the two");
    }
    into.members.push_back(std::move(item));
}

} // namespace

model::hosts parse_hosts(std::string_view text,
                         std::string const& file,
                         std::vector<fault>& faults)
{
    model::hosts list;
    auto const root = parse_document(text, file, faults);
    if (!root) {
        return list;
    }
    std::set<std::string> taken;
    reader top(*root, file, "", faults);
    top.objects("hosts", [&](reader& item) {
        read_host(item, taken, list);
    });
    top.refuse_unread();
    return list;
}

} // namespace caperjunction::lists
