#include <cassiahub/codec.hpp>
#include <cassiahub/codec/peer_codec.hpp>

#include <capnp/message.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace cassiahub;
using namespace cassiahub::decision;

namespace
{

// Guards against drained domains that are lost or changed on the way to a peer, and
// against a notice that a faulty peer makes too large.
class codec_drain_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(codec_drain_test);
    CPPUNIT_TEST(notice_all_fields_are_preserved);
    CPPUNIT_TEST(notice_with_long_domain_is_rejected);
    CPPUNIT_TEST(heartbeat_version_of_drains_is_preserved);
    CPPUNIT_TEST_SUITE_END();

    static std::error_code send(peer_message const & sent, peer_message & received)
    {
        capnp::MallocMessageBuilder builder;
        auto root = builder.initRoot<peer_protocol::Message>();
        codec::encode_peer_message(sent, root);
        return codec::decode_peer_message(root.asReader(), received);
    }

public:
    void notice_all_fields_are_preserved()
    {
        drained_domains_notice const sent{7, {"south", std::string("a\0b\xff", 4)}};
        peer_message received;
        CPPUNIT_ASSERT(!send(sent, received));
        auto const & notice = std::get<drained_domains_notice>(received);
        CPPUNIT_ASSERT(notice.m_version == 7 && notice.m_domains == sent.m_domains);
    }

    void notice_with_long_domain_is_rejected()
    {
        peer_message received;
        CPPUNIT_ASSERT(
            send(drained_domains_notice{7, {std::string(129, 'x')}}, received));
    }

    void heartbeat_version_of_drains_is_preserved()
    {
        heartbeat sent;
        sent.m_domain = "north";
        peer_message received;
        CPPUNIT_ASSERT(!send(sent, received));
        CPPUNIT_ASSERT(!std::get<heartbeat>(received).m_drains_version);
        sent.m_drains_version = 0;
        CPPUNIT_ASSERT(!send(sent, received));
        CPPUNIT_ASSERT(std::get<heartbeat>(received).m_drains_version == 0U);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_drain_test);

} // namespace
