#include "Target/Settings.h"

namespace magnolia::target {

settings settings::fewFalseEjections() {
  settings Settings;
  Settings.Threshold = 15;
  return Settings;
}

settings settings::fastDetection() {
  settings Settings;
  Settings.Threshold = 10;
  return Settings;
}

} // namespace magnolia::target
