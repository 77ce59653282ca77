#include "state/KeyDigest.h"

#include <xxhash.h>

#include <cstring>
#include <string>

namespace lentilsaddle::state {

KeyDigest KeyDigest::of(std::string_view account, std::string_view service, std::string_view key)
{
    std::string input;
    for (std::string_view part : { account, service, key }) {
        input += std::to_string(part.size());
        input += ':';
        input += part;
    }
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(input.data(), input.size()));
    KeyDigest digest;
    std::memcpy(digest.bytes.data(), canonical.digest, digest.bytes.size());
    return digest;
}

} // namespace lentilsaddle::state
