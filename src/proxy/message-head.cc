// Implements the checks of message heads.
#include "cornelhead/proxy/message-head.h"

#include <algorithm>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>

namespace cornelhead::detail {

namespace {

constexpr std::array<std::string_view, headFaultCount> faultNames = {
        "status-code", "reason-phrase", "field-name", "field-value", "framing", "repeated-field"};

constexpr int minFinalStatus = 200;
constexpr int maxStatus = 599;
constexpr int noContent = 204;

// Bodies of requests are limited to far less, those of streamed responses are not.
constexpr std::size_t maxRequestLengthDigits = 9;
constexpr std::size_t maxResponseLengthDigits = 18;

bool isTokenByte(char c)
{
    const bool isAlphanumeric
            = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    return isAlphanumeric || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isToken(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), isTokenByte);
}

bool isControl(char c)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteByte = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return (byte < firstPrintable && c != '\t') || byte == deleteByte;
}

bool isText(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), isControl);
}

bool isLength(std::string_view text, std::size_t maxDigits)
{
    return !text.empty() && text.size() <= maxDigits
            && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

bool isZero(std::string_view length)
{
    return std::all_of(length.begin(), length.end(), [](char c) { return c == '0'; });
}

// The fields that state the length of the body.
struct Framing
{
    int lengths = 0;
    int encodings = 0;
    bool isValid = true;
    bool isEmpty = true;

    void add(const evkeyval &entry, std::size_t maxLengthDigits)
    {
        if (isSameHeader(entry.key, "Content-Length")) {
            ++lengths;
            isValid = isValid && isLength(entry.value, maxLengthDigits);
            isEmpty = isEmpty && isZero(entry.value);
        }
        if (isSameHeader(entry.key, "Transfer-Encoding")) {
            ++encodings;
            isValid = isValid && isSameHeader(entry.value, "chunked");
            isEmpty = false;
        }
    }

    bool isUnambiguous() const { return isValid && lengths + encodings <= 1; }
};

std::optional<HeadFault> findFieldFault(const evkeyvalq *headers)
{
    for (const evkeyval *entry = headers->tqh_first; entry; entry = entry->next.tqe_next) {
        if (!isToken(entry->key))
            return HeadFault::FieldName;
        if (!isText(entry->value))
            return HeadFault::FieldValue;
    }
    return std::nullopt;
}

Framing readFraming(const evkeyvalq *headers, std::size_t maxLengthDigits)
{
    Framing framing;
    for (const evkeyval *entry = headers->tqh_first; entry; entry = entry->next.tqe_next)
        framing.add(*entry, maxLengthDigits);
    return framing;
}

bool isRepeated(const evkeyvalq *headers, std::string_view name)
{
    int count = 0;
    for (const evkeyval *entry = headers->tqh_first; entry; entry = entry->next.tqe_next)
        count += isSameHeader(entry->key, name) ? 1 : 0;
    return count > 1;
}

} // namespace

std::string_view headFaultName(HeadFault fault)
{
    return faultNames[static_cast<std::size_t>(fault)];
}

std::optional<HeadFault> findRequestFault(const evkeyvalq *headers,
                                          std::initializer_list<const char *> singleFields)
{
    if (const auto fault = findFieldFault(headers))
        return fault;
    if (!readFraming(headers, maxRequestLengthDigits).isUnambiguous())
        return HeadFault::Framing;
    const bool hasRepeatedField = isRepeated(headers, "Host")
            || std::any_of(singleFields.begin(), singleFields.end(),
                           [headers](const char *name) { return isRepeated(headers, name); });
    return hasRepeatedField ? std::optional(HeadFault::RepeatedField) : std::nullopt;
}

std::optional<HeadFault> findResponseFault(evhttp_request *response)
{
    const int status = evhttp_request_get_response_code(response);
    if (status < minFinalStatus || status > maxStatus)
        return HeadFault::StatusCode;
    const char *phrase = evhttp_request_get_response_code_line(response);
    if (phrase && !isText(phrase))
        return HeadFault::ReasonPhrase;
    const evkeyvalq *headers = evhttp_request_get_input_headers(response);
    if (const auto fault = findFieldFault(headers))
        return fault;
    const Framing framing = readFraming(headers, maxResponseLengthDigits);
    if (!framing.isUnambiguous() || (status == noContent && !framing.isEmpty))
        return HeadFault::Framing;
    return std::nullopt;
}

bool isSameHeader(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
            && evutil_ascii_strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view findHeader(const evkeyvalq *headers, const char *name)
{
    const char *value = evhttp_find_header(headers, name);
    return value ? std::string_view(value) : std::string_view();
}

void removeHeader(evkeyvalq *headers, const char *name)
{
    while (evhttp_remove_header(headers, name) == 0) { }
}

void setHeader(evkeyvalq *headers, const char *name, const std::string &value)
{
    removeHeader(headers, name);
    evhttp_add_header(headers, name, value.c_str());
}

bool hasOnlyValue(const evkeyvalq *headers, std::string_view name, std::string_view value)
{
    bool isPresent = false;
    for (const evkeyval *entry = headers->tqh_first; entry; entry = entry->next.tqe_next) {
        if (!isSameHeader(entry->key, name))
            continue;
        if (value != entry->value)
            return false;
        isPresent = true;
    }
    return isPresent;
}

} // namespace cornelhead::detail
