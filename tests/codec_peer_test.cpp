/// \file Tests of encoding and decoding peer messages.

#include <cassiahub/codec/peer_codec.hpp>
#include <cassiahub/core/error.hpp>

#include <capnp/message.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <limits>
#include <string>

using namespace cassiahub;
using namespace cassiahub::decision;
using codec::peer_codec_errc;
using namespace std::chrono_literals;

namespace
{

time_point const sample_time{12h};
job_key const key{"acme", "nairobi", "job-1"};

/// Encodes \p sent, applies \p modify to the encoded message, and decodes it.
std::error_code encode_and_decode(
    peer_message const & sent, peer_message & received,
    std::function<void(peer_protocol::Message::Builder)> const & modify = {})
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<peer_protocol::Message>();
    codec::encode_peer_message(sent, root);
    if (modify)
    {
        modify(root);
    }
    return codec::decode_peer_message(root.asReader(), received);
}

template <typename Message>
Message round_trip(Message const & sent)
{
    peer_message received;
    CPPUNIT_ASSERT(!encode_and_decode(sent, received));
    return std::get<Message>(received);
}

// Guards against fields that are lost or swapped by encoding and decoding.
class peer_round_trip_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_round_trip_test);
    CPPUNIT_TEST(forward_request_all_fields_are_preserved);
    CPPUNIT_TEST(request_answered_results_are_preserved);
    CPPUNIT_TEST(request_answered_error_of_other_category_becomes_outcome_unknown);
    CPPUNIT_TEST(forward_task_all_fields_are_preserved);
    CPPUNIT_TEST(task_reported_all_fields_are_preserved);
    CPPUNIT_TEST(cancel_task_attempt_is_preserved);
    CPPUNIT_TEST(heartbeat_all_fields_are_preserved);
    CPPUNIT_TEST(heartbeat_with_impossible_evidence_is_rejected);
    CPPUNIT_TEST(load_report_all_fields_are_preserved);
    CPPUNIT_TEST(capacity_request_service_is_preserved);
    CPPUNIT_TEST(key_notice_keys_are_preserved);
    CPPUNIT_TEST(key_notice_received_request_is_preserved);
    CPPUNIT_TEST(configuration_request_version_is_preserved);
    CPPUNIT_TEST(configuration_notice_document_is_preserved);
    CPPUNIT_TEST(loss_notice_all_fields_are_preserved);
    CPPUNIT_TEST_SUITE_END();

public:
    void forward_request_all_fields_are_preserved()
    {
        job_spec const spec{
            key, "levy", 5s, {{std::string("a\0b", 3), {1, 2, 3}, 70ms}, {}}};
        auto const decoded = round_trip(forward_request{7, key_operation::submit, spec});
        CPPUNIT_ASSERT_EQUAL(peer_request_number(7), decoded.m_request);
        CPPUNIT_ASSERT(decoded.m_operation == key_operation::submit);
        CPPUNIT_ASSERT(decoded.m_spec.m_key == key && decoded.m_spec.m_kind == "levy");
        CPPUNIT_ASSERT(decoded.m_spec.m_time_limit == 5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), decoded.m_spec.m_tasks.size());
        CPPUNIT_ASSERT(decoded.m_spec.m_tasks[0].m_payload == spec.m_tasks[0].m_payload);
        CPPUNIT_ASSERT(decoded.m_spec.m_tasks[0].m_demand == resources({1, 2, 3}));
        CPPUNIT_ASSERT(decoded.m_spec.m_tasks[0].m_declared_run_time == 70ms);
    }

    void request_answered_results_are_preserved()
    {
        auto const decoded = round_trip(request_answered{
            8, {job_errc::queue_full, run_state::unknown, 2s, {"x", "", "z"}}});
        CPPUNIT_ASSERT_EQUAL(peer_request_number(8), decoded.m_request);
        CPPUNIT_ASSERT(decoded.m_answer.m_error == job_errc::queue_full);
        CPPUNIT_ASSERT(decoded.m_answer.m_ran == run_state::unknown);
        CPPUNIT_ASSERT(decoded.m_answer.m_retry_after == 2s);
        CPPUNIT_ASSERT(decoded.m_answer.m_results ==
                       std::vector<std::string>({"x", "", "z"}));
    }

    void request_answered_error_of_other_category_becomes_outcome_unknown()
    {
        auto const decoded = round_trip(request_answered{
            1, {std::make_error_code(std::errc::io_error), run_state::no, 0s, {}}});
        CPPUNIT_ASSERT(decoded.m_answer.m_error == job_errc::outcome_unknown);
    }

    void forward_task_all_fields_are_preserved()
    {
        dispatch::attempt_start const start{
            {1, 2},          key,       3,  9,  "levy",           "pool",
            "data",          {4, 5, 6}, "", "", {"nairobi/7", 8}, sample_time,
            sample_time - 1s};
        dispatch::attempt_start const decoded = round_trip(forward_task{start}).m_start;
        CPPUNIT_ASSERT(decoded.m_attempt == start.m_attempt && decoded.m_job == key);
        CPPUNIT_ASSERT(decoded.m_task == 3 && decoded.m_kind == "levy");
        CPPUNIT_ASSERT_EQUAL(std::string("pool"), decoded.m_service);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), decoded.m_generation);
        CPPUNIT_ASSERT(decoded.m_payload == "data" && decoded.m_demand == start.m_demand);
        CPPUNIT_ASSERT(decoded.m_token == start.m_token);
        CPPUNIT_ASSERT(decoded.m_deadline == sample_time &&
                       decoded.m_send_before == sample_time - 1s);
    }

    void task_reported_all_fields_are_preserved()
    {
        dispatch::attempt_result result{
            {1, 2}, dispatch::attempt_outcome::failed, "out", false};
        result.m_lost_at_start = true;
        auto const decoded = round_trip(task_reported{result});
        CPPUNIT_ASSERT(decoded.m_result.m_lost_at_start);
        CPPUNIT_ASSERT(decoded.m_result.m_attempt == attempt_id({1, 2}));
        CPPUNIT_ASSERT(decoded.m_result.m_outcome == dispatch::attempt_outcome::failed);
        CPPUNIT_ASSERT_EQUAL(std::string("out"), decoded.m_result.m_payload);
    }

    void cancel_task_attempt_is_preserved()
    {
        CPPUNIT_ASSERT(round_trip(cancel_task{{3, 4}}).m_attempt == attempt_id({3, 4}));
    }

    static interference::summary sample_summary()
    {
        return {5,
                9,
                {"bulk", "check"},
                {{0, 1, {2, 1, 0.5F, 0.25F, 3}, 4s}, {1, 0, {8, 6, -1, 2, 5}, 1s}}};
    }

    // Guards against sums that would make the estimates infinite.
    void heartbeat_with_impossible_evidence_is_rejected()
    {
        for (float const weight : {-1.0F, std::numeric_limits<float>::quiet_NaN(),
                                   std::numeric_limits<float>::infinity()})
        {
            heartbeat message;
            message.m_domain = "nairobi";
            message.m_sent_at = sample_time;
            message.m_interference = sample_summary();
            message.m_interference.m_pairs[0].m_sums.m_weight = weight;
            peer_message received;
            CPPUNIT_ASSERT(encode_and_decode(message, received) ==
                           peer_codec_errc::out_of_range);
        }
    }

    void heartbeat_all_fields_are_preserved()
    {
        auto const decoded =
            round_trip(heartbeat{5,
                                 "nairobi",
                                 "127.0.0.1:1",
                                 sample_time,
                                 6,
                                 true,
                                 true,
                                 {{1, 2}, {3, 4}},
                                 {{7, 8, {}, "a"}, {9, 0, {1, 2, 3}, "b"}},
                                 {"up-1", "up-2"},
                                 1234,
                                 true,
                                 17,
                                 sample_summary(),
                                 true,
                                 {{"up-2", 9}}});
        CPPUNIT_ASSERT(decoded.m_drains_version == 17U);
        CPPUNIT_ASSERT(decoded.m_interference == sample_summary());
        CPPUNIT_ASSERT(decoded.m_held_upstreams ==
                       (std::vector<std::string>{"up-1", "up-2"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decoded.m_draining_upstreams.size());
        CPPUNIT_ASSERT(decoded.m_draining_upstreams[0].m_name == "up-2" &&
                       decoded.m_draining_upstreams[0].m_incarnation == 9);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1234), decoded.m_fleet_clock_ms);
        CPPUNIT_ASSERT(decoded.m_selected && decoded.m_requests_configuration);
        CPPUNIT_ASSERT(decoded.m_incarnation == 5 && decoded.m_domain == "nairobi");
        CPPUNIT_ASSERT(decoded.m_peer_address == "127.0.0.1:1" &&
                       decoded.m_sent_at == sample_time);
        CPPUNIT_ASSERT(decoded.m_configuration_version == 6);
        CPPUNIT_ASSERT(decoded.m_leaving && decoded.m_store_contact);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), decoded.m_holdings.size());
        CPPUNIT_ASSERT(decoded.m_holdings[1].m_shard == 3 &&
                       decoded.m_holdings[1].m_epoch == 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), decoded.m_loads.size());
        CPPUNIT_ASSERT(decoded.m_loads[0].m_free_slots == 7 &&
                       decoded.m_loads[0].m_queued_tasks == 8 &&
                       decoded.m_loads[0].m_service == "a");
        CPPUNIT_ASSERT(decoded.m_loads[1].m_largest_free == resources({1, 2, 3}) &&
                       decoded.m_loads[1].m_service == "b");
    }

    void capacity_request_service_is_preserved()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("a"),
                             round_trip(capacity_request{"a"}).m_service);
    }

    void load_report_all_fields_are_preserved()
    {
        auto const decoded = round_trip(load_report{{9, 10, {11, 12, 13}, "a"}});
        CPPUNIT_ASSERT(decoded.m_load.m_free_slots == 9 &&
                       decoded.m_load.m_queued_tasks == 10);
        CPPUNIT_ASSERT(decoded.m_load.m_largest_free == resources({11, 12, 13}) &&
                       decoded.m_load.m_service == "a");
    }

    void key_notice_keys_are_preserved()
    {
        auto const decoded = round_trip(key_notice{1, 2, {key, {"t", "d", "k"}}});
        CPPUNIT_ASSERT(decoded.m_request == 1 && decoded.m_shard == 2);
        CPPUNIT_ASSERT(decoded.m_keys == std::vector<job_key>({key, {"t", "d", "k"}}));
    }

    void loss_notice_all_fields_are_preserved()
    {
        dispatch::upstream_loss const loss{{"up", 1'700'000'000'123},
                                           dispatch::upstream_fate::crashed,
                                           {{"t", "k", 0}, {"t", "k", 229}},
                                           std::chrono::seconds(2)};
        CPPUNIT_ASSERT(round_trip(loss_notice{loss}).m_loss == loss);
    }

    void key_notice_received_request_is_preserved()
    {
        CPPUNIT_ASSERT_EQUAL(peer_request_number(4),
                             round_trip(key_notice_received{4}).m_request);
    }

    void configuration_request_version_is_preserved()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5),
                             round_trip(configuration_request{5}).m_version);
    }

    void configuration_notice_document_is_preserved()
    {
        auto const decoded = round_trip(configuration_notice{3, "[dispatch]\n"});
        CPPUNIT_ASSERT(decoded.m_version == 3 && decoded.m_document == "[dispatch]\n");
    }
};

// Guards against invalid values of a faulty or newer peer reaching the decision logic.
class peer_decoding_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_decoding_test);
    CPPUNIT_TEST(operation_outside_enumeration_is_rejected);
    CPPUNIT_TEST(unknown_error_number_is_rejected);
    CPPUNIT_TEST(negative_time_limit_is_rejected);
    CPPUNIT_TEST(key_with_line_break_is_rejected);
    CPPUNIT_TEST(shard_with_line_break_is_rejected);
    CPPUNIT_TEST(too_many_tasks_are_rejected);
    CPPUNIT_TEST(submission_without_tasks_is_rejected);
    CPPUNIT_TEST(loss_notice_out_of_range_is_rejected);
    CPPUNIT_TEST(fleet_clock_out_of_range_is_rejected);
    CPPUNIT_TEST(rejected_message_leaves_target_unchanged);
    CPPUNIT_TEST_SUITE_END();

    forward_request const m_request{1, key_operation::submit, {key, "levy", 1s, {{}}}};

    static void assert_rejected(
        peer_codec_errc expected, peer_message const & sent,
        std::function<void(peer_protocol::Message::Builder)> const & modify = {})
    {
        peer_message received;
        CPPUNIT_ASSERT(encode_and_decode(sent, received, modify) == expected);
    }

public:
    void operation_outside_enumeration_is_rejected()
    {
        assert_rejected(peer_codec_errc::bad_enumerator, m_request,
                        [](auto root) { root.getForwardRequest().setOperation(3); });
    }

    void unknown_error_number_is_rejected()
    {
        assert_rejected(peer_codec_errc::bad_enumerator, request_answered{},
                        [](auto root)
                        { root.getRequestAnswered().getAnswer().setErrorCode(9'999); });
        assert_rejected(peer_codec_errc::bad_enumerator, request_answered{},
                        [](auto root)
                        { root.getRequestAnswered().getAnswer().setErrorCode(-1); });
    }

    void negative_time_limit_is_rejected()
    {
        assert_rejected(peer_codec_errc::out_of_range, m_request,
                        [](auto root)
                        { root.getForwardRequest().getSpec().setTimeLimitNs(-1); });
    }

    void key_with_line_break_is_rejected()
    {
        assert_rejected(peer_codec_errc::bad_name,
                        key_notice{1, 2, {{"t", "d", "k\r\n"}}});
    }

    void shard_with_line_break_is_rejected()
    {
        forward_task sent;
        sent.m_start.m_job = key;
        sent.m_start.m_kind = "levy";
        sent.m_start.m_token.m_shard = "a\r\nb";
        assert_rejected(peer_codec_errc::bad_name, sent);
    }

    void loss_notice_out_of_range_is_rejected()
    {
        loss_notice const sent{
            {{"up", 1}, dispatch::upstream_fate::unknown, {{"t", "k", 0}}, 1s}};
        assert_rejected(peer_codec_errc::bad_enumerator, sent,
                        [](auto root) { root.getLossNotice().setFate(3); });
        assert_rejected(peer_codec_errc::out_of_range, sent,
                        [](auto root) { root.getLossNotice().setAgeNs(-1); });
        assert_rejected(peer_codec_errc::out_of_range, sent,
                        [](auto root) {
                            root.getLossNotice().getTasks()[0].setTask(max_tasks_per_job);
                        });
        assert_rejected(peer_codec_errc::bad_name, sent,
                        [](auto root) { root.getLossNotice().setUpstream(""); });
        assert_rejected(peer_codec_errc::bad_name, sent,
                        [](auto root)
                        { root.getLossNotice().getTasks()[0].setJob("k\n"); });
        assert_rejected(peer_codec_errc::too_many_items, sent,
                        [](auto root)
                        { root.getLossNotice().initTasks(codec::max_listed_items + 1); });
    }

    void too_many_tasks_are_rejected()
    {
        forward_request sent = m_request;
        sent.m_spec.m_tasks.resize(max_tasks_per_job + 1);
        assert_rejected(peer_codec_errc::too_many_items, sent);
    }

    // Guards against a sum with the clock that overflows, and against numbers of starts
    // that no later clock reaches.
    void fleet_clock_out_of_range_is_rejected()
    {
        heartbeat sent;
        sent.m_domain = "north";
        for (std::int64_t const clock :
             {std::int64_t(-1), std::numeric_limits<std::int64_t>::max()})
        {
            sent.m_fleet_clock_ms = clock;
            assert_rejected(peer_codec_errc::out_of_range, sent);
        }
    }

    void submission_without_tasks_is_rejected()
    {
        forward_request sent = m_request;
        sent.m_spec.m_tasks.clear();
        assert_rejected(peer_codec_errc::malformed_structure, sent);
    }

    void rejected_message_leaves_target_unchanged()
    {
        peer_message received = key_notice_received{5};
        CPPUNIT_ASSERT(encode_and_decode(heartbeat{}, received));
        CPPUNIT_ASSERT_EQUAL(peer_request_number(5),
                             std::get<key_notice_received>(received).m_request);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_round_trip_test);
CPPUNIT_TEST_SUITE_REGISTRATION(peer_decoding_test);

} // namespace
