#include "Program/PortFile.h"

#include <cstdio>
#include <fstream>

namespace magnolia::program {

absl::Status writePortFile(const std::string &Path, const std::string &Lines) {
  if (Path.empty())
    return absl::OkStatus();
  const std::string Temporary = Path + ".new";
  {
    std::ofstream File(Temporary);
    File << Lines;
    if (!File.flush())
      return absl::UnavailableError("cannot write " + Temporary);
  }
  if (std::rename(Temporary.c_str(), Path.c_str()) != 0)
    return absl::UnavailableError("cannot rename to " + Path);
  return absl::OkStatus();
}

} // namespace magnolia::program
