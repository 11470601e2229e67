package crash

import "time"

const (
	// maxProbationPercent is the highest percentage of a cell's endpoints that probations may take
	// up: those with a task on probation, those reserved for one, and those that have exited with a
	// task on probation within the last restartTime, after which they are back. Further suspects
	// wait.
	maxProbationPercent = 25
	restartTime         = 3 * time.Second
	// maxPronePercent takes the place of maxProbationPercent while any queue is crash-prone. It is
	// lower, since most suspects crash their endpoints then, and their probations can wait.
	maxPronePercent = 10
	// probationWait is how long a suspect waits for probation if its queue isn't crash-prone.
	probationWait = time.Second
	// proneProbationWait is how long a suspect of a crash-prone queue waits for probation. It is long
	// since most of these suspects belong to the few jobs that do crash endpoints.
	proneProbationWait = 8 * time.Second
)

// MaxProbationWait returns how long a suspect waits for probation. After that it starts like any other
// task: many suspects, most of which crash nothing, must not be held up. prone says that its queue is
// crash-prone.
func MaxProbationWait(prone bool) time.Duration {
	if prone {
		return proneProbationWait
	}
	return probationWait
}

// ProbationLimit limits how many endpoints of a cell probations may take up.
type ProbationLimit struct {
	exits Exits
}

// AddExit notes the exit of an endpoint with a task on probation.
func (l *ProbationLimit) AddExit(at time.Time) {
	l.exits.Add(at)
}

// RecentExits returns how many endpoints with a task on probation have exited and are not back yet.
func (l *ProbationLimit) RecentExits(now time.Time) int {
	return l.exits.CountWithin(now, restartTime)
}

// Allows reports whether one more endpoint may be used for a probation, beside those that are in use or
// reserved for one. total is the number of the cell's endpoints, and anyProne says that a queue is
// crash-prone.
func (l *ProbationLimit) Allows(now time.Time, inUse, total int, anyProne bool) bool {
	maxPercent := maxProbationPercent
	if anyProne {
		maxPercent = maxPronePercent
	}
	return inUse+l.RecentExits(now) < max(1, total*maxPercent/100)
}

// AllowsOverdueProbation reports whether one more endpoint may be used for the probation of a task that has
// waited for it for MaxProbationWait and mustn't start beside others. The endpoints that have exited don't
// count: where tasks crash their endpoints all the time, such a task would never be started.
func AllowsOverdueProbation(inUse, total int) bool {
	return inUse < max(1, total*maxProbationPercent/100)
}
