package membership

import (
	"maps"
	"slices"
	"time"
)

// announcementLifetime is how long an announcement counts. A node without a partition repeats it every second.
const announcementLifetime = 3 * time.Second

// Announcements holds the nodes that have announced themselves because they hold no partition of the group. Values
// are immutable. The zero value holds none.
type Announcements struct {
	receivedAt map[string]time.Time // By name in the group.
}

// With returns the announcements with that of the member with a name in the group, received at a time. It ignores
// names that are not valid.
func (a Announcements) With(name string, at time.Time) Announcements {
	if _, valid := parse(name); !valid {
		return a
	}
	receivedAt := maps.Clone(a.receivedAt)
	if receivedAt == nil {
		receivedAt = map[string]time.Time{}
	}
	receivedAt[name] = at
	return Announcements{receivedAt: receivedAt}
}

// WithoutExpired returns the announcements that count at a time.
func (a Announcements) WithoutExpired(now time.Time) Announcements {
	receivedAt := maps.Clone(a.receivedAt)
	maps.DeleteFunc(receivedAt, func(_ string, at time.Time) bool { return now.Sub(at) > announcementLifetime })
	return Announcements{receivedAt: receivedAt}
}

// Members returns the announced members that a list doesn't hold, ordered by node name.
func (a Announcements) Members(listed List) []Member {
	return slices.DeleteFunc(membersByNode(slices.Collect(maps.Keys(a.receivedAt))), func(m Member) bool {
		return listed.byNode[m.Node].Incarnation >= m.Incarnation
	})
}
