// Parses call mixes and classifies responses.
#include "cornelhead/standin/load-mix.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <sstream>

namespace cornelhead {
namespace detail {

tl::unexpected<Error> invalidCall(std::string_view line)
{
    return fail(ErrorKind::InvalidSetting, "'" + std::string(line) + "' is not a valid call",
                "write GET|POST customer service /path weight "
                "[bytes=N] [chain=service/path,...] [poison]");
}

bool parseOption(const std::string &option, CallKind &kind)
{
    if (option == "poison") {
        kind.isPoisoned = true;
        return true;
    }
    if (option.rfind("chain=", 0) == 0) {
        kind.chain = option.substr(6);
        return !kind.chain.empty();
    }
    if (option.rfind("bytes=", 0) != 0)
        return false;
    const char *end = option.data() + option.size();
    const auto [stop, error] = std::from_chars(option.data() + 6, end, kind.responseBytes);
    return error == std::errc() && stop == end;
}

} // namespace detail

Result<CallKind> parseCallKind(std::string_view line)
{
    std::istringstream in{std::string(line)};
    std::string method;
    std::string customer;
    std::string service;
    CallKind kind;
    in >> method >> customer >> service >> kind.path >> kind.weight;
    const bool hasMethod = method == "GET" || method == "POST";
    if (!in || !hasMethod || kind.path.front() != '/' || !(kind.weight > 0))
        return detail::invalidCall(line);
    kind.method = method == "GET" ? HttpMethod::Get : HttpMethod::Post;
    kind.customer = CustomerId(customer);
    kind.service = ServiceId(service);
    for (std::string option; in >> option;) {
        if (!detail::parseOption(option, kind))
            return detail::invalidCall(line);
    }
    return kind;
}

Result<std::vector<CallKind>> parseMix(std::string_view text)
{
    std::vector<CallKind> mix;
    std::istringstream lines{std::string(text)};
    for (std::string line; std::getline(lines, line);) {
        line = line.substr(0, line.find('#'));
        if (line.find_first_not_of(" \t\r") == std::string::npos)
            continue;
        Result<CallKind> kind = parseCallKind(line);
        if (!kind)
            return tl::unexpected(kind.error());
        mix.push_back(std::move(*kind));
    }
    return mix;
}

const CallKind &drawKind(const std::vector<CallKind> &mix, Random &random)
{
    double total = 0;
    for (const CallKind &kind : mix)
        total += kind.weight;
    double remaining = random.unit() * total;
    for (const CallKind &kind : mix) {
        remaining -= kind.weight;
        if (remaining < 0)
            return kind;
    }
    return mix.back();
}

std::string makeIdempotencyKey(std::int64_t wallClockMs, Random &random)
{
    const auto time = static_cast<std::uint64_t>(wallClockMs);
    const std::uint64_t high = random.engine()();
    const std::uint64_t low = random.engine()();
    std::array<char, 37> text{};
    std::snprintf(text.data(), text.size(), "%08x-%04x-7%03x-%04x-%012llx",
                  static_cast<unsigned>(time >> 16), static_cast<unsigned>(time & 0xffff),
                  static_cast<unsigned>(high & 0xfff),
                  static_cast<unsigned>(0x8000 | ((high >> 12) & 0x3fff)),
                  static_cast<unsigned long long>(low & 0xffffffffffffULL));
    return text.data();
}

AttemptResult classifyAttempt(const ExpectedResponse &expected,
                              const Result<HttpResponse> &response)
{
    if (!response) {
        return response.error().kind == ErrorKind::Unavailable ? AttemptResult::Unreachable
                                                               : AttemptResult::Broken;
    }
    if (response->status >= 200 && response->status < 300)
        return isExpectedResponse(expected, response->body) ? AttemptResult::Correct
                                                            : AttemptResult::Wrong;
    const auto run = response->headers.find("Cornelhead-Run");
    if (run != response->headers.end() && run->second == "not-run")
        return AttemptResult::NotRun;
    if (run != response->headers.end() && run->second == "unknown")
        return AttemptResult::Unknown;
    return response->headers.contains("Cornelhead-Server") ? AttemptResult::Failed
                                                           : AttemptResult::Broken;
}

} // namespace cornelhead
