#include "saved_victims.h"

#include "poison_codec.h"

namespace jasminebank {

// Bounds the value in the store: 64 entries of at most 50 bytes.
constexpr std::size_t max_saved_victims = 64;

saved_victims::saved_victims() : list_({.max_victims = max_saved_victims}) {}

void saved_victims::restore(const std::vector<poison_victim>& earlier, time_point now)
{
    list_.merge(earlier, now);
}

bool saved_victims::add(request_fingerprint fingerprint, backend_server_id server, incarnation run,
                        std::size_t known_victims, time_point now)
{
    if (known_victims >= poison_list_options{}.victims_to_refuse)
        return false;
    return list_.on_server_crash(fingerprint, server, run, now);
}

std::string saved_victims::encode(time_point now) const
{
    return encode_victims(list_.entries(now));
}

} // namespace jasminebank
