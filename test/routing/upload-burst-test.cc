// Replays a burst of uploads at four times the usual on 22 hosts with narrow links, each with
// callers and a server, on a virtual clock.
#include <algorithm>
#include <map>
#include <memory>

#include <boost/test/unit_test.hpp>

#include "cornelhead/base/random.h"
#include "cornelhead/routing/room-reservations.h"
#include "cornelhead/routing/upload-queue.h"

namespace cornelhead {

constexpr std::uint64_t bytesPerMs = 1250; // 10 Mbit/s

struct BurstUpload
{
    std::string id;
    std::size_t from = 0;
    std::uint64_t bytes = 0;
    std::uint64_t left = 0;
    TimePoint usefulBy{};
    UploadTicket ticket;
    std::size_t to = 0;
};

struct BurstHost
{
    ServerGate gate;
    RoomReservations rooms{gate};
    UploadQueue queue{LinkSpeed(bytesPerMs * 1000)};
    std::map<UploadTicket, BurstUpload> waiting;
    std::vector<BurstUpload> sending;
    // When the calls end that the server runs.
    std::vector<std::pair<TimePoint, GateTicket>> running;
};

struct BurstFixture
{
    static constexpr std::size_t hostCount = 22;

    std::vector<std::unique_ptr<BurstHost>> hosts;
    Random random{11};
    TimePoint time{Milliseconds(1000)};
    std::uint64_t lastNumber = 0;
    std::vector<GateTicket> expired;
    std::size_t begun = 0, inTime = 0, refused = 0, refusedAfterBytes = 0;
    Microseconds maxSmallWait{};

    BurstFixture()
    {
        for (std::size_t i = 0; i < hostCount; ++i) {
            hosts.push_back(std::make_unique<BurstHost>());
            hosts.back()->gate.setSlots(8);
            hosts.back()->rooms.setLink(LinkSpeed(bytesPerMs * 1000));
        }
    }

    void arrive(std::size_t from)
    {
        ++begun;
        BurstUpload upload{"id" + std::to_string(++lastNumber),
                           from,
                           20'000 + random.below(80'000),
                           0,
                           time + Milliseconds(680),
                           UploadTicket(lastNumber)};
        upload.left = upload.bytes;
        const auto verdict = hosts[from]->queue.add(
                Upload{upload.ticket, upload.bytes, upload.usefulBy, upload.usefulBy}, time);
        if (verdict == UploadQueue::Verdict::Start)
            offer(upload);
        else if (verdict == UploadQueue::Verdict::Wait)
            hosts[from]->waiting.emplace(upload.ticket, upload);
        else
            ++refused;
    }
    // Asks up to three hosts for room.
    void offer(BurstUpload upload)
    {
        for (int tries = 0; tries < 3; ++tries) {
            upload.to = random.below(hostCount);
            BurstHost &host = *hosts[upload.to];
            const GateRequest place{GateTicket(++lastNumber), 1, Milliseconds(110),
                                    upload.usefulBy};
            if (host.rooms.isLinkFull(upload.bytes)
                || host.gate.judgeRoom(place, host.rooms.arrivalTime(upload.bytes), time)
                        != ServerGate::Verdict::Start)
                continue;
            host.rooms.hold(upload.id, place, upload.bytes, time);
            hosts[upload.from]->sending.push_back(upload);
            return;
        }
        ++refused;
        hosts[upload.from]->queue.remove(upload.ticket);
    }
    void receive(const BurstUpload &upload)
    {
        BurstHost &host = *hosts[upload.to];
        const bool wasHeld = host.rooms.take(upload.id);
        const GateRequest request{GateTicket(++lastNumber), 1, Milliseconds(110), upload.usefulBy};
        const auto verdict = wasHeld ? host.gate.admitHeld(request, time, expired)
                                     : host.gate.offer(request, time, expired);
        refusedAfterBytes += verdict == ServerGate::Verdict::Refuse ? 1 : 0;
        if (verdict != ServerGate::Verdict::Start)
            return;
        host.running.emplace_back(time + Milliseconds(110), request.ticket);
        inTime += time + Milliseconds(110) <= upload.usefulBy ? 1 : 0;
    }
    // Moves bytes for one millisecond: each link shares its capacity among its bodies.
    void moveBytes()
    {
        std::map<std::size_t, std::size_t> receiving;
        for (const auto &host : hosts) {
            for (const BurstUpload &upload : host->sending)
                ++receiving[upload.to];
        }
        for (const auto &host : hosts) {
            for (BurstUpload &upload : host->sending) {
                const std::uint64_t shares = std::max(host->sending.size(), receiving[upload.to]);
                upload.left -= std::min(upload.left, bytesPerMs / shares);
            }
        }
    }
    void endTransfers(BurstHost &host)
    {
        for (std::size_t i = host.sending.size(); i-- > 0;) {
            if (host.sending[i].left > 0)
                continue;
            const BurstUpload upload = host.sending[i];
            host.sending.erase(host.sending.begin() + static_cast<std::ptrdiff_t>(i));
            host.queue.remove(upload.ticket);
            receive(upload);
        }
        std::vector<UploadTicket> tooLate;
        while (const auto ticket = host.queue.startNext(time, tooLate))
            offer(host.waiting.extract(*ticket).mapped());
        for (const UploadTicket ticket : tooLate)
            refused += host.waiting.erase(ticket);
    }
    void step(double uploadsPerMs)
    {
        time += Milliseconds(1);
        if (random.unit() < uploadsPerMs)
            arrive(random.below(hostCount));
        moveBytes();
        for (const auto &host : hosts) {
            std::erase_if(host->running, [&](const auto &call) {
                if (call.first > time)
                    return false;
                host->gate.remove(call.second);
                return true;
            });
            host->gate.startNext(time, expired);
            endTransfers(*host);
            host->rooms.removeExpired(time);
            std::uint64_t bytes = 0;
            for (const BurstUpload &upload : host->sending)
                bytes += upload.left;
            maxSmallWait = std::max({maxSmallWait, LinkSpeed(bytesPerMs * 1000).timeOf(bytes),
                                     host->rooms.arrivalTime(0)});
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(upload_burst, BurstFixture)

BOOST_AUTO_TEST_CASE(smallCallsKeepTheirTimeAndNoBytesAreSentInVain)
{
    // The links carry 0.46 uploads a millisecond; the usual is a quarter of the burst.
    for (int ms = 0; ms < 3000; ++ms)
        step(0.6);
    BOOST_TEST_MESSAGE("begun " << begun << ", in time " << inTime << ", refused " << refused
                                << ", wait of a small call " << maxSmallWait.count() << " us");
    BOOST_TEST(refused > 0U);
    BOOST_TEST(refusedAfterBytes == 0U);
    BOOST_TEST(expired.empty());
    // At the sending and at the receiving link.
    BOOST_TEST((maxSmallWait <= maxSharedTime));
    // Of what the links can carry, although the last ones are still on their way.
    BOOST_TEST(static_cast<double>(inTime) > 0.7 * 0.458 * 3000);

    // The day after the burst is as before it.
    for (int ms = 0; ms < 1000; ++ms)
        step(0.15);
    begun = inTime = refused = 0;
    for (int ms = 0; ms < 2000; ++ms)
        step(0.15);
    BOOST_TEST(static_cast<double>(refused) < 0.01 * static_cast<double>(begun));
    BOOST_TEST(static_cast<double>(inTime) > 0.9 * static_cast<double>(begun));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelhead
