// Measures the cost of large customer lists: bytes per edit, and time and memory of a snapshot.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <set>
#include <vector>

#include "cornelhead/base/random.h"
#include "cornelhead/base/settings.h"
#include "cornelhead/config/declarations-reader.h"
#include "cornelhead/config/delta.h"
#include "cornelhead/config/manifest.h"
#include "cornelhead/config/snapshot.h"
#include "cornelhead/config/validation.h"

namespace {

using namespace cornelhead;

constexpr const char *usage = R"(Measures what large lists cost.

Usage:
  cornelhead-measure-configuration [options]

Options:
  --customers LIST     Sizes of the list [default: 1000,10000,40000,200000].
  --chunk-kib LIST     Mean chunk sizes to compare [default: 4,16,64].
  --edits N            Edits of one customer to average over [default: 40].
  --repeats N          Runs of which the median is given [default: 5].
  --seed N             Seeds the edits [default: 1].
  --help               Prints this text.
  --version            Prints the version.
)";

constexpr std::size_t kibibyte = 1024;
constexpr std::uint64_t maxCustomers = 1'000'000;

struct Options
{
    std::vector<std::uint64_t> customers;
    std::vector<std::uint64_t> chunkKibibytes;
    std::uint64_t edits = 0;
    std::uint64_t repeats = 0;
    std::uint64_t seed = 0;
};

Declarations makeDeclarations(std::uint64_t customers)
{
    Declarations declarations;
    for (int i = 0; i < 8; ++i) {
        const ServiceId service("service-" + std::to_string(i));
        declarations.services.push_back({service, VersionId("v1")});
        for (int j = 0; j < 4; ++j) {
            const std::string name = "route-" + std::to_string(j);
            declarations.routes.push_back({RouteId(service.value() + "/" + name), service,
                                           "/" + name, CallPriority::Normal,
                                           Idempotency::Idempotent, Milliseconds(2000)});
        }
    }
    for (int i = 0; i < 20; ++i) {
        Plan plan{PlanId("plan-" + std::to_string(i)), {}, {}, 100, 200, 50};
        for (int j = 0; j <= i % 8; ++j)
            plan.services.push_back(declarations.services[static_cast<std::size_t>(j)].id);
        declarations.plans.push_back(plan);
    }
    for (std::uint64_t i = 0; i < customers; ++i)
        declarations.customers.push_back({CustomerId("customer-" + std::to_string(i)),
                                          PlanId("plan-" + std::to_string(i % 20))});
    return canonicalOrder(std::move(declarations));
}

std::string toYaml(const Declarations &declarations)
{
    std::string text = "customers:\n";
    for (const Customer &customer : declarations.customers)
        text += "  - name: " + customer.id.value() + "\n    plan: " + customer.plan.value() + "\n";
    return text;
}

// Changes, removes or adds one random customer.
Declarations editOne(const Declarations &base, Random &random)
{
    Declarations edited = base;
    const std::size_t index = random.below(edited.customers.size());
    switch (random.below(3)) {
    case 0:
        edited.customers[index].plan = PlanId("plan-" + std::to_string(random.below(20)));
        break;
    case 1:
        edited.customers.erase(edited.customers.begin() + static_cast<std::ptrdiff_t>(index));
        break;
    default:
        edited.customers.push_back({CustomerId(base.customers[index].id.value() + "-new"),
                                    base.customers[index].plan});
    }
    return canonicalOrder(std::move(edited));
}

template <typename Work>
double medianMilliseconds(std::uint64_t repeats, Work work)
{
    std::vector<double> times;
    for (std::uint64_t i = 0; i < repeats; ++i) {
        const auto start = std::chrono::steady_clock::now();
        work();
        const std::chrono::duration<double, std::milli> elapsed
                = std::chrono::steady_clock::now() - start;
        times.push_back(elapsed.count());
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void measureTimes(const Declarations &declarations, const Options &options)
{
    const std::string yaml = toYaml(declarations);
    const std::string encoded = encodeDeclarations(declarations);
    Random random(options.seed);
    const auto base = Snapshot::build(Revision(1), declarations).value();
    const Delta delta = makeDelta(declarations, editOne(declarations, random));
    const auto time = [&](auto work) { return medianMilliseconds(options.repeats, work); };
    const double yamlMs = time([&] { readDeclarations({"", yaml}); });
    const double encodeMs = time([&] { encodeDeclarations(declarations); });
    const double decodeMs = time([&] { decodeDeclarations(encoded).value(); });
    const double splitMs = time([&] { splitChunks(encoded); });
    const double buildMs = time([&] { Snapshot::build(Revision(2), declarations).value(); });
    const double deltaMs = time([&] { applyDelta(*base, delta, Revision(2)).value(); });
    const double findMs = time([&] {
        for (const Customer &customer : declarations.customers) {
            if (!base->findCustomer(customer.id))
                std::abort();
        }
    });
    const std::size_t before = heapBytes();
    const auto snapshot = Snapshot::build(Revision(2), declarations).value();
    const std::size_t after = heapBytes();
    std::printf(
            "customers %7zu  encoded %8zu B  yaml %7.1f ms  encode %6.1f ms  decode %6.1f ms  "
            "split %5.1f ms  build %6.1f ms  delta %6.1f ms  find %5.0f ns  snapshot %6.1f MiB\n",
            declarations.customers.size(), encoded.size(), yamlMs, encodeMs, decodeMs, splitMs,
            buildMs, deltaMs, findMs * 1e6 / static_cast<double>(declarations.customers.size()),
            static_cast<double>(after - before) / (kibibyte * kibibyte));
}

struct EditCost
{
    double chunks = 0;
    double chunkBytes = 0;
    double deltaBytes = 0;
};

EditCost measureEdits(const Declarations &declarations, const Options &options, ChunkSizes sizes)
{
    std::set<Digest> baseDigests;
    for (const Chunk &chunk : splitChunks(encodeDeclarations(declarations), sizes))
        baseDigests.insert(chunk.digest);
    Random random(options.seed);
    EditCost sum;
    for (std::uint64_t i = 0; i < options.edits; ++i) {
        const Declarations edited = editOne(declarations, random);
        for (const Chunk &chunk : splitChunks(encodeDeclarations(edited), sizes)) {
            if (baseDigests.contains(chunk.digest))
                continue;
            sum.chunks += 1;
            sum.chunkBytes += static_cast<double>(chunk.bytes.size());
        }
        sum.deltaBytes += static_cast<double>(encodeDelta(makeDelta(declarations, edited)).size());
    }
    const auto count = static_cast<double>(options.edits);
    return {sum.chunks / count, sum.chunkBytes / count, sum.deltaBytes / count};
}

void measureSizes(const Declarations &declarations, const Options &options)
{
    const std::string encoded = encodeDeclarations(declarations);
    for (const std::uint64_t kibibytes : options.chunkKibibytes) {
        const std::size_t mean = kibibytes * kibibyte;
        const ChunkSizes sizes{mean / 4, mean - mean / 4};
        Manifest manifest{Revision(1), EditId("e"), "a", 0, Digest(), {}};
        for (const Chunk &chunk : splitChunks(encoded, sizes))
            manifest.chunks.push_back(chunk.digest);
        const EditCost cost = measureEdits(declarations, options, sizes);
        std::printf("customers %7zu  mean chunk %3llu KiB  chunks %5zu  manifest %7zu B  one edit "
                    "rewrites %4.2f chunks, %8.0f B; its delta %4.0f B\n",
                    declarations.customers.size(), static_cast<unsigned long long>(kibibytes),
                    manifest.chunks.size(), encodeManifest(manifest).size(), cost.chunks,
                    cost.chunkBytes, cost.deltaBytes);
    }
}

std::vector<std::uint64_t> readNumbers(Settings &settings, const std::string &name,
                                       std::uint64_t max)
{
    std::vector<std::uint64_t> numbers;
    for (const std::string &item : settings.list(name)) {
        const std::uint64_t number = std::strtoull(item.c_str(), nullptr, 10);
        if (number == 0 || number > max)
            settings.addFault(name, item, "give numbers from 1 to " + std::to_string(max));
        numbers.push_back(number);
    }
    return numbers;
}

Options readOptions(int argc, const char *const *argv)
{
    Settings settings = Settings::parseOrExit(usage, argc, argv);
    Options options;
    options.customers = readNumbers(settings, "--customers", maxCustomers);
    options.chunkKibibytes = readNumbers(settings, "--chunk-kib", maxChunkBytes / kibibyte);
    options.edits = settings.integer("--edits", 1, 100'000);
    options.repeats = settings.integer("--repeats", 1, 1'000);
    options.seed = settings.integer("--seed", 0, UINT64_MAX);
    settings.exitOnFaults();
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    const Options options = readOptions(argc, argv);
    for (const std::uint64_t customers : options.customers)
        measureTimes(makeDeclarations(customers), options);
    for (const std::uint64_t customers : options.customers)
        measureSizes(makeDeclarations(customers), options);
    return 0;
}
