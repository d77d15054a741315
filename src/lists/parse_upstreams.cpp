#include "lists/parse_upstreams.hpp"

#include "lists/object_reader.hpp"
#include "lists/parse_document.hpp"

#include <set>

namespace caperjunction::lists {
namespace {

void check_unique_name(object_reader& from,
                       std::set<std::string>& seen_names,
                       std::string const& name)
{
    if (!name.empty() && !seen_names.insert(name).second) {
        from.add_fault(
            "name", "is a duplicate", "rename or remove one of the two");
    }
}

void read_role(object_reader& from, model::engine_role& into)
{
    std::string role = "mixed";
    from.read_name("role", role);
    if (role == "mixed") {
        into = model::engine_role::mixed;
    } else if (role == "prefill") {
        into = model::engine_role::prefill;
    } else if (role == "decode") {
        into = model::engine_role::decode;
    } else {
        from.add_fault(
            "role", "is not an engine role", "use mixed, prefill or decode");
    }
}

void read_engine(object_reader& from,
                 std::set<std::string>& seen_names,
                 model::upstream_list& into)
{
    model::engine item;
    from.require_name("name", item.name);
    from.require_name("region", item.region);
    from.require_name("data_centre", item.data_centre);
    from.require_endpoint("address", item.address);
    from.read_names("models", item.models);
    read_role(from, item.role);
    from.read_count("slots", item.slots, 0);
    from.read_name("software_version", item.software_version);
    from.read_boolean("checks_fencing", item.checks_fencing);
    from.read_boolean("leaving", item.leaving);
    check_unique_name(from, seen_names, item.name);
    into.engines.push_back(std::move(item));
}

void read_service(object_reader& from,
                  std::set<std::string>& seen_names,
                  model::upstream_list& into)
{
    model::service_instance item;
    from.require_name("service", item.service);
    from.require_name("name", item.name);
    from.require_name("region", item.region);
    from.require_name("data_centre", item.data_centre);
    from.require_endpoint("address", item.address);
    from.read_boolean("leaving", item.leaving);
    check_unique_name(from, seen_names, item.name);
    into.services.push_back(std::move(item));
}

} // namespace

model::upstream_list parse_upstreams(std::string_view text,
                                     std::string const& file,
                                     std::vector<fault>& faults)
{
    model::upstream_list list;
    std::set<std::string> seen_names;
    parse_document(text, file, faults, [&](object_reader& root) {
        root.read_objects("engines", [&](object_reader& item) {
            read_engine(item, seen_names, list);
        });
        root.read_objects("services", [&](object_reader& item) {
            read_service(item, seen_names, list);
        });
    });
    return list;
}

} // namespace caperjunction::lists
