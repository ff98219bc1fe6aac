/// \file Tests of the entry daemon as processes, with a task that crashes every upstream
/// that starts it.

#include "entry_processes.hpp"

#include <filesystem>
#include <fstream>

using namespace cassiahub;
using namespace std::chrono_literals;

namespace
{

/// Two instances in one failure domain, with upstreams that tasks can crash.
class crash_process_fixture : public CppUnit::TestFixture
{
protected:
    /// Upstreams that the instances use. One more, which runs no task, serves the
    /// requests of the test.
    static constexpr int upstreams = 8;

    std::filesystem::path m_folder;
    std::string m_platform_address;
    std::string m_control_address;
    int m_first_upstream_port = 0;
    std::unique_ptr<process> m_platform;
    std::unique_ptr<process> m_upstream;
    instance m_instances[2];

    std::string write_file(std::string const & name, std::string const & text) const
    {
        std::string path = m_folder / name;
        std::ofstream(path) << text;
        return path;
    }

    void start_standins()
    {
        m_platform_address = free_address();
        m_first_upstream_port = free_port();
        m_control_address =
            fmt::format("127.0.0.1:{}", m_first_upstream_port + upstreams);
        m_platform = std::make_unique<process>(
            "cassiahub-platform-standin",
            std::vector<std::string>{"--listen", m_platform_address});
        m_upstream = std::make_unique<process>(
            "cassiahub-upstream-standin",
            std::vector<std::string>{"--first-port",
                                     std::to_string(m_first_upstream_port), "--count",
                                     std::to_string(upstreams + 1)});
        wait_until(
            "stand-ins to serve requests",
            [this]
            {
                return send_request(m_platform_address, {"GET", "/instances", {}, {}, {}})
                               .m_status == 200 &&
                       send_request(m_control_address, {"GET", "/starts", {}, {}, {}})
                               .m_status == 200;
            });
        CPPUNIT_ASSERT_EQUAL(
            200, send_request(m_control_address,
                              {"PUT",
                               "/faults",
                               "upstream=all",
                               {},
                               R"({"crash_payload":"deadly","crash_ms":100})"})
                     .m_status);
    }

    void write_fleet_document() const
    {
        std::string document =
            "[team.t]\nkey_hash = sha256:5f1c0e7a92d34b68a1c7e0f3d5b29846:"
            "12fde00eaf346540ab6aa574f2b6c09ce9c9973ab33c4aa1fb748a195182fcb6\n"
            "[dispatch]\nmax_attempts = 10\nretry_delay = 30ms\n"
            "[domain.north]\nowner = t\nregion = local\nshards = 1\n"
            "[kind.lodgement]\nowner = t\nurgency = 1\nshare = 1\nrepeatable = yes\n"
            "[tenant.acme]\nowner = t\n";
        for (int index = 0; index < upstreams; ++index)
        {
            document += fmt::format(
                "[upstream.u{}]\nowner = t\naddress = 127.0.0.1:{}\ndomain = north\n",
                index, m_first_upstream_port + index);
        }
        process init("cassiahubctl", {"config", "init", "--platform", m_platform_address,
                                      write_file("fleet.ini", document)});
        CPPUNIT_ASSERT_EQUAL(0, init.wait());
    }

    void publish_instance_list() const
    {
        std::string listed;
        for (instance const & each : m_instances)
        {
            listed +=
                fmt::format(R"({}{{"name":"{}","domain":"north","address":"{}",)"
                            R"("entry":true,"leaving":false}})",
                            listed.empty() ? "" : ",", each.m_name, each.m_peer_address);
        }
        send_request(m_platform_address,
                     {"PUT",
                      "/instances",
                      {},
                      {},
                      fmt::format(R"({{"instances":[{}]}})", listed)});
    }

    void start_instance(instance & started) const
    {
        std::string const settings = fmt::format(
            "[entry]\ninstance = {}\ndomain = north\ncaller_address = {}\n"
            "peer_address = {}\nplatform_address = {}\n"
            "peer_secret = secret of the process test\n"
            "caller_threads = 16\nupstream_threads = 16\npoll_period = 100ms\n",
            started.m_name, started.m_caller_address, started.m_peer_address,
            m_platform_address);
        started.m_process = std::make_unique<process>(
            "cassiahub-entry",
            std::vector<std::string>{"--settings",
                                     write_file(started.m_name + ".ini", settings)});
    }

    /// \returns the index of the instance that holds the lease of the shard, or -1.
    int find_owner() const
    {
        std::string const rows =
            send_request(m_platform_address,
                         {"GET", "/table", "prefix=lease/&after=0", {}, {}})
                .m_body;
        for (int index = 0; index < 2; ++index)
        {
            if (rows.find(m_instances[index].m_name) != std::string::npos)
            {
                return index;
            }
        }
        return -1;
    }

    static http::response submit(instance const & to, std::string const & key,
                                 std::string const & payload)
    {
        return send_request(to.m_caller_address,
                            {"POST",
                             "/v1/jobs",
                             {},
                             {{"Idempotency-Key", key}, {"Cassiahub-Tenant", "acme"}},
                             fmt::format(R"({{"kind":"lodgement","deadline_ms":30000,)"
                                         R"("tasks":[{{"payload":"{}"}}]}})",
                                         payload)});
    }

    void wait_for_success(instance const & to, std::string const & key) const
    {
        wait_until("success of job " + key,
                   [&] { return submit(to, key, "run_ms=10").m_status == 200; });
    }

    std::size_t count_starts(std::string const & key) const
    {
        std::string const starts =
            send_request(m_control_address, {"GET", "/starts", "upstream=all", {}, {}})
                .m_body;
        std::string const wanted = "/" + key + "\"";
        std::size_t count = 0;
        for (std::size_t at = starts.find(wanted); at != std::string::npos;
             at = starts.find(wanted, at + 1))
        {
            ++count;
        }
        return count;
    }

public:
    void setUp() override
    {
        std::string pattern =
            std::filesystem::temp_directory_path() / "cassiahub-crash-test-XXXXXX";
        m_folder = mkdtemp(pattern.data());
        m_instances[0] = {"north-1", free_address(), free_address(), nullptr};
        m_instances[1] = {"north-2", free_address(), free_address(), nullptr};
        start_standins();
        write_fleet_document();
        publish_instance_list();
        for (instance & each : m_instances)
        {
            start_instance(each);
        }
        for (instance const & each : m_instances)
        {
            // Enough first attempts for the budget of retries not to be the limit.
            for (int index = 0; index < 50; ++index)
            {
                wait_for_success(each, fmt::format("warm-up-{}-{}", each.m_name, index));
            }
        }
    }

    void tearDown() override
    {
        for (instance & each : m_instances)
        {
            each.m_process.reset();
        }
        m_upstream.reset();
        m_platform.reset();
        std::filesystem::remove_all(m_folder);
    }
};

// Guards against a task that crashes one upstream after another: nothing counted the
// crashes under it, so that it was started as often as its kind allows attempts.
class crashing_task_test : public crash_process_fixture
{
    CPPUNIT_TEST_SUITE(crashing_task_test);
    CPPUNIT_TEST(
        task_that_crashes_upstreams_is_started_at_most_twice_after_three_crashes);
    CPPUNIT_TEST(task_whose_owner_is_killed_is_started_at_most_twice_after_three_crashes);
    CPPUNIT_TEST(task_beside_crashing_task_succeeds);
    CPPUNIT_TEST_SUITE_END();

    /// Starts of a task that crashes every upstream: three until the crashes are known,
    /// and two after them.
    static constexpr std::size_t max_starts = 3 + 2;
    static constexpr int resubmissions = 4;
    std::string const m_payload = "run_ms=100 deadly";

    void resubmit(instance const & to, std::string const & key) const
    {
        for (int index = 0; index < resubmissions; ++index)
        {
            submit(to, key, m_payload);
            std::this_thread::sleep_for(300ms);
        }
    }

public:
    void task_that_crashes_upstreams_is_started_at_most_twice_after_three_crashes()
    {
        submit(m_instances[0], "k1", m_payload);
        resubmit(m_instances[0], "k1");
        resubmit(m_instances[1], "k1");
        CPPUNIT_ASSERT_LESSEQUAL(max_starts, count_starts("k1"));
    }

    void task_whose_owner_is_killed_is_started_at_most_twice_after_three_crashes()
    {
        int const owner_index = find_owner();
        CPPUNIT_ASSERT(owner_index >= 0);
        instance const & owner = m_instances[owner_index];
        instance const & survivor = m_instances[1 - owner_index];
        std::jthread const first([&] { submit(owner, "k1", m_payload); });
        wait_until("third start of the task", [&] { return count_starts("k1") >= 3; });
        owner.m_process->signal(SIGKILL);
        wait_until("takeover of the shard by the other instance",
                   [&] { return find_owner() == 1 - owner_index; });
        resubmit(survivor, "k1");
        CPPUNIT_ASSERT_LESSEQUAL(max_starts, count_starts("k1"));
    }

    void task_beside_crashing_task_succeeds()
    {
        std::jthread const first([&] { submit(m_instances[0], "k1", m_payload); });
        wait_until("first start of the task", [&] { return count_starts("k1") >= 1; });
        wait_for_success(m_instances[1], "sound");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_task_test);

} // namespace
