// Implements the parsing and validation of request heads.
#include "cornelhead/proxy/request-head.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace cornelhead::detail {

namespace {

constexpr std::array hopByHopHeaders
        = {"Connection", "Keep-Alive",     "Proxy-Connection",   "Proxy-Authenticate",
           "TE",         "Trailer",        "Transfer-Encoding",  "Upgrade",
           "Expect",     "Content-Length", "Proxy-Authorization"};

// Replaced by each hop, or exchanged only between nodes.
constexpr std::array hopOnlyHeaders
        = {deadlineHeader, depthHeader, homeHeader,     formerHomeHeader,
           refusalHeader,  deathHeader, respondedHeader};

template <std::size_t N>
bool contains(const std::array<const char *, N> &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(),
                       [&](const char *entry) { return isSameHeader(entry, name); });
}

// Returns whether the value of a Connection header lists `name` as a hop-by-hop header.
bool isListedIn(std::string_view connection, std::string_view name)
{
    std::size_t begin = 0;
    while (begin < connection.size()) {
        const std::size_t end = std::min(connection.find(',', begin), connection.size());
        std::string_view token = connection.substr(begin, end - begin);
        while (!token.empty() && token.front() == ' ')
            token.remove_prefix(1);
        while (!token.empty() && token.back() == ' ')
            token.remove_suffix(1);
        if (isSameHeader(token, name))
            return true;
        begin = end + 1;
    }
    return false;
}

bool isListedByConnection(const evkeyvalq *headers, std::string_view name)
{
    for (const evkeyval *entry = headers->tqh_first; entry; entry = entry->next.tqe_next) {
        if (isSameHeader(entry->key, "Connection") && isListedIn(entry->value, name))
            return true;
    }
    return false;
}

template <typename Visitor>
void visitEndToEndHeaders(const evkeyvalq *from, const Visitor &visit)
{
    const bool hasConnection = evhttp_find_header(from, "Connection");
    for (const evkeyval *entry = from->tqh_first; entry; entry = entry->next.tqe_next) {
        const std::string_view name = entry->key;
        if (contains(hopByHopHeaders, name) || contains(hopOnlyHeaders, name))
            continue;
        if (hasConnection && isListedByConnection(from, name))
            continue;
        visit(*entry);
    }
}

bool isNumber(std::string_view text)
{
    return !text.empty() && text.size() < 10
            && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::uint32_t parseNumber(std::string_view text)
{
    std::uint32_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

// Reads the deadline and the depth; returns false when either is malformed.
bool readNumbers(const evkeyvalq *headers, RequestHead &head)
{
    const std::string_view deadline = findHeader(headers, deadlineHeader);
    const std::string_view depth = findHeader(headers, depthHeader);
    if (!deadline.empty()) {
        if (!isNumber(deadline))
            return false;
        head.deadline = Milliseconds(parseNumber(deadline));
    }
    if (!depth.empty()) {
        if (!isNumber(depth))
            return false;
        head.depth = parseNumber(depth);
    }
    return true;
}

} // namespace

tl::expected<RequestHead, RefusalReason> readRequestHead(evhttp_request *request)
{
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *path = uri ? evhttp_uri_get_path(uri) : nullptr;
    RequestHead head;
    if (!path || path[0] != '/' || findRequestFault(headers, {customerHeader, idempotencyKeyHeader})
        || !readNumbers(headers, head))
        return tl::make_unexpected(RefusalReason::BadRequest);
    head.path = path;
    head.query = evhttp_uri_get_query(uri);
    head.customer = findHeader(headers, customerHeader);
    head.key = findHeader(headers, idempotencyKeyHeader);
    head.home = findHeader(headers, homeHeader);
    head.formerHome = findHeader(headers, formerHomeHeader);
    head.refusal = findHeader(headers, refusalHeader);
    head.death = findHeader(headers, deathHeader);
    head.responded = findHeader(headers, respondedHeader);
    if (head.key.size() > maxKeyBytes)
        return tl::make_unexpected(RefusalReason::BadRequest);
    if (head.depth >= maxHops)
        return tl::make_unexpected(RefusalReason::TooDeep);
    return head;
}

std::string_view bodyOf(const RequestView &request)
{
    evbuffer *body = request.body;
    const std::size_t size = evbuffer_get_length(body);
    const auto *bytes
            = reinterpret_cast<const char *>(evbuffer_pullup(body, static_cast<ev_ssize_t>(size)));
    return bytes ? std::string_view(bytes, size) : std::string_view();
}

Fingerprint requestFingerprint(evhttp_request *request)
{
    return fingerprintOf(std::to_string(evhttp_request_get_command(request)),
                         evhttp_request_get_uri(request), bodyOf(request));
}

Fingerprint hostRequestFingerprint(const RequestView &request)
{
    std::string target(findHeader(request.headers, "Host"));
    target.append(request.uri);
    return fingerprintOf(std::to_string(request.method), target, bodyOf(request));
}

void copyEndToEndHeaders(const evkeyvalq *from, evkeyvalq *to)
{
    visitEndToEndHeaders(
            from, [to](const evkeyval &entry) { evhttp_add_header(to, entry.key, entry.value); });
}

void appendEndToEndHeaders(const evkeyvalq *from, std::string &to)
{
    visitEndToEndHeaders(from, [&to](const evkeyval &entry) {
        to.append(entry.key).append(": ").append(entry.value).append("\r\n");
    });
}

} // namespace cornelhead::detail
