/// \file Tests of the registrations of upstreams that are no registrations: entries that
/// another writer left among those of the upstreams.

#include "platform/json_values.hpp"
#include "platform/wire_format.hpp"

#include <cassiahub/gateway/error.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <string_view>

using namespace cassiahub;
using gateway::registration_errc;
using platform::json;

namespace
{

// Guards against an entry of another writer that is used as an upstream, or that ends the
// process.
class platform_registration_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_registration_test);
    CPPUNIT_TEST(registration_with_every_member_is_decoded);
    CPPUNIT_TEST(registration_without_optional_members_is_decoded);
    CPPUNIT_TEST(registration_with_a_member_missing_is_ignored);
    CPPUNIT_TEST(registration_with_a_member_of_other_type_is_ignored);
    CPPUNIT_TEST(address_without_usable_port_is_ignored);
    CPPUNIT_TEST(address_of_no_single_host_is_ignored);
    CPPUNIT_TEST(address_with_other_text_is_ignored);
    CPPUNIT_TEST(slots_out_of_range_are_ignored);
    CPPUNIT_TEST(capacity_out_of_range_is_ignored);
    CPPUNIT_TEST(capacity_of_zero_is_decoded);
    CPPUNIT_TEST(start_time_not_whole_or_out_of_range_is_ignored);
    CPPUNIT_TEST(state_unknown_is_ignored);
    CPPUNIT_TEST(text_too_long_is_ignored);
    CPPUNIT_TEST(name_not_fit_for_a_header_is_ignored);
    CPPUNIT_TEST(name_that_peers_reject_is_ignored);
    CPPUNIT_TEST(number_beyond_double_is_ignored);
    CPPUNIT_TEST(bytes_not_utf_8_are_ignored);
    CPPUNIT_TEST(value_not_an_object_is_ignored);
    CPPUNIT_TEST(nesting_shallow_in_unused_member_is_skipped);
    CPPUNIT_TEST(nesting_deep_is_ignored);
    CPPUNIT_TEST(random_bytes_never_throw);
    CPPUNIT_TEST_SUITE_END();

    gateway::wire_format m_wire = platform::make_wire_format();
    decision::discovered_upstream m_upstream;

    static json registration()
    {
        return {{"service", "huvo11a"},
                {"address", "10.128.0.9:8080"},
                {"zone", "palermo"},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold-remaining-ms", 0},
                {"capacity", {{"cpu", 16000}, {"mem-mb", 32768}, {"gpu", 0}}},
                {"labels", {"a", "r1-3"}},
                {"clock-ms", 482113},
                {"seq", 4},
                {"born", 1'700'000'000'000}};
    }

    std::error_code decode(std::string_view value, std::string_view name = "i-7f3a91c2")
    {
        m_upstream = {};
        return m_wire.m_decode_upstream(name, value, m_upstream);
    }

    /// Decodes a registration whose member \p key is \p value.
    std::error_code decode_with(char const * key, json value)
    {
        json entry = registration();
        entry[key] = std::move(value);
        return decode(entry.dump());
    }

    /// Decodes a registration that ends with \p members.
    std::error_code decode_with_text(std::string const & members)
    {
        std::string entry = registration().dump();
        entry.back() = ',';
        return decode(entry + members + '}');
    }

    static std::string nested(std::size_t depth, std::string_view open,
                              std::string_view close)
    {
        std::string text;
        for (std::size_t level = 0; level < depth; ++level)
        {
            text += open;
        }
        text += '1';
        for (std::size_t level = 0; level < depth; ++level)
        {
            text += close;
        }
        return text;
    }

public:
    void registration_with_every_member_is_decoded()
    {
        CPPUNIT_ASSERT(!decode(registration().dump()));
        CPPUNIT_ASSERT_EQUAL(std::string("10.128.0.9:8080"),
                             m_upstream.m_definition.m_address);
        CPPUNIT_ASSERT(!m_upstream.m_definition.m_draining);
        CPPUNIT_ASSERT(!decode_with("state", "draining"));
        CPPUNIT_ASSERT(m_upstream.m_definition.m_draining);
    }

    void registration_without_optional_members_is_decoded()
    {
        json entry = registration();
        entry.erase("born");
        entry.erase("labels");
        entry.erase("clock-ms");
        CPPUNIT_ASSERT(!decode(entry.dump()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_upstream.m_incarnation);
    }

    void registration_with_a_member_missing_is_ignored()
    {
        for (char const * const key : {"service", "address", "zone", "version", "slots",
                                       "state", "cold-remaining-ms", "capacity", "seq"})
        {
            json entry = registration();
            entry.erase(key);
            CPPUNIT_ASSERT_MESSAGE(key, decode(entry.dump()));
        }
    }

    void registration_with_a_member_of_other_type_is_ignored()
    {
        for (char const * const key :
             {"service", "address", "zone", "version", "slots", "state",
              "cold-remaining-ms", "capacity", "labels", "seq", "born"})
        {
            for (json const & value :
                 {json(nullptr), json(true), json(json::object()), json({1}), json(-1.5)})
            {
                bool const valid =
                    key == std::string_view("cold-remaining-ms") && value.is_number();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(key + value.dump(), !valid,
                                             bool(decode_with(key, value)));
            }
        }
    }

    void address_without_usable_port_is_ignored()
    {
        for (char const * const address :
             {"10.1.2.3:99999", "10.1.2.3:65536", "10.1.2.3:-1", "10.1.2.3:0",
              "10.1.2.3:", "10.1.2.3", "10.1.2.3:80x", "10.1.2.3:+80", "10.1.2.3: 80"})
        {
            CPPUNIT_ASSERT_MESSAGE(address, decode_with("address", address) ==
                                                registration_errc::bad_address);
        }
    }

    void address_of_no_single_host_is_ignored()
    {
        for (char const * const address : {"0.0.0.0:80", "255.255.255.255:80",
                                           "224.0.0.1:80", "10.1.2:80", "10.1.2.256:80"})
        {
            CPPUNIT_ASSERT_MESSAGE(address, decode_with("address", address) ==
                                                registration_errc::bad_address);
        }
    }

    void address_with_other_text_is_ignored()
    {
        for (std::string const & address :
             {std::string(), std::string("minion-4:80"), std::string("[::1]:80"),
              std::string("http://10.1.2.3:80"), std::string("10.1.2.3:80\r\nX: y"),
              std::string("10.1.2.3:80\0", 12), std::string(70'000, '1')})
        {
            CPPUNIT_ASSERT_MESSAGE(address, decode_with("address", address) ==
                                                registration_errc::bad_address);
        }
    }

    void slots_out_of_range_are_ignored()
    {
        for (json const & slots : {json(0), json(-1), json(4'294'967'295U),
                                   json(~std::uint64_t(0)), json(8.0), json("8")})
        {
            CPPUNIT_ASSERT_MESSAGE(slots.dump(), decode_with("slots", slots) ==
                                                     registration_errc::bad_slots);
        }
    }

    void capacity_out_of_range_is_ignored()
    {
        for (json const & capacity :
             {json({{"cpu", 1}}), json({{"mem-mb", 1}}),
              json({{"cpu", 4'294'967'295U}, {"mem-mb", 1}}),
              json({{"cpu", 1}, {"mem-mb", 4'294'967'295U}}),
              json({{"cpu", 1}, {"mem-mb", 1}, {"gpu", 4'294'967'295U}}),
              json({{"cpu", -1}, {"mem-mb", 1}}), json({{"cpu", 1.5}, {"mem-mb", 1}}),
              json({{"cpu", 1}, {"mem-mb", 1}, {"gpu", "1"}}), json(json::object())})
        {
            CPPUNIT_ASSERT_MESSAGE(capacity.dump(), decode_with("capacity", capacity) ==
                                                        registration_errc::bad_capacity);
        }
    }

    // An upstream whose room had shrunk to nothing was dropped from the books together
    // with its runs.
    void capacity_of_zero_is_decoded()
    {
        for (json const & capacity : {json({{"cpu", 0}, {"mem-mb", 32768}, {"gpu", 0}}),
                                      json({{"cpu", 0}, {"mem-mb", 0}, {"gpu", 0}}),
                                      json({{"cpu", 16000}, {"mem-mb", 0}})})
        {
            CPPUNIT_ASSERT_MESSAGE(capacity.dump(), !decode_with("capacity", capacity));
            resources const & decoded = m_upstream.m_definition.m_capacity;
            CPPUNIT_ASSERT_EQUAL(capacity["cpu"].get<std::uint32_t>(),
                                 decoded.m_millicores);
            CPPUNIT_ASSERT_EQUAL(capacity["mem-mb"].get<std::uint32_t>(),
                                 decoded.m_memory_mib);
        }
    }

    void start_time_not_whole_or_out_of_range_is_ignored()
    {
        for (json const & born :
             {json(-1), json(1.5), json(1.7e12), json(~std::uint64_t(0)), json("1")})
        {
            CPPUNIT_ASSERT_MESSAGE(born.dump(), decode_with("born", born) ==
                                                    registration_errc::bad_start_time);
        }
    }

    void state_unknown_is_ignored()
    {
        for (char const * const state : {"", "gone", "Ready", "ready "})
        {
            CPPUNIT_ASSERT_MESSAGE(state, decode_with("state", state) ==
                                              registration_errc::bad_state);
        }
    }

    void text_too_long_is_ignored()
    {
        std::string const text(70'000, 'x');
        CPPUNIT_ASSERT(decode_with("service", text) == registration_errc::bad_service);
        CPPUNIT_ASSERT(decode_with("zone", text) == registration_errc::bad_domain);
    }

    void name_not_fit_for_a_header_is_ignored()
    {
        std::string const entry = registration().dump();
        for (std::string const & name :
             {std::string(), std::string("a b"), std::string("a\r\nX: y"),
              std::string("\xc3\xb6"), std::string("a\0b", 3), std::string(70'000, 'i')})
        {
            CPPUNIT_ASSERT_MESSAGE(name,
                                   decode(entry, name) == registration_errc::bad_name);
        }
    }

    // Guards against a claimed upstream whose name makes every peer end the session at
    // the next heartbeat, which lists the claimed upstreams.
    void name_that_peers_reject_is_ignored()
    {
        std::string const entry = registration().dump();
        for (std::string const & name :
             {std::string("a/b"), std::string("10.0.0.1:1"), std::string(129, 'i')})
        {
            CPPUNIT_ASSERT_MESSAGE(name,
                                   decode(entry, name) == registration_errc::bad_name);
        }
        CPPUNIT_ASSERT(!decode(entry, std::string(128, 'i')));
    }

    void number_beyond_double_is_ignored()
    {
        CPPUNIT_ASSERT(decode_with_text(R"("slots":1e999)") ==
                       registration_errc::not_an_object);
        CPPUNIT_ASSERT(decode_with_text(R"("extra":-1e999)") ==
                       registration_errc::not_an_object);
        CPPUNIT_ASSERT(decode_with_text(R"("slots":NaN)") ==
                       registration_errc::not_an_object);
        CPPUNIT_ASSERT(decode_with_text(R"("slots":18446744073709551616)") ==
                       registration_errc::bad_slots);
    }

    void bytes_not_utf_8_are_ignored()
    {
        CPPUNIT_ASSERT(decode("\xff\xfe\x01") == registration_errc::not_an_object);
        CPPUNIT_ASSERT(decode_with_text("\"extra\":\"\xff\"") ==
                       registration_errc::not_an_object);
        CPPUNIT_ASSERT(decode_with_text(R"("zone":"\ud800")") ==
                       registration_errc::not_an_object);
    }

    void value_not_an_object_is_ignored()
    {
        for (char const * const value : {"", "null", "7", "[]", "[{}]", "\"text\"", "{"})
        {
            CPPUNIT_ASSERT_MESSAGE(value,
                                   decode(value) == registration_errc::not_an_object);
        }
    }

    void nesting_shallow_in_unused_member_is_skipped()
    {
        CPPUNIT_ASSERT(!decode_with_text(R"("extra":)" + nested(10, "[", "]")));
        CPPUNIT_ASSERT(!decode_with_text(R"("extra":)" + nested(10, "{\"a\":", "}")));
    }

    void nesting_deep_is_ignored()
    {
        std::string const arrays = nested(300'000, "[", "]");
        std::string const objects = nested(100'000, "{\"a\":", "}");
        for (std::string const & text :
             {arrays, objects, std::string(300'000, '['), nested(20, "[", "]")})
        {
            CPPUNIT_ASSERT(decode(text) == registration_errc::not_an_object);
            CPPUNIT_ASSERT(decode_with_text(R"("extra":)" + text) ==
                           registration_errc::not_an_object);
            CPPUNIT_ASSERT(decode_with_text(R"("labels":)" + text) ==
                           registration_errc::not_an_object);
            CPPUNIT_ASSERT(decode_with_text(R"("capacity":{"cpu":)" + text + '}') ==
                           registration_errc::not_an_object);
        }
    }

    void random_bytes_never_throw()
    {
        bool const property_holds =
            rc::check("any name and bytes give a result",
                      [this](std::string const & name, std::string const & value)
                      { decode(value, name); });
        CPPUNIT_ASSERT(property_holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_registration_test);

} // namespace
