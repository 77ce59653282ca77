/// @file
/// Keys of the journal's records.
#pragma once

#include <string>
#include <string_view>

namespace lentilsaddle::coordination::batch {

inline constexpr std::string_view jobKeyPrefix = "j/";
inline constexpr std::string_view cancellationKeyPrefix = "c/";
inline constexpr std::string_view taskKeyPrefix = "t/";
/// A worker has begun a task of the job.
inline constexpr std::string_view startKeyPrefix = "s/";
/// Announcement of an instance, with its processors.
inline constexpr std::string_view instanceKeyPrefix = "i/";
inline constexpr std::string_view leaderKey = "leader";
/// Learned speeds of the workers.
inline constexpr std::string_view speedsKey = "l/speeds";

inline std::string makeKey(std::string_view prefix, std::string_view name)
{
    std::string key(prefix);
    key.append(name);
    return key;
}

} // namespace lentilsaddle::coordination::batch
