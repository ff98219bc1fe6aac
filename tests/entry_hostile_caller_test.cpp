/// \file Tests of an entry process with callers that send without end. They check memory,
/// descriptors and one ordinary request, and no times.

#include "entry_processes.hpp"
#include "hostile_crowd.hpp"

#include <filesystem>
#include <fstream>

using namespace cassiahub;
using hostile_crowd::script;

namespace
{

/// A daemon uses at most 256 MB.
constexpr std::size_t max_memory_kib = 256 * 1024;
constexpr std::size_t max_descriptors = 800;
constexpr std::size_t callers = 100;
constexpr std::size_t bytes_of_caller = 3'900'000;

// Guards against callers that make the entry daemon run out of memory, end it, or keep it
// from serving others.
class entry_hostile_caller_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_hostile_caller_test);
    CPPUNIT_TEST(declared_unfinished_bodies_stay_in_bounds);
    CPPUNIT_TEST(undeclared_unfinished_bodies_stay_in_bounds);
    CPPUNIT_TEST(endless_trailers_stay_in_bounds);
    CPPUNIT_TEST(endless_chunk_extensions_stay_in_bounds);
    CPPUNIT_TEST(endless_header_fields_stay_in_bounds);
    CPPUNIT_TEST_SUITE_END();

    std::filesystem::path m_folder;
    instance m_entry;

    bool is_served() const
    {
        return send_request(m_entry.m_caller_address, {"GET", "/v1/status", {}, {}, {}})
                   .m_status == 200;
    }

    static std::string head(std::string_view fields)
    {
        return fmt::format("POST /v1/jobs HTTP/1.1\r\nHost: h\r\n{}", fields);
    }

    static std::string chunked_head()
    {
        return head("Transfer-Encoding: chunked\r\n\r\n");
    }

    void check_crowd(script const & sent)
    {
        hostile_crowd::crowd open;
        open.send(m_entry.m_caller_address, callers, sent);
        int const pid = m_entry.m_process->pid();
        hostile_crowd::wait_until_settled(pid);
        std::size_t const peak = hostile_crowd::memory_kib(pid, "VmHWM");
        std::size_t const descriptors = hostile_crowd::open_descriptors(pid);
        fmt::print(" VmHWM {} MiB, {} descriptors\n", peak / 1024, descriptors);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("VmHWM of {} KiB", peak),
                               peak <= max_memory_kib);
        CPPUNIT_ASSERT(descriptors <= max_descriptors);
        CPPUNIT_ASSERT(is_served());
    }

public:
    void setUp() override
    {
        m_folder = std::filesystem::temp_directory_path() /
                   fmt::format("cassiahub-entry-hostile-{}-{}", getpid(), free_port());
        std::filesystem::create_directories(m_folder);
        m_entry = {};
        std::string const path = m_folder / "entry.ini";
        std::ofstream(path) << fmt::format(
            "[entry]\ninstance = entry-1\ndomain = d1\ncaller_address = {}\n"
            "peer_address = {}\nplatform_address = {}\n"
            "peer_secret = secret-of-the-test\n",
            m_entry.m_caller_address, m_entry.m_peer_address, free_address());
        m_entry.m_process = std::make_unique<process>(
            "cassiahub-entry", std::vector<std::string>{"--settings", path});
        wait_until("entry to serve", [this] { return is_served(); });
    }

    void tearDown() override
    {
        m_entry.m_process.reset();
        std::filesystem::remove_all(m_folder);
    }

    void declared_unfinished_bodies_stay_in_bounds()
    {
        check_crowd({head("Content-Length: 4000000\r\n\r\n"), std::string(1000, 'x'),
                     bytes_of_caller});
    }

    void undeclared_unfinished_bodies_stay_in_bounds()
    {
        check_crowd({chunked_head(), "3e8\r\n" + std::string(1000, 'x') + "\r\n",
                     bytes_of_caller});
    }

    void endless_trailers_stay_in_bounds()
    {
        check_crowd({chunked_head() + "0\r\n", "X-Trailer: value\r\n", bytes_of_caller});
    }

    void endless_chunk_extensions_stay_in_bounds()
    {
        check_crowd({chunked_head() + "1", ";name=value", bytes_of_caller});
    }

    void endless_header_fields_stay_in_bounds()
    {
        check_crowd({head(""), "X-Field: value\r\n", bytes_of_caller});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_hostile_caller_test);

} // namespace
