#include "Target/Settings.h"

namespace magnolia::target {

settings settings::fewFalseEjections() {
  settings Settings;
  Settings.Confidence = 4.5;
  return Settings;
}

settings settings::fastDetection() {
  settings Settings;
  Settings.Confidence = 3.0;
  return Settings;
}

} // namespace magnolia::target
