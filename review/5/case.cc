// A path with two slashes at its start is taken for an authority and a shorter path.
#include <algorithm>

#include "../standins/standins.h"

namespace {

using namespace review;

constexpr int calls = 20;

class Case
{
public:
    [[noreturn]] void run()
    {
        Host &door = deployment_.add("akl-a", "doorlist");
        deployment_.add("akl-a", "catalogue");
        deployment_.add("akl-b", "catalogue");
        deployment_.add("akl-a", "bookings");
        deployment_.add("akl-b", "bookings");
        deployment_.store->put("op/config",
                               configuration(5,
                                             {{"browse-events", "events.example", "/", "idempotent",
                                               "1200ms", "200ms", "catalogue"},
                                              {"book-seat", "events.example", "/book/",
                                               "non_idempotent", "1500ms", "250ms", "bookings"}},
                                             {"catalogue", "bookings", "doorlist"}));
        if (!deployment_.start())
            deployment_.end(exitCouldNotRun);
        for (int i = 0; i < calls; ++i)
            browse(door);
        deployment_.end(judge());
    }

private:
    void browse(Host &host)
    {
        const std::string id = newRequestId();
        // As a client that joins the base "https://events.example/" and the path "/2026/...".
        const std::string target = std::string(isTroubled() ? "//" : "/") + "2026/book/" + id;
        const Answer answer = call(host.outbound, "GET", target,
                                   {{"Host", "events.example"},
                                    {"Cornelhead-Request-Id", id},
                                    {"Cornelhead-Deadline-Ms", "1200"}},
                                   "", 2000);
        Record::line("sent GET " + target + ", answered " + std::to_string(answer.status) + " "
                     + answer.message.body);
    }

    int judge()
    {
        std::size_t right = 0;
        std::size_t wrong = 0;
        for (Host *host : deployment_.hostsOf("catalogue"))
            right += host->server->runs().size();
        for (Host *host : deployment_.hostsOf("bookings"))
            wrong += host->server->runs().size();
        Record::line("requests run by catalogue: " + std::to_string(right)
                     + ", by bookings, whose route's prefix doesn't begin their path: "
                     + std::to_string(wrong) + " (allowed: 0)");
        if (right + wrong == 0)
            return exitCouldNotRun;
        Record::line(wrong > 0 ? "ROUTE is broken" : "the rule held");
        return wrong > 0 ? exitBroken : exitHeld;
    }

    Deployment deployment_;
};

} // namespace

int main(int, char **argv)
{
    Record::open(argv[1]);
    Case().run();
}
