// Tests that requests are read alike however their bytes are split, and which are refused.
#include <string>
#include <vector>

#include <event2/buffer.h>

#include "cornelhead/proxy/message-head.h"
#include "cornelhead/proxy/request-head.h"
#include "cornelhead/sidecar/request-reader.h"
#include "support/property.h"

namespace cornelhead::detail {

const std::string chunkedBody
        = "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nX-Trailer: dropped\r\n\r\n";
const std::vector<std::string> requestsInARow
        = {"GET /look/1?a=b HTTP/1.1\r\nHost: site.example\r\nX-Empty:\r\nX-Two: a  b \t\r\n\r\n",
           "POST /book/2 HTTP/1.1\r\nHost: site.example\r\nContent-Length: 6\r\n\r\nseat=4",
           "\r\nPUT /book/3 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedBody,
           "HEAD http://site.example/look/4#part HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
           "DELETE /look/5 HTTP/1.1\r\nConnection: upgrade, close\r\nUpgrade: h2c\r\nX: 1\r\n\r\n"};
const std::vector<std::string> requestsRead
        = {"1 /look/1?a=b /look/1 keep Host=site.example|X-Empty=|X-Two=a  b| ",
           "2 /book/2 /book/2 keep Host=site.example|Content-Length=6| seat=4",
           "8 /book/3 /book/3 keep Transfer-Encoding=chunked| abc0123456789",
           "4 http://site.example/look/4#part /look/4 keep Connection=keep-alive| ",
           "16 /look/5 /look/5 close Connection=upgrade, close|Upgrade=h2c|X=1| "};

std::string describe(const ReceivedRequest &request)
{
    std::string text = std::to_string(request.method) + " " + request.uri + " "
            + std::string(request.path()) + (request.keepsConnection ? " keep " : " close ");
    for (const evkeyval *entry = request.headers.tqh_first; entry; entry = entry->next.tqe_next)
        text.append(entry->key).append("=").append(entry->value).append("|");
    return text.append(" ").append(bodyOf(request.view()));
}

struct ReadResult
{
    std::vector<std::string> requests;
    std::optional<ReadFault> fault;
};

/// Feeds the bytes in parts of these sizes, and the rest at once.
ReadResult read(std::string_view bytes, const std::vector<std::size_t> &sizes,
                std::size_t maxBodyBytes = RequestReader::defaultBodyBytes)
{
    RequestReader reader(maxBodyBytes);
    ReadResult result;
    for (std::size_t i = 0; !bytes.empty() && !reader.fault(); ++i) {
        // A copy of its own, so that a read beyond the part is found.
        const std::string copy(bytes.substr(0, i < sizes.size() ? sizes[i] : bytes.size()));
        bytes.remove_prefix(reader.feed(copy));
        if (const auto request = reader.takeRequest())
            result.requests.push_back(describe(*request));
    }
    result.fault = reader.fault();
    return result;
}

std::string joined(const std::vector<std::string> &parts)
{
    std::string all;
    for (const std::string &part : parts)
        all += part;
    return all;
}

BOOST_AUTO_TEST_SUITE(request_reader)

BOOST_AUTO_TEST_CASE(requestsAreReadAlikeWhereverTheirBytesAreSplit)
{
    const std::string bytes = joined(requestsInARow);
    for (std::size_t split = 1; split < bytes.size(); ++split) {
        BOOST_TEST_CONTEXT("split at " << split)
        {
            const ReadResult result = read(bytes, {split});
            BOOST_TEST(result.requests == requestsRead, boost::test_tools::per_element());
            BOOST_TEST(!result.fault);
        }
    }
    checkProperty(20260701, 300, [&bytes] {
        const auto sizes = *rc::gen::container<std::vector<std::size_t>>(
                rc::gen::inRange<std::size_t>(1, 40));
        RC_ASSERT(read(bytes, sizes).requests == requestsRead);
    });
    const ReadResult single = read(bytes, std::vector<std::size_t>(bytes.size(), 1));
    BOOST_TEST(single.requests == requestsRead, boost::test_tools::per_element());
}

// UNASKED: what one reader takes for a body is a request to another one.
BOOST_AUTO_TEST_CASE(nothingIsReadBehindAnAmbiguousOrMalformedRequest)
{
    const std::string &first = requestsInARow[0];
    const std::vector<std::pair<std::string, ReadFault>> faults = {
            {"POST / HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n",
             ReadFault::Malformed},
            {"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
             ReadFault::Malformed},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n", ReadFault::Malformed},
            {"POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\n", ReadFault::Malformed},
            {"GET / HTTP/1.1\r\nX: folded\r\n into two\r\n\r\n", ReadFault::Malformed},
            {"GET / HTTP/1.1\r\nX\x01: 1\r\n\r\n", ReadFault::Malformed},
            {std::string("GET / HTTP/1.1\r\nX: 1\0\r\n\r\n", 25), ReadFault::Malformed},
            {"GET / HTTP/2.0\r\n\r\n", ReadFault::Malformed},
            {"GET /\r\n\r\n", ReadFault::Malformed},
            {"CONNECT site.example:80 HTTP/1.1\r\n\r\n", ReadFault::UnknownMethod},
            {"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", ReadFault::TooLarge},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'x')
                     + "\r\n0\r\n\r\n",
             ReadFault::TooLarge},
            {"GET / HTTP/1.1\r\nX: " + std::string(RequestReader::maxHeadBytes, 'x') + "\r\n\r\n",
             ReadFault::TooLarge},
    };
    for (const auto &[bytes, fault] : faults) {
        BOOST_TEST_CONTEXT(bytes.substr(0, 100))
        {
            const std::string all = joined({first, bytes, first});
            for (const std::size_t size : {1U, 7U, 100'000U}) {
                const ReadResult result
                        = read(all, std::vector<std::size_t>(all.size(), size), 100);
                BOOST_TEST(result.requests.size() == 1U);
                BOOST_TEST((result.fault == fault));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead::detail
