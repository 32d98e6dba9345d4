// SPDX-License-Identifier: MIT
#include "storage/journal.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace edge_proxy::storage {
namespace {

// Format of one copy of a record: length, sequence number, checksum over both and the payload, payload.
// Numbers are little-endian.
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kSequenceBytes = 8;
constexpr std::size_t kChecksumBytes = 8;
constexpr std::size_t kSequenceOffset = kLengthBytes;
constexpr std::size_t kChecksumOffset = kSequenceOffset + kSequenceBytes;
constexpr std::size_t kHeaderBytes = kChecksumOffset + kChecksumBytes;
/// Sequence numbers less than this far ahead are accepted as those of later records.
constexpr std::uint64_t kMaxSequenceGap = std::uint64_t{1} << 20U;
constexpr unsigned kBitsPerByte = 8;

void append_little_endian(std::string& bytes, std::uint64_t value, std::size_t width) {
  for (std::size_t i = 0; i < width; ++i) bytes.push_back(static_cast<char>(value >> (kBitsPerByte * i)));
}

std::uint64_t read_little_endian(std::string_view bytes, std::size_t offset, std::size_t width) {
  std::uint64_t value = 0;
  for (std::size_t i = width; i > 0; --i)
    value = value << kBitsPerByte | static_cast<unsigned char>(bytes[offset + i - 1]);
  return value;
}

std::uint64_t checksum_of(std::string_view length_and_sequence, std::string_view record) {
  const std::uint64_t seed = XXH3_64bits(length_and_sequence.data(), length_and_sequence.size());
  return XXH3_64bits_withSeed(record.data(), record.size(), seed);
}

std::string encode_copy(std::string_view record, std::uint64_t sequence) {
  std::string bytes;
  append_little_endian(bytes, record.size(), kLengthBytes);
  append_little_endian(bytes, sequence, kSequenceBytes);
  append_little_endian(bytes, checksum_of(bytes, record), kChecksumBytes);
  return bytes.append(record);
}

/// Reads copies of records from the content of the file.
class CopyReader {
 public:
  CopyReader(std::string_view file, std::size_t max_record_bytes)
      : file_(file), max_record_bytes_(max_record_bytes) {}

  [[nodiscard]] std::size_t file_size() const { return file_.size(); }

  /// The record with the sequence number `sequence` whose copy begins at `offset`; empty if that copy is not
  /// intact.
  [[nodiscard]] std::optional<std::string_view> copy_at(std::size_t offset, std::uint64_t sequence) const {
    if (offset > file_.size() || file_.size() - offset < kHeaderBytes) return std::nullopt;
    const std::string_view copy = file_.substr(offset);
    const std::size_t length = read_little_endian(copy, 0, kLengthBytes);
    if (length > max_record_bytes_ || copy.size() - kHeaderBytes < length) return std::nullopt;
    if (read_little_endian(copy, kSequenceOffset, kSequenceBytes) != sequence) return std::nullopt;
    const std::string_view record = copy.substr(kHeaderBytes, length);
    const std::uint64_t checksum = checksum_of(copy.substr(0, kChecksumOffset), record);
    if (read_little_endian(copy, kChecksumOffset, kChecksumBytes) != checksum) return std::nullopt;
    return record;
  }

  /// The second copy of the record whose first copy at `offset` is damaged. The damaged length can't be
  /// trusted, so every length is tried: both copies have the same length, and the second directly follows the
  /// first.
  [[nodiscard]] std::optional<std::string_view> intact_second_copy(std::size_t offset,
                                                                   std::uint64_t sequence) const {
    for (std::size_t length = 0;
         length <= max_record_bytes_ && offset + 2 * (kHeaderBytes + length) <= file_.size(); ++length) {
      const auto record = copy_at(offset + kHeaderBytes + length, sequence);
      if (record && record->size() == length) return record;
    }
    return std::nullopt;
  }

  /// Whether an intact copy of a later record begins at or after `offset`.
  [[nodiscard]] bool has_later_record(std::size_t offset, std::uint64_t sequence) const {
    for (std::size_t position = offset; position + kHeaderBytes <= file_.size(); ++position) {
      const std::uint64_t found = read_little_endian(file_, position + kSequenceOffset, kSequenceBytes);
      if (found > sequence && found < sequence + kMaxSequenceGap && copy_at(position, found)) return true;
    }
    return false;
  }

 private:
  std::string_view file_;
  std::size_t max_record_bytes_;
};

struct RecoveredRecord {
  std::string_view record;
  bool has_damaged_copy = false;
};

/// Reads the record at `offset` from an intact copy; empty if both copies are damaged.
std::optional<RecoveredRecord> recover_record(const CopyReader& reader, std::size_t offset,
                                              std::uint64_t sequence) {
  if (const auto first = reader.copy_at(offset, sequence)) {
    const auto second = reader.copy_at(offset + kHeaderBytes + first->size(), sequence);
    return RecoveredRecord{*first, !second.has_value()};
  }
  if (const auto second = reader.intact_second_copy(offset, sequence)) return RecoveredRecord{*second, true};
  return std::nullopt;
}

}  // namespace

/// Encodes both copies of each record; empty if a record is too long.
std::optional<std::string> Journal::encode(const std::vector<std::string>& records) {
  std::string bytes;
  for (const std::string& record : records) {
    if (record.size() > max_record_bytes_) {
      fail("a record is too long");
      return std::nullopt;
    }
    const std::string copy = encode_copy(record, next_sequence_++);
    bytes.append(copy).append(copy);
  }
  return bytes;
}

/// Marks the journal as failed and returns false. `error` is an errno value, 0 for none.
bool Journal::fail(const std::string& reason, int error) {
  failed_ = true;
  file_.reset();
  error_ = name_ + ": " + reason + (error == 0 ? "" : std::string(": ") + std::strerror(error));
  return false;
}

bool Journal::open(std::vector<std::string>& records) {
  records.clear();
  std::optional<std::string> content;
  if (const int error = folder_.read(name_, content)) return fail("can't be read", error);
  if (!content) return true;
  const CopyReader reader(*content, max_record_bytes_);
  std::size_t offset = 0;
  while (offset < reader.file_size()) {
    const auto recovered = recover_record(reader, offset, next_sequence_);
    if (!recovered) {
      // An unreadable record at the end is the result of a write interrupted by a crash. If later records
      // follow, it was durable and has been damaged.
      if (!reader.has_later_record(offset + 1, next_sequence_)) break;
      return fail("record " + std::to_string(next_sequence_) + " at byte " + std::to_string(offset) +
                  " is damaged in both copies");
    }
    if (recovered->has_damaged_copy) ++repaired_records_;
    records.emplace_back(recovered->record);
    ++next_sequence_;
    offset = std::min(reader.file_size(), offset + 2 * (kHeaderBytes + recovered->record.size()));
  }
  // The file is rewritten, so that each record has two intact copies again.
  if (repaired_records_ > 0) return replace(records);
  if (const int error = folder_.open_for_append(name_, offset, file_)) return fail("can't be opened", error);
  return true;
}

bool Journal::write_and_sync(File& file, std::string_view bytes) {
  while (!bytes.empty()) {
    std::size_t written = 0;
    if (const int error = file.write(bytes, written)) return fail("can't be written", error);
    bytes.remove_prefix(std::min(written, bytes.size()));
  }
  if (const int error = file.sync()) return fail("can't be flushed to disk", error);
  return true;
}

bool Journal::append(const std::vector<std::string>& records) {
  if (failed_) return false;
  if (!file_) return replace(records);
  const auto bytes = encode(records);
  return bytes && write_and_sync(*file_, *bytes);
}

bool Journal::replace(const std::vector<std::string>& records) {
  if (failed_) return false;
  next_sequence_ = 0;
  const auto bytes = encode(records);
  if (!bytes) return false;
  const std::string new_name = name_ + ".new";
  std::unique_ptr<File> file;
  if (const int error = folder_.create(new_name, file)) return fail("can't be created", error);
  if (!write_and_sync(*file, *bytes)) return false;
  if (const int error = folder_.rename(new_name, name_)) return fail("can't be renamed into place", error);
  if (const int error = folder_.sync()) return fail("can't be flushed to disk", error);
  file_ = std::move(file);
  return true;
}

}  // namespace edge_proxy::storage
