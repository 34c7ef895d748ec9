/// @file
/// File access of a history. Tests implement the interface in memory, with calls that fail and
/// power cuts that lose unsynced bytes. `Directory` owns the lock file and the open files.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace violetpulley::history {

/// An error of the operating system, for example a full or read-only disk or a missing file. An
/// `EventLog` that threw this error must not be used again.
struct FileError : std::system_error {
  using std::system_error::system_error;
};

/// The files of one history. File names have no directory part. Every call throws FileError when
/// the operation fails.
class Files {
 public:
  Files() = default;
  virtual ~Files() = default;
  Files(const Files&) = delete;
  Files& operator=(const Files&) = delete;

  /// Names of all files, sorted.
  virtual std::vector<std::string> list() = 0;
  /// The content of the whole file.
  virtual std::string read(const std::string& name) = 0;
  /// Up to `max_bytes` bytes from the offset `from`; fewer if the file ends before.
  virtual std::string read(const std::string& name, std::size_t from, std::size_t max_bytes) = 0;
  /// Creates the file if it does not exist. A failed append may have written some of the bytes.
  virtual void append(const std::string& name, std::string_view bytes) = 0;
  /// Makes the bytes appended so far durable: they survive a power cut.
  virtual void sync(const std::string& name) = 0;
  /// Renames atomically: after a crash the file has either the old or the new name.
  virtual void rename(const std::string& from, const std::string& to) = 0;
  /// Removes the file; a missing file is not an error.
  virtual void remove(const std::string& name) = 0;
  /// Makes created, changed and removed file names durable: they survive a power cut.
  virtual void sync_directory() = 0;
};

/// A local directory, locked against a second writer.
class Directory : public Files {
 public:
  /// With `writable`, creates the directory if it does not exist and takes the lock; readers take
  /// no lock. Throws FileError, also when another process holds the lock.
  Directory(std::string path, bool writable);
  ~Directory() override;

  std::vector<std::string> list() override;
  std::string read(const std::string& name) override;
  std::string read(const std::string& name, std::size_t from, std::size_t max_bytes) override;
  void append(const std::string& name, std::string_view bytes) override;
  void sync(const std::string& name) override;
  void rename(const std::string& from, const std::string& to) override;
  void remove(const std::string& name) override;
  void sync_directory() override;

 private:
  int append_handle(const std::string& name);
  std::string path_of(const std::string& name) const { return path_ + "/" + name; }
  void close_append_handles();

  std::string path_;
  int lock_fd_ = -1;
  std::map<std::string, int> append_handles_;  // open for appending: a segment, a snapshot
};

}  // namespace violetpulley::history
