package membership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/membership"
)

// TestAnnouncementsHoldWhatTheListLacks checks that announced members are neither counted twice when the group lists them
// later, nor kept when they stop announcing themselves.
func TestAnnouncementsHoldWhatTheListLacks(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	a, b := membership.Member{Node: "a", Address: "a:1", Weight: 400, Incarnation: 1}, membership.Member{Node: "b", Address: "b:1", Weight: 400, Incarnation: 2}
	earlier := membership.Member{Node: "b", Address: "b:1", Weight: 400, Incarnation: 1}
	empty, listed := membership.List{}, membership.NewList([]string{a.Name()}, 1, true, a)

	var none membership.Announcements
	assert.Equal(t, len(none.WithoutExpired(start).Members(empty)), 0)
	announced := none.With(a.Name(), start).With(earlier.Name(), start).With(b.Name(), start.Add(time.Second)).With("no member", start)
	assert.DeepEqual(t, announced.Members(empty), []membership.Member{a, b})
	assert.DeepEqual(t, announced.Members(listed), []membership.Member{b})
	assert.DeepEqual(t, announced.WithoutExpired(start.Add(3500*time.Millisecond)).Members(empty), []membership.Member{b})
	assert.Equal(t, len(none.Members(empty)), 0, "values are immutable")

	assert.Equal(t, listed.MaxMissing(0), 1)
	assert.Equal(t, listed.MaxMissing(5), 0)
	assert.Equal(t, membership.NewList([]string{a.Name()}, 1, false, a).MaxMissing(0), 0)
}
