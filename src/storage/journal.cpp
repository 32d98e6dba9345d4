// SPDX-License-Identifier: MIT
#include "storage/journal.h"

#include <xxhash.h>

#include <array>
#include <cstring>
#include <optional>

namespace edge_proxy::storage {
namespace {

// A copy: length (4 bytes), number of the record (8), checksum of these two and of the bytes (8), the bytes.
// Least significant byte first.
constexpr std::size_t kHead = 20;

void put(std::string& to, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) to.push_back(static_cast<char>(value >> (8 * i)));
}
std::uint64_t get(std::string_view from, std::size_t at, int bytes) {
  std::uint64_t value = 0;
  for (int i = bytes - 1; i >= 0; --i)
    value = value << 8U | static_cast<unsigned char>(from[at + static_cast<std::size_t>(i)]);
  return value;
}
std::uint64_t checksum(std::string_view head, std::string_view record) {
  return XXH3_64bits_withSeed(record.data(), record.size(), XXH3_64bits(head.data(), 12));
}

std::string copy_of(std::string_view record, std::uint64_t number) {
  std::string bytes;
  put(bytes, record.size(), 4);
  put(bytes, number, 8);
  put(bytes, checksum(bytes, record), 8);
  return bytes.append(record);
}

/// The record of that number at that place; none where it is not whole, or not it.
std::optional<std::string_view> read_copy(std::string_view text, std::size_t at, std::uint64_t number,
                                          std::size_t most) {
  if (at > text.size() || text.size() - at < kHead) return std::nullopt;
  const std::size_t length = get(text, at, 4);
  if (length > most || text.size() - at - kHead < length || get(text, at + 4, 8) != number)
    return std::nullopt;
  const std::string_view record = text.substr(at + kHead, length);
  if (get(text, at + 12, 8) != checksum(text.substr(at, 12), record)) return std::nullopt;
  return record;
}

/// Whether a whole copy of a later record stands anywhere behind that place.
bool goes_on(std::string_view text, std::size_t from, std::uint64_t number, std::size_t most) {
  for (std::size_t at = from; at + kHead <= text.size(); ++at) {
    const std::uint64_t found = get(text, at + 4, 8);
    if (found > number && found < number + (1U << 20U) && read_copy(text, at, found, most)) return true;
  }
  return false;
}

}  // namespace

/// Each record twice, as it goes to the disk; none where one is too long.
std::optional<std::string> Journal::framed(const std::vector<std::string>& records) {
  std::string bytes;
  for (const std::string& record : records) {
    if (record.size() > max_bytes_) {
      fail("a record is too long", 0);
      return std::nullopt;
    }
    const std::string copy = copy_of(record, next_sequence_++);
    bytes.append(copy).append(copy);
  }
  return bytes;
}

bool Journal::fail(const std::string& what, int error) {
  failed_ = true;
  file_.reset();
  error_ = name_ + ": " + what + (error == 0 ? "" : std::string(": ") + std::strerror(error));
  return false;
}

bool Journal::open(std::vector<std::string>& records) {
  records.clear();
  std::optional<std::string> text;
  if (const int error = folder_.read(name_, text)) return fail("can't be read", error);
  if (!text) return true;
  const std::string_view all = *text;
  std::size_t at = 0;
  while (at < all.size()) {
    std::optional<std::string_view> first = read_copy(all, at, next_sequence_, max_bytes_), second;
    if (first) {
      second = read_copy(all, at + kHead + first->size(), next_sequence_, max_bytes_);
    } else {
      // The second copy tells by itself where it begins: as far behind as the first is long.
      for (std::size_t length = 0; !second && at + 2 * (kHead + length) <= all.size() && length <= max_bytes_;
           ++length) {
        second = read_copy(all, at + kHead + length, next_sequence_, max_bytes_);
        if (second && second->size() != length) second.reset();
      }
    }
    if (!first && !second) {
      // Being written when all ended; unless there is more behind it: then it was durable and has been
      // damaged.
      if (goes_on(all, at + 1, next_sequence_, max_bytes_))
        return fail("record " + std::to_string(next_sequence_) + " at byte " + std::to_string(at) +
                        " is damaged in both copies",
                    0);
      break;
    }
    const std::size_t length = (first ? first : second)->size();
    if (!first || !second) ++was_repaired_;
    records.emplace_back(first ? *first : *second);
    ++next_sequence_;
    at = std::min(all.size(), at + 2 * (kHead + length));
  }
  // Written anew, whole: guards against the other copy's going bad as well.
  if (was_repaired_ > 0) return replace(records);
  if (const int error = folder_.extend(name_, at, file_)) return fail("can't be opened", error);
  return true;
}

bool Journal::write_out(File& file, std::string_view bytes) {
  while (!bytes.empty()) {
    std::size_t written = 0;
    if (const int error = file.write(bytes, written)) return fail("can't be written", error);
    bytes.remove_prefix(std::min(written, bytes.size()));
  }
  if (const int error = file.sync()) return fail("is not on the disk", error);
  return true;
}

bool Journal::append(const std::vector<std::string>& records) {
  if (failed_) return false;
  if (!file_) return replace(records);
  const auto bytes = framed(records);
  return bytes && write_out(*file_, *bytes);
}

bool Journal::replace(const std::vector<std::string>& records) {
  if (failed_) return false;
  next_sequence_ = 0;
  const auto bytes = framed(records);
  if (!bytes) return false;
  const std::string fresh = name_ + ".new";
  std::unique_ptr<File> file;
  if (const int error = folder_.create(fresh, file)) return fail("can't be made", error);
  if (!write_out(*file, *bytes)) return false;
  if (const int error = folder_.rename(fresh, name_)) return fail("can't be put in place", error);
  if (const int error = folder_.sync()) return fail("is not on the disk", error);
  file_ = std::move(file);
  return true;
}

}  // namespace edge_proxy::storage
