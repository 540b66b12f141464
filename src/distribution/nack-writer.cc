// Merges rejection reasons into the record of a revision at the platform.
#include "cornelhead/distribution/nack-writer.h"

#include <nlohmann/json.hpp>

#include "cornelhead/config/manifest.h"

namespace cornelhead {
namespace detail {

constexpr std::size_t maxReasons = 8;
constexpr std::size_t maxReasonBytes = 500;
constexpr std::size_t maxWrittenEntries = 256;
constexpr int maxNackAttempts = 4;

nlohmann::json rejectionJson(const Rejection &rejection)
{
    return {{"node", rejection.node.value()}, {"reason", rejection.reason}};
}

nlohmann::json parseRejections(const std::optional<KeyValue> &stored)
{
    if (stored) {
        auto parsed = nlohmann::json::parse(stored->value, nullptr, false);
        if (parsed.is_object() && parsed.contains("refusals") && parsed["refusals"].is_array())
            return parsed["refusals"];
    }
    return nlohmann::json::array();
}

bool containsReason(const nlohmann::json &rejections, const std::string &reason)
{
    for (const auto &rejection : rejections) {
        if (rejection.is_object() && rejection.value("reason", "") == reason)
            return true;
    }
    return false;
}

} // namespace detail

NackWriter::NackWriter(PlatformPort &platform, Metrics &metrics)
    : platform_(&platform),
      calls_(&metrics.counter("cornelhead_platform_calls_total", {{"flow", "nack"}})),
      nacks_(&metrics.counter("cornelhead_config_nacks_total"))
{ }

void NackWriter::write(const Rejection &rejection)
{
    nacks_->add();
    Rejection bounded = rejection;
    bounded.reason = rejection.reason.substr(0, detail::maxReasonBytes);
    if (written_.size() >= detail::maxWrittenEntries)
        written_.erase(written_.begin());
    if (written_.emplace(bounded.revision, bounded.reason).second)
        read(bounded, detail::maxNackAttempts);
}

void NackWriter::read(const Rejection &rejection, int attemptsLeft)
{
    if (attemptsLeft == 0)
        return;
    calls_->add();
    platform_->get(nackPrefix + std::to_string(rejection.revision.value()),
                   [this, rejection, attemptsLeft, alive = std::weak_ptr<int>(alive_)](
                           const Result<std::optional<KeyValue>> &stored) {
                       if (!alive.expired() && stored)
                           merge(rejection, *stored, attemptsLeft);
                   });
}

void NackWriter::merge(const Rejection &rejection, const std::optional<KeyValue> &stored,
                       int attemptsLeft)
{
    nlohmann::json rejections = detail::parseRejections(stored);
    if (rejections.size() >= detail::maxReasons
        || detail::containsReason(rejections, rejection.reason))
        return;
    rejections.push_back(detail::rejectionJson(rejection));
    const nlohmann::json value{{"revision", rejection.revision.value()}, {"refusals", rejections}};
    calls_->add();
    platform_->put(nackPrefix + std::to_string(rejection.revision.value()),
                   value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                   ExpectedRevision{stored ? stored->modRevision : ModRevision(0)}, std::nullopt,
                   [this, rejection, attemptsLeft,
                    alive = std::weak_ptr<int>(alive_)](const Result<ModRevision> &written) {
                       if (!alive.expired() && !written)
                           read(rejection, attemptsLeft - 1);
                   });
}

} // namespace cornelhead
