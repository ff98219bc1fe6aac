/// \file Tests of the codec of the platform's protocol, with literal messages.

#include "platform/json_values.hpp"
#include "platform/wire_format.hpp"

#include <cassiahub/core/error.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstring>
#include <string>
#include <vector>

using namespace cassiahub;
using namespace std::chrono_literals;

namespace
{

class platform_fixture : public CppUnit::TestFixture
{
protected:
    gateway::wire_format m_wire = platform::make_wire_format();

    static http::response received(int status, std::string body)
    {
        http::response response;
        response.m_status = status;
        response.m_body = std::move(body);
        return response;
    }

    static http::request call(std::string method, std::string path, std::string body = {})
    {
        return {std::move(method),
                std::move(path),
                {},
                {{"Host", "nony24.example"},
                 {"Cassiahub-Deadline-Ms", "1500"},
                 {"Request-Id", "r1"}},
                std::move(body)};
    }
};

// Guards against a caller's request decoded as another operation, or accepted although
// the gateway cannot serve it, and against responses that state the wrong outcome.
class platform_caller_test : public platform_fixture
{
    CPPUNIT_TEST_SUITE(platform_caller_test);
    CPPUNIT_TEST(submission_best_effort_is_decoded);
    CPPUNIT_TEST(submission_not_best_effort_is_unsupported);
    CPPUNIT_TEST(submission_with_dependent_step_is_unsupported);
    CPPUNIT_TEST(submission_malformed_is_refused);
    CPPUNIT_TEST(submission_of_231_tasks_is_refused);
    CPPUNIT_TEST(submission_random_bytes_never_throws);
    CPPUNIT_TEST(submission_with_malformed_spec_is_refused);
    CPPUNIT_TEST(submission_with_unusual_structure_is_refused);
    CPPUNIT_TEST(submission_with_numbers_out_of_range_is_refused);
    CPPUNIT_TEST(request_with_malformed_id_is_refused);
    CPPUNIT_TEST(request_with_text_not_utf8_is_refused);
    CPPUNIT_TEST(request_of_each_method_decodes_to_its_operation);
    CPPUNIT_TEST(answer_of_completed_job_has_state_completed);
    CPPUNIT_TEST(answer_of_failed_job_has_state_failed);
    CPPUNIT_TEST(answer_of_crashing_job_has_state_failed);
    CPPUNIT_TEST(answer_without_failed_run_has_no_state);
    CPPUNIT_TEST(answer_not_run_has_status_503_and_retry_after);
    CPPUNIT_TEST(answer_that_may_have_run_has_status_502_or_504);
    CPPUNIT_TEST(answer_of_unknown_route_or_job_has_status_404_or_410);
    CPPUNIT_TEST_SUITE_END();

    decision::routed_request m_request;

    std::error_code read(std::string const & body)
    {
        m_request = {};
        return m_wire.m_decode_request(call("POST", "/lohu930/5c0e7a21d94b36f8", body),
                                       m_request);
    }

    int status_of(job_answer const & answer)
    {
        return m_wire.m_encode_answer(decision::key_operation::submit, answer).m_status;
    }

public:
    void submission_best_effort_is_decoded()
    {
        CPPUNIT_ASSERT(!read(R"({"spec":"text","best-effort":true,"steps":[{"count":4,)"
                             R"("cpu":500,"mem-mb":256,"estimate-ms":900}]})"));
        CPPUNIT_ASSERT_EQUAL(std::string("nony24.example"), m_request.m_host);
        CPPUNIT_ASSERT_EQUAL(std::string("/lohu930/5c0e7a21d94b36f8"), m_request.m_path);
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), m_request.m_request_id);
        CPPUNIT_ASSERT(m_request.m_spec.m_time_limit == 1500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_request.m_spec.m_tasks.size());
        task_spec const & task = m_request.m_spec.m_tasks.front();
        CPPUNIT_ASSERT(task.m_demand == (resources{500, 256, 0}));
        CPPUNIT_ASSERT_EQUAL(std::string("text"), task.m_payload);
        CPPUNIT_ASSERT(task.m_declared_run_time == 900ms);
    }

    void submission_not_best_effort_is_unsupported()
    {
        CPPUNIT_ASSERT(read(R"({"spec":"t","steps":[{"count":1}]})") ==
                       job_errc::unsupported);
    }

    void submission_with_dependent_step_is_unsupported()
    {
        CPPUNIT_ASSERT(read(R"({"spec":"t","best-effort":true,"steps":)"
                            R"([{"count":1},{"count":1,"after":[0]}]})") ==
                       job_errc::unsupported);
        CPPUNIT_ASSERT(read(R"({"spec":"t","best-effort":true,"steps":)"
                            R"([{"count":1,"gang":true}]})") == job_errc::unsupported);
    }

    void submission_malformed_is_refused()
    {
        for (
            char const * const body :
            {"", "{", "[]", "{}", R"({"spec":1,"steps":[{"count":1}]})",
             R"({"spec":"t","best-effort":true,"steps":[]})",
             R"({"spec":"t","best-effort":true,"steps":[1]})",
             R"({"spec":"t","best-effort":true,"steps":[{"count":-1}]})",
             R"({"spec":"t","best-effort":true,"steps":[{"count":1,"cpu":"x"}]})",
             R"({"spec":"t","best-effort":true,"steps":[{"count":1,"cpu":5000000000}]})"})
        {
            CPPUNIT_ASSERT_MESSAGE(body, read(body) == job_errc::malformed_request);
        }
    }

    void submission_of_231_tasks_is_refused()
    {
        CPPUNIT_ASSERT(read(R"({"spec":"t","best-effort":true,)"
                            R"("steps":[{"count":231}]})") == job_errc::too_many_tasks);
    }

    void submission_random_bytes_never_throws()
    {
        bool const property_holds =
            rc::check("any bytes give a typed answer",
                      [this](std::string const & body) { read(body); });
        CPPUNIT_ASSERT(property_holds);
    }

    // Guards against a spec that upstreams do not accept, and against a refusal of the
    // largest one that they do.
    void submission_with_malformed_spec_is_refused()
    {
        auto const with_spec = [](std::string const & spec)
        {
            return R"({"spec":")" + spec +
                   R"(","best-effort":true,"steps":[{"count":1}]})";
        };
        CPPUNIT_ASSERT(!read(with_spec(std::string(4000, 's'))));
        for (std::string const & spec :
             {std::string(4001, 's'), std::string(R"(a\u0000b)"), std::string("\xe9")})
        {
            CPPUNIT_ASSERT(read(with_spec(spec)) == job_errc::malformed_request);
        }
    }

    // Guards against a document that exhausts the stack or the memory, or that two
    // readers understand in two ways.
    void submission_with_unusual_structure_is_refused()
    {
        auto const with_member = [](std::string const & member)
        {
            return R"({"spec":"t","best-effort":true,"steps":[{"count":1}],)" + member +
                   "}";
        };
        auto const repeat = [](std::string const & text)
        {
            std::string repeated;
            for (int count = 0; count < 20'000; ++count)
            {
                repeated += text;
            }
            return repeated;
        };
        CPPUNIT_ASSERT(!read(with_member(R"("note":{"a":[{"a":1}]})")));
        for (std::string const & member :
             {R"("x":)" + repeat("[") + repeat("]"),
              R"("x":)" + repeat(R"({"a":)") + "1" + repeat("}"),
              R"("x":[0)" + repeat(",0") + "]", R"("x":[0)" + repeat(",{}") + "]",
              std::string(R"("spec":"u")"), std::string(R"("x":[{"a":1,"a":1}])")})
        {
            CPPUNIT_ASSERT_MESSAGE(member.substr(0, 20), read(with_member(member)) ==
                                                             job_errc::malformed_request);
        }
    }

    // Guards against a number that is cut to one in range.
    void submission_with_numbers_out_of_range_is_refused()
    {
        for (char const * const number :
             {"1e400", "1e30", "18446744073709551616", "-1", "1.0", "0x1", "\"1\""})
        {
            for (char const * const member : {"count", "cpu", "mem-mb", "estimate-ms"})
            {
                std::string const step = R"({"count":1,"cpu":1,"mem-mb":1,)"
                                         R"("estimate-ms":1})";
                std::size_t const value = step.find(member) + std::strlen(member) + 2;
                std::string body = R"({"spec":"t","best-effort":true,"steps":[)" + step;
                body.replace(body.size() - step.size() + value, 1, number);
                CPPUNIT_ASSERT_MESSAGE(body,
                                       read(body + "]}") == job_errc::malformed_request);
            }
        }
        CPPUNIT_ASSERT(read(R"({"spec":"t","best-effort":true,"steps":)"
                            R"([{"count":18446744073709551615}]})") ==
                       job_errc::too_many_tasks);
    }

    // Guards against an id whose bytes the encoder of calls to upstreams cannot write:
    // one such job ended the calls of all others.
    void request_with_malformed_id_is_refused()
    {
        for (char const * const id :
             {"5c0e7a21d94b36f\xe9", "5c0e7a21d94b36f", "5c0e7a21d94b36f80",
              "5c0e7a21d94b36g8", "5c0e7a21d94b36f8/x", "%35c0e7a21d94b36f"})
        {
            for (char const * const method : {"POST", "GET", "DELETE"})
            {
                CPPUNIT_ASSERT_MESSAGE(id, m_wire.m_decode_request(
                                               call(method, std::string("/q/") + id),
                                               m_request) == job_errc::malformed_request);
            }
        }
    }

    // Guards against text that reaches logs, calls and peers although JSON cannot carry
    // it.
    void request_with_text_not_utf8_is_refused()
    {
        using namespace std::string_literals;
        for (std::string const & bytes :
             {"\xe9"s, "\0"s, "\xc0\xaf"s, "\xed\xa0\x80"s, "\xf4\x90\x80\x80"s})
        {
            std::string const path = "/q/5c0e7a21d94b36f8";
            http::request const sound = call("GET", path);
            std::vector<http::request> odd = {sound, sound, sound,
                                              call("GET", "/" + bytes + "/")};
            odd[0].m_path.insert(1, bytes + "/");
            odd[1].m_headers[0].m_value = bytes + ".example";
            odd[2].m_headers[2].m_value = "r" + bytes;
            for (http::request const & request : odd)
            {
                CPPUNIT_ASSERT(m_wire.m_decode_request(request, m_request) ==
                               job_errc::malformed_request);
            }
        }
    }

    void request_of_each_method_decodes_to_its_operation()
    {
        using decision::key_operation;
        decision::routed_request request;
        std::string const path = "/q/5c0e7a21d94b36f8";
        CPPUNIT_ASSERT(!m_wire.m_decode_request(call("GET", path), request));
        CPPUNIT_ASSERT(request.m_operation == key_operation::query);
        CPPUNIT_ASSERT(!m_wire.m_decode_request(call("DELETE", path), request));
        CPPUNIT_ASSERT(request.m_operation == key_operation::cancel);
        CPPUNIT_ASSERT(!m_wire.m_decode_request(call("GET", "/q/"), request));
        CPPUNIT_ASSERT(request.m_operation == key_operation::count);
        CPPUNIT_ASSERT(m_wire.m_decode_request(call("PATCH", path), request) ==
                       job_errc::malformed_request);
    }

    void answer_of_completed_job_has_state_completed()
    {
        http::response const encoded = m_wire.m_encode_answer(
            decision::key_operation::submit, {{}, run_state::yes, 0s, {"", ""}});
        CPPUNIT_ASSERT_EQUAL(200, encoded.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"completed"})"), encoded.m_body);
    }

    void answer_of_failed_job_has_state_failed()
    {
        http::response const encoded =
            m_wire.m_encode_answer(decision::key_operation::submit,
                                   {job_errc::task_failed, run_state::yes, 0s, {}});
        CPPUNIT_ASSERT_EQUAL(200, encoded.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"failed"})"), encoded.m_body);
    }

    // Guards against a caller that submits a job again although the job has crashed the
    // upstreams that started it.
    void answer_of_crashing_job_has_state_failed()
    {
        http::response const encoded =
            m_wire.m_encode_answer(decision::key_operation::submit,
                                   {job_errc::crashes_upstreams, run_state::no, 1s, {}});
        CPPUNIT_ASSERT_EQUAL(200, encoded.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"failed"})"), encoded.m_body);
    }

    // Guards against a job that is reported as failed because its starts were lost or
    // refused: only failed runs make a job fail.
    void answer_without_failed_run_has_no_state()
    {
        CPPUNIT_ASSERT_EQUAL(
            502, status_of({job_errc::retries_exhausted, run_state::yes, 0s, {}}));
        CPPUNIT_ASSERT_EQUAL(
            502, status_of({job_errc::retries_exhausted, run_state::unknown, 0s, {}}));
        CPPUNIT_ASSERT_EQUAL(
            503, status_of({job_errc::retries_exhausted, run_state::no, 1s, {}}));
    }

    void answer_not_run_has_status_503_and_retry_after()
    {
        http::response const encoded = m_wire.m_encode_answer(
            decision::key_operation::submit,
            {job_errc::deadline_unreachable, run_state::no, 1s, {}});
        CPPUNIT_ASSERT_EQUAL(503, encoded.m_status);
        CPPUNIT_ASSERT(http::find_header(encoded.m_headers, "Retry-After") == "1");
    }

    void answer_that_may_have_run_has_status_502_or_504()
    {
        CPPUNIT_ASSERT_EQUAL(
            502, status_of({job_errc::outcome_unknown, run_state::unknown, 0s, {}}));
        CPPUNIT_ASSERT_EQUAL(
            504, status_of({job_errc::deadline_exceeded, run_state::yes, 0s, {}}));
    }

    void answer_of_unknown_route_or_job_has_status_404_or_410()
    {
        CPPUNIT_ASSERT_EQUAL(404,
                             status_of({job_errc::unknown_kind, run_state::no, 0s, {}}));
        CPPUNIT_ASSERT_EQUAL(410,
                             status_of({job_errc::not_found, run_state::no, 0s, {}}));
    }
};

// Guards against misread replies and registrations of upstreams, configurations and store
// rows, and against calls encoded wrongly.
class platform_message_test : public platform_fixture
{
    CPPUNIT_TEST_SUITE(platform_message_test);
    CPPUNIT_TEST(start_call_is_encoded_as_run_start);
    CPPUNIT_TEST(renew_call_is_encoded_as_hold);
    CPPUNIT_TEST(reply_with_lists_is_decoded);
    CPPUNIT_TEST(reply_refused_decodes_to_its_reason);
    CPPUNIT_TEST(reply_with_malformed_rows_omits_them);
    CPPUNIT_TEST(reply_with_both_lists_is_complete);
    CPPUNIT_TEST(reply_with_unreadable_list_is_incomplete);
    CPPUNIT_TEST(reply_with_percent_out_of_range_is_limited);
    CPPUNIT_TEST(reply_with_numbers_out_of_range_keeps_its_runs);
    CPPUNIT_TEST(reply_random_bytes_never_throws);
    CPPUNIT_TEST(upstream_registration_valid_is_decoded);
    CPPUNIT_TEST(upstream_registration_malformed_is_ignored);
    CPPUNIT_TEST(document_nested_deeply_is_refused_by_each_decoder);
    CPPUNIT_TEST(configuration_valid_is_decoded);
    CPPUNIT_TEST(configuration_malformed_is_refused);
    CPPUNIT_TEST(store_rows_valid_are_decoded);
    CPPUNIT_TEST(key_of_drained_domain_names_it);
    CPPUNIT_TEST(read_from_odd_key_encodes_the_key);
    CPPUNIT_TEST(store_clock_out_of_range_is_not_used);
    CPPUNIT_TEST(store_row_with_unreadable_value_is_kept_without_value);
    CPPUNIT_TEST(store_reply_status_decodes_to_its_outcome);
    CPPUNIT_TEST(store_row_value_is_encoded_in_base64);
    CPPUNIT_TEST(base64_round_trip_keeps_bytes);
    CPPUNIT_TEST_SUITE_END();

    static constexpr char const * registration =
        R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"palermo",)"
        R"("version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,)"
        R"("capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1-3"],)"
        R"("clock-ms":482113,"seq":4,"born":1700000000000})";

    static lease::run_name run()
    {
        return {{"5c0e7a21d94b36f8", 0, 1, 17}, 2};
    }

    lease::upstream_reply read(int status, std::string body)
    {
        return m_wire.m_decode_reply(received(status, std::move(body)));
    }

public:
    void start_call_is_encoded_as_run_start()
    {
        lease::upstream_call call{
            1, "i-7f3a91c2", "10.0.0.1:1",
            7, 1s,           lease::start_call{run(), "text", 486000}};
        http::request const sent = m_wire.m_encode_call(call);
        CPPUNIT_ASSERT_EQUAL(std::string("/cassiahub/run-start"), sent.m_path);
        CPPUNIT_ASSERT(platform::json::parse(sent.m_body) ==
                       platform::json::parse(
                           R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"text",)"
                           R"("deadline-ms":486000,"fencing-token":7})"));
        CPPUNIT_ASSERT(http::find_header(sent.m_headers, "Cassiahub-Expect-Instance") ==
                       "i-7f3a91c2");
    }

    void renew_call_is_encoded_as_hold()
    {
        lease::renew_call renewal;
        renewal.m_lease_until = 486000;
        renewal.m_acknowledged = 57;
        renewal.m_wait = 1000ms;
        http::request const sent =
            m_wire.m_encode_call({1, "i", "10.0.0.1:1", 7, 1s, renewal});
        CPPUNIT_ASSERT_EQUAL(std::string("/cassiahub/hold"), sent.m_path);
        CPPUNIT_ASSERT(platform::json::parse(sent.m_body) ==
                       platform::json::parse(R"({"deadline-ms":486000,"fencing-token":7,)"
                                             R"("ack-cursor":57,"wait-ms":1000})"));
    }

    void reply_with_lists_is_decoded()
    {
        lease::upstream_reply const reply =
            read(200, R"({"clock-ms":482113,"born":9,)"
                      R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"00bb",41,3]],)"
                      R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
        CPPUNIT_ASSERT(reply.m_outcome == lease::call_outcome::accepted);
        CPPUNIT_ASSERT_EQUAL(lease::upstream_clock(482113), *reply.m_clock);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), reply.m_incarnation);
        CPPUNIT_ASSERT(reply.m_running.at(0).m_run == run());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(41), reply.m_running[0].m_percent);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(58), reply.m_ended.at(0).m_number);
        CPPUNIT_ASSERT(reply.m_ended[0].m_cause == lease::end_cause::succeeded);
    }

    void reply_refused_decodes_to_its_reason()
    {
        using lease::call_outcome;
        CPPUNIT_ASSERT(read(409, R"({"reason":"fence"})").m_outcome ==
                       call_outcome::fenced);
        CPPUNIT_ASSERT(read(409, R"({"reason":"old"})").m_outcome ==
                       call_outcome::superseded);
        CPPUNIT_ASSERT(read(409, R"({"reason":"late"})").m_outcome ==
                       call_outcome::expired);
        CPPUNIT_ASSERT(read(409, R"({"reason":"room"})").m_outcome ==
                       call_outcome::no_capacity);
        CPPUNIT_ASSERT(read(421, "").m_outcome == call_outcome::other_incarnation);
        CPPUNIT_ASSERT(read(503, "").m_outcome == call_outcome::unhealthy);
        CPPUNIT_ASSERT(read(500, "").m_outcome == call_outcome::lost);
    }

    void reply_with_malformed_rows_omits_them()
    {
        lease::upstream_reply const reply =
            read(200, R"({"running":[1,["x",2,"",3],["a.0.0.0","2","",3],[]],)"
                      R"("ended":[["1","a.0.0.0",1,"done"],[1,"a.0.0",1,"done"]]})");
        CPPUNIT_ASSERT(reply.m_running.empty());
        CPPUNIT_ASSERT(reply.m_ended.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("4 malformed rows of running"),
                             reply.m_lists_error);
    }

    void reply_with_both_lists_is_complete()
    {
        CPPUNIT_ASSERT(read(200, R"({"clock-ms":1,"born":9,"running":[],"ended":[]})")
                           .m_lists_error.empty());
        CPPUNIT_ASSERT(read(200,
                            R"({"running":[["5c0e7a21d94b36f8.0.1.17",2,"00bb",41]],)"
                            R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"new","",0]]})")
                           .m_lists_error.empty());
    }

    // Guards against a task that runs twice: a list that could not be read counted as one
    // without the run, and the task was started elsewhere.
    void reply_with_unreadable_list_is_incomplete()
    {
        for (char const * const body :
             {"", "{", "[]", "{}", R"({"clock-ms":1,"running":[]})",
              R"({"clock-ms":1,"ended":[]})", R"({"running":{},"ended":[]})",
              R"({"running":null,"ended":[]})", R"({"running":[],"ended":[[1]]})",
              R"({"running":[["a.0.0.0",1,"",5],["a.0.0",1,"",5]],"ended":[]})",
              R"({"running":[["a.0.0.0",-1,"",5]],"ended":[]})",
              R"({"running":[["a.0.0.0",1,""]],"ended":[]})"})
        {
            CPPUNIT_ASSERT_MESSAGE(body, !read(200, body).m_lists_error.empty());
        }
    }

    void reply_with_percent_out_of_range_is_limited()
    {
        lease::upstream_reply const reply =
            read(200, R"({"running":[["a.0.0.0",1,"",-3],["b.0.0.0",1,"",1e300]],)"
                      R"("ended":[]})");
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), reply.m_running.at(0).m_percent);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(100), reply.m_running.at(1).m_percent);
    }

    // Guards against a conversion that is undefined for the value.
    void reply_with_numbers_out_of_range_keeps_its_runs()
    {
        for (char const * const percent : {"1e300", "-1", "101", "1e18"})
        {
            lease::upstream_reply const reply =
                read(200, std::string(R"({"clock-ms":18446744073709551615,)"
                                      R"("running":[["a.0.0.0",2,"",)") +
                              percent + "]]}");
            CPPUNIT_ASSERT(!reply.m_clock);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(percent, std::size_t(1), reply.m_running.size());
            CPPUNIT_ASSERT_MESSAGE(percent, reply.m_running[0].m_percent <= 100);
        }
    }

    void reply_random_bytes_never_throws()
    {
        bool const property_holds =
            rc::check("any bytes give a reply",
                      [this](std::string const & body) { read(200, body); });
        CPPUNIT_ASSERT(property_holds);
    }

    void upstream_registration_valid_is_decoded()
    {
        decision::discovered_upstream upstream;
        CPPUNIT_ASSERT(!m_wire.m_decode_upstream("i-7f3a91c2", registration, upstream));
        config::upstream const & definition = upstream.m_definition;
        CPPUNIT_ASSERT_EQUAL(std::string("i-7f3a91c2"), definition.m_name);
        CPPUNIT_ASSERT_EQUAL(std::string("10.128.0.9:8080"), definition.m_address);
        CPPUNIT_ASSERT_EQUAL(std::string("palermo"), definition.m_domain);
        CPPUNIT_ASSERT_EQUAL(std::string("huvo11a"), definition.m_service);
        CPPUNIT_ASSERT(definition.m_capacity == (resources{16000, 32768, 0}));
        CPPUNIT_ASSERT(!definition.m_draining);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1700000000000), upstream.m_incarnation);
    }

    void upstream_registration_malformed_is_ignored()
    {
        for (char const * const value :
             {"", "x", "[]", "{}", R"({"service":"s","address":"a:1","zone":"z"})",
              R"({"service":"s","address":"a:1","zone":"z","state":"gone",)"
              R"("capacity":{"cpu":1}})",
              R"({"service":"s","address":7,"zone":"z","state":"ready",)"
              R"("capacity":{"cpu":1}})"})
        {
            decision::discovered_upstream upstream;
            CPPUNIT_ASSERT_MESSAGE(value, m_wire.m_decode_upstream("i", value, upstream));
        }
    }

    // Guards against a document of an upstream, the store or a peer that exhausts the
    // stack.
    void document_nested_deeply_is_refused_by_each_decoder()
    {
        constexpr std::size_t depth = 1'000'000;
        std::string const nested =
            R"({"running":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
        gateway::store_rows rows;
        decision::discovered_upstream upstream;
        CPPUNIT_ASSERT(!read(200, nested).m_lists_error.empty());
        CPPUNIT_ASSERT(m_wire.m_decode_rows(received(200, nested), rows) ==
                       gateway::store_status::done);
        CPPUNIT_ASSERT(rows.m_rows.empty());
        CPPUNIT_ASSERT(!m_wire.m_decode_configuration(nested));
        CPPUNIT_ASSERT(m_wire.m_decode_upstream("i", nested, upstream));
    }

    void configuration_valid_is_decoded()
    {
        auto const read = m_wire.m_decode_configuration(
            R"({"version":7,"routes":[{"name":"r-1","host":"h.example","prefix":"/a/",)"
            R"("type":"unsafe","timeout-ms":1500,"target-duration-ms":60,"priority":2,)"
            R"("service":"s","max-attempts":4,"stretch":1.6}],"services":[],)"
            R"("limits":{}})");
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), read->m_version);
        config::work_kind const & kind = read->m_kinds.at(0);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), kind.m_urgency);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(4), kind.m_max_failures);
        CPPUNIT_ASSERT(kind.m_restartable && !kind.m_repeatable);
        CPPUNIT_ASSERT_EQUAL(1.6, kind.m_objective_stretch);
        CPPUNIT_ASSERT(kind.m_objective_slack == 60ms);
        CPPUNIT_ASSERT(config::find_route(*read, "h.example", "/a/1") != nullptr);
        CPPUNIT_ASSERT(config::find_route(*read, "other", "/a/1") == nullptr);
    }

    void configuration_malformed_is_refused()
    {
        CPPUNIT_ASSERT(!m_wire.m_decode_configuration(R"({"routes":[]})"));
        CPPUNIT_ASSERT(!m_wire.m_decode_configuration(R"({"version":1,"routes":[{}]})"));
        CPPUNIT_ASSERT(!m_wire.m_decode_configuration("not a document"));
    }

    void store_rows_valid_are_decoded()
    {
        gateway::store_rows rows;
        auto const status = m_wire.m_decode_rows(
            received(200, R"({"rows":[{"table":"my","part":"","key":"owner",)"
                          R"("value":"bm9kZS0x","ver":412},{"key":"gone","ver":413,)"
                          R"("removed":true},{"key":7,"ver":1,"value":""}],)"
                          R"("has-more":false,"ver":530,"now-ms":51230})"),
            rows);
        CPPUNIT_ASSERT(status == gateway::store_status::done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), rows.m_rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("node-1"), rows.m_rows[0].m_value);
        CPPUNIT_ASSERT(rows.m_rows[1].m_removed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(530), rows.m_version);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(51230), rows.m_clock_ms);
    }

    // Guards against a read that cannot go on after an odd key, or changes its meaning.
    // Guards against a drain that another row of the operator's table causes.
    void key_of_drained_domain_names_it()
    {
        CPPUNIT_ASSERT(m_wire.m_drained_domain("evacuate/zone a/b") == "zone a/b");
        CPPUNIT_ASSERT(m_wire.m_drained_domain("evacuate/") == "");
        for (char const * key : {"config", "evacuate", "Evacuate/a", "x/evacuate/a", ""})
        {
            CPPUNIT_ASSERT(!m_wire.m_drained_domain(key));
        }
    }

    void read_from_odd_key_encodes_the_key()
    {
        http::request const sent =
            m_wire.m_encode_read(gateway::store_table::upstreams,
                                 std::string("a&limit=1 %#+\r\nX: \xc3\xb6-._~!"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("table=servers&part=&limit=500&"
                        "from=a%26limit%3D1%20%25%23%2B%0D%0AX%3A%20%C3%B6-._~%21"),
            sent.m_query);
    }

    // Guards against a sum with the clock that overflows.
    void store_clock_out_of_range_is_not_used()
    {
        for (char const * const clock :
             {"9223372036854775807", "18446744073709551615", "-1", "1e300"})
        {
            gateway::store_rows rows;
            std::string const body = std::string(R"({"ver":1,"now-ms":)") + clock + "}";
            CPPUNIT_ASSERT(m_wire.m_decode_rows(received(200, body), rows) ==
                           gateway::store_status::done);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(clock, std::int64_t(0), rows.m_clock_ms);
        }
    }

    // Guards against an entry that is kept as it was after another writer changed it.
    void store_row_with_unreadable_value_is_kept_without_value()
    {
        for (char const * const value :
             {R"("*")", R"("AAA")", "7", "null", R"({"a":1})", R"("====x")"})
        {
            gateway::store_rows rows;
            std::string const body =
                std::string(R"({"rows":[{"key":"bad","ver":9,"value":)") + value +
                R"(},{"key":"good","ver":10,"value":"bm9kZS0x"}],"ver":10})";
            CPPUNIT_ASSERT(m_wire.m_decode_rows(received(200, body), rows) ==
                           gateway::store_status::done);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(value, std::size_t(2), rows.m_rows.size());
            CPPUNIT_ASSERT_EQUAL(std::string("bad"), rows.m_rows[0].m_key);
            CPPUNIT_ASSERT(!rows.m_rows[0].m_removed && rows.m_rows[0].m_value.empty());
            CPPUNIT_ASSERT_EQUAL(std::string("node-1"), rows.m_rows[1].m_value);
        }
    }

    void store_reply_status_decodes_to_its_outcome()
    {
        gateway::store_rows rows;
        CPPUNIT_ASSERT(m_wire.m_decode_rows(received(410, ""), rows) ==
                       gateway::store_status::history_lost);
        CPPUNIT_ASSERT(m_wire.m_decode_rows(received(429, ""), rows) ==
                       gateway::store_status::refused);
        CPPUNIT_ASSERT(m_wire.m_decode_rows(received(200, "x"), rows) ==
                       gateway::store_status::malformed);
    }

    void store_row_value_is_encoded_in_base64()
    {
        http::request const sent =
            m_wire.m_encode_write(gateway::store_table::instances, "n", "node-1");
        CPPUNIT_ASSERT(sent.m_body.find("bm9kZS0x") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("/cassiahub/rows-tx"), sent.m_path);
    }

    void base64_round_trip_keeps_bytes()
    {
        bool const property_holds =
            rc::check("decoding reverses encoding",
                      [](std::string const & bytes) {
                          RC_ASSERT(platform::decode_base64(
                                        platform::encode_base64(bytes)) == bytes);
                      });
        CPPUNIT_ASSERT(property_holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_caller_test);
CPPUNIT_TEST_SUITE_REGISTRATION(platform_message_test);

} // namespace
