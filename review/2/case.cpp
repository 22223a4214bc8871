// A client sends a read of a long value and a write behind it in one go. The cache server's connection is
// reset while it gives the long value. The write has run, and must get its final answer.
#include "standin.h"

using namespace standin;

int main() {
    const std::string folder = open_case();
    const bool trouble = with_trouble();
    Deployment deployment(3);
    // A long value, given in pieces over two seconds.
    const std::string value(1'000'000, 'v');
    constexpr int kPieces = 40;
    constexpr double kDuration = 2.0;
    constexpr int kResetAfter = 30;  // pieces
    for (const auto& cache : deployment.caches) {
        cache->store("long-key", value);
        cache->answer = [&, cache](int fd, const std::string& key, const std::string& id, const std::string& text) {
            if (!send_all(fd, "VA " + std::to_string(text.size()) + " O" + id + "\r\n")) return close(fd), false;
            if (key != "long-key") return send_all(fd, text + "\r\n") || (close(fd), false);
            record("%s: begins to give the long value for %s", cache->name.c_str(), id.c_str());
            for (int piece = 0; piece < kPieces; ++piece) {
                if (trouble && piece == kResetAfter) {
                    record("%s: connection reset under %s, after %d of %d pieces", cache->name.c_str(), id.c_str(),
                           piece, kPieces);
                    reset_connection(fd);
                    return false;
                }
                const std::size_t size = text.size() / kPieces;
                if (!send_all(fd, text.substr(static_cast<std::size_t>(piece) * size, size)))
                    return close(fd), false;
                pause(kDuration / kPieces);
            }
            return send_all(fd, "\r\n") || (close(fd), false);
        };
    }
    for (const auto& cache : deployment.caches) {
        cache->on_read = [](CacheServer& server, const std::string& key, const std::string& id, double) {
            record("%s: read %s of %s", server.name.c_str(), id.c_str(), key.c_str());
        };
    }
    deployment.start();
    Node node({}, deployment.discovery, folder);
    if (!node.start()) end_case(2, "the node did not start");

    constexpr int kRounds = 3;
    int written = 0, lost = 0, answered = 0;
    for (int round = 0; round < kRounds; ++round) {
        const std::string tag = std::to_string(round + 1), mark = "mark" + tag;
        Reader in;
        in.fd = node.connect_client();
        if (in.fd < 0) end_case(2, "no connection to the node");
        const double sent = now();
        const std::string commands = read_command("long-key", "read" + tag, 4000) +
                                     write_command("sim-" + tag, "active", "write" + tag, 1600, mark);
        if (!send_all(in.fd, commands)) end_case(2, "the node took no commands");
        record("client %s: sent read%s of the long value and write%s behind it", tag.c_str(), tag.c_str(),
               tag.c_str());
        const Answer first = read_answer(in, sent + 8);
        record("client %s: read%s: %s, %zu bytes of the value", tag.c_str(), tag.c_str(), name_of(first.kind),
               first.body.size());
        // A value that is not whole has failed and is not lost. What comes behind it still needs its answer;
        // the time that it waits for the answers before it does not count.
        Answer second;
        if (first.kind == Answer::Kind::closed) {
            second.kind = Answer::Kind::closed;
        } else {
            second = read_answer(in, now() + 3);
        }
        const bool ran = !deployment.origin.applied(mark).empty();
        record("client %s: write%s: %s; the origin has %s it", tag.c_str(), tag.c_str(), name_of(second.kind),
               ran ? "applied" : "not applied");
        written += ran;
        const bool has_answer = second.kind == Answer::Kind::receipt || second.kind == Answer::Kind::busy ||
                                second.kind == Answer::Kind::failed;
        answered += has_answer;
        lost += !has_answer;
        close(in.fd);
    }
    for (const std::string& line : node.log_lines("rule broken")) record("node's log: %.300s", line.c_str());
    const bool ended = node.has_ended();
    node.stop(4);
    if (ended) end_case(2, "the node ended by itself");
    const std::string counts = std::to_string(kRounds) + " writes sent behind a long read, " +
                               std::to_string(written) + " applied by the origin, " + std::to_string(answered) +
                               " answered, " + std::to_string(lost) + " never answered";
    end_case(lost > 0 ? 1 : 0, (lost > 0 ? "BROKEN: " : "HELD: ") + counts);
}
