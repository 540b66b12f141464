// Encodes and decodes the messages for the handover of keys.
#include "cornelhead/proxy/key-messages.h"

#include <array>

#include <nlohmann/json.hpp>

namespace cornelhead::detail {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxStoredResponseBytes = 2 * 1024 * 1024;
constexpr std::array<std::string_view, 3> releaseNames = {"granted", "known", "refused"};

tl::unexpected<Error> invalidMessage(const char *what)
{
    return fail(ErrorKind::InvalidMessage,
                std::string("cannot decode a message from another node: ") + what,
                "run compatible versions on all nodes");
}

std::string encode(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

// Runs `read` on the decoded message; a missing field or a wrong type is an error.
template <typename T, typename Read>
Result<T> decode(std::string_view bytes, const Read &read)
{
    try {
        const Json json = Json::from_cbor(bytes);
        return read(json);
    } catch (const Json::exception &error) {
        return invalidMessage(error.what());
    }
}

template <typename Tag>
Id<Tag> readId(const Json &json, const char *name)
{
    return Id<Tag>(json.at(name).get<std::string>());
}

Json encodeNodes(const std::vector<NodeId> &nodes)
{
    Json list = Json::array();
    for (const NodeId &node : nodes)
        list.push_back(node.value());
    return list;
}

std::vector<NodeId> decodeNodes(const Json &list)
{
    std::vector<NodeId> nodes;
    for (const Json &node : list)
        nodes.emplace_back(node.get<std::string>());
    return nodes;
}

// Encoded as binary, as bodies and header values need not be UTF-8.
Json encodeBytes(const std::string &text)
{
    return Json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}

std::string decodeBytes(const Json &json)
{
    const auto &bytes = json.get_binary();
    return {bytes.begin(), bytes.end()};
}

Json encodeResponse(const StoredResponse &response)
{
    Json headers = Json::array();
    for (const HeaderField &field : response.headers)
        headers.push_back({encodeBytes(field.name), encodeBytes(field.value)});
    return {{"status", response.status},
            {"phrase", encodeBytes(response.phrase)},
            {"headers", std::move(headers)},
            {"body", encodeBytes(response.body)}};
}

std::shared_ptr<const StoredResponse> decodeResponse(const Json &json)
{
    auto response = std::make_shared<StoredResponse>();
    response->status = json.at("status").get<int>();
    response->phrase = decodeBytes(json.at("phrase"));
    for (const Json &field : json.at("headers"))
        response->headers.push_back({decodeBytes(field.at(0)), decodeBytes(field.at(1))});
    response->body = decodeBytes(json.at("body"));
    return response;
}

Json encodeKey(const FinishedKey &finished, std::size_t &answerBytes)
{
    Json json = {{"key", encodeBytes(finished.key.value())},
                 {"request", finished.request.value()},
                 {"answered", finished.isAnswered}};
    if (!finished.answer || answerBytes + finished.answer->bytes() > maxStoredResponseBytes)
        return json;
    answerBytes += finished.answer->bytes();
    json["answer"] = encodeResponse(*finished.answer);
    return json;
}

FinishedKey decodeKey(const Json &json)
{
    FinishedKey finished;
    finished.key = CallKey(decodeBytes(json.at("key")));
    finished.request = readId<DigestTag>(json, "request");
    finished.isAnswered = json.at("answered").get<bool>();
    if (json.contains("answer"))
        finished.answer = decodeResponse(json.at("answer"));
    return finished;
}

} // namespace

std::string encodeReleaseRequest(const ReleaseRequest &request)
{
    Json json = {{"key", encodeBytes(request.call.key.value())},
                 {"request", request.call.request.value()},
                 {"successor", request.successor.value()}};
    if (request.call.createdAtMs)
        json["birth"] = *request.call.createdAtMs;
    return encode(json);
}

Result<ReleaseRequest> decodeReleaseRequest(std::string_view bytes)
{
    return decode<ReleaseRequest>(bytes, [](const Json &json) {
        ReleaseRequest request;
        request.call.key = CallKey(decodeBytes(json.at("key")));
        request.call.request = readId<DigestTag>(json, "request");
        request.successor = readId<NodeTag>(json, "successor");
        if (json.contains("birth"))
            request.call.createdAtMs = json.at("birth").get<std::int64_t>();
        return request;
    });
}

std::string_view releaseName(Release release)
{
    return releaseNames.at(static_cast<std::size_t>(release));
}

Result<Release> parseRelease(std::string_view name)
{
    for (std::size_t i = 0; i < releaseNames.size(); ++i) {
        if (releaseNames[i] == name)
            return static_cast<Release>(i);
    }
    return invalidMessage("unknown release");
}

std::string encodeRetirement(const Retirement &retirement)
{
    std::size_t answerBytes = 0;
    Json keys = Json::array();
    for (const FinishedKey &finished : retirement.keys)
        keys.push_back(encodeKey(finished, answerBytes));
    return encode({{"node", retirement.node.value()},
                   {"members", encodeNodes(retirement.members)},
                   {"keys", std::move(keys)}});
}

Result<Retirement> decodeRetirement(std::string_view bytes)
{
    return decode<Retirement>(bytes, [](const Json &json) {
        Retirement retirement;
        retirement.node = readId<NodeTag>(json, "node");
        retirement.members = decodeNodes(json.at("members"));
        for (const Json &key : json.at("keys"))
            retirement.keys.push_back(decodeKey(key));
        return retirement;
    });
}

std::string encodeRetiredNotice(const RetiredNotice &notice)
{
    return encode({{"node", notice.node.value()}, {"members", encodeNodes(notice.members)}});
}

Result<RetiredNotice> decodeRetiredNotice(std::string_view bytes)
{
    return decode<RetiredNotice>(bytes, [](const Json &json) {
        return RetiredNotice{readId<NodeTag>(json, "node"), decodeNodes(json.at("members"))};
    });
}

} // namespace cornelhead::detail
