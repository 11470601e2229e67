package leasebound_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/leasebound"
)

// TestLeaseOnSlowClockIsNotTakenAsExpired guards against a second run of a task while a lease is still
// valid by the endpoint's clock, which may be 2% slow.
func TestLeaseOnSlowClockIsNotTakenAsExpired(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	leases := leasebound.Unknown(now, time.Second, 5*time.Second)
	assert.Assert(t, leases.ExpiredFor(now.Add(6100*time.Millisecond)) <= 0, "an earlier owner may have renewed it until the end of its grace")
	assert.Assert(t, leases.ExpiredFor(now.Add(6200*time.Millisecond)) > 0)

	leases.SampleClock(now, 40_000)
	later := now.Add(10 * time.Second)
	assert.Equal(t, leases.Extend(later, 5*time.Second), 55_000)
	assert.Assert(t, leases.ExpiredFor(now.Add(15_300*time.Millisecond)) <= 0, "15 s of a slow clock are longer")
	leases.Extend(now, time.Second)
	assert.Assert(t, leases.ExpiredFor(now.Add(15_300*time.Millisecond)) <= 0, "a shorter lease doesn't end the longer one")
	assert.Assert(t, leases.ExpiredFor(now.Add(15_700*time.Millisecond)) > 0)
}
