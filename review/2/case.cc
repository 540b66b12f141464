// One of two servers spoils the head of some answers.  What it sends then is no response in HTTP;
// callers must not get it, nor a part of the body as a complete answer.
#include <algorithm>
#include <regex>

#include "../standins/standins.h"

namespace {

using namespace review;

constexpr int clients = 10;
constexpr int callsEach = 150;
/// The largest share of `garble`: of the servers one of two, of its answers one of fifty.
constexpr int spoiltEach = 50;

enum class Spoil { StatusCode, HeaderName, TwoLengths };

class Case
{
public:
    [[noreturn]] void run()
    {
        Host &door = deployment_.add("akl-a", "doorlist");
        Host &faulty = deployment_.add("akl-a", "bookings");
        deployment_.add("akl-b", "bookings");
        for (Host *host : deployment_.hostsOf("bookings"))
            host->server->workMs = 10;
        faulty.server->answer = [this](AppServer &server, Stream &stream, const Message &request) {
            server.recordRun(request);
            sleepMs(10);
            if (isTroubled() && ++answers_ % spoiltEach == 0)
                return stream.write(spoiltAnswer(server, request));
            return stream.write(server.defaultAnswer(request));
        };
        deployment_.store->put("op/config",
                               configuration(5,
                                             {{"book-seat", "book.example", "/book/",
                                               "non_idempotent", "1500ms", "250ms", "bookings"}},
                                             {"bookings", "doorlist"}));
        if (!deployment_.start())
            deployment_.end(exitCouldNotRun);
        std::vector<std::thread> threads;
        for (int i = 0; i < clients; ++i)
            threads.emplace_back([this, &door] { book(door); });
        for (std::thread &thread : threads)
            thread.join();
        deployment_.end(judge());
    }

private:
    // The body is whole in each of them, and the connection is kept.
    std::string spoiltAnswer(const AppServer &server, const Message &request)
    {
        const std::string id = request.header("Cornelhead-Request-Id");
        std::string answer = server.defaultAnswer(request);
        const auto replace = [&answer](const std::string &from, const std::string &to) {
            answer.replace(answer.find(from), from.size(), to);
        };
        switch (static_cast<Spoil>(spoils_++ % 3)) {
        case Spoil::StatusCode:
            replace("HTTP/1.1 200", "HTTP/1.1 20");
            Record::line("spoils the status code of " + id);
            break;
        case Spoil::HeaderName:
            replace("Content-Length", std::string("X\x01 Y: z\r\nContent-Length"));
            Record::line("spoils a header name of " + id);
            break;
        case Spoil::TwoLengths:
            replace("Content-Length", "Content-Length: 5\r\nContent-Length");
            Record::line("sends two lengths for " + id);
            break;
        }
        return answer;
    }

    void book(Host &host)
    {
        for (int i = 0; i < callsEach; ++i) {
            const std::string id = newRequestId();
            const Answer answer = call(host.outbound, "POST", "/book/seat",
                                       {{"Host", "book.example"},
                                        {"Cornelhead-Request-Id", id},
                                        {"Cornelhead-Deadline-Ms", "1500"}},
                                       "seat=" + id, 2500);
            if (answer.message.startLine.empty())
                Record::line("caller: " + id + " " + answer.failure);
            else
                check(id, answer.message);
        }
    }

    void check(const std::string &id, const Message &answer)
    {
        static const std::regex validStatus("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?");
        static const std::regex validName("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
        const std::lock_guard lock(mutex_);
        ++answered_;
        const bool isSuccess = answer.startLine.rfind("HTTP/1.1 2", 0) == 0;
        const std::string &body = answer.body;
        const bool isWhole = body.size() > id.size()
                && body.compare(body.size() - id.size(), id.size(), id) == 0;
        const bool hasValidHead = std::regex_match(answer.startLine, validStatus)
                && std::all_of(answer.headers.begin(), answer.headers.end(), [](const auto &entry) {
                                      return std::regex_match(entry.first, validName);
                                  });
        if (!hasValidHead) {
            ++noAnswers_;
            Record::line("caller: bytes that are no answer for " + id + ": " + answer.startLine);
        } else if (isSuccess && !isWhole) {
            ++partial_;
            Record::line("caller: success with a part of the body for " + id + ": \"" + body
                         + "\", sealed " + answer.header("Cornelhead-Server-Seal"));
        }
    }

    int judge()
    {
        Record::line("answers: " + std::to_string(answered_)
                     + ", bytes that are no answer: " + std::to_string(noAnswers_)
                     + " (allowed: 0), successes with a part of the body: "
                     + std::to_string(partial_) + " (allowed: 0)");
        if (answered_ == 0)
            return exitCouldNotRun;
        const bool isBroken = noAnswers_ + partial_ > 0;
        Record::line(isBroken ? "MIXED is broken" : "the rule held");
        return isBroken ? exitBroken : exitHeld;
    }

    Deployment deployment_;
    std::atomic<int> answers_{0};
    std::atomic<int> spoils_{0};
    std::mutex mutex_;
    int answered_ = 0;
    int noAnswers_ = 0;
    int partial_ = 0;
};

} // namespace

int main(int, char **argv)
{
    Record::open(argv[1]);
    Case().run();
}
