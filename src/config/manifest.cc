// Encodes and decodes manifests as JSON.
#include "cornelhead/config/manifest.h"

#include <algorithm>
#include <exception>

#include <nlohmann/json.hpp>

namespace cornelhead {
namespace detail {

using Json = nlohmann::json;

constexpr std::size_t digestLength = 32;

bool isDigest(const std::string &text)
{
    return text.size() == digestLength
            && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

// Throws out_of_range for malformed text, or an exception of the JSON library.
Digest readDigest(const Json &json)
{
    std::string text = json.get<std::string>();
    if (!isDigest(text))
        throw std::out_of_range("malformed digest");
    return Digest(std::move(text));
}

std::uint64_t readRevision(const Json &json)
{
    if (!json.is_number_unsigned())
        throw std::out_of_range("the revision is not an unsigned integer");
    return json.get<std::uint64_t>();
}

Manifest readManifest(const Json &json)
{
    Manifest manifest;
    manifest.revision = Revision(readRevision(json.at("revision")));
    manifest.edit = EditId(json.at("edit").get<std::string>());
    manifest.author = json.at("author").get<std::string>();
    manifest.acceptedAtMs = json.at("acceptedAtMs").get<std::int64_t>();
    manifest.digest = readDigest(json.at("digest"));
    for (const Json &chunk : json.at("chunks"))
        manifest.chunks.push_back(readDigest(chunk));
    return manifest;
}

} // namespace detail

std::string encodeManifest(const Manifest &manifest)
{
    detail::Json chunks = detail::Json::array();
    for (const Digest &chunk : manifest.chunks)
        chunks.push_back(chunk.value());
    const detail::Json json = {{"revision", manifest.revision.value()},
                               {"edit", manifest.edit.value()},
                               {"author", manifest.author},
                               {"acceptedAtMs", manifest.acceptedAtMs},
                               {"digest", manifest.digest.value()},
                               {"chunks", std::move(chunks)}};
    return json.dump(-1, ' ', false, detail::Json::error_handler_t::replace);
}

Result<Manifest> decodeManifest(std::string_view bytes)
{
    try {
        return detail::readManifest(detail::Json::parse(bytes));
    } catch (const std::exception &error) {
        return fail(ErrorKind::InvalidMessage, std::string("malformed manifest: ") + error.what(),
                    "apply the declarations again with the cornelheadctl of the nodes' release");
    }
}

} // namespace cornelhead
