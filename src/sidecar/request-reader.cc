// Implements the reading of requests over http_parser.
//
// http_parser checks the framing; field names and values are checked with the rest of the head
// before the request is passed on (`findRequestFault`).
#include "cornelhead/sidecar/request-reader.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include "cornelhead/proxy/message-head.h"

namespace cornelhead::detail {

namespace {

// What the list of headers allocates for each, beside its text.
constexpr std::size_t bytesPerHeader = 96;
// What a request takes however short it is.
constexpr std::size_t bytesPerRequest = 1024;

std::optional<evhttp_cmd_type> forwardedMethod(unsigned method)
{
    switch (method) {
    case HTTP_GET:
        return EVHTTP_REQ_GET;
    case HTTP_POST:
        return EVHTTP_REQ_POST;
    case HTTP_PUT:
        return EVHTTP_REQ_PUT;
    case HTTP_DELETE:
        return EVHTTP_REQ_DELETE;
    case HTTP_HEAD:
        return EVHTTP_REQ_HEAD;
    case HTTP_PATCH:
        return EVHTTP_REQ_PATCH;
    default:
        return std::nullopt;
    }
}

} // namespace

struct RequestReader::Callbacks
{
    static RequestReader &reader(http_parser *parser)
    {
        return *static_cast<RequestReader *>(parser->data);
    }

    static http_parser_settings make()
    {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_message_begin = [](http_parser *parser) {
            reader(parser).request_ = std::make_unique<ReceivedRequest>();
            return 0;
        };
        settings.on_url = [](http_parser *parser, const char *at, std::size_t size) {
            reader(parser).request_->uri.append(at, size);
            return 0;
        };
        settings.on_header_field = [](http_parser *parser, const char *at, std::size_t size) {
            return reader(parser).onFieldName({at, size});
        };
        settings.on_header_value = [](http_parser *parser, const char *at, std::size_t size) {
            return reader(parser).onFieldValue({at, size});
        };
        settings.on_headers_complete
                = [](http_parser *parser) { return reader(parser).onHeadRead(); };
        settings.on_body = [](http_parser *parser, const char *at, std::size_t size) {
            return reader(parser).onBody({at, size});
        };
        settings.on_message_complete = [](http_parser *parser) {
            reader(parser).isComplete_ = true;
            http_parser_pause(parser, 1);
            return 0;
        };
        return settings;
    }
};

RequestReader::RequestReader(std::size_t maxBodyBytes) : maxBodyBytes_(maxBodyBytes)
{
    http_parser_init(&parser_, HTTP_REQUEST);
    http_parser_set_max_header_size(maxHeadBytes);
    parser_.data = this;
}

std::size_t RequestReader::feed(std::string_view bytes)
{
    static const http_parser_settings settings = Callbacks::make();
    if (fault_ || isComplete_ || bytes.empty())
        return 0;
    input_ = bytes;
    const std::size_t consumed
            = http_parser_execute(&parser_, &settings, bytes.data(), bytes.size());
    input_ = {};
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (error == HPE_PAUSED)
        http_parser_pause(&parser_, 0);
    else if (error != HPE_OK && !fault_)
        fault_ = error == HPE_HEADER_OVERFLOW ? ReadFault::TooLarge : ReadFault::Malformed;
    if (fault_)
        request_.reset();
    return consumed;
}

std::unique_ptr<ReceivedRequest> RequestReader::takeRequest()
{
    if (!std::exchange(isComplete_, false))
        return nullptr;
    isHeadRead_ = false;
    isContinueExpected_ = false;
    bodyBytes_ = 0;
    return std::move(request_);
}

std::size_t RequestReader::heldBytes() const
{
    return request_ ? request_->headBytes + bodyBytes_ + bytesPerRequest : 0;
}

int RequestReader::failWith(ReadFault fault)
{
    fault_ = fault;
    return -1;
}

void RequestReader::addHeader()
{
    if (fieldName_.empty())
        return;
    fieldValue_.erase(fieldValue_.find_last_not_of(" \t") + 1);
    evhttp_add_header(&request_->headers, fieldName_.c_str(), fieldValue_.c_str());
    request_->headBytes += fieldName_.size() + fieldValue_.size() + bytesPerHeader;
    fieldName_.clear();
    fieldValue_.clear();
}

int RequestReader::onFieldName(std::string_view part)
{
    // Trailers are dropped.
    if (isHeadRead_)
        return 0;
    // A part of the name that began the value's line is the first one of the next field.
    if (isValueEnded_)
        addHeader();
    isValueEnded_ = false;
    fieldName_.append(part);
    return 0;
}

int RequestReader::onFieldValue(std::string_view part)
{
    if (isHeadRead_)
        return 0;
    if (isValueEnded_)
        return failWith(ReadFault::Malformed);
    fieldValue_.append(part);
    isValueEnded_ = part.data() + part.size() != input_.data() + input_.size();
    return 0;
}

int RequestReader::onHeadRead()
{
    addHeader();
    isValueEnded_ = false;
    isHeadRead_ = true;
    const auto method = forwardedMethod(parser_.method);
    if (parser_.http_major != 1)
        return failWith(ReadFault::Malformed);
    if (!method)
        return failWith(ReadFault::UnknownMethod);
    const bool hasLength = (parser_.flags & F_CONTENTLENGTH) != 0;
    if (hasLength && parser_.content_length > maxBodyBytes_)
        return failWith(ReadFault::TooLarge);
    // The connection stays one of HTTP.
    parser_.upgrade = 0;
    request_->method = *method;
    request_->headBytes += request_->uri.size() + bytesPerRequest;
    request_->isOldVersion = parser_.http_minor == 0;
    request_->keepsConnection = http_should_keep_alive(&parser_) != 0;
    isContinueExpected_ = !request_->isOldVersion
            && isSameHeader(findHeader(&request_->headers, "Expect"), "100-continue");
    return 0;
}

int RequestReader::onBody(std::string_view part)
{
    bodyBytes_ += part.size();
    if (bodyBytes_ > maxBodyBytes_)
        return failWith(ReadFault::TooLarge);
    evbuffer_add(request_->body.get(), part.data(), part.size());
    return 0;
}

} // namespace cornelhead::detail
