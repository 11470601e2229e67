package triage_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/triage"
)

// Load as the users' quick queues bring it: jobs of one or two phases, some six tasks of
// about a second on 0.9 cores each, in time within 0.6 s and 1.6 times their longest
// chain. How long a job's tasks take is known to half of its spread only.
const (
	tick        = 50 // Milliseconds between two decisions, as owners tick.
	taskMs      = 1000
	taskCPU     = 900
	meanTasks   = 6
	spread      = 0.6 // Of the logarithm of a phase's number of tasks.
	jobSpread   = 0.4 // Of the logarithm of a job's task time, half of it known.
	taskSpread  = 0.3 // Of the logarithm of a task's time beside the job's others.
	twoPhases   = 0.6 // Part of the jobs with a second phase.
	target      = 600
	extension   = 1.6
	boxCPU      = 16_000
	fixedWorth  = 0.3
	surePart    = 60 // Percent of a chain that is counted on before a job is given up.
	seconds     = 1000
	meanPerTick = 9.0 * tick / seconds // Jobs, over a whole day.
)

// pattern is a load and the room for it, by the time in milliseconds.
type pattern struct {
	name  string
	perMs func(at int) float64
	boxes func(at int) int
	lasts int
	gain  float64 // What putting off has to bring, as a factor.
}

func patterns() []pattern {
	turn := func(at int) float64 { return 5 * meanPerTick / tick }
	return []pattern{
		{
			// The users' demand turns between queues: each in its time asks for five
			// times its mean for some ten seconds. Boxes come after two; then all is
			// done, and what was put off until then must not cost more than it saved.
			name: "a turn of five times the mean", lasts: 10 * seconds, gain: 0.98, perMs: turn,
			boxes: func(at int) int {
				if at < 2*seconds {
					return 4
				}
				return 22
			},
		},
		{
			// A store that is away for four seconds lets all jobs of that time come at once.
			name: "a backlog after an outage", lasts: 8 * seconds, gain: 1.04,
			perMs: func(at int) float64 {
				if at < tick {
					return 4 * seconds * turn(at) / tick
				}
				return turn(at)
			},
			boxes: func(int) int { return 24 },
		},
		{
			// A zone that is cut off takes a third of the boxes in the middle of a turn;
			// the other pools keep two to four each for what lasts.
			name: "a third of the boxes gone", lasts: 10 * seconds, gain: 1.02, perMs: turn,
			boxes: func(at int) int {
				if at < 2*seconds {
					return 24
				}
				return 15
			},
		},
		{
			// The mean load on boxes that suffice: nothing is put off.
			name: "a load that fits", lasts: 10 * seconds, gain: 1,
			perMs: func(int) float64 { return meanPerTick / tick }, boxes: func(int) int { return 12 },
		},
	}
}

type job struct {
	// phases holds the times of the tasks of each phase that has not been started whole.
	phases   [][]int
	running  int
	tasks    int
	expected int // Of a task, in milliseconds.
	came     int
	due      int
	// partly says that some tasks of the present phase have been started.
	partly bool
}

func newJob(random *rand.Rand, at int) *job {
	known, unknown := math.Exp(random.NormFloat64()*jobSpread/2), math.Exp(random.NormFloat64()*jobSpread/2)
	j := &job{expected: int(taskMs * known), came: at}
	count, chain := 1, 0
	if random.Float64() < twoPhases {
		count = 2
	}
	for range count {
		tasks := make([]int, max(1, int(meanTasks*math.Exp(random.NormFloat64()*spread-spread*spread/2))))
		for number := range tasks {
			tasks[number] = int(taskMs*known*unknown*math.Exp(random.NormFloat64()*taskSpread))/tick*tick + tick
		}
		j.phases = append(j.phases, tasks)
		j.tasks += len(tasks)
		chain += slices.Max(tasks)
	}
	j.due = at + target + int(extension*float64(chain))
	return j
}

// chain is what the job still takes, as far as is known.
func (j *job) chain() int { return j.expected * len(j.phases) }

// startBy is until when its present phase has to start.
func (j *job) startBy() int {
	whole := j.expected * max(1, len(j.phases))
	return j.came + target + int(extension*float64(whole)) - j.chain()
}

func (j *job) rest() int {
	sum := 0
	for _, tasks := range j.phases {
		sum += len(tasks)
	}
	return sum
}

func (j *job) worth(mean float64) float64 {
	return fixedWorth*mean + (1-fixedWorth)*float64(j.tasks)
}

// world is a pool's queue and its room.
type world struct {
	jobs []*job
	ends map[int][]*job
	used int
	// earned is the worth of the jobs that were in time.
	earned float64
}

// play runs a pattern and returns the worth of the jobs in time, in tasks. Tasks are
// taken in order of urgency, those put off last.
func play(p pattern, putOff bool) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	w := &world{ends: map[int][]*job{}}
	owed := 0.0
	for at := 0; at < p.lasts+10*seconds; at += tick {
		w.end(at)
		if at < p.lasts {
			owed += p.perMs(at) * tick
		}
		for ; owed >= 1; owed-- {
			w.jobs = append(w.jobs, newJob(random, at))
		}
		w.start(at, p.boxes(at)*boxCPU, putOff)
	}
	return w.earned
}

// end takes the tasks that are done.
func (w *world) end(at int) {
	for _, j := range w.ends[at] {
		w.used -= taskCPU
		j.running--
		if j.running == 0 && len(j.phases) == 0 && at <= j.due {
			w.earned += j.worth(meanTasks)
		}
	}
	w.jobs = slices.DeleteFunc(w.jobs, func(j *job) bool { return j.running == 0 && len(j.phases) == 0 })
}

// start starts tasks as far as there is room.
func (w *world) start(at, room int, putOff bool) {
	var inTime, late []*job
	for _, j := range w.jobs {
		switch {
		case len(j.phases) == 0 || j.running > 0 && !j.partly:
			// All of it has been started, or its next phase waits for this one.
		case j.startBy()+(100-surePart)*j.chain()/100 >= at:
			inTime = append(inTime, j)
		default:
			late = append(late, j)
		}
	}
	slices.SortStableFunc(inTime, func(a, b *job) int { return a.startBy() - b.startBy() })
	first, second := split(inTime, at, room, max(0, room-w.used), putOff)
	for _, j := range slices.Concat(first, second, late) {
		w.startPhase(j, at, room)
	}
}

func split(jobs []*job, at, room, free int, putOff bool) (first, second []*job) {
	items := make([]triage.Item, len(jobs))
	for number, j := range jobs {
		items[number] = triage.Item{
			CPU: len(j.phases[0]) * taskCPU, StartWithinMs: j.startBy() - at, Value: j.worth(meanTasks), RemainingWork: float64(j.rest()),
		}
	}
	put := make([]bool, len(jobs))
	if putOff {
		put = triage.Defer(items, triage.Capacity{FreeCPU: free, FreedCPUPerMs: float64(room) / taskMs})
	}
	for number, j := range jobs {
		if put[number] {
			second = append(second, j)
		} else {
			first = append(first, j)
		}
	}
	return first, second
}

// startPhase starts what finds room of a job's present phase.
func (w *world) startPhase(j *job, at, room int) {
	for w.used+taskCPU <= room {
		tasks := j.phases[0]
		w.used += taskCPU
		j.running++
		w.ends[at+tasks[0]] = append(w.ends[at+tasks[0]], j)
		j.phases[0], j.partly = tasks[1:], true
		if len(j.phases[0]) == 0 {
			j.phases, j.partly = j.phases[1:], false
			return
		}
	}
}

// TestPatterns compares what is in time with and without putting off, for the loads that
// the users' days bring.
func TestPatterns(t *testing.T) {
	for _, p := range patterns() {
		t.Run(p.name, func(t *testing.T) {
			without, with := play(p, false), play(p, true)
			t.Logf("in time: %.0f tasks' worth in order of urgency, %.0f with some put off", without, with)
			assert.Assert(t, with >= p.gain*without)
		})
	}
}

// TestNothingIsPutOffWhileThereIsRoom for all.
func TestNothingIsPutOffWhileThereIsRoom(t *testing.T) {
	items := []triage.Item{{CPU: 900, StartWithinMs: 0, Value: 1, RemainingWork: 1}, {CPU: 900, StartWithinMs: 500, Value: 1, RemainingWork: 9}}
	assert.DeepEqual(t, triage.Defer(items, triage.Capacity{FreeCPU: 1800}), []bool{false, false})
}

// TestWhatIsNearlyDoneGoesOn before what has just come, though it is worth no more.
func TestWhatIsNearlyDoneGoesOn(t *testing.T) {
	items := []triage.Item{{CPU: 900, StartWithinMs: 0, Value: 6, RemainingWork: 6}, {CPU: 900, StartWithinMs: 0, Value: 6, RemainingWork: 1}}
	assert.DeepEqual(t, triage.Defer(items, triage.Capacity{FreeCPU: 900}), []bool{true, false})
}

// TestNoOrderOfItemsIsAskedTwice in a way that changes: the same items are put off again.
func TestNoOrderOfItemsIsAskedTwice(t *testing.T) {
	items := make([]triage.Item, 50)
	for at := range items {
		items[at] = triage.Item{CPU: 900, StartWithinMs: 100, Value: 6, RemainingWork: 6}
	}
	room := triage.Capacity{FreeCPU: 9000, FreedCPUPerMs: 9}
	first := triage.Defer(items, room)
	for range 10 {
		assert.DeepEqual(t, triage.Defer(items, room), first)
	}
}

// BenchmarkDefer decides for a thousand phases, ten times as many as wait on a bad day.
func BenchmarkDefer(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	items := make([]triage.Item, 1000)
	for at := range items {
		items[at] = triage.Item{CPU: 5400, StartWithinMs: at, Value: 6, RemainingWork: 1 + 20*random.Float64()}
	}
	for b.Loop() {
		triage.Defer(items, triage.Capacity{FreeCPU: 9000, FreedCPUPerMs: 300})
	}
}
