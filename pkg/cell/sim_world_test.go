package cell_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/crash"
	"damsonwinch/pkg/eventqueue"
	"damsonwinch/pkg/wire"
)

// Limits of the simulated cell, and durations of a simulation.
const (
	simMaxLease     = 4 * time.Second
	simRenewalGrace = 1500 * time.Millisecond
	simMaxStopTime  = 400 * time.Millisecond
	// simFaultTime is how long faults are injected. simRecoveryTime is how long the simulation goes
	// on without faults after that; then all work must be done. If work is left and some of it gets
	// done in each simExtensionStep, the recovery time is extended, to at most twice its length.
	simFaultTime     = 12 * time.Second
	simRecoveryTime  = 25 * time.Second
	simExtensionStep = 3 * time.Second
)

// defaultBoxes is the number of boxes in most simulations.
const defaultBoxes = 3

// mutation disables mechanisms, to show that the rules detect their absence.
type mutation struct {
	startBeforeRecord bool // Start requests are sent before the start is recorded.
	ackUnrecorded     bool // Polls acknowledge results that are not recorded.
	noFencing         bool // Endpoints accept requests with stale tokens.
	dropRuns          bool // Records do not say where attempts run.
	replyBeforeRecord bool // Clients get replies before the change is recorded.
	expireLeasesEarly bool // Owners assume that a lease lasts only 50 ms.
	commitAfterMove   bool // An owner still commits to its old stream after the snapshot for a new one.
	dropCrashes       bool // Records do not say how many endpoints were lost under a task.
	ignoreLosses      bool // The loss of an endpoint counts against no task.
	giveUpByCount     bool // A task is given up after the second loss, without probation.
	hideSuspensions   bool // Owners are not told for how long their machines were suspended.
	uncapped          bool // Jobs do not count against their customer's cap.
	hideStartTimes    bool // Endpoints do not report when they started.
	unboundCalls      bool // A later life under the same ID receives the requests that are meant for an earlier one.
	staleCapacity     bool // The capacity of an endpoint is trusted however old the report is.
	hideEvacuations   bool // Owners are not told which zones are evacuated.
	staleEvacuations  bool // What an owner knows of evacuations is trusted however old it is.
	hideUnseenRuns    bool // Reports don't count what runs in an evacuated zone while some endpoints don't answer.
	keepLostRuns      bool // Owners never take the leases of unreachable endpoints for expired, and get no lists of boxes.
	requestListsLate  bool // Lists of boxes count as requested when they arrive.
	listsLackCutOff   bool // Lists of boxes lack the endpoints that an owner is cut off from.
	mixUpSpecs        bool // Records hold the text of the first job for each job.
	mixUpCheckpoints  bool // Records assign each checkpoint to the next task of its job.
}

// world is a simulation of owners, a store, endpoints and clients on a fake clock and a fake
// network. Everything that happens follows from its seed.
type world struct {
	seed     uint64
	random   *rand.Rand
	now      time.Time
	events   eventqueue.Queue
	mutation mutation
	rules    *rules
	// streams holds the cell's streams. The last one is the newest and in use. streamDown says, by
	// index, for which of them the store refuses calls.
	streams    []*simStream
	streamDown map[int]bool
	// endpoints holds all lives of endpoints, and owners all owners, both in order of their starts.
	endpoints []*simEndpoint
	lifeCount int
	owners    []*simOwner
	// lastToken is the fencing token of the newest owner.
	lastToken int
	clients   []*simClient
	// behaviours holds, by job ID, how the job's tasks behave.
	behaviours map[string]taskBehaviour
	// boxCount is the number of boxes at the start.
	boxCount int
	// maxTaskTime is the longest run time of a task in the default jobs.
	maxTaskTime time.Duration
	// maxCompletionGap is how long the simulation may go on without a task being done while jobs
	// are unfinished. It is set where tasks and their retries take longer than simExtensionStep.
	maxCompletionGap time.Duration
	// maxLease is the longest lease that endpoints grant.
	maxLease time.Duration
	// resetsOnExit makes connections to an endpoint break as soon as it exits, as they do if only
	// the program crashes. Otherwise nothing tells the other side.
	resetsOnExit bool
	// promptPolls makes a waiting poll return as soon as a run ends. Otherwise it always waits for
	// MaxWait and returns what was true when it began to wait.
	promptPolls bool
	// maxAppendBytes is the size of the largest append, beyond which a commit is split. 0 means any size.
	maxAppendBytes int
	// splitCommits counts the commits that were split.
	splitCommits int
	// maxListedResults is how many results an endpoint lists in one reply; 0 for all.
	maxListedResults int
	// registry is set in simulations in which the capacity of boxes changes and endpoints start
	// whatever they are told to. It is nil in all others.
	registry *simRegistry
	// planner allocates a customer's cap. It is nil in simulations without a cap.
	planner *simPlanner
	// operator evacuates zones. It is nil in simulations without evacuations.
	operator *simOperator
	// mixed injects pairs of faults that overlap in time. It is nil in all other simulations.
	mixed *mixedFaults
	// fleet moves boxes between pools. It is nil in simulations without a fleet planner.
	fleet *simFleet
	// late leaves some requests to endpoints unanswered and carries them out late. It is nil in most
	// simulations.
	late *lateRequests
	// sharedIDs gives all lives on a box the same ID.
	sharedIDs bool
	// quickRestarts makes boxes that crash start their next life while calls to the one before may still wait for their
	// connections, and register it soon after.
	quickRestarts bool
	// boxListLag is how long lists of boxes lack a life that has started after the beginning of the simulation.
	boxListLag time.Duration
	// firstClockMs is what the clock of an endpoint shows when it starts.
	firstClockMs int
	// connections are the connections of owners to endpoints. They are nil in most simulations, in which each call stands alone.
	connections *simConnections
	// restartFaults restarts endpoints beside takeovers. It is nil in most simulations.
	restartFaults *restartFaults
	startedAt     time.Time
	// requestDelayed is set while a request is handled long after it was sent.
	requestDelayed bool
	// disturbedAt is when the last fault was present in simulations without mixed faults.
	disturbedAt time.Time
	// restarts checks that long-running tasks run again.
	restarts *restartRule
	// checkpoints checks the checkpoints with which runs are started.
	checkpoints *checkpointRule
	// removals checks the runs that the newest owner removes.
	removals *removalRule
	// faultsOn is set while faults may occur.
	faultsOn bool
	// boxMilliCPU is the CPU of each box. In some simulations there is little.
	boxMilliCPU int
	// cuts holds the pairs of an owner and a box that can't reach each other, each as the
	// concatenation of their names.
	cuts map[string]bool
	log  []string
}

// taskBehaviour says how the tasks of a job behave.
type taskBehaviour struct {
	need        damsonwinch.Resources
	duration    time.Duration
	failureRate float64
	longRunning bool
	// maxUptime is the longest time after which a long-running task fails. With 0 it never fails.
	maxUptime time.Duration
	// crashes is set if the task with index crashIndex in the first phase crashes each endpoint
	// that starts it, crashAfter after the start.
	crashes    bool
	crashIndex int
	crashAfter time.Duration
}

func newWorld(seed uint64, m mutation) *world {
	w := &world{
		seed: seed, random: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_700_000_000_000), mutation: m,
		streams: []*simStream{newSimStream()}, streamDown: map[int]bool{}, behaviours: map[string]taskBehaviour{}, faultsOn: true, cuts: map[string]bool{},
		boxCount: defaultBoxes, maxLease: simMaxLease, maxTaskTime: 1500 * time.Millisecond, firstClockMs: 1000,
	}
	w.rules, w.restarts, w.startedAt = newRules(w), newRestartRule(w), w.now
	w.checkpoints, w.removals = newCheckpointRule(w), newRemovalRule(w)
	w.boxMilliCPU = 5000 + 1000*w.random.IntN(5)
	return w
}

// at schedules an action at the given time.
func (w *world) at(at time.Time, action func()) {
	w.events.Schedule(at, action)
}

// after schedules an action after a delay.
func (w *world) after(delay time.Duration, action func()) {
	w.at(w.now.Add(delay), action)
}

// randomDuration returns a random duration from low to high.
func (w *world) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// chance returns true with the given probability while faults may occur, and false otherwise.
func (w *world) chance(probability float64) bool {
	return w.faultsOn && (w.mixed == nil || w.mixed.disturbed()) && (w.late == nil || !w.late.measures) && w.random.Float64() < probability
}

// behaviourOf returns how a task behaves.
func (w *world) behaviourOf(id damsonwinch.TaskID) taskBehaviour {
	return w.behaviours[id.Job]
}

// logf adds a line to the log, with the time since the start in seconds.
func (w *world) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%7.3f ", w.now.Sub(time.UnixMilli(1_700_000_000_000)).Seconds())+fmt.Sprintf(format, args...))
}

// run runs the events up to the given time, or until a rule is violated.
func (w *world) run(until time.Time) {
	for w.rules.violation == "" {
		at, action, found := w.events.PopUntil(until)
		if !found {
			break
		}
		w.now = at
		action()
	}
	w.now = until
	w.removals.report()
}

// addEndpoint starts a new life on a box. In simulations with shared IDs the registry lists it only
// after a delay, unless the simulation is just starting.
func (w *world) addEndpoint(box string) {
	w.lifeCount++
	life := damsonwinch.Life{ID: fmt.Sprintf("life-%d", w.lifeCount)}
	address := fmt.Sprintf("addr-%d", w.lifeCount)
	if w.sharedIDs {
		// A box's clock may also be set back, so later lives may have earlier start times.
		life, address = damsonwinch.Life{ID: "on-" + box, StartedUnixMs: 1 + w.random.IntN(math.MaxInt32)}, "addr-"+box
	}
	delay := time.Duration(0)
	if w.sharedIDs && w.now.After(w.startedAt) {
		delay = w.randomDuration(0, w.maxRegistrationDelay())
	}
	w.endpoints = append(w.endpoints, &simEndpoint{
		world: w, registrationDelay: delay, clockRate: 0.98 + 0.04*w.random.Float64(), startedAt: w.now, runs: map[damsonwinch.Run]*simRun{}, lastAttempts: map[damsonwinch.TaskID]int{},
		info: damsonwinch.Endpoint{
			Life: life, Box: box, Address: address, Pool: "pool", Zone: w.operator.zoneOf(box),
			Capacity: damsonwinch.Resources{MilliCPU: w.boxMilliCPU, MemoryMB: 8000},
		},
	})
	if w.registry != nil {
		w.endpoints[len(w.endpoints)-1].register()
	}
}

// newestLife returns the newest life with the given ID, or nil. Calls to that ID reach it.
func (w *world) newestLife(id string) *simEndpoint {
	for _, e := range slices.Backward(w.endpoints) {
		if e.info.Life.ID == id {
			return e
		}
	}
	return nil
}

// listedEndpoints returns the endpoints that the registry lists.
func (w *world) listedEndpoints() []damsonwinch.Endpoint {
	if w.registry != nil {
		return w.registeredEndpoints()
	}
	if w.mixed != nil {
		return w.mixed.registrations()
	}
	if w.sharedIDs {
		return w.registeredLives()
	}
	var listed []damsonwinch.Endpoint
	for _, e := range w.endpoints {
		if !e.exited {
			listed = append(listed, e.info)
		}
	}
	return listed
}

// boxList returns the platform's list of boxes, without those that are down.
func (w *world) boxList() []damsonwinch.Box {
	var boxes []damsonwinch.Box
	for _, e := range w.endpoints {
		if !e.exited && !(w.mutation.listsLackCutOff && w.isCutOff(e)) && !w.isMissingInLists(e) {
			boxes = append(boxes, damsonwinch.Box{Name: e.info.Box, State: damsonwinch.BoxUp, EndpointID: e.info.Life.ID})
		}
	}
	return boxes
}

// isMissingInLists reports whether lists of boxes lack a life that has just started.
func (w *world) isMissingInLists(e *simEndpoint) bool {
	return e.startedAt.After(w.startedAt) && w.now.Sub(e.startedAt) < w.boxListLag
}

// isCutOff reports whether an owner is cut off from an endpoint.
func (w *world) isCutOff(e *simEndpoint) bool {
	return slices.ContainsFunc(w.owners, func(o *simOwner) bool { return w.cuts[o.name+e.info.Box] })
}

// simStream is a stream of the store. It holds the newest record of each key.
type simStream struct {
	newest map[string][]byte
	epoch  int
	// lastSequence is the highest sequence number that was appended in this epoch.
	lastSequence int
}

func newSimStream() *simStream {
	return &simStream{newest: map[string][]byte{}}
}

// append works as in the store: it appends all records or none, refuses earlier epochs, and appends
// each sequence number once.
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

// records returns the newest record of each key, sorted by key.
func (s *simStream) records() []damsonwinch.Record {
	var sorted []damsonwinch.Record
	for key, value := range s.newest {
		sorted = append(sorted, damsonwinch.Record{Key: key, Value: value})
	}
	slices.SortFunc(sorted, func(a, b damsonwinch.Record) int { return cmp.Compare(a.Key, b.Key) })
	return sorted
}

// simOptions returns the options of the simulated cell, changed as the mutation demands.
func simOptions(m mutation) cell.Options {
	return disableOptions(m, cell.Options{
		MaxLease: simMaxLease, RenewalGrace: simRenewalGrace, MaxStopTime: simMaxStopTime, MaxStartDelay: time.Second, MinCommitInterval: 10 * time.Millisecond,
		PollWait: 300 * time.Millisecond, IdlePollInterval: time.Second, PollRetryInterval: 200 * time.Millisecond, EndedJobRetention: time.Minute,
	})
}

// disableOptions returns options changed as the mutation demands.
func disableOptions(m mutation, options cell.Options) cell.Options {
	if m.expireLeasesEarly {
		options.MaxLease, options.RenewalGrace = 50*time.Millisecond, 0
	}
	if m.keepLostRuns {
		options.MaxLease = time.Hour
	}
	switch {
	case m.ignoreLosses:
		options.CrashRules = crash.Rules{SuspectAge: -1, ProofWeight: math.MaxInt, MaxLosses: math.MaxInt}
	case m.giveUpByCount:
		options.CrashRules = crash.Rules{SuspectAge: -1, MaxCrashAge: time.Hour, ProofWeight: math.MaxInt, MaxLosses: 2}
	}
	return options
}

// simQueues are the queues of all simulations. Most of them use only the first.
var simQueues = []damsonwinch.Queue{
	{Name: "queue", Pool: "pool", MaxAttempts: 3, DeadlineFactor: 1.6, TargetLatency: 600 * time.Millisecond},
	{Name: "second", Pool: "pool", MaxAttempts: 3, DeadlineFactor: 1.6, TargetLatency: 600 * time.Millisecond},
}

// simSpec returns the specification of a job with the given phases.
func simSpec(phases ...wire.Phase) wire.JobSpec {
	return wire.JobSpec{Text: "text", Phases: phases}
}
