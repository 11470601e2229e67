package trial

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"damsonwinch"
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/process"
	"damsonwinch/pkg/wire"
)

const observeEvery = 20 * time.Millisecond

// observer reads the platform's log for itself and compares what the processes
// have in force with it.
type observer struct {
	cluster *Cluster
	cancel  context.CancelFunc
	group   errgroup.Group
	mutex   sync.Mutex
	state   fold.State
	// publishedAt is when each table version entered the log.
	publishedAt map[int]time.Time
	// versions is the highest version seen in force at each process.
	versions   map[any]int
	moved      int
	maintained int
	belowFloor int
	reverted   int
	rolloutMax time.Duration
	watching   bool
}

func startObserver(c *Cluster) (*observer, error) {
	empty, err := process.InitialState()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	o := &observer{cluster: c, cancel: cancel, state: empty, publishedAt: map[int]time.Time{}, versions: map[any]int{}}
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
	ticker := o.cluster.clock.NewTicker(observeEvery)
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
	const most = 1000
	// The observer reads past the log's faults: it stands beside the platform.
	page := o.cluster.Platform.Log.Peek(damsonwinch.StreamFleet, o.state.Offset(), most)
	for _, record := range page {
		o.fold(record)
	}
	o.compareVersions()
	o.checkFloors()
}

func (o *observer) fold(record wire.Entry) {
	was := o.state
	next, verdicts := was.Apply(record)
	o.state = next
	if next.Table().Version() > was.Table().Version() {
		o.publishedAt[next.Table().Version()] = time.UnixMilli(int64(record.At))
	}
	for _, verdict := range verdicts {
		if verdict.Accepted {
			o.count(verdict, was, next)
		}
	}
}

func (o *observer) count(verdict fold.Result, was, next fold.State) {
	change := verdict.Proposal.Change
	if change == nil {
		return
	}
	before, _ := was.Box(change.Box)
	after, _ := next.Box(change.Box)
	if before.Pool != after.Pool && before.Pool != fold.FreePool {
		o.moved++
	}
	if verdict.Proposal.Kind == wire.KindBack {
		o.maintained++
	}
}

// compareVersions asks each living process which table it has in force.
func (o *observer) compareVersions() {
	for _, node := range o.cluster.Nodes {
		node.mutex.Lock()
		entry, keeper, stopped := node.entryProcess, node.keeperProcess, node.stopped
		node.mutex.Unlock()
		if entry != nil && !stopped {
			o.compareVersion(entry, entry.Metrics.Count("table_version"))
		}
		if keeper != nil {
			o.compareVersion(keeper, keeper.Metrics.Count("table_version"))
		}
	}
}

func (o *observer) compareVersion(process any, version int) {
	was, known := o.versions[process]
	if known && version < was {
		o.reverted++
	}
	if !known {
		// A process that has just started has nothing yet.
		if version == o.state.Table().Version() {
			o.versions[process] = version
		}
		return
	}
	for accepted := was + 1; accepted <= version; accepted++ {
		if published, seen := o.publishedAt[accepted]; seen {
			o.rolloutMax = max(o.rolloutMax, o.cluster.clock.Since(published))
		}
	}
	o.versions[process] = max(was, version)
}

// checkFloors counts the boxes that truly serve each pool, by the endpoints and
// not by what the programs think of them.
func (o *observer) checkFloors() {
	if !o.watching {
		return
	}
	slots := map[string]int{}
	for _, box := range o.state.Boxes() {
		if box.Phase == fold.Serving && o.cluster.Endpoints[box.Info.Name].IsServing() {
			slots[box.Pool] += box.Info.Slots
		}
	}
	for _, pool := range o.state.Table().Deployment().Pools {
		if slots[pool] < o.state.Table().FloorSlots(pool) {
			o.belowFloor++
		}
	}
}

// watch begins the check of floors, once the pools have been formed.
func (o *observer) watch() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.watching = true
}

// present returns the state as the log has it.
func (o *observer) present() fold.State {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.state
}

// formed says whether every pool has what its services need.
func (o *observer) formed() bool {
	state := o.present()
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

// due counts the boxes that the wave has still to maintain.
func (o *observer) due() int {
	state := o.present()
	count := 0
	for _, box := range state.Boxes() {
		if box.MaintainedAt < state.Table().Deployment().MaintainBefore && box.Health == wire.HealthUp {
			count++
		}
	}
	return count
}

// breaches returns what the programs themselves reported.
func (c *Cluster) breaches() map[string]int {
	c.harm.mutex.Lock()
	defer c.harm.mutex.Unlock()
	return maps.Clone(c.harm.breaches)
}

// text returns a value as one line of JSON.
func text(value any) string {
	line, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(line)
}
