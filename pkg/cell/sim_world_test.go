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
	simMaxLease     = 4 * time.Second
	simRenewalGrace = 1500 * time.Millisecond
	simMaxStopTime  = 400 * time.Millisecond
	// simFaultTime is how long things go wrong, and simCalm how long they go right
	// afterwards, until everything must be done. Where work is left and some of it is done
	// in each simStep, the calm goes on, at most for as long again.
	simFaultTime     = 12 * time.Second
	simRecoveryTime  = 25 * time.Second
	simExtensionStep = 3 * time.Second
)

// defaultBoxes is the number of boxes of most runs.
const defaultBoxes = 3

// mutation takes out a mechanism, to show that the rules see it missing.
type mutation struct {
	startBeforeRecord bool // Starts are ordered before their record is there.
	ackUnrecorded     bool // Endpoints forget ends that are not recorded.
	noFencing         bool // Endpoints follow old owners.
	dropRuns          bool // Records don't say where attempts run.
	replyBeforeRecord bool // Clients are answered before the record is there.
	expireLeasesEarly bool // Leases are taken to be over at once.
	commitAfterMove   bool // An owner goes on with its old stream after a snapshot for a new one.
	dropCrashes       bool // Records don't say how many endpoints have ended under a task.
	ignoreLosses      bool // The ends of endpoints count against nobody.
	giveUpByCount     bool // A task is given up with the second end, without a trial.
	hideSuspensions   bool // An owner isn't told for how long its machine was suspended.
	uncapped          bool // Jobs aren't counted against their customer's cap.
	hideStartTimes    bool // Endpoints don't say when they were born.
	staleCapacity     bool // What was known of an endpoint's room counts however old it is.
}

// world is one run of owners, a stream, endpoints and clients on a fake clock and
// a fake network. Everything that happens follows from its seed.
type world struct {
	random   *rand.Rand
	now      time.Time
	agenda   agenda.Queue
	mutation mutation
	rules    *rules
	// streams are those that the cell has had, the newest last, and out says of which the
	// store turns calls away.
	streams    []*simStream
	streamDown map[int]bool
	endpoints  []*simEndpoint
	lifeCount  int
	owners     []*simOwner
	lastToken  int
	clients    []*simClient
	behaviours map[string]taskBehaviour // By job.
	// boxCount is the number of boxes at the start.
	boxCount int
	// maxTaskTime is the time of the maxTaskTime tasks.
	maxTaskTime time.Duration
	// maxCompletionGap is how long a task may take with its attempts where that is long.
	maxCompletionGap time.Duration
	// resetsOnExit says that connections to an endpoint that ends break at once, as those to a
	// program that crashes do; otherwise nothing tells.
	resetsOnExit bool
	// promptPolls says that a look that waits tells of an end at once; otherwise it shows what
	// was when it began to wait.
	promptPolls bool
	// registry is the registry where boxes change their registry, and endpoints start whatever they
	// are told; nil in other runs.
	registry *simRegistry
	// planner deals a customer's cap, in runs with one.
	planner *simPlanner
	// sharedIDs says that the lives on a box share an ID.
	sharedIDs bool
	startedAt time.Time
	// requestDelayed says that the order being carried out comes long after it was sent.
	requestDelayed bool
	// faultsOn says that things may go wrong.
	faultsOn bool
	// boxMilliCPU is the room of a box: in some runs there is little.
	boxMilliCPU int
	// cutAt tells, by owner and box, whether they can't reach each other.
	cuts map[string]bool
	log  []string
}

// taskBehaviour is how the tasks of a job behave.
type taskBehaviour struct {
	need        damsonwinch.Resources
	duration    time.Duration
	failureRate float64
	longRunning bool
	// crashes says that each endpoint that starts one of its tasks, one of the first phase,
	// ends so long after that.
	crashes    bool
	crashIndex int
	crashAfter time.Duration
}

func newWorld(seed uint64, broken mutation) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_700_000_000_000), mutation: broken,
		streams: []*simStream{newSimStream()}, streamDown: map[int]bool{}, behaviours: map[string]taskBehaviour{}, faultsOn: true, cuts: map[string]bool{},
		boxCount: defaultBoxes, maxTaskTime: 1500 * time.Millisecond,
	}
	w.rules, w.startedAt = newRules(w), w.now
	w.boxMilliCPU = 5000 + 1000*w.random.IntN(5)
	return w
}

func (w *world) at(at time.Time, do func()) {
	w.agenda.Schedule(at, do)
}

func (w *world) after(length time.Duration, do func()) {
	w.at(w.now.Add(length), do)
}

func (w *world) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

func (w *world) chance(part float64) bool {
	return w.faultsOn && w.random.Float64() < part
}

func (w *world) behaviourOf(id damsonwinch.TaskID) taskBehaviour {
	return w.behaviours[id.Job]
}

func (w *world) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%7.3f ", w.now.Sub(time.UnixMilli(1_700_000_000_000)).Seconds())+fmt.Sprintf(format, args...))
}

// run lets events happen until a moment or until a rule is broken.
func (w *world) run(until time.Time) {
	for w.rules.violation == "" {
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
	w.lifeCount++
	life := damsonwinch.Life{ID: fmt.Sprintf("life-%d", w.lifeCount)}
	address := fmt.Sprintf("addr-%d", w.lifeCount)
	if w.sharedIDs {
		// Boxes' clocks are set back as well as forth.
		life, address = damsonwinch.Life{ID: "on-" + box, StartedUnixMs: 1 + w.random.IntN(math.MaxInt32)}, "addr-"+box
	}
	lag := time.Duration(0)
	if w.sharedIDs && w.now.After(w.startedAt) {
		lag = w.randomDuration(0, maxRegistrationDelay)
	}
	w.endpoints = append(w.endpoints, &simEndpoint{
		world: w, registrationDelay: lag, drift: 0.98 + 0.04*w.random.Float64(), startedAt: w.now, runs: map[damsonwinch.Run]*simRun{}, lastAttempts: map[damsonwinch.TaskID]int{},
		info: damsonwinch.Endpoint{
			Life: life, Box: box, Address: address, Pool: "pool",
			Capacity: damsonwinch.Resources{MilliCPU: w.boxMilliCPU, MemoryMB: 8000},
		},
	})
	if w.registry != nil {
		w.endpoints[len(w.endpoints)-1].register()
	}
}

// newestLife returns what answers under a life's ID: the newest life that it names.
func (w *world) newestLife(id string) *simEndpoint {
	for _, e := range slices.Backward(w.endpoints) {
		if e.info.Life.ID == id {
			return e
		}
	}
	return nil
}

// listedEndpoints are the endpoints that the registry shows.
func (w *world) listedEndpoints() []damsonwinch.Endpoint {
	if w.registry != nil {
		return w.registeredEndpoints()
	}
	if w.sharedIDs {
		return w.registeredLives()
	}
	var found []damsonwinch.Endpoint
	for _, e := range w.endpoints {
		if !e.exited {
			found = append(found, e.info)
		}
	}
	return found
}

// boxList is the platform's list of boxList.
func (w *world) boxList() []damsonwinch.Box {
	var found []damsonwinch.Box
	for _, e := range w.endpoints {
		if !e.exited {
			found = append(found, damsonwinch.Box{Name: e.info.Box, State: damsonwinch.BoxUp, EndpointID: e.info.Life.ID})
		}
	}
	return found
}

// simStream is a stream of the store.
type simStream struct {
	newest       map[string][]byte
	epoch        int
	lastSequence int // Highest sequence that counted in this epoch.
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
		s.epoch, s.lastSequence = epoch, sequence
	case sequence <= s.lastSequence:
		return nil
	case sequence != s.lastSequence+1:
		return damsonwinch.ErrOutOfSequence
	default:
		s.lastSequence = sequence
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

func simOptions(broken mutation) cell.Options {
	options := cell.Options{
		MaxLease: simMaxLease, RenewalGrace: simRenewalGrace, MaxStopTime: simMaxStopTime, MaxStartDelay: time.Second, MinCommitInterval: 10 * time.Millisecond,
		PollWait: 300 * time.Millisecond, IdlePollInterval: time.Second, PollRetryInterval: 200 * time.Millisecond, EndedJobRetention: time.Minute,
	}
	if broken.expireLeasesEarly {
		options.MaxLease, options.RenewalGrace = 50*time.Millisecond, 0
	}
	switch {
	case broken.ignoreLosses:
		options.CrashRules = crash.Rules{SuspectAge: -1, ProofWeight: math.MaxInt, MaxLosses: math.MaxInt}
	case broken.giveUpByCount:
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
