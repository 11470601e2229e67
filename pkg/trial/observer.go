package trial

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"damsonwinch"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/process"
	"damsonwinch/pkg/wire"
)

// observeInterval is the time between two checks of an observer.
const observeInterval = 20 * time.Millisecond

// observer reads the log of the stand-in platform directly. It compares the fleet's
// state in the log with the tables that the processes have in force and with the
// endpoints that serve.
type observer struct {
	cluster *Cluster
	cancel  context.CancelFunc
	group   errgroup.Group
	mutex   sync.Mutex
	state   fleetstate.State
	// acceptedAt is when each table version entered the log.
	acceptedAt map[int]time.Time
	// versionInForce holds, by process, the highest table version that the process had
	// in force. The keys are of type *process.Entry and *process.Keeper.
	versionInForce map[any]int
	moved          int // The number of boxes that left a pool.
	maintained     int // The number of boxes whose maintenance ended.
	// belowFloor counts the checks that found a pool with too few slots for its floors,
	// and versionReverted those that found a process with an older table than before.
	belowFloor      int
	versionReverted int
	// maxRollout is the longest time from the acceptance of a table in the log until a
	// process had it in force.
	maxRollout time.Duration
	// checkingFloors is set by startFloorChecks.
	checkingFloors bool
}

// startObserver starts an observer that checks the cluster every observeInterval until
// stop.
func startObserver(c *Cluster) (*observer, error) {
	initialState, err := process.InitialState()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	o := &observer{cluster: c, cancel: cancel, state: initialState, acceptedAt: map[int]time.Time{}, versionInForce: map[any]int{}}
	o.group.Go(func() error {
		o.run(ctx)
		return nil
	})
	return o, nil
}

// stop ends the checks and waits for the last one.
func (o *observer) stop() {
	o.cancel()
	_ = o.group.Wait()
}

// run calls observe every observeInterval until the context ends.
func (o *observer) run(ctx context.Context) {
	ticker := o.cluster.clock.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			o.observe()
		}
	}
}

// observe reads the new records of the log, and then checks the processes and the
// pools once.
func (o *observer) observe() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	const maxRecords = 1000
	// Peek reads the log even while its injected faults make reads fail.
	records := o.cluster.Platform.Log.Peek(damsonwinch.StreamFleet, o.state.Offset(), maxRecords)
	for _, record := range records {
		o.apply(record)
	}
	o.checkVersions()
	o.checkFloors()
}

// apply applies a log record to the observer's state, and counts the moves and the
// maintenance that it completes.
func (o *observer) apply(record wire.Entry) {
	previous := o.state
	next, results := previous.Apply(record)
	o.state = next
	if next.Table().Version() > previous.Table().Version() {
		o.acceptedAt[next.Table().Version()] = time.UnixMilli(int64(record.At))
	}
	for _, result := range results {
		if result.Accepted {
			o.countChange(result, previous, next)
		}
	}
}

// countChange counts a box if an accepted proposal has taken it out of a pool or ended
// its maintenance. previous and next are the states before and after the proposal's
// record.
func (o *observer) countChange(result fleetstate.Result, previous, next fleetstate.State) {
	change := result.Proposal.Change
	if change == nil {
		return
	}
	before, _ := previous.Box(change.Box)
	after, _ := next.Box(change.Box)
	if before.Pool != after.Pool && before.Pool != fleetstate.FreePool {
		o.moved++
	}
	if result.Proposal.Kind == wire.KindBack {
		o.maintained++
	}
}

// checkVersions calls checkVersion for each running process.
func (o *observer) checkVersions() {
	for _, node := range o.cluster.Nodes {
		node.mutex.Lock()
		entry, keeper, stopped := node.entryProcess, node.keeperProcess, node.stopped
		node.mutex.Unlock()
		if entry != nil && !stopped {
			o.checkVersion(entry, entry.Metrics.Count("table_version"))
		}
		if keeper != nil {
			o.checkVersion(keeper, keeper.Metrics.Count("table_version"))
		}
	}
}

// checkVersion counts a process that has an older table version than before. For newer
// versions it measures the time from their acceptance until now.
func (o *observer) checkVersion(process any, version int) {
	previous, found := o.versionInForce[process]
	if found && version < previous {
		o.versionReverted++
	}
	if !found {
		// A process that has just started has no table yet. It is checked from the time
		// when it first has the newest one.
		if version == o.state.Table().Version() {
			o.versionInForce[process] = version
		}
		return
	}
	for newer := previous + 1; newer <= version; newer++ {
		if accepted, known := o.acceptedAt[newer]; known {
			o.maxRollout = max(o.maxRollout, o.cluster.clock.Since(accepted))
		}
	}
	o.versionInForce[process] = max(previous, version)
}

// checkFloors counts the pools whose serving boxes have fewer slots than their floors
// require. It asks the endpoints whether they serve, since the processes may not know
// it yet.
func (o *observer) checkFloors() {
	if !o.checkingFloors {
		return
	}
	slots := map[string]int{}
	for _, box := range o.state.Boxes() {
		if box.Phase == fleetstate.Serving && o.cluster.Endpoints[box.Info.Name].IsServing() {
			slots[box.Pool] += box.Info.Slots
		}
	}
	for _, pool := range o.state.Table().Deployment().Pools {
		if slots[pool] < o.state.Table().FloorSlots(pool) {
			o.belowFloor++
		}
	}
}

// startFloorChecks makes the observer check the floors from now on. The pools must
// have their boxes by then.
func (o *observer) startFloorChecks() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.checkingFloors = true
}

// currentState returns the state after the log records that the observer has read.
func (o *observer) currentState() fleetstate.State {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.state
}

// poolsFilled reports whether there is a table and every pool has the slots that its
// services need, even if its largest rack fails.
func (o *observer) poolsFilled() bool {
	state := o.currentState()
	if state.Table().Version() == 0 {
		return false
	}
	for _, pool := range state.Table().Deployment().Pools {
		if state.Headroom(pool) < 0 {
			return false
		}
	}
	return true
}

// dueBoxes returns the number of boxes that are up and still due for maintenance in the
// current wave.
func (o *observer) dueBoxes() int {
	state := o.currentState()
	count := 0
	for _, box := range state.Boxes() {
		if box.MaintainedAt < state.Table().Deployment().MaintainBefore && box.Health == wire.HealthUp {
			count++
		}
	}
	return count
}

// reportedViolations returns how many violations the processes reported, by the name
// of the invariant. A process reports the first violation of each invariant only.
func (c *Cluster) reportedViolations() map[string]int {
	c.violations.mutex.Lock()
	defer c.violations.mutex.Unlock()
	return maps.Clone(c.violations.counts)
}

// jsonLine returns a value as JSON on one line, or the text of the error if it can't be
// encoded.
func jsonLine(value any) string {
	line, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(line)
}
