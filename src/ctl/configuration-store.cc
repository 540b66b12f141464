// Reads and replaces the configuration in the platform's store.
#include "cornelhead/ctl/configuration-store.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "cornelhead/base/check.h"
#include "cornelhead/base/digest.h"
#include "cornelhead/ctl/change-rules.h"
#include "cornelhead/ctl/move-store.h"

namespace cornelhead {
namespace detail {

// Attempts to write one key while responses are lost.
constexpr int maxWriteAttempts = 5;
// Attempts of an apply that restarts because the manifest's key was rewritten unchanged.
constexpr int maxApplyAttempts = 3;
// Keeps a manifest well below the platform's limit for a value.
constexpr std::size_t maxManifestBytes = 900 * 1024;

// Zero-padded, so that keys sort by revision.
std::string historyKey(Revision revision)
{
    std::array<char, 24> digits{};
    std::snprintf(digits.data(), digits.size(), "%020llu",
                  static_cast<unsigned long long>(revision.value()));
    return historyPrefix + std::string(digits.data());
}

std::string chunkKey(const Digest &digest)
{
    return chunkPrefix + digest.value();
}

tl::unexpected<Error> unknownOutcomeError(const std::string &what, const Error &cause)
{
    return fail(ErrorKind::Unknown, "unknown whether " + what + ": " + cause.describe(),
                "repeat the command; it changes nothing if the edit was accepted");
}

tl::unexpected<Error> concurrentEditError(const Manifest &winner)
{
    return fail(
            ErrorKind::Conflict,
            "revision " + std::to_string(winner.revision.value()) + " by " + winner.author
                    + " was accepted in the meantime",
            "review the changes with 'cornelheadctl diff', merge them into your declarations and "
            "apply again");
}

// Overwrites an existing chunk, which repairs corrupted bytes and gives the key a newer revision
// than in any listing that a concurrent prune acts on.
Result<void> rewriteChunk(const PlatformOperations &platform, const Chunk &chunk)
{
    const std::string key = chunkKey(chunk.digest);
    for (int i = 0; i < maxWriteAttempts; ++i) {
        const Result<std::optional<KeyValue>> found = platform.get(key);
        if (!found)
            return tl::unexpected<Error>(found.error());
        const ModRevision current = *found ? (*found)->modRevision : ModRevision();
        const Result<ModRevision> put = platform.put(key, chunk.bytes, {current});
        if (put)
            return {};
        if (put.error().kind != ErrorKind::Conflict && put.error().kind != ErrorKind::Unknown)
            return tl::unexpected<Error>(put.error());
    }
    return fail(ErrorKind::Unavailable, "chunk " + chunk.digest.value() + " could not be written",
                "repeat the command");
}

// Rewriting a chunk is idempotent, so every conflict or unknown outcome is followed by a rewrite.
Result<void> writeChunk(const PlatformOperations &platform, const Chunk &chunk)
{
    const Result<ModRevision> put = platform.put(chunkKey(chunk.digest), chunk.bytes, {});
    if (put)
        return {};
    if (put.error().kind == ErrorKind::Conflict || put.error().kind == ErrorKind::Unknown)
        return rewriteChunk(platform, chunk);
    return tl::unexpected<Error>(put.error());
}

// Accepted manifests are immutable, so concurrent writers of a history entry write the same value.
Result<void> writeHistory(const PlatformOperations &platform, const Manifest &manifest)
{
    const std::string key = historyKey(manifest.revision);
    for (int i = 0; i < maxWriteAttempts; ++i) {
        const Result<ModRevision> put = platform.put(key, encodeManifest(manifest), {});
        if (put || put.error().kind == ErrorKind::Conflict)
            return {};
        if (put.error().kind != ErrorKind::Unknown)
            return tl::unexpected<Error>(put.error());
    }
    return fail(ErrorKind::Unavailable, "the history could not be written", "repeat the command");
}

// Returns whether the edit of `desired` was accepted, from the manifest in force or the history.
Result<bool> wasAccepted(const PlatformOperations &platform, const Manifest &desired,
                         const std::optional<StoredManifest> &inForce)
{
    if (!inForce || inForce->manifest.revision < desired.revision)
        return false;
    if (inForce->manifest.revision == desired.revision)
        return inForce->manifest.edit == desired.edit;
    const Result<std::optional<KeyValue>> entry = platform.get(historyKey(desired.revision));
    if (!entry)
        return tl::unexpected<Error>(entry.error());
    if (!*entry)
        return false;
    const Result<Manifest> manifest = decodeManifest((*entry)->value);
    return manifest && manifest->edit == desired.edit;
}

enum class SwapResult {
    Accepted,
    KeyRewritten, ///< The key was rewritten with the same manifest.
};

// Replaces the manifest by compare-and-swap against the revision `base` of its key.
class ManifestSwap
{
public:
    ManifestSwap(const PlatformOperations &platform, const Manifest &desired, ModRevision base)
        : platform_(platform), desired_(desired), encoded_(encodeManifest(desired)),
          baseRevision_(base)
    { }

    Result<SwapResult> run()
    {
        for (int i = 0; i < maxWriteAttempts; ++i) {
            const Result<ModRevision> put = platform_.put(manifestKey, encoded_, {baseRevision_});
            if (put)
                return SwapResult::Accepted;
            hasUnknownOutcome_ = hasUnknownOutcome_ || put.error().kind == ErrorKind::Unknown;
            if (put.error().kind != ErrorKind::Conflict && put.error().kind != ErrorKind::Unknown)
                return finalError(put.error());
            const Result<std::optional<SwapResult>> resolved = resolveOutcome();
            if (!resolved)
                return finalError(resolved.error());
            if (*resolved)
                return **resolved;
        }
        return finalError(
                Error{ErrorKind::Unknown, "too many responses were lost", "repeat the command"});
    }

private:
    // Determines the outcome of a write that failed or whose response was lost.  Returns nothing if
    // the key is unchanged: the write may then be repeated, as at most one of the delayed and the
    // repeated write can succeed.
    Result<std::optional<SwapResult>> resolveOutcome()
    {
        const Result<std::optional<StoredManifest>> inForce = readManifest(platform_);
        if (!inForce)
            return tl::unexpected<Error>(inForce.error());
        const Result<bool> accepted = wasAccepted(platform_, desired_, *inForce);
        if (!accepted)
            return tl::unexpected<Error>(accepted.error());
        if (*accepted)
            return SwapResult::Accepted;
        const ModRevision current = *inForce ? (*inForce)->modRevision : ModRevision();
        if (current == baseRevision_)
            return std::optional<SwapResult>();
        // The key changed, so an earlier write that is still in flight can only fail.
        hasUnknownOutcome_ = false;
        if (*inForce && (*inForce)->manifest.revision.next() == desired_.revision)
            return SwapResult::KeyRewritten;
        if (!*inForce)
            return fail(ErrorKind::Conflict, "the manifest was removed in the meantime",
                        "find out why it was removed, then apply again");
        return concurrentEditError((*inForce)->manifest);
    }

    tl::unexpected<Error> finalError(const Error &error) const
    {
        if (hasUnknownOutcome_)
            return unknownOutcomeError("revision " + std::to_string(desired_.revision.value())
                                               + " was accepted",
                                       error);
        return tl::unexpected<Error>(error);
    }

    const PlatformOperations &platform_;
    const Manifest &desired_;
    std::string encoded_;
    ModRevision baseRevision_;
    // A write was sent whose outcome is not yet known.
    bool hasUnknownOutcome_ = false;
};

// Puts one set of declarations in force.
class ApplyOperation
{
public:
    ApplyOperation(const PlatformOperations &platform, const ApplyRequest &request)
        : platform_(platform), request_(request),
          encoded_(encodeDeclarations(request.declarations)), digest_(digestOf(encoded_)),
          chunks_(splitChunks(encoded_))
    { }

    Result<ApplyOutcome> run()
    {
        for (int i = 0; i < maxApplyAttempts; ++i) {
            const Result<bool> done = attempt();
            if (!done)
                return tl::unexpected<Error>(done.error());
            if (*done)
                return std::move(outcome_);
        }
        return fail(ErrorKind::Conflict, "the manifest's key was rewritten too often",
                    "wait until no prune is running, and apply again");
    }

private:
    // Returns false if the apply must restart because the manifest's key was rewritten.
    Result<bool> attempt()
    {
        Result<std::optional<StoredManifest>> inForce = readManifest(platform_);
        if (!inForce)
            return tl::unexpected<Error>(inForce.error());
        if (const Result<void> checked = checkBase(*inForce); !checked)
            return tl::unexpected<Error>(checked.error());
        if (*inForce && isRequested((*inForce)->manifest))
            return keepManifest(std::move((*inForce)->manifest));
        const Result<Manifest> desired = makeManifest(*inForce);
        if (!desired)
            return tl::unexpected<Error>(desired.error());
        if (const Result<void> written = writeChunksAndHistory(*inForce); !written)
            return tl::unexpected<Error>(written.error());
        return swap(*desired, *inForce ? (*inForce)->modRevision : ModRevision());
    }

    // Checks the configuration in force and whether the request may replace it.
    Result<void> checkBase(const std::optional<StoredManifest> &inForce)
    {
        if (!inForce)
            return checkExpectedRevision(inForce);
        const Result<Declarations> base = readDeclarationsOf(platform_, inForce->manifest);
        if (!base && base.error().kind != ErrorKind::InvalidMessage)
            return tl::unexpected<Error>(base.error());
        isBaseCorrupted_ = !base;
        if (isRequested(inForce->manifest))
            return {};
        if (Result<void> expected = checkExpectedRevision(inForce); !expected)
            return expected;
        // A corrupted base cannot be compared; the apply repairs it.
        if (!base)
            return {};
        const Result<MoveTable> moves = readMoves(platform_);
        if (!moves)
            return tl::unexpected<Error>(moves.error());
        return checkChange(*base, request_.declarations, *moves);
    }

    // The requested declarations are already in force; only rewrites corrupted chunks.
    Result<bool> keepManifest(Manifest manifest)
    {
        outcome_.manifest = std::move(manifest);
        if (!isBaseCorrupted_)
            return true;
        if (const Result<void> written = writeChunks({}); !written)
            return tl::unexpected<Error>(written.error());
        return true;
    }

    Result<bool> swap(const Manifest &desired, ModRevision base)
    {
        const Result<SwapResult> swapped = ManifestSwap(platform_, desired, base).run();
        if (!swapped)
            return resolveConflict(swapped.error());
        if (*swapped == SwapResult::KeyRewritten)
            return false;
        outcome_.manifest = desired;
        outcome_.isNew = true;
        return true;
    }

    // Concurrent applies of the same declarations both succeed.
    Result<bool> resolveConflict(const Error &error)
    {
        if (error.kind != ErrorKind::Conflict)
            return tl::unexpected<Error>(error);
        const Result<std::optional<StoredManifest>> inForce = readManifest(platform_);
        if (!inForce || !*inForce || !isRequested((*inForce)->manifest))
            return tl::unexpected<Error>(error);
        outcome_.manifest = (*inForce)->manifest;
        return true;
    }

    bool isRequested(const Manifest &manifest) const { return manifest.digest == digest_; }

    Result<void> checkExpectedRevision(const std::optional<StoredManifest> &inForce) const
    {
        const Revision current = inForce ? inForce->manifest.revision : Revision();
        if (!request_.expectedRevision || *request_.expectedRevision == current)
            return {};
        return fail(
                ErrorKind::Conflict,
                "revision " + std::to_string(current.value()) + " is in force, not "
                        + std::to_string(request_.expectedRevision->value()),
                "review the changes with 'cornelheadctl diff', merge them into your declarations "
                "and apply again");
    }

    Result<Manifest> makeManifest(const std::optional<StoredManifest> &inForce) const
    {
        const Result<Revision> revision = inForce
                ? Result<Revision>(inForce->manifest.revision.next())
                : firstUnusedRevision();
        if (!revision)
            return tl::unexpected<Error>(revision.error());
        Manifest manifest{*revision, request_.edit, request_.author, request_.nowMs, digest_, {}};
        for (const Chunk &chunk : chunks_)
            manifest.chunks.push_back(chunk.digest);
        if (encoded_.size() > maxDeclarationBytes
            || encodeManifest(manifest).size() > maxManifestBytes)
            return fail(ErrorKind::TooLarge, "the declarations are too large",
                        "declare fewer records, or name services rather than routes in plans");
        return manifest;
    }

    // Nodes never apply an older revision, so after a loss of the manifest revisions must not
    // restart at 1.  The lost manifest was not in the history yet, hence the second `next`.
    Result<Revision> firstUnusedRevision() const
    {
        const Result<Listing> history = platform_.list(historyPrefix);
        if (!history)
            return tl::unexpected<Error>(history.error());
        Revision newest;
        for (const KeyValue &entry : history->entries) {
            if (const Result<Manifest> manifest = decodeManifest(entry.value))
                newest = std::max(newest, manifest->revision);
        }
        return history->entries.empty() ? newest.next() : newest.next().next();
    }

    // Skips the chunks of the manifest in force: they are stored and prune never removes them.
    Result<void> writeChunksAndHistory(const std::optional<StoredManifest> &inForce)
    {
        std::set<Digest> storedChunks;
        if (inForce && !isBaseCorrupted_)
            storedChunks.insert(inForce->manifest.chunks.begin(), inForce->manifest.chunks.end());
        if (Result<void> written = writeChunks(std::move(storedChunks)); !written)
            return written;
        return inForce ? writeHistory(platform_, inForce->manifest) : Result<void>();
    }

    Result<void> writeChunks(std::set<Digest> storedChunks)
    {
        for (const Chunk &chunk : chunks_) {
            if (!storedChunks.insert(chunk.digest).second)
                continue;
            if (Result<void> written = writeChunk(platform_, chunk); !written)
                return written;
            ++outcome_.chunksWritten;
            outcome_.bytesWritten += chunk.bytes.size();
        }
        return {};
    }

    const PlatformOperations &platform_;
    const ApplyRequest &request_;
    const std::string encoded_;
    const Digest digest_;
    const std::vector<Chunk> chunks_;
    ApplyOutcome outcome_;
    // A chunk of the manifest in force is missing or corrupted.
    bool isBaseCorrupted_ = false;
};

} // namespace detail

Result<std::optional<StoredManifest>> readManifest(const PlatformOperations &platform)
{
    const Result<std::optional<KeyValue>> found = platform.get(manifestKey);
    if (!found)
        return tl::unexpected<Error>(found.error());
    if (!*found)
        return std::optional<StoredManifest>();
    Result<Manifest> manifest = decodeManifest((*found)->value);
    if (!manifest)
        return tl::unexpected<Error>(manifest.error());
    return StoredManifest{std::move(*manifest), (*found)->modRevision};
}

Result<Declarations> readDeclarationsOf(const PlatformOperations &platform,
                                        const Manifest &manifest)
{
    std::vector<Chunk> chunks;
    for (const Digest &digest : manifest.chunks) {
        Result<std::optional<KeyValue>> found = platform.get(detail::chunkKey(digest));
        if (!found)
            return tl::unexpected<Error>(found.error());
        if (*found)
            chunks.push_back({digest, std::move((*found)->value)});
    }
    const Result<std::string> joined = joinChunks(manifest, chunks);
    if (!joined)
        return tl::unexpected<Error>(joined.error());
    return decodeDeclarations(*joined);
}

Result<std::vector<Manifest>> readHistory(const PlatformOperations &platform)
{
    const Result<Listing> history = platform.list(historyPrefix);
    if (!history)
        return tl::unexpected<Error>(history.error());
    const Result<std::optional<StoredManifest>> inForce = readManifest(platform);
    if (!inForce)
        return tl::unexpected<Error>(inForce.error());
    std::vector<Manifest> manifests;
    for (const KeyValue &entry : history->entries) {
        Result<Manifest> manifest = decodeManifest(entry.value);
        if (!manifest)
            return tl::unexpected<Error>(manifest.error());
        manifests.push_back(std::move(*manifest));
    }
    const auto byRevision = [](const Manifest &left, const Manifest &right) {
        return left.revision < right.revision;
    };
    std::sort(manifests.begin(), manifests.end(), byRevision);
    // An edit between the two reads copies a manifest to the history; do not list it twice.
    if (*inForce
        && (manifests.empty() || manifests.back().revision < (*inForce)->manifest.revision))
        manifests.push_back((*inForce)->manifest);
    return manifests;
}

Result<std::vector<NodeRefusal>> readRefusals(const PlatformOperations &platform, Revision revision)
{
    const Result<std::optional<KeyValue>> found
            = platform.get(nackPrefix + std::to_string(revision.value()));
    if (!found)
        return tl::unexpected<Error>(found.error());
    std::vector<NodeRefusal> refusals;
    if (!*found)
        return refusals;
    try {
        const nlohmann::json json = nlohmann::json::parse((*found)->value);
        for (const nlohmann::json &refusal : json.at("refusals"))
            refusals.push_back({NodeId(refusal.at("node").get<std::string>()),
                                refusal.at("reason").get<std::string>()});
    } catch (const nlohmann::json::exception &error) {
        return fail(ErrorKind::InvalidMessage,
                    std::string("the stored refusals cannot be parsed: ") + error.what(),
                    "use the cornelheadctl of the same release as the nodes");
    }
    return refusals;
}

Result<ApplyOutcome> applyDeclarations(const PlatformOperations &platform,
                                       const ApplyRequest &request)
{
    CORNELHEAD_CHECK(!request.edit.empty());
    return detail::ApplyOperation(platform, request).run();
}

} // namespace cornelhead
