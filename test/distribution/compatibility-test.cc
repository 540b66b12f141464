// Tests that nodes of adjacent protocol versions interoperate.
#include <boost/test/unit_test.hpp>

#include "cornelhead/distribution/wire.h"
#include "distribution/fleet.h"

namespace cornelhead {

using test::Fleet;

namespace {

/// A field number that no message of this version uses.
constexpr std::uint32_t futureField = 1000;

/// Appends a field unknown to this version, as the next version may send it.
std::string withUnknownField(const std::string &bytes)
{
    const std::uint32_t key = futureField << 3;
    std::string extended = bytes;
    extended.push_back(static_cast<char>((key & 0x7f) | 0x80));
    extended.push_back(static_cast<char>(key >> 7));
    extended.push_back(1);
    return extended;
}

inner::Frame parse(const std::string &bytes)
{
    inner::Frame frame;
    BOOST_REQUIRE(frame.ParseFromString(bytes));
    return frame;
}

} // namespace

BOOST_AUTO_TEST_SUITE(compatibility)

BOOST_AUTO_TEST_CASE(ignoresUnknownFieldsAndFrames)
{
    inner::Frame hello;
    hello.mutable_hello()->set_protocol(protocolVersion + 1);
    hello.mutable_hello()->set_revision(7);
    const inner::Frame read = parse(withUnknownField(hello.SerializeAsString()));
    BOOST_TEST(read.hello().revision() == 7);
    BOOST_TEST(parse(withUnknownField("")).body_case() == inner::Frame::BODY_NOT_SET);
}

BOOST_AUTO_TEST_CASE(servesNodesOfOtherVersions)
{
    Fleet fleet(2, 4, 5);
    // Even nodes behave as the previous version: they announce its number, omit a newer field, and
    // receive frames with unknown fields.
    fleet.setRewrite([](std::size_t from, std::size_t to, const inner::Frame &frame) {
        inner::Frame sent = frame;
        if (from % 2 == 0 && sent.has_hello())
            sent.mutable_hello()->set_protocol(protocolVersion - 1);
        if (from % 2 == 0 && sent.has_heartbeat())
            sent.mutable_heartbeat()->clear_unreachable();
        return parse(to % 2 == 0 ? withUnknownField(sent.SerializeAsString())
                                 : sent.SerializeAsString());
    });
    fleet.edit();
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.start(i);
    fleet.run(Milliseconds(6000));
    fleet.edit();
    fleet.run(Milliseconds(500));
    BOOST_TEST(fleet.differences().empty());
    BOOST_TEST(fleet.stats().violations.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
