#include "lists/parse_upstreams.hpp"

#include "lists/parse_document.hpp"
#include "lists/reader.hpp"

#include <set>

namespace caperjunction::lists {
namespace {

void refuse_twice(reader& from,
                  std::set<std::string>& taken,
                  std::string const& name)
{
    if (!name.empty() && !taken.insert(name).second) {
        from.note("name", "is given twice", "rename or remove one of the two");
    }
}

void read_role(reader& from, model::engine_role& into)
{
    std::string role = "mixed";
    from.name("role", role);
    if (role == "mixed") {
        into = model::engine_role::mixed;
    } else if (role == "prefill") {
        into = model::engine_role::prefill;
    } else if (role == "decode") {
        into = model::engine_role::decode;
    } else {
        from.note("role",
                  "is not a role of an engine",
                  "write mixed, prefill or decode");
    }
}

void read_engine(reader& from,
                 std::set<std::string>& taken,
                 model::upstreams& into)
{
    model::engine item;
    from.need_name("name", item.name);
    from.need_name("region", item.region);
    from.need_name("data_centre", item.data_centre);
    from.need_endpoint("address", item.address);
    from.names("models", item.models);
    read_role(from, item.role);
    from.count("slots", item.slots, 0);
    from.boolean("checks_fencing", item.checks_fencing);
    from.boolean("leaving", item.leaving);
    refuse_twice(from, taken, item.name);
    into.engines.push_back(std::move(item));
}

void read_service(reader& from,
                  std::set<std::string>& taken,
                  model::upstreams& into)
{
    model::service_instance item;
    from.need_name("service", item.service);
    from.need_name("name", item.name);
    from.need_name("region", item.region);
    from.need_name("data_centre", item.data_centre);
    from.need_endpoint("address", item.address);
    from.boolean("leaving", item.leaving);
    refuse_twice(from, taken, item.name);
    into.services.push_back(std::move(item));
}

} // namespace

model::upstreams parse_upstreams(std::string_view text,
                                 std::string const& file,
                                 std::vector<fault>& faults)
{
    model::upstreams list;
    auto const root = parse_document(text, file, faults);
    if (!root) {
        return list;
    }
    std::set<std::string> taken;
    reader top(*root, file, "", faults);
    top.objects("engines", [&](reader& item) {
        read_engine(item, taken, list);
    });
    top.objects("services", [&](reader& item) {
        read_service(item, taken, list);
    });
    top.refuse_unread();
    return list;
}

} // namespace caperjunction::lists
