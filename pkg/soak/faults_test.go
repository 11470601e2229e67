package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"damsonwinch/platform/standin"
)

// fault is a fault or a planned change during a test.
type fault struct {
	from, until time.Time
	text        string
	// planned means that the rules count the change not as a disruption.
	planned bool
}

// faultPlayer plays faults, which its cluster's seed determines.
type faultPlayer struct {
	cluster *cluster
	// configuration is the newest version of the configuration.
	configuration int
	mutex         sync.Mutex // Guards faults.
	faults        []fault
}

// nodeFaultSeries is the number of series of faults of nodes, and thus the number of nodes that may be
// frozen or away at once.
const nodeFaultSeries = 2

// maxFaultGap bounds the time between two faults of a series.
const maxFaultGap = 2500 * time.Millisecond

// run plays series of faults at once for a duration. All nodes run when it returns, unless it returns
// an error.
func (p *faultPlayer) run(duration time.Duration) error {
	var group errgroup.Group
	for series := range nodeFaultSeries {
		group.Go(func() error { return p.playSeries(duration, uint64(series), p.playNodeFault) })
	}
	group.Go(func() error { return p.playSeries(duration, nodeFaultSeries, p.playPlatformFault) })
	return group.Wait()
}

// playSeries plays one fault after another until the duration has passed.
func (p *faultPlayer) playSeries(duration time.Duration, series uint64, play func(*rand.Rand) error) error {
	// The streams of the jobs are numbered from 0.
	random := rand.New(rand.NewPCG(p.cluster.seed, 1<<32+series))
	clock := p.cluster.clock
	begun := clock.Now()
	for {
		clock.Sleep(300*time.Millisecond + time.Duration(random.Int64N(int64(maxFaultGap))))
		if clock.Since(begun) > duration {
			return nil
		}
		if err := play(random); err != nil {
			return err
		}
	}
}

// note records a fault that has ended.
func (p *faultPlayer) note(from time.Time, planned bool, text string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = append(p.faults, fault{from: from, until: p.cluster.clock.Now(), planned: planned, text: text})
}

// playNodeFault plays a fault of a node, unless the node is subject to a fault already.
func (p *faultPlayer) playNodeFault(random *rand.Rand) error {
	n := p.cluster.nodes[random.IntN(nodeCount)]
	kind := random.IntN(10)
	frozen := 300*time.Millisecond + time.Duration(random.Int64N(int64(4500*time.Millisecond)))
	downtime := time.Duration(random.Int64N(int64(1500 * time.Millisecond)))
	if !n.mutex.TryLock() {
		return nil
	}
	defer n.mutex.Unlock()
	if err := n.checkRunning(); err != nil {
		return err
	}
	from, name := p.cluster.clock.Now(), n.config.Node
	switch {
	case kind < 6:
		defer p.note(from, false, fmt.Sprintf("%s frozen for %v", name, frozen))
		return n.freeze(frozen)
	case kind < 8:
		defer p.note(from, false, name+" killed and restarted")
		n.kill()
	case kind < 9:
		defer p.note(from, false, name+" stopped and restarted")
		if err := n.terminate(); err != nil {
			return err
		}
	default:
		defer p.note(from, true, name+" reloads its settings")
		return p.reload(n)
	}
	p.cluster.clock.Sleep(downtime)
	return n.start(false)
}

// reload tells a node that its settings may have changed. A process that has just been started and
// isn't ready may not handle the signal yet.
func (p *faultPlayer) reload(n *node) error {
	if !n.isReady() {
		return nil
	}
	return n.process.Signal(syscall.SIGHUP)
}

// storeFaultTime is how long a fault of the store lasts, and crashTime how long a box is down whose
// endpoint has crashed.
const (
	storeFaultTime = time.Second
	crashTime      = 2 * time.Second
)

// storeFaults are the faults of the store that are played. The last one is a store that answers late.
var storeFaults = []standin.StoreFault{standin.FaultSilent, standin.FaultLostResponses, standin.FaultSlow}

// playPlatformFault plays a fault of the store or of an endpoint, or changes the configuration.
func (p *faultPlayer) playPlatformFault(random *rand.Rand) error {
	kind, box := random.IntN(5), random.IntN(len(p.cluster.platform.Boxes()))
	storeFault := storeFaults[random.IntN(len(storeFaults))]
	from := p.cluster.clock.Now()
	switch {
	case kind < 2:
		p.cluster.platform.SetStoreFault(storeFault)
		p.cluster.clock.Sleep(storeFaultTime)
		p.cluster.platform.SetStoreFault(standin.FaultNone)
		p.note(from, false, fmt.Sprintf("fault %d of the store", storeFault))
	case kind < 4:
		name := p.cluster.platform.Boxes()[box]
		p.cluster.platform.CrashEndpoint(name, crashTime)
		p.cluster.clock.Sleep(crashTime)
		p.note(from, false, "endpoint of "+name+" crashed")
	default:
		defer p.note(from, true, "new configuration")
		return p.changeConfiguration()
	}
	return nil
}

// changeConfiguration puts a configuration into force with another limit on attempts, which leads each address to the pool
// of the other one and back by turns. Every other time the queues have other names.
func (p *faultPlayer) changeConfiguration() error {
	p.configuration++
	queues := slices.Clone(p.cluster.queues)
	for number := range queues {
		queues[number].MaxAttempts += p.configuration % 2
		if p.configuration%2 == 1 {
			queues[number].Pool = p.cluster.queues[len(queues)-1-number].Pool
		}
		if p.configuration%4 > 1 {
			queues[number].Name += "-renamed"
		}
	}
	return p.cluster.platform.PutConfiguration(1+p.configuration, queues...)
}
