// Implements the headers between nodes: escaped fields in a fixed order, separated by spaces.
#include "cornelhead/sidecar/hop.h"

#include <array>
#include <charconv>
#include <vector>

#include "cornelhead/net/http.h"

namespace cornelhead {
namespace detail {

constexpr std::string_view hopVersion = "1";
// Encodes empty text, as a field must not be empty.
constexpr std::string_view emptyField = "-";
constexpr double perMillion = 1e6;

constexpr std::array<std::string_view, 13> reasonNames
        = {"none",        "overload",      "server-gone", "other-server",  "stopping",
           "other-run",   "poison",        "withdrawn",   "broken-answer", "timeout",
           "bad-message", "never-arrived", "busy"};

class FieldWriter
{
public:
    FieldWriter &text(std::string_view value)
    {
        return raw(value.empty() ? std::string(emptyField) : escapeUri(value));
    }
    FieldWriter &number(std::uint64_t value) { return raw(std::to_string(value)); }
    FieldWriter &rate(const std::optional<CallRate> &value)
    {
        return number(value ? 1 : 0).fraction(value ? value->perSecond() : 0.0);
    }
    FieldWriter &fraction(double value)
    {
        return number(static_cast<std::uint64_t>(value * perMillion));
    }
    std::string finish() { return std::move(line_); }

private:
    FieldWriter &raw(const std::string &field)
    {
        line_ += ' ';
        line_ += field;
        return *this;
    }

    std::string line_ = std::string(hopVersion);
};

class FieldReader
{
public:
    explicit FieldReader(std::string_view line) : rest_(line) { isValid_ = next() == hopVersion; }

    std::string text()
    {
        const std::string_view field = next();
        if (field == emptyField)
            return {};
        return unescapeUri(field);
    }
    std::uint64_t number()
    {
        const std::string_view field = next();
        std::uint64_t value = 0;
        const char *end = field.data() + field.size();
        const auto [stop, error] = std::from_chars(field.data(), end, value);
        isValid_ = isValid_ && error == std::errc() && stop == end;
        return value;
    }
    double fraction() { return static_cast<double>(number()) / perMillion; }
    std::optional<CallRate> rate()
    {
        const bool isPresent = number() != 0;
        const CallRate value(fraction());
        return isPresent ? std::optional(value) : std::nullopt;
    }
    bool isValid() const { return isValid_; }
    bool isAtEnd() const { return rest_.empty(); }

private:
    std::string_view next()
    {
        const std::size_t end = std::min(rest_.find(' '), rest_.size());
        const std::string_view field = rest_.substr(0, end);
        rest_.remove_prefix(std::min(end + 1, rest_.size()));
        isValid_ = isValid_ && !field.empty();
        return field;
    }

    std::string_view rest_;
    bool isValid_ = true;
};

tl::unexpected<Error> invalidHopHeader()
{
    return fail(ErrorKind::InvalidMessage, "a header between nodes cannot be parsed",
                "check that all nodes run the same version");
}

} // namespace detail

std::string encodeHopRequest(const HopRequest &request)
{
    detail::FieldWriter writer;
    writer.text(request.run.value()).text(request.server.value()).text(request.service.value());
    writer.text(request.callerService.value()).number(request.rank);
    writer.number(request.isIdempotent ? 1 : 0).number(request.isResumed ? 1 : 0);
    writer.number(static_cast<std::uint64_t>(request.objective.count()));
    writer.number(static_cast<std::uint64_t>(request.objectiveLeft.count()));
    writer.text(request.route.value()).number(request.mayHandBack ? 1 : 0);
    writer.rate(request.knownLimit).text(request.customer.value());
    return writer.finish();
}

Result<HopRequest> decodeHopRequest(std::string_view text)
{
    detail::FieldReader reader(text);
    HopRequest request;
    request.run = NodeId(reader.text());
    request.server = ServerId(reader.text());
    request.service = ServiceId(reader.text());
    request.callerService = ServiceId(reader.text());
    request.rank = static_cast<std::uint32_t>(reader.number());
    request.isIdempotent = reader.number() != 0;
    request.isResumed = reader.number() != 0;
    request.objective = Milliseconds(reader.number());
    request.objectiveLeft = Milliseconds(reader.number());
    request.route = RouteId(reader.text());
    // The remaining fields are absent in calls of earlier versions of the node.
    request.mayHandBack = !reader.isAtEnd() && reader.number() != 0;
    if (!reader.isAtEnd())
        request.knownLimit = reader.rate();
    if (!reader.isAtEnd())
        request.customer = CustomerId(reader.text());
    if (!reader.isValid())
        return detail::invalidHopHeader();
    return request;
}

std::string_view hopReasonName(HopReason reason)
{
    return detail::reasonNames[static_cast<std::size_t>(reason)];
}

std::string encodeHopResponse(const HopResponse &response)
{
    const HostReport &report = response.report;
    detail::FieldWriter writer;
    writer.number(static_cast<std::uint64_t>(response.result));
    writer.number(static_cast<std::uint64_t>(response.reason));
    writer.text(response.run.value());
    writer.number(report.running).number(report.waiting).number(report.slots);
    writer.number(static_cast<std::uint64_t>(report.wait.count()));
    writer.fraction(report.relativeWork).fraction(report.failureShare);
    const ServerCounters &counters = report.counters;
    writer.number(counters.answers).number(counters.failures).number(counters.timed);
    writer.number(counters.late).fraction(counters.relativeWork);
    writer.number(response.configuration.value());
    writer.rate(report.notice.limit).fraction(report.demand.perSecond());
    writer.number(static_cast<std::uint64_t>(report.serverStartedAtMs));
    writer.number(report.notice.isLeaving ? 1 : 0);
    writer.number(counters.cold).number(counters.cutOff).number(counters.refused);
    writer.number(report.link.bytes).number(report.link.speed.bytesPerSecond());
    return writer.finish();
}

Result<HopResponse> decodeHopResponse(std::string_view text)
{
    detail::FieldReader reader(text);
    HopResponse response;
    const std::uint64_t result = reader.number();
    const std::uint64_t reason = reader.number();
    response.run = NodeId(reader.text());
    HostReport &report = response.report;
    report.running = static_cast<std::uint32_t>(reader.number());
    report.waiting = static_cast<std::uint32_t>(reader.number());
    report.slots = static_cast<std::uint32_t>(reader.number());
    report.wait = Microseconds(reader.number());
    report.relativeWork = reader.fraction();
    report.failureShare = reader.fraction();
    ServerCounters &counters = report.counters;
    counters.answers = reader.number();
    counters.failures = reader.number();
    counters.timed = reader.number();
    counters.late = reader.number();
    counters.relativeWork = reader.fraction();
    response.configuration = Revision(reader.number());
    // The remaining fields are absent in responses of earlier versions of the node.
    if (!reader.isAtEnd()) {
        report.notice.limit = reader.rate();
        report.demand = CallRate(reader.fraction());
        report.serverStartedAtMs = static_cast<std::int64_t>(reader.number());
        report.notice.isLeaving = reader.number() != 0;
    }
    if (!reader.isAtEnd()) {
        counters.cold = reader.number();
        counters.cutOff = reader.number();
        counters.refused = reader.number();
    }
    if (!reader.isAtEnd()) {
        report.link.bytes = reader.number();
        report.link.speed = LinkSpeed(reader.number());
    }
    if (!reader.isValid() || result > static_cast<std::uint64_t>(HopResult::Unknown)
        || reason >= detail::reasonNames.size())
        return detail::invalidHopHeader();
    response.result = static_cast<HopResult>(result);
    response.reason = static_cast<HopReason>(reason);
    return response;
}

} // namespace cornelhead
