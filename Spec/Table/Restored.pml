/* The replica of a table whose store is restored from an older copy. */

#define RESTORED
#include "Table.pml"
