#include "answer_writer.h"

#include <array>
#include <utility>

namespace jasminebank {

constexpr std::size_t part_bytes = 16UL * 1024;

namespace {

struct prefetched_body {
    std::string bytes;
    buffer_reservation memory;
};

} // namespace

answer_writer make_answer_writer(dispatch_attempt& it, bool has_length, const answer_limit& limit)
{
    const auto prefetched = std::make_shared<prefetched_body>(
        prefetched_body{.bytes = std::move(it.body), .memory = std::move(it.body_memory)});
    return [stream = it.stream, limit, has_length, prefetched,
            whole = it.body_is_whole](httplib::DataSink& sink) {
        if (!prefetched->bytes.empty()) {
            const prefetched_body first = std::exchange(*prefetched, {});
            sink.write(first.bytes.data(), first.bytes.size());
            return true;
        }
        if (whole) {
            sink.done();
            return true;
        }
        std::array<char, part_bytes> buf{};
        const auto n = read_answer_part(*stream, buf, limit);
        if (failed(n) || (value_of(n) == 0 && has_length))
            return false;
        if (value_of(n) == 0)
            sink.done();
        else
            sink.write(buf.data(), value_of(n));
        return true;
    };
}

} // namespace jasminebank
