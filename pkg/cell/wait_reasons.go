package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// obstacleCount tells at how many endpoints the same obstacle keeps a task from starting.
type obstacleCount struct {
	obstacle  obstacle
	endpoints int
	// since is the earliest time at which the obstacle is known to have begun at one of the endpoints; zero
	// if the cell doesn't keep that.
	since time.Time
	// withdrawn is the number of the endpoints that have been emptied for the planner, whatever the obstacle
	// is. unrecorded is the number of those whose withdrawal the stream doesn't hold yet, so that the planner
	// can neither order nor restore them.
	withdrawn, unrecorded int
}

// obstacles returns what keeps a task from starting, the obstacle at the most endpoints first.
func (c *Cell) obstacles(t *task) []obstacleCount {
	var counts []obstacleCount
	for _, e := range c.sortedEndpoints {
		found := c.findObstacle(t, e)
		at := slices.IndexFunc(counts, func(n obstacleCount) bool { return n.obstacle == found })
		if at < 0 {
			at = len(counts)
			counts = append(counts, obstacleCount{obstacle: found})
		}
		counts[at].add(e)
	}
	slices.SortFunc(counts, func(a, b obstacleCount) int {
		if a.endpoints != b.endpoints {
			return b.endpoints - a.endpoints
		}
		return strings.Compare(obstacleNames[a.obstacle], obstacleNames[b.obstacle])
	})
	return counts
}

// add counts an endpoint.
func (n *obstacleCount) add(e *endpoint) {
	n.endpoints++
	if e.withdrawn {
		n.withdrawn++
		if !e.withdrawal.recorded {
			n.unrecorded++
		}
	}
	if since := n.obstacle.since(e); !since.IsZero() && (n.since.IsZero() || since.Before(n.since)) {
		n.since = since
	}
}

// since returns since when an endpoint has had the obstacle, and zero if the cell doesn't keep that.
func (o obstacle) since(e *endpoint) time.Time {
	switch o {
	case obstacleUnreached, obstacleUnattached:
		return e.knownSince
	case obstacleSilent:
		return e.silentSince
	case obstacleOverdue:
		return e.lastAnsweredAt
	case obstacleSuspected:
		return e.suspectedSince
	case obstacleWithdrawn:
		return e.withdrawal.since
	case obstacleStrayRuns:
		return e.strayRunsSince
	}
	return time.Time{}
}

// describeObstacles describes the obstacles to a task as of now.
func describeObstacles(t *task, counts []obstacleCount, now time.Time) string {
	if len(counts) == 0 {
		return "the cell has no endpoints"
	}
	parts := make([]string, 0, len(counts))
	for _, n := range counts {
		parts = append(parts, n.describe(t, now))
	}
	return strings.Join(parts, ", ")
}

// describe describes the obstacle to a task and its endpoints as of now.
func (n obstacleCount) describe(t *task, now time.Time) string {
	var details []string
	if !n.since.IsZero() {
		details = append(details, fmt.Sprintf("for up to %d ms", now.Sub(n.since).Milliseconds()))
	}
	if n.withdrawn > 0 {
		details = append(details, fmt.Sprintf("%d withdrawn of which %d are not recorded", n.withdrawn, n.unrecorded))
	}
	line := fmt.Sprintf("%d endpoints %s", n.endpoints, obstacleNames[n.obstacle])
	if n.obstacle == obstacleLabel {
		line += " " + t.phase.spec.Label
	}
	if len(details) > 0 {
		line += " (" + strings.Join(details, ", ") + ")"
	}
	return line
}

// lastSync is what a cell knows of the newest call of the fleet planner.
type lastSync struct {
	// calledAt is when the planner last called, and reportedAt when the cell last reported to it; zero if it
	// has not.
	calledAt, reportedAt time.Time
	// reportNumber is the number of the last report.
	reportNumber int
	// spreadBoxes and missingBoxes are the boxes for long-running tasks in the last report.
	spreadBoxes, missingBoxes int
}

// describe describes the call as of now.
func (s lastSync) describe(now time.Time) string {
	if s.reportedAt.IsZero() {
		return "the planner has not had a report of this owner"
	}
	line := fmt.Sprintf("reported to the planner %d ms ago: %d boxes missing, %d needed in all to spread the tasks",
		now.Sub(s.reportedAt).Milliseconds(), s.missingBoxes, s.spreadBoxes)
	if s.calledAt.IsZero() {
		return line + "; it has not called"
	}
	return line + fmt.Sprintf("; it last called %d ms ago", now.Sub(s.calledAt).Milliseconds())
}
