package overload_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/overload"
)

// The load is like that of the users' short queues: jobs of one or two phases, with some six tasks
// of about a second on 0.9 cores each. A job is in time within 0.6 s plus 1.6 times its longest
// chain of tasks. Only half of the spread of a job's task time is known in advance.
const (
	tickMs          = 50   // Between two decisions, as in the owner of a cell.
	taskMs          = 1000 // Mean time of a task.
	taskCPU         = 900
	meanTasks       = 6
	phaseSpread     = 0.6 // Standard deviation of the logarithm of a phase's number of tasks.
	jobSpread       = 0.4 // Standard deviation of the logarithm of a job's task time, half of it known.
	taskSpread      = 0.3 // Standard deviation of the logarithm of a task's time within its job.
	twoPhasePart    = 0.6 // Part of the jobs that have a second phase.
	targetMs        = 600
	extension       = 1.6
	boxCPU          = 16_000
	fixedValue      = 0.3 // Part of a job's value that doesn't depend on its tasks.
	certainPercent  = 60  // Of the remaining chain: a job is late once even this part can't be done in time.
	secondMs        = 1000
	meanJobsPerTick = 9.0 * tickMs / secondMs // Over a whole day.
)

// scenario is a load, in jobs that arrive, and the number of boxes for it, both by the time in
// milliseconds since the start.
type scenario struct {
	name       string
	jobsPerMs  func(at int) float64
	boxes      func(at int) int
	durationMs int
	minGain    float64 // Factor by which deferring must raise the value of the jobs in time.
}

// scenarios returns scenarios like those of the users' days.
func scenarios() []scenario {
	turn := func(at int) float64 { return 5 * meanJobsPerTick / tickMs }
	return []scenario{
		{
			// The users' demand moves between queues: each in turn has five times its mean load
			// for some ten seconds. More boxes come after two seconds and are enough for all
			// work. The work deferred until then must not cost more value than it saved.
			name: "five times the mean load", durationMs: 10 * secondMs, minGain: 0.98, jobsPerMs: turn,
			boxes: func(at int) int {
				if at < 2*secondMs {
					return 4
				}
				return 22
			},
		},
		{
			// After the store was unavailable for four seconds, all jobs of that time arrive at
			// once.
			name: "a backlog after an outage", durationMs: 8 * secondMs, minGain: 1.04,
			jobsPerMs: func(at int) float64 {
				if at < tickMs {
					return 4 * secondMs * turn(at) / tickMs
				}
				return turn(at)
			},
			boxes: func(int) int { return 24 },
		},
		{
			// A zone that is cut off takes away a third of the boxes while the load is high. The
			// other pools keep two to four boxes each for long-running tasks.
			name: "a third of the boxes gone", durationMs: 10 * secondMs, minGain: 1.02, jobsPerMs: turn,
			boxes: func(at int) int {
				if at < 2*secondMs {
					return 24
				}
				return 15
			},
		},
		{
			// The mean load on enough boxes: nothing is deferred.
			name: "a load that fits", durationMs: 10 * secondMs, minGain: 1,
			jobsPerMs: func(int) float64 { return meanJobsPerTick / tickMs }, boxes: func(int) int { return 12 },
		},
	}
}

// job is a job with its simulated task times. All times are in milliseconds.
type job struct {
	// phases holds the times of the tasks that haven't started, for each phase that has any.
	phases     [][]int
	running    int
	tasks      int
	expectedMs int // Time of a task, as far as it is known in advance.
	arrivedAt  int
	dueAt      int
	// partlyStarted is set while some, but not all tasks of the present phase have started.
	partlyStarted bool
}

// newJob returns a random job that arrives at a time.
func newJob(random *rand.Rand, at int) *job {
	known, unknown := math.Exp(random.NormFloat64()*jobSpread/2), math.Exp(random.NormFloat64()*jobSpread/2)
	j := &job{expectedMs: int(taskMs * known), arrivedAt: at}
	count, chain := 1, 0
	if random.Float64() < twoPhasePart {
		count = 2
	}
	for range count {
		tasks := make([]int, max(1, int(meanTasks*math.Exp(random.NormFloat64()*phaseSpread-phaseSpread*phaseSpread/2))))
		for number := range tasks {
			tasks[number] = int(taskMs*known*unknown*math.Exp(random.NormFloat64()*taskSpread))/tickMs*tickMs + tickMs
		}
		j.phases = append(j.phases, tasks)
		j.tasks += len(tasks)
		chain += slices.Max(tasks)
	}
	j.dueAt = at + targetMs + int(extension*float64(chain))
	return j
}

// chain returns the expected time, in milliseconds, of the phases that have tasks to start.
func (j *job) chain() int { return j.expectedMs * len(j.phases) }

// startBy returns the time by which the present phase has to start for the job to be in time.
func (j *job) startBy() int {
	whole := j.expectedMs * max(1, len(j.phases))
	return j.arrivedAt + targetMs + int(extension*float64(whole)) - j.chain()
}

// remainingTasks returns the number of tasks that haven't started.
func (j *job) remainingTasks() int {
	sum := 0
	for _, tasks := range j.phases {
		sum += len(tasks)
	}
	return sum
}

// value returns the value of the job if it is in time, in tasks: fixedValue of the mean number of tasks
// of a job, and the rest in proportion to its own tasks.
func (j *job) value(mean float64) float64 {
	return fixedValue*mean + (1-fixedValue)*float64(j.tasks)
}

// pool simulates a pool's jobs and the CPU that their tasks use.
type pool struct {
	jobs []*job
	ends map[int][]*job
	used int
	// value is the value of the jobs that were in time.
	value float64
}

// simulate simulates a scenario and returns the value of the jobs in time, in tasks. Tasks start in order of
// urgency, except that deferred ones come after the others if deferring is set.
func simulate(s scenario, deferring bool) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	p := &pool{ends: map[int][]*job{}}
	owed := 0.0
	for at := 0; at < s.durationMs+10*secondMs; at += tickMs {
		p.end(at)
		if at < s.durationMs {
			owed += s.jobsPerMs(at) * tickMs
		}
		for ; owed >= 1; owed-- {
			p.jobs = append(p.jobs, newJob(random, at))
		}
		p.start(at, s.boxes(at)*boxCPU, deferring)
	}
	return p.value
}

// end ends the tasks that are done at a time, and adds the value of the jobs that are done in time.
func (p *pool) end(at int) {
	for _, j := range p.ends[at] {
		p.used -= taskCPU
		j.running--
		if j.running == 0 && len(j.phases) == 0 && at <= j.dueAt {
			p.value += j.value(meanTasks)
		}
	}
	p.jobs = slices.DeleteFunc(p.jobs, func(j *job) bool { return j.running == 0 && len(j.phases) == 0 })
}

// start starts waiting tasks as far as the capacity, in thousandths of a core, allows.
func (p *pool) start(at, capacity int, deferring bool) {
	var inTime, late []*job
	for _, j := range p.jobs {
		switch {
		case len(j.phases) == 0 || j.running > 0 && !j.partlyStarted:
			// All of its tasks have started, or its next phase waits for the present one.
		case j.startBy()+(100-certainPercent)*j.chain()/100 >= at:
			inTime = append(inTime, j)
		default:
			late = append(late, j)
		}
	}
	slices.SortStableFunc(inTime, func(a, b *job) int { return a.startBy() - b.startBy() })
	first, last := split(inTime, at, capacity, max(0, capacity-p.used), deferring)
	for _, j := range slices.Concat(first, last, late) {
		p.startPhase(j, at, capacity)
	}
}

// split divides jobs into those that come first and those that are deferred, none if deferring isn't
// set. capacity is the CPU of all boxes and free the unused part of it, in thousandths of a core.
func split(jobs []*job, at, capacity, free int, deferring bool) (first, last []*job) {
	items := make([]overload.Item, len(jobs))
	for number, j := range jobs {
		items[number] = overload.Item{
			CPU: len(j.phases[0]) * taskCPU, StartWithinMs: j.startBy() - at, Value: j.value(meanTasks), RemainingWork: float64(j.remainingTasks()),
		}
	}
	deferred := make([]bool, len(jobs))
	if deferring {
		deferred = overload.Defer(items, overload.Capacity{FreeCPU: free, FreedCPUPerMs: float64(capacity) / taskMs})
	}
	for number, j := range jobs {
		if deferred[number] {
			last = append(last, j)
		} else {
			first = append(first, j)
		}
	}
	return first, last
}

// startPhase starts the tasks of a job's present phase as far as they fit into the capacity.
func (p *pool) startPhase(j *job, at, capacity int) {
	for p.used+taskCPU <= capacity {
		tasks := j.phases[0]
		p.used += taskCPU
		j.running++
		p.ends[at+tasks[0]] = append(p.ends[at+tasks[0]], j)
		j.phases[0], j.partlyStarted = tasks[1:], true
		if len(j.phases[0]) == 0 {
			j.phases, j.partlyStarted = j.phases[1:], false
			return
		}
	}
}

// TestDeferringRaisesValueInTime compares the value of the jobs in time with and without deferring.
func TestDeferringRaisesValueInTime(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			without, with := simulate(s, false), simulate(s, true)
			t.Logf("value in time, in tasks: %.0f in order of urgency, %.0f with deferring", without, with)
			assert.Assert(t, with >= s.minGain*without)
		})
	}
}

// TestNothingIsDeferredIfAllFits: free capacity that is enough for all items defers none.
func TestNothingIsDeferredIfAllFits(t *testing.T) {
	items := []overload.Item{{CPU: 900, StartWithinMs: 0, Value: 1, RemainingWork: 1}, {CPU: 900, StartWithinMs: 500, Value: 1, RemainingWork: 9}}
	assert.DeepEqual(t, overload.Defer(items, overload.Capacity{FreeCPU: 1800}), []bool{false, false})
}

// TestNearlyDoneJobIsNotDeferred: of two jobs of the same value, the one with more work left is
// deferred.
func TestNearlyDoneJobIsNotDeferred(t *testing.T) {
	items := []overload.Item{{CPU: 900, StartWithinMs: 0, Value: 6, RemainingWork: 6}, {CPU: 900, StartWithinMs: 0, Value: 6, RemainingWork: 1}}
	assert.DeepEqual(t, overload.Defer(items, overload.Capacity{FreeCPU: 900}), []bool{true, false})
}

// TestSameItemsAreDeferredAgain: with equal items and capacity the choice is always the same.
func TestSameItemsAreDeferredAgain(t *testing.T) {
	items := make([]overload.Item, 50)
	for i := range items {
		items[i] = overload.Item{CPU: 900, StartWithinMs: 100, Value: 6, RemainingWork: 6}
	}
	capacity := overload.Capacity{FreeCPU: 9000, FreedCPUPerMs: 9}
	first := overload.Defer(items, capacity)
	for range 10 {
		assert.DeepEqual(t, overload.Defer(items, capacity), first)
	}
}

// BenchmarkDefer decides on a thousand phases, ten times as many as wait on a bad day.
func BenchmarkDefer(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	items := make([]overload.Item, 1000)
	for i := range items {
		items[i] = overload.Item{CPU: 5400, StartWithinMs: i, Value: 6, RemainingWork: 1 + 20*random.Float64()}
	}
	for b.Loop() {
		overload.Defer(items, overload.Capacity{FreeCPU: 9000, FreedCPUPerMs: 300})
	}
}
