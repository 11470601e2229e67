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

const observeInterval = 20 * time.Millisecond

// observer reads the log of the stand-in platform directly and checks against it
// which table the processes have in force and which boxes serve.
type observer struct {
	cluster *Cluster
	cancel  context.CancelFunc
	group   errgroup.Group
	mutex   sync.Mutex
	state   fleetstate.State
	// acceptedAt is when each table version entered the log.
	acceptedAt map[int]time.Time
	// versionInForce is the highest table version seen in force at each process,
	// which is a *process.Entry or a *process.Keeper.
	versionInForce map[any]int
	moved          int // Boxes that left a pool.
	maintained     int // Boxes whose maintenance ended.
	// belowFloor counts the checks that found a pool below its floor, and
	// versionReverted those that found an older table than before at a process.
	belowFloor      int
	versionReverted int
	// maxRollout is the longest time that a table took from its acceptance by the log
	// to its being in force at a process.
	maxRollout     time.Duration
	checkingFloors bool
}

// startObserver starts an observer that checks the cluster at each observeInterval
// until stop.
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

func (o *observer) stop() {
	o.cancel()
	_ = o.group.Wait()
}

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

func (o *observer) observe() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	const maxRecords = 1000
	// Peek reads the log in spite of the faults that the log simulates.
	records := o.cluster.Platform.Log.Peek(damsonwinch.StreamFleet, o.state.Offset(), maxRecords)
	for _, record := range records {
		o.apply(record)
	}
	o.checkVersions()
	o.checkFloors()
}

// apply applies a log record to the observer's state and counts what it changes.
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

// countChange counts a move or a maintenance that an accepted proposal has ended.
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

// checkVersions checks which table each running process has in force.
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

// checkVersion compares the table version of a process with the versions that it had
// before.
func (o *observer) checkVersion(process any, version int) {
	previous, found := o.versionInForce[process]
	if found && version < previous {
		o.versionReverted++
	}
	if !found {
		// A process that has just started has no table yet. It counts from when it has
		// the newest one.
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

// checkFloors checks whether the boxes of each pool give the slots of its floors. It
// asks the endpoints whether they serve, since the processes may not know it.
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

// poolsFilled says whether there is a table and every pool has the slots that its
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

// dueBoxes counts the boxes that are up and still due for maintenance in the wave.
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

// jsonLine returns a value as JSON on one line, or the error's text.
func jsonLine(value any) string {
	line, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(line)
}
