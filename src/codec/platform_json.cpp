#include "codec/json_text.hpp"

#include <cassiahub/codec/platform_json.hpp>

namespace cassiahub::codec
{

namespace internal
{

using nlohmann::json;

/// Parses \p body and passes it to \p read. \returns false when \p body is not JSON or a
/// member that \p read requires is missing or has another type.
template <typename Read>
bool read_json(std::string_view body, Read read)
{
    try
    {
        read(json::parse(body));
        return true;
    }
    catch (json::exception const &)
    {
        return false;
    }
}

json to_json(decision::row_write const & row)
{
    json object = {{"row", row.m_name}};
    if (row.m_expected_version)
    {
        object["expected_version"] = *row.m_expected_version;
    }
    if (row.m_value)
    {
        object["value"] = *row.m_value;
    }
    return object;
}

decision::row_write to_row_write(json const & object)
{
    decision::row_write row;
    row.m_name = object.at("row").get<std::string>();
    if (object.contains("expected_version"))
    {
        row.m_expected_version = object["expected_version"].get<std::uint64_t>();
    }
    if (object.contains("value"))
    {
        row.m_value = object["value"].get<std::string>();
    }
    return row;
}

} // namespace internal

std::string format_table_rows(table_rows const & rows)
{
    internal::json list = internal::json::array();
    for (decision::table_row const & row : rows.m_rows)
    {
        list.push_back(
            {{"row", row.m_name}, {"version", row.m_version}, {"value", row.m_value}});
    }
    return internal::dump({{"sequence", rows.m_sequence},
                           {"rows", std::move(list)},
                           {"deleted", rows.m_deleted}});
}

bool parse_table_rows(std::string_view body, table_rows & rows)
{
    return internal::read_json(
        body,
        [&rows](internal::json const & document)
        {
            table_rows parsed;
            parsed.m_sequence = document.at("sequence").get<std::uint64_t>();
            for (internal::json const & row : document.at("rows"))
            {
                parsed.m_rows.push_back({row.at("row").get<std::string>(),
                                         row.at("version").get<std::uint64_t>(),
                                         row.at("value").get<std::string>()});
            }
            parsed.m_deleted = document.at("deleted").get<std::vector<std::string>>();
            rows = std::move(parsed);
        });
}

std::string format_table_batch(std::string_view write_id,
                               std::span<decision::row_write const> rows)
{
    internal::json list = internal::json::array();
    for (decision::row_write const & row : rows)
    {
        list.push_back(internal::to_json(row));
    }
    return internal::dump({{"write_id", write_id}, {"rows", std::move(list)}});
}

bool parse_table_batch(std::string_view body, table_batch & batch)
{
    return internal::read_json(
        body,
        [&batch](internal::json const & document)
        {
            table_batch parsed;
            parsed.m_write_id = document.at("write_id").get<std::string>();
            for (internal::json const & row : document.at("rows"))
            {
                parsed.m_rows.push_back(internal::to_row_write(row));
            }
            batch = std::move(parsed);
        });
}

std::string format_instances(std::span<decision::listed_instance const> instances)
{
    internal::json list = internal::json::array();
    for (decision::listed_instance const & instance : instances)
    {
        list.push_back({{"name", instance.m_name},
                        {"domain", instance.m_domain},
                        {"address", instance.m_address},
                        {"entry", instance.m_is_entry},
                        {"leaving", instance.m_leaving}});
    }
    return internal::dump({{"instances", std::move(list)}});
}

bool parse_instances(std::string_view body,
                     std::vector<decision::listed_instance> & instances)
{
    return internal::read_json(
        body,
        [&instances](internal::json const & document)
        {
            std::vector<decision::listed_instance> parsed;
            for (internal::json const & instance : document.at("instances"))
            {
                parsed.push_back({instance.at("name").get<std::string>(),
                                  instance.at("domain").get<std::string>(),
                                  instance.at("address").get<std::string>(),
                                  instance.at("entry").get<bool>(),
                                  instance.at("leaving").get<bool>()});
            }
            instances = std::move(parsed);
        });
}

} // namespace cassiahub::codec
