// A stand-in of many clients of one machine: sends requests of one kind at a steady rate on kept
// connections, each with an id of its own that ends with the time of sending, and waits for each
// answer until its deadline.
//
// Writes a line for each request to the record: `ID STATUS`; `-` stands for no answer.
#include <mutex>

#include "http.h"

namespace standin {

struct Load
{
    std::string to;
    std::string path;
    std::string key;
    std::string prefix;
    std::int64_t deadlineMs = 0;
    std::int64_t endsAt = 0;
    std::atomic<std::uint64_t> lastId = 0;
    std::mutex mutex;
    std::string lines;
};

std::string statusOf(int socket, const std::string &bytes)
{
    Reader reader(socket);
    if (!sendAll(socket, bytes))
        return "-";
    auto head = reader.readHead();
    if (!head || !reader.readBody(*head))
        return "-";
    const bool closes = lower(header(head->headers, "Connection")) == "close";
    return head->startLine.substr(9, 3) + (closes ? " close" : "");
}

void runClient(Load &load, std::int64_t firstAt, std::int64_t intervalMs)
{
    int socket = -1;
    for (std::int64_t due = firstAt; steadyMs() < load.endsAt; due += intervalMs) {
        sleepMs(std::max<std::int64_t>(0, due - steadyMs()));
        // A client that waited for an answer does not make up for the time.
        due = std::max(due, steadyMs() - intervalMs);
        if (socket < 0) {
            socket = connectTo(load.to);
            if (socket < 0) {
                sleepMs(50);
                continue;
            }
            const timeval limit{load.deadlineMs / 1000, load.deadlineMs % 1000 * 1000};
            setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        }
        const std::string id
                = load.prefix + std::to_string(++load.lastId) + "-" + std::to_string(wallMs());
        Headers headers = {{"Host", "site.example"},
                           {"Cornelhead-Request-Id", id},
                           {"Cornelhead-Deadline-Ms", std::to_string(load.deadlineMs)}};
        if (!load.key.empty())
            headers["Authorization"] = "Bearer " + load.key;
        const std::string status
                = statusOf(socket, render("GET " + load.path + " HTTP/1.1", headers, {}));
        if (status == "-" || status.ends_with("close")) {
            close(socket);
            socket = -1;
        }
        const std::lock_guard lock(load.mutex);
        load.lines += id + " " + status.substr(0, 3) + "\n";
    }
}

} // namespace standin

int main(int argc, char **argv)
{
    using namespace standin;
    std::signal(SIGPIPE, SIG_IGN);
    const Flags flags(argc, argv);
    Load load;
    load.to = flags.text("to");
    load.path = flags.text("path");
    load.key = flags.text("key");
    load.prefix = flags.text("id");
    load.deadlineMs = flags.number("deadline-ms", 800);
    load.endsAt = steadyMs() + flags.number("for-ms", 10'000);
    const std::int64_t clients = flags.number("clients", 20);
    const std::int64_t intervalMs = clients * 1000 / flags.number("per-s", 100);
    std::vector<std::thread> threads;
    for (std::int64_t i = 0; i < clients; ++i) {
        const std::int64_t firstAt = steadyMs() + intervalMs * i / clients;
        threads.emplace_back(
                [&load, firstAt, intervalMs] { runClient(load, firstAt, intervalMs); });
    }
    for (std::thread &thread : threads)
        thread.join();
    std::fputs(load.lines.c_str(), stdout);
}
