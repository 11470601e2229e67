package addressbook

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// longRunningSuffix marks the address of long-running jobs, which a pool has in another cell than other jobs.
const longRunningSuffix = "+"

// Address returns the address of the jobs that clients submit with a host and a path prefix, as a hash: names of hosts and
// paths may be longer than the keys of records.
func Address(host, pathPrefix string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(host+" "+pathPrefix))
}

// LongRunning returns the address of the long-running jobs that clients submit at an address.
func LongRunning(address string) string {
	if address == "" {
		return ""
	}
	return address + longRunningSuffix
}

// Base returns the address at which clients submit the jobs of an address, be they long-running or not.
func Base(address string) string {
	return strings.TrimSuffix(address, longRunningSuffix)
}
