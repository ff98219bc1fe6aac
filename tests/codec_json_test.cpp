/// \file Tests of the JSON documents of jobs and of problems.

#include <cassiahub/codec/job_json.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace cassiahub;

namespace
{

// Guards against an exception on a document of another sender.
class problem_document_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(problem_document_test);
    CPPUNIT_TEST(problem_with_member_of_other_type_is_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void problem_with_member_of_other_type_is_rejected()
    {
        codec::problem parsed;
        for (char const * const body :
             {R"({"code":"c","detail":1})", R"({"code":"c","ran":null})",
              R"({"code":1,"detail":"d"})"})
        {
            CPPUNIT_ASSERT_MESSAGE(body, !codec::parse_problem(body, parsed));
        }
        CPPUNIT_ASSERT(codec::parse_problem(R"({"code":"c","ran":"no"})", parsed));
        CPPUNIT_ASSERT(parsed.m_ran == run_state::no && parsed.m_detail.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(problem_document_test);

} // namespace
