// Merges refusals into the platform's record of a revision.
#include "cornelhead/distribution/nack-writer.h"

#include <nlohmann/json.hpp>

#include "cornelhead/config/manifest.h"

namespace cornelhead {
namespace detail {

constexpr std::size_t reasonsKept = 8;
constexpr std::size_t reasonBytes = 500;
constexpr std::size_t writtenKept = 256;
constexpr int nackTries = 4;

nlohmann::json refusalJson(const Refusal &refusal)
{
    return {{"node", refusal.node.value()}, {"reason", refusal.reason}};
}

nlohmann::json heldRefusals(const std::optional<KeyValue> &held)
{
    if (held) {
        auto parsed = nlohmann::json::parse(held->value, nullptr, false);
        if (parsed.is_object() && parsed.contains("refusals") && parsed["refusals"].is_array())
            return parsed["refusals"];
    }
    return nlohmann::json::array();
}

bool holdsReason(const nlohmann::json &refusals, const std::string &reason)
{
    for (const auto &refusal : refusals) {
        if (refusal.is_object() && refusal.value("reason", "") == reason)
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

void NackWriter::write(const Refusal &refusal)
{
    nacks_->add();
    Refusal bounded = refusal;
    bounded.reason = refusal.reason.substr(0, detail::reasonBytes);
    if (written_.size() >= detail::writtenKept)
        written_.erase(written_.begin());
    if (written_.emplace(bounded.revision, bounded.reason).second)
        read(bounded, detail::nackTries);
}

void NackWriter::read(const Refusal &refusal, int triesLeft)
{
    if (triesLeft == 0)
        return;
    calls_->add();
    platform_->get(nackPrefix + std::to_string(refusal.revision.value()),
                   [this, refusal, triesLeft, alive = std::weak_ptr<int>(alive_)](
                           const Result<std::optional<KeyValue>> &held) {
                       if (!alive.expired() && held)
                           merge(refusal, *held, triesLeft);
                   });
}

void NackWriter::merge(const Refusal &refusal, const std::optional<KeyValue> &held, int triesLeft)
{
    nlohmann::json refusals = detail::heldRefusals(held);
    if (refusals.size() >= detail::reasonsKept || detail::holdsReason(refusals, refusal.reason))
        return;
    refusals.push_back(detail::refusalJson(refusal));
    const nlohmann::json value{{"revision", refusal.revision.value()}, {"refusals", refusals}};
    calls_->add();
    platform_->put(nackPrefix + std::to_string(refusal.revision.value()),
                   value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                   ExpectedRevision{held ? held->modRevision : ModRevision(0)}, std::nullopt,
                   [this, refusal, triesLeft,
                    alive = std::weak_ptr<int>(alive_)](const Result<ModRevision> &written) {
                       if (!alive.expired() && !written)
                           read(refusal, triesLeft - 1);
                   });
}

} // namespace cornelhead
