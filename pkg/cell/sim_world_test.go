package cell_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/agenda"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/crash"
	"damsonwinch/pkg/wire"
)

// Times of the simulation.
const (
	simLease = 4 * time.Second
	simGrace = 1500 * time.Millisecond
	simStop  = 400 * time.Millisecond
	// simTrouble is how long things go wrong, and simCalm how long they go right
	// afterwards, until everything must be done. Where work is left and some of it is done
	// in each simStep, the calm goes on, at most for as long again.
	simTrouble = 12 * time.Second
	simCalm    = 25 * time.Second
	simStep    = 3 * time.Second
)

// usualBoxes is the number of boxes of most runs.
const usualBoxes = 3

// sabotage takes out a mechanism, to show that the rules see it missing.
type sabotage struct {
	startBeforeRecord bool // Starts are ordered before their record is there.
	forgetEarly       bool // Endpoints forget ends that are not recorded.
	noFencing         bool // Endpoints follow old owners.
	dropRuns          bool // Records don't say where attempts run.
	answerEarly       bool // Clients are answered before the record is there.
	impatient         bool // Leases are taken to be over at once.
	moveAndCommit     bool // An owner goes on with its old stream after a snapshot for a new one.
	dropCrashes       bool // Records don't say how many endpoints have ended under a task.
	blameNobody       bool // The ends of endpoints count against nobody.
	blameByCount      bool // A task is given up with the second end, without a trial.
	sleepless         bool // An owner isn't told for how long its machine was suspended.
	uncapped          bool // Jobs aren't counted against their customer's cap.
	idsAlone          bool // Endpoints don't say when they were born.
	oldRoom           bool // What was known of an endpoint's room counts however old it is.
}

// world is one run of owners, a stream, endpoints and clients on a fake clock and
// a fake network. Everything that happens follows from its seed.
type world struct {
	random   *rand.Rand
	now      time.Time
	agenda   agenda.Queue
	sabotage sabotage
	rules    *rules
	// streams are those that the cell has had, the newest last, and out says of which the
	// store turns calls away.
	streams   []*simStream
	out       map[int]bool
	endpoints []*simEndpoint
	lives     int
	owners    []*simOwner
	token     int
	clients   []*simClient
	tasks     map[string]simTask // By job.
	// boxCount is the number of boxes at the start.
	boxCount int
	// longest is the time of the longest tasks.
	longest time.Duration
	// lastingWork is how long a task may take with its attempts where that is long.
	lastingWork time.Duration
	// resets says that connections to an endpoint that ends break at once, as those to a
	// program that crashes do; otherwise nothing tells.
	resets bool
	// attentive says that a look that waits tells of an end at once; otherwise it shows what
	// was when it began to wait.
	attentive bool
	// room is the registry where boxes change their room, and endpoints start whatever they
	// are told; nil in other runs.
	room *simRooms
	// caps deals a customer's cap, in runs with one.
	caps *simCaps
	// reborn says that the lives on a box share an ID.
	reborn  bool
	beganAt time.Time
	// late says that the order being carried out comes long after it was sent.
	late bool
	// trouble says that things may go wrong.
	trouble bool
	// boxCPU is the room of a box: in some runs there is little.
	boxCPU int
	// cutAt tells, by owner and box, whether they can't reach each other.
	cuts map[string]bool
	log  []string
}

// simTask is how the tasks of a job behave.
type simTask struct {
	need    damsonwinch.Resources
	length  time.Duration
	failing float64
	lasting bool
	// crashes says that each endpoint that starts one of its tasks, one of the first phase,
	// ends so long after that.
	crashes    bool
	crashIndex int
	crashAfter time.Duration
}

func newWorld(seed uint64, broken sabotage) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_700_000_000_000), sabotage: broken,
		streams: []*simStream{newSimStream()}, out: map[int]bool{}, tasks: map[string]simTask{}, trouble: true, cuts: map[string]bool{},
		boxCount: usualBoxes, longest: 1500 * time.Millisecond,
	}
	w.rules, w.beganAt = newRules(w), w.now
	w.boxCPU = 5000 + 1000*w.random.IntN(5)
	return w
}

func (w *world) at(at time.Time, do func()) {
	w.agenda.Schedule(at, do)
}

func (w *world) after(length time.Duration, do func()) {
	w.at(w.now.Add(length), do)
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

func (w *world) chance(part float64) bool {
	return w.trouble && w.random.Float64() < part
}

func (w *world) task(id damsonwinch.TaskID) simTask {
	return w.tasks[id.Job]
}

func (w *world) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%7.3f ", w.now.Sub(time.UnixMilli(1_700_000_000_000)).Seconds())+fmt.Sprintf(format, args...))
}

// run lets events happen until a moment or until a rule is broken.
func (w *world) run(until time.Time) {
	for w.rules.broken == "" {
		at, do, found := w.agenda.PopUntil(until)
		if !found {
			break
		}
		w.now = at
		do()
	}
	w.now = until
}

// addEndpoint starts a new life on a box.
func (w *world) addEndpoint(box string) {
	w.lives++
	life := damsonwinch.Life{ID: fmt.Sprintf("life-%d", w.lives)}
	address := fmt.Sprintf("addr-%d", w.lives)
	if w.reborn {
		// Boxes' clocks are set back as well as forth.
		life, address = damsonwinch.Life{ID: "on-" + box, StartedUnixMs: 1 + w.random.IntN(math.MaxInt32)}, "addr-"+box
	}
	lag := time.Duration(0)
	if w.reborn && w.now.After(w.beganAt) {
		lag = w.between(0, mostEntryLag)
	}
	w.endpoints = append(w.endpoints, &simEndpoint{
		world: w, entryLag: lag, drift: 0.98 + 0.04*w.random.Float64(), bornAt: w.now, runs: map[damsonwinch.Run]*simRun{}, highest: map[damsonwinch.TaskID]int{},
		info: damsonwinch.Endpoint{
			Life: life, Box: box, Address: address, Pool: "pool",
			Capacity: damsonwinch.Resources{MilliCPU: w.boxCPU, MemoryMB: 8000},
		},
	})
	if w.room != nil {
		w.endpoints[len(w.endpoints)-1].beat()
	}
}

// endpoint returns what answers under a life's ID: the newest life that it names.
func (w *world) endpoint(id string) *simEndpoint {
	for _, e := range slices.Backward(w.endpoints) {
		if e.info.Life.ID == id {
			return e
		}
	}
	return nil
}

// listed are the endpoints that the registry shows.
func (w *world) listed() []damsonwinch.Endpoint {
	if w.room != nil {
		return w.listedRooms()
	}
	if w.reborn {
		return w.listedLives()
	}
	var found []damsonwinch.Endpoint
	for _, e := range w.endpoints {
		if !e.dead {
			found = append(found, e.info)
		}
	}
	return found
}

// boxes is the platform's list of boxes.
func (w *world) boxes() []damsonwinch.Box {
	var found []damsonwinch.Box
	for _, e := range w.endpoints {
		if !e.dead {
			found = append(found, damsonwinch.Box{Name: e.info.Box, State: damsonwinch.BoxUp, EndpointID: e.info.Life.ID})
		}
	}
	return found
}

// simStream is a stream of the store.
type simStream struct {
	newest map[string][]byte
	epoch  int
	last   int // Highest sequence that counted in this epoch.
}

func newSimStream() *simStream {
	return &simStream{newest: map[string][]byte{}}
}

// append is as the store has it: all or nothing, fenced, each sequence once.
func (s *simStream) append(epoch, sequence int, records []damsonwinch.Record) error {
	switch {
	case epoch < s.epoch:
		return damsonwinch.ErrFenced
	case epoch > s.epoch:
		s.epoch, s.last = epoch, sequence
	case sequence <= s.last:
		return nil
	case sequence != s.last+1:
		return damsonwinch.ErrOutOfSequence
	default:
		s.last = sequence
	}
	for _, record := range records {
		if len(record.Value) == 0 {
			delete(s.newest, record.Key)
			continue
		}
		s.newest[record.Key] = record.Value
	}
	return nil
}

func (s *simStream) records() []damsonwinch.Record {
	var found []damsonwinch.Record
	for key, value := range s.newest {
		found = append(found, damsonwinch.Record{Key: key, Value: value})
	}
	slices.SortFunc(found, func(a, b damsonwinch.Record) int { return cmp.Compare(a.Key, b.Key) })
	return found
}

func simOptions(broken sabotage) cell.Options {
	options := cell.Options{
		MaxLease: simLease, RenewalGrace: simGrace, MaxStopTime: simStop, MaxStartDelay: time.Second, MinCommitInterval: 10 * time.Millisecond,
		PollWait: 300 * time.Millisecond, IdlePollInterval: time.Second, PollRetryInterval: 200 * time.Millisecond, EndedJobRetention: time.Minute,
	}
	if broken.impatient {
		options.MaxLease, options.RenewalGrace = 50*time.Millisecond, 0
	}
	switch {
	case broken.blameNobody:
		options.CrashRules = crash.Rules{SuspectAge: -1, ProofWeight: math.MaxInt, MaxLosses: math.MaxInt}
	case broken.blameByCount:
		options.CrashRules = crash.Rules{SuspectAge: -1, MaxCrashAge: time.Hour, ProofWeight: math.MaxInt, MaxLosses: 2}
	}
	return options
}

var simQueues = []damsonwinch.Queue{
	{Name: "queue", Pool: "pool", MaxAttempts: 3, DeadlineFactor: 1.6, TargetLatency: 600 * time.Millisecond},
	{Name: "second", Pool: "pool", MaxAttempts: 3, DeadlineFactor: 1.6, TargetLatency: 600 * time.Millisecond},
}

func simSpec(phases ...wire.Phase) wire.JobSpec {
	return wire.JobSpec{Text: "text", Phases: phases}
}
