#include "standin/platform_state.hpp"
#include "standin/settings_json.hpp"

#include <cassiahub/runtime/boot_clock.hpp>

#include <fmt/format.h>
#include <xxhash.h>

#include <utility>
#include <vector>

namespace cassiahub::standin::internal
{

namespace
{

/// Age at which a list is removed; the upper bound of list_lag_ms.
constexpr duration max_list_age = std::chrono::minutes(10);

/// Appends a snapshot of the instance list and removes those that no list_lag_ms within
/// max_list_age can reach.
void append_snapshot(platform_state & state, instance_map instances)
{
    time_point const now = runtime::read_boot_clock();
    state.m_instances.push_back({now, std::move(instances)});
    // The oldest list is needed until the second oldest has reached the age limit.
    while (state.m_instances.size() > 1 &&
           state.m_instances[1].m_valid_from + max_list_age < now)
    {
        state.m_instances.pop_front();
    }
}

/// \returns the instance list as it was \p lag ago.
instance_map const & visible_list(platform_state const & state, duration lag)
{
    time_point const limit = runtime::read_boot_clock() - lag;
    auto const visible =
        std::find_if(state.m_instances.rbegin(), state.m_instances.rend(),
                     [limit](instance_snapshot const & candidate)
                     { return candidate.m_valid_from <= limit; });
    return visible == state.m_instances.rend() ? state.m_instances.front().m_instances
                                               : visible->m_instances;
}

/// \returns the text of the instance list as instance \p viewer receives it: delayed by
/// m_list_lag, and with the addresses that m_links sets for \p viewer.
std::string format_visible_list(platform_state const & state, std::string const & viewer)
{
    std::vector<decision::listed_instance> listed;
    for (auto const & [name, instance] : visible_list(state, state.m_faults.m_list_lag))
    {
        listed.push_back(instance);
        auto const link = state.m_links.find({viewer, name});
        if (link != state.m_links.end())
        {
            listed.back().m_address = link->second;
        }
    }
    return codec::format_instances(listed);
}

bool read_text(nlohmann::json const & value, std::string & target)
{
    if (!value.is_string())
    {
        return false;
    }
    target = value.get<std::string>();
    return true;
}

constexpr member_rule<decision::listed_instance> patch_rules[] = {
    {"leaving", "true or false",
     [](nlohmann::json const & value, decision::listed_instance & record)
     {
         return read_bool(value, record.m_leaving);
     }},
    {"address", "text",
     [](nlohmann::json const & value, decision::listed_instance & record)
     {
         return read_text(value, record.m_address);
     }},
};

/// \returns the list with its entity tag, or 304 if If-None-Match equals that tag.
http::response make_list_response(std::string body, http::request const & received)
{
    std::string const tag =
        fmt::format("\"{:016x}\"", XXH3_64bits(body.data(), body.size()));
    bool const unchanged = http::find_header(received.m_headers, "If-None-Match") == tag;
    http::response response = unchanged ? make_text(304, {}) : make_json(std::move(body));
    response.m_headers.push_back({"ETag", tag});
    return response;
}

} // namespace

optional_response serve_instances(platform_state & state, http::request const & received)
{
    if (received.m_method == "PUT")
    {
        std::vector<decision::listed_instance> listed;
        if (!codec::parse_instances(received.m_body, listed))
        {
            return make_text(400, "malformed instance list\n");
        }
        instance_map instances;
        for (decision::listed_instance & instance : listed)
        {
            std::string name = instance.m_name;
            instances.insert_or_assign(std::move(name), std::move(instance));
        }
        std::lock_guard<std::mutex> const lock(state.m_mutex);
        append_snapshot(state, std::move(instances));
        return make_text(204, {});
    }
    if (optional_response refusal = admit(state, received, request_class::read))
    {
        return refusal;
    }
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    return make_list_response(
        format_visible_list(
            state, std::string(http::find_header(received.m_headers, "User-Agent"))),
        received);
}

/// Serves PATCH and DELETE of /instances/{name}.
optional_response serve_one_instance(platform_state & state,
                                     http::request const & received)
{
    std::string_view const name =
        std::string_view(received.m_path).substr(std::string_view("/instances/").size());
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    instance_map instances = state.m_instances.back().m_instances;
    auto const found = instances.find(name);
    if (found == instances.end())
    {
        return make_text(404, "no such instance\n");
    }
    if (received.m_method == "DELETE")
    {
        instances.erase(found);
    }
    else if (received.m_method == "PATCH")
    {
        std::string message = read_settings<decision::listed_instance>(
            received.m_body, patch_rules, found->second);
        if (!message.empty())
        {
            return make_text(400, std::move(message));
        }
    }
    else
    {
        return make_text(405, "allowed: PATCH, DELETE\n");
    }
    append_snapshot(state, std::move(instances));
    return make_text(204, {});
}

optional_response serve_links(platform_state & state, http::request const & received)
{
    using nlohmann::json;
    std::lock_guard<std::mutex> const lock(state.m_mutex);
    if (received.m_method == "PUT")
    {
        decltype(state.m_links) links;
        try
        {
            json const document = json::parse(received.m_body);
            for (json const & link : document.at("links"))
            {
                links.insert_or_assign({link.at("viewer").get<std::string>(),
                                        link.at("instance").get<std::string>()},
                                       link.at("address").get<std::string>());
            }
        }
        catch (json::exception const & error)
        {
            return make_text(400, fmt::format("malformed links: {}\n", error.what()));
        }
        state.m_links = std::move(links);
    }
    json list = json::array();
    for (auto const & [names, address] : state.m_links)
    {
        list.push_back(
            {{"viewer", names.first}, {"instance", names.second}, {"address", address}});
    }
    return make_json(json({{"links", std::move(list)}}).dump());
}

} // namespace cassiahub::standin::internal
