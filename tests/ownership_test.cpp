/// \file Table rows, shard leases, record writes, notices and the records of job keys.

#include <cassiahub/core/error.hpp>
#include <cassiahub/ownership.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <utility>

using namespace cassiahub;
using namespace cassiahub::ownership;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{100s};

// Guards against a row of one key that is parsed as a row of another key.
class table_rows_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_rows_test);
    CPPUNIT_TEST(record_name_of_any_key_is_parsed_back);
    CPPUNIT_TEST(lease_value_of_any_owner_is_parsed_back);
    CPPUNIT_TEST(record_value_is_parsed_back);
    CPPUNIT_TEST(malformed_values_are_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void record_name_of_any_key_is_parsed_back()
    {
        CPPUNIT_ASSERT(rc::check(
            "record name",
            [](std::string const & tenant, std::string const & text, std::uint32_t shard)
            {
                job_key const key{tenant, "north/1", text};
                std::string const name = record_row_name(shard, key);
                RC_ASSERT(name.find_first_of("% ?&#") == std::string::npos);
                job_key parsed;
                RC_ASSERT(parse_record_row_name(name, "north/1", shard, parsed));
                RC_ASSERT(parsed == key);
                RC_ASSERT(!parse_record_row_name(name, "north", shard, parsed));
            }));
    }

    void lease_value_of_any_owner_is_parsed_back()
    {
        CPPUNIT_ASSERT(rc::check(
            "lease value",
            [](std::string const & owner, std::uint64_t incarnation, std::uint64_t epoch)
            {
                lease_value parsed;
                RC_ASSERT(
                    parse_lease(format_lease({{owner}, incarnation, epoch, 6s}), parsed));
                RC_ASSERT(parsed.m_owner.m_value == owner);
                RC_ASSERT(parsed.m_incarnation == incarnation);
                RC_ASSERT(parsed.m_epoch == epoch);
                RC_ASSERT(parsed.m_lease_time == duration(6s));
            }));
    }

    void record_value_is_parsed_back()
    {
        record_value parsed;
        CPPUNIT_ASSERT(
            parse_record(format_record({77, 5, true, 11, run_state::yes}), parsed));
        CPPUNIT_ASSERT(parsed.m_job_hash == 77 && parsed.m_epoch == 5);
        CPPUNIT_ASSERT(parsed.m_finished && parsed.m_error == 11);
        CPPUNIT_ASSERT(parsed.m_ran == run_state::yes);
    }

    void malformed_values_are_refused()
    {
        lease_value lease;
        record_value record;
        for (char const * const text : {"", "owner", "owner=a", "owner=~4 incarnation=1",
                                        "owner=a incarnation=g epoch=1 lease_ms=1",
                                        "owner=a incarnation=1 epoch=-1 lease_ms=1"})
        {
            CPPUNIT_ASSERT(!parse_lease(text, lease));
            CPPUNIT_ASSERT(!parse_record(text, record));
        }
        CPPUNIT_ASSERT(!parse_record("job=1 epoch=1 state=open error=0 ran=yes", record));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_rows_test);

// Guards against a claim before the holder's lease has expired, a job that starts before
// its key is recorded, and records or answers that are never discarded.
class owner_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(owner_test);
    CPPUNIT_TEST(claim_of_absent_row_is_immediate);
    CPPUNIT_TEST(claim_of_released_row_is_immediate);
    CPPUNIT_TEST(claim_of_held_row_waits_for_whole_lease);
    CPPUNIT_TEST(claim_after_store_outage_waits_for_whole_lease_again);
    CPPUNIT_TEST(shard_preferred_elsewhere_is_not_claimed);
    CPPUNIT_TEST(job_becomes_startable_only_after_committed_write);
    CPPUNIT_TEST(job_with_uncertain_write_is_refused_and_may_be_admitted_again);
    CPPUNIT_TEST(start_after_expired_lease_is_not_allowed);
    CPPUNIT_TEST(conflict_with_other_owner_refuses_pending_jobs);
    CPPUNIT_TEST(loaded_records_of_earlier_owner_are_answered);
    CPPUNIT_TEST(record_after_window_is_deleted);
    CPPUNIT_TEST(answers_beyond_memory_limit_are_reported_as_already_answered);
    CPPUNIT_TEST(writes_under_load_stay_below_rate);
    CPPUNIT_TEST(notice_is_not_acknowledged_by_owner);
    CPPUNIT_TEST(notice_of_superseded_owner_is_not_acknowledged);
    CPPUNIT_TEST(notice_of_pending_key_refuses_its_job);
    CPPUNIT_TEST(claim_answer_after_read_of_later_epoch_gives_no_ownership);
    CPPUNIT_TEST(release_answer_after_read_of_later_epoch_keeps_it);
    CPPUNIT_TEST(release_after_failed_job_waits_for_send_limit);
    CPPUNIT_TEST(lease_expired_in_suspension_allows_no_unrecorded_start);
    CPPUNIT_TEST_SUITE_END();

    ownership_state m_state;
    effects m_out;
    time_point m_now;
    std::uint64_t m_version = 10;

    static job_key make_key(std::string text)
    {
        return {"tenant", "a", std::move(text)};
    }

    void advance_by(duration step)
    {
        for (duration passed{0}; passed < step; passed += 20ms)
        {
            m_now += 20ms;
            detect_suspension(m_state, m_now);
            advance(m_state, m_now, m_out);
        }
    }

    void reply_to_reads(std::vector<stored_row> const & leases,
                        std::vector<stored_row> const & records = {})
    {
        std::vector<store_read> const reads = std::move(m_out.m_reads);
        m_out.m_reads.clear();
        for (store_read const & read : reads)
        {
            bool const lease = read.m_prefix.starts_with("lease/");
            receive_store_reply(m_state, read.m_request, store_result::done,
                                lease ? leases : records, m_now, m_out);
        }
    }

    /// Replies to the last write.
    /// \returns false when no write was sent.
    bool reply_to_write(store_result result)
    {
        if (m_out.m_writes.empty())
        {
            return false;
        }
        store_write const write = std::move(m_out.m_writes.back());
        m_out.m_writes.clear();
        std::vector<stored_row> rows;
        ++m_version;
        for (row_change const & row : write.m_rows)
        {
            rows.push_back({row.m_name, m_version, {}});
        }
        receive_store_reply(m_state, write.m_request, result,
                            result == store_result::done ? rows
                                                         : std::vector<stored_row>(),
                            m_now, m_out);
        return true;
    }

    static stored_row lease_row(std::uint64_t version, std::string owner,
                                std::uint64_t epoch)
    {
        return {lease_row_name("a", 0), version,
                format_lease({{std::move(owner)}, 9, epoch, lease_time})};
    }

    /// Claims shard 0 and loads \p records.
    void serve_shard(std::vector<stored_row> const & records = {})
    {
        advance_by(20ms);
        reply_to_reads({});
        advance_by(20ms);
        CPPUNIT_ASSERT(reply_to_write(store_result::done));
        advance_by(20ms);
        reply_to_reads({}, records);
        CPPUNIT_ASSERT(m_state.m_shards[0].m_phase == shard_phase::serving);
        m_out = {};
    }

    void submit_job(std::string const & text, bool repeatable = false)
    {
        CPPUNIT_ASSERT(
            !admit_job(m_state, {make_key(text), 1, repeatable, m_now + duration(5s)}));
    }

public:
    void setUp() override
    {
        m_state = {};
        m_out = {};
        m_now = start;
        m_state.m_self = {"self"};
        m_state.m_incarnation = 7;
        m_state.m_domain = "a";
        configure(m_state, 1, 10min);
        set_peers_and_preferred_shards(m_state, {}, std::vector<std::uint32_t>{0}, m_now,
                                       m_out);
    }

    void claim_of_absent_row_is_immediate()
    {
        serve_shard();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_state.m_shards[0].m_epoch);
    }

    void claim_of_released_row_is_immediate()
    {
        advance_by(20ms);
        reply_to_reads({lease_row(5, "", 3)});
        advance_by(20ms);
        CPPUNIT_ASSERT(reply_to_write(store_result::done));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), m_state.m_shards[0].m_epoch);
    }

    void claim_of_held_row_waits_for_whole_lease()
    {
        advance_by(20ms);
        reply_to_reads({lease_row(5, "other", 3)});
        time_point const first_read_at = m_now;
        while (m_out.m_writes.empty() && m_now < first_read_at + 10s)
        {
            advance_by(20ms);
            reply_to_reads({lease_row(5, "other", 3)});
        }
        CPPUNIT_ASSERT(m_now - first_read_at >= duration(6060ms));
        CPPUNIT_ASSERT(m_now - first_read_at <= duration(6100ms));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5),
                             *m_out.m_writes[0].m_rows[0].m_expected_version);
    }

    void claim_after_store_outage_waits_for_whole_lease_again()
    {
        advance_by(20ms);
        reply_to_reads({lease_row(5, "other", 3)});
        for (int round = 0; round < 100; ++round)
        {
            advance_by(100ms);
            for (store_read const & read : std::exchange(m_out.m_reads, {}))
            {
                receive_store_reply(m_state, read.m_request, store_result::unavailable,
                                    {}, m_now, m_out);
            }
        }
        advance_by(300ms);
        reply_to_reads({lease_row(5, "other", 3)});
        advance_by(3s);
        CPPUNIT_ASSERT(m_out.m_writes.empty());
    }

    void shard_preferred_elsewhere_is_not_claimed()
    {
        set_peers_and_preferred_shards(m_state, {{"other"}}, {}, m_now, m_out);
        advance_by(20ms);
        reply_to_reads({});
        advance_by(1s);
        CPPUNIT_ASSERT(m_out.m_writes.empty());
    }

    void job_becomes_startable_only_after_committed_write()
    {
        serve_shard();
        submit_job("k");
        advance_by(20ms);
        CPPUNIT_ASSERT(m_out.m_startable.empty());
        CPPUNIT_ASSERT(find_key(m_state, make_key("k"), 1).m_status ==
                       key_status::waiting);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_out.m_writes[0].m_rows.size());
        reply_to_write(store_result::done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_startable.size());
    }

    void job_with_uncertain_write_is_refused_and_may_be_admitted_again()
    {
        serve_shard();
        submit_job("k");
        advance_by(20ms);
        reply_to_write(store_result::unavailable);
        advance_by(20ms);
        CPPUNIT_ASSERT(m_out.m_refused.at(0).m_error == job_errc::store_unavailable);
        CPPUNIT_ASSERT(find_key(m_state, make_key("k"), 1).m_status ==
                       key_status::not_known);
        advance_by(300ms);
        reply_to_reads({{lease_row_name("a", 0), m_version,
                         format_lease({{"self"}, 7, 1, lease_time})}});
        submit_job("k");
        advance_by(20ms);
        reply_to_write(store_result::done);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_startable.size());
    }

    void start_after_expired_lease_is_not_allowed()
    {
        serve_shard();
        submit_job("k");
        advance_by(20ms);
        time_point const sent = m_now;
        reply_to_write(store_result::done);
        fencing_token const token = m_out.m_startable.at(0).m_token;
        auto const limit = send_deadline(m_state, make_key("k"), token, m_now);
        CPPUNIT_ASSERT(limit && *limit <= sent + 5440ms);
        CPPUNIT_ASSERT(!send_deadline(m_state, make_key("k"), token, sent + 5440ms));
        CPPUNIT_ASSERT(!send_deadline(m_state, make_key("k"), {token.m_shard, 2}, m_now));
    }

    void conflict_with_other_owner_refuses_pending_jobs()
    {
        serve_shard();
        submit_job("k");
        advance_by(20ms);
        reply_to_write(store_result::conflict);
        advance_by(20ms);
        reply_to_reads({lease_row(99, "other", 2)});
        CPPUNIT_ASSERT(m_out.m_refused.at(0).m_error == job_errc::lease_lapsed);
        CPPUNIT_ASSERT(m_state.m_shards[0].m_phase == shard_phase::idle);
        CPPUNIT_ASSERT(m_out.m_startable.empty());
    }

    void loaded_records_of_earlier_owner_are_answered()
    {
        serve_shard({{record_row_name(0, make_key("open")), 3,
                      format_record({1, 1, false, 0, run_state::unknown})},
                     {record_row_name(0, make_key("done")), 4,
                      format_record({1, 1, true, 0, run_state::yes})},
                     {record_row_name(0, make_key("bad")), 4, "?"}});
        CPPUNIT_ASSERT(find_key(m_state, make_key("open"), 1).m_answer.m_error ==
                       job_errc::outcome_unknown);
        CPPUNIT_ASSERT(find_key(m_state, make_key("done"), 1).m_answer.m_error ==
                       job_errc::already_answered);
        CPPUNIT_ASSERT(find_key(m_state, make_key("bad"), 1).m_answer.m_error ==
                       job_errc::outcome_unknown);
        CPPUNIT_ASSERT(find_key(m_state, make_key("done"), 2).m_answer.m_error ==
                       job_errc::key_reused);
    }

    void record_after_window_is_deleted()
    {
        m_state.m_resubmission_window = 3s;
        serve_shard({{record_row_name(0, make_key("old")), 3,
                      format_record({1, 1, true, 0, run_state::yes})}});
        for (int round = 0; round < 50; ++round)
        {
            advance_by(100ms);
            reply_to_write(store_result::done);
            reply_to_reads({});
        }
        CPPUNIT_ASSERT(m_state.m_shards[0].m_records.empty());
        CPPUNIT_ASSERT(m_state.m_shards[0].m_dirty.empty());
    }

    void answers_beyond_memory_limit_are_reported_as_already_answered()
    {
        serve_shard();
        std::string large;
        large.resize(answer_memory_limit * 3 / 4, 'x');
        for (char const * const text : {"first", "second"})
        {
            submit_job(text);
            advance_by(100ms);
            reply_to_write(store_result::done);
            finish_job(m_state, make_key(text), {{}, run_state::yes, {}, {large}}, m_now);
        }
        CPPUNIT_ASSERT(m_state.m_answer_bytes <= answer_memory_limit);
        CPPUNIT_ASSERT(find_key(m_state, make_key("first"), 1).m_answer.m_error ==
                       job_errc::already_answered);
        CPPUNIT_ASSERT(!find_key(m_state, make_key("second"), 1).m_answer.m_error);
    }

    void writes_under_load_stay_below_rate()
    {
        serve_shard();
        std::size_t writes = 0;
        for (int round = 0; round < 500; ++round)
        {
            submit_job("k" + std::to_string(round));
            advance_by(20ms);
            writes += reply_to_write(store_result::done) ? 1 : 0;
            reply_to_reads({});
        }
        CPPUNIT_ASSERT(writes <= 10 * 20 + 11);
        CPPUNIT_ASSERT(m_out.m_startable.size() >= 495);
    }

    void notice_is_not_acknowledged_by_owner()
    {
        std::vector<job_key> const keys{make_key("k")};
        CPPUNIT_ASSERT(receive_notice(m_state, 0, 1, keys, m_now, m_out));
        serve_shard();
        CPPUNIT_ASSERT(find_key(m_state, make_key("k"), 1).m_answer.m_error ==
                       job_errc::outcome_unknown);
        CPPUNIT_ASSERT(!receive_notice(m_state, 0, 1, keys, m_now, m_out));
    }

    void notice_of_superseded_owner_is_not_acknowledged()
    {
        advance_by(20ms);
        reply_to_reads({lease_row(5, "other", 3)});
        std::vector<job_key> const keys{make_key("k")};
        CPPUNIT_ASSERT(!receive_notice(m_state, 0, 2, keys, m_now, m_out));
        CPPUNIT_ASSERT(receive_notice(m_state, 0, 3, keys, m_now, m_out));
    }

    void notice_of_pending_key_refuses_its_job()
    {
        serve_shard();
        submit_job("k", true);
        advance_by(20ms);
        std::vector<job_key> const keys{make_key("k")};
        CPPUNIT_ASSERT(!receive_notice(m_state, 0, 0, keys, m_now, m_out));
        reply_to_write(store_result::done);
        CPPUNIT_ASSERT(m_out.m_startable.empty());
        CPPUNIT_ASSERT(m_out.m_refused.at(0).m_ran == run_state::unknown);
    }

    void claim_answer_after_read_of_later_epoch_gives_no_ownership()
    {
        advance_by(20ms);
        reply_to_reads({});
        advance_by(20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_writes.size());
        advance_by(1s);
        reply_to_reads({lease_row(99, "other", 2)});
        reply_to_write(store_result::done);
        CPPUNIT_ASSERT(m_state.m_shards[0].m_phase == shard_phase::idle);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_state.m_shards[0].m_lease.m_epoch);
    }

    void release_answer_after_read_of_later_epoch_keeps_it()
    {
        serve_shard();
        begin_drain(m_state, m_now);
        advance_by(20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_writes.size());
        advance_by(1s);
        reply_to_reads({lease_row(99, "other", 2)});
        reply_to_write(store_result::done);
        CPPUNIT_ASSERT(m_state.m_shards[0].m_lease.m_owner.m_value == "other");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_state.m_shards[0].m_lease.m_epoch);
    }

    void release_after_failed_job_waits_for_send_limit()
    {
        serve_shard();
        submit_job("k");
        advance_by(20ms);
        reply_to_write(store_result::done);
        time_point const limit = m_state.m_shards[0].m_valid_until;
        finish_job(m_state, make_key("k"),
                   {job_errc::outcome_unknown, run_state::unknown, {}, {}}, m_now);
        begin_drain(m_state, m_now);
        while (m_now < limit + 100ms)
        {
            bool const owned = m_state.m_shards[0].m_phase == shard_phase::serving;
            CPPUNIT_ASSERT_EQUAL(m_now < limit, owned);
            advance_by(20ms);
            reply_to_write(store_result::done);
        }
    }

    void lease_expired_in_suspension_allows_no_unrecorded_start()
    {
        serve_shard();
        set_peers_and_preferred_shards(m_state, {{"peer"}}, std::vector<std::uint32_t>{0},
                                       m_now, m_out);
        m_out = {};
        submit_job("first", true);
        advance_by(20ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_out.m_writes.size());
        m_now += 30s;
        detect_suspension(m_state, m_now);
        submit_job("k", true);
        advance_by(20ms);
        CPPUNIT_ASSERT(m_out.m_notices.empty());
        CPPUNIT_ASSERT(m_out.m_startable.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(owner_test);

} // namespace
