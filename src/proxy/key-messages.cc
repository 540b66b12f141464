// Encodes and decodes the messages between homes of keys.
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
                std::string("a message between nodes is broken: ") + what,
                "run nodes of versions that work together");
}

std::string encode(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

// Runs `read` on the decoded message; a field that is missing or of another type is an error.
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

// Bodies and header values need not be UTF-8.
Json encodeBytes(const std::string &text)
{
    return Json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}

std::string decodeBytes(const Json &json)
{
    const auto &bytes = json.get_binary();
    return {bytes.begin(), bytes.end()};
}

Json encodeResponse(const RememberedAnswer &answer)
{
    Json headers = Json::array();
    for (const HeaderField &field : answer.headers)
        headers.push_back({encodeBytes(field.name), encodeBytes(field.value)});
    return {{"status", answer.status},
            {"phrase", encodeBytes(answer.phrase)},
            {"headers", std::move(headers)},
            {"body", encodeBytes(answer.body)}};
}

std::shared_ptr<const RememberedAnswer> decodeResponse(const Json &json)
{
    auto answer = std::make_shared<RememberedAnswer>();
    answer->status = json.at("status").get<int>();
    answer->phrase = decodeBytes(json.at("phrase"));
    for (const Json &field : json.at("headers"))
        answer->headers.push_back({decodeBytes(field.at(0)), decodeBytes(field.at(1))});
    answer->body = decodeBytes(json.at("body"));
    return answer;
}

Json encodeKey(const RememberedKey &known, std::size_t &answerBytes)
{
    Json json = {{"key", encodeBytes(known.key.value())},
                 {"request", known.request.value()},
                 {"answered", known.isAnswered}};
    if (!known.answer || answerBytes + known.answer->bytes() > maxStoredResponseBytes)
        return json;
    answerBytes += known.answer->bytes();
    json["answer"] = encodeResponse(*known.answer);
    return json;
}

RememberedKey decodeKey(const Json &json)
{
    RememberedKey known;
    known.key = CallKey(decodeBytes(json.at("key")));
    known.request = readId<DigestTag>(json, "request");
    known.isAnswered = json.at("answered").get<bool>();
    if (json.contains("answer"))
        known.answer = decodeResponse(json.at("answer"));
    return known;
}

} // namespace

std::string encodeReleaseRequest(const ReleaseRequest &question)
{
    Json json = {{"key", encodeBytes(question.call.key.value())},
                 {"request", question.call.request.value()},
                 {"successor", question.successor.value()}};
    if (question.call.birthMs)
        json["birth"] = *question.call.birthMs;
    return encode(json);
}

Result<ReleaseRequest> decodeReleaseRequest(std::string_view bytes)
{
    return decode<ReleaseRequest>(bytes, [](const Json &json) {
        ReleaseRequest question;
        question.call.key = CallKey(decodeBytes(json.at("key")));
        question.call.request = readId<DigestTag>(json, "request");
        question.successor = readId<NodeTag>(json, "successor");
        if (json.contains("birth"))
            question.call.birthMs = json.at("birth").get<std::int64_t>();
        return question;
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
    return invalidMessage("there is no such release");
}

std::string encodeRetirement(const Retirement &retirement)
{
    std::size_t answerBytes = 0;
    Json keys = Json::array();
    for (const RememberedKey &known : retirement.keys)
        keys.push_back(encodeKey(known, answerBytes));
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
