package boxplan_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
)

// Times of the simulated platform.
const (
	simMoveTime     = 1500 * time.Millisecond
	simMaintainTime = 2 * time.Second
	// simMinLateOrder and simMaxLateOrder bound how late an unanswered order may be carried out.
	simMinLateOrder = 2 * time.Second
	simMaxLateOrder = 12 * time.Second
)

// errNoAnswer stands for an order whose answer is lost.
var errNoAnswer = errors.New("no answer")

// simBox is a box of the simulated platform.
type simBox struct {
	damsonwinch.Box
	// startedUnixMs is the start time of the life on the box.
	startedUnixMs int
	// nextPool and readyAt are the pool and the time at which a box that isn't up will be up.
	nextPool string
	readyAt  time.Time
	// maintained holds the waves in which the box has been maintained.
	maintained map[int]bool
}

// life returns the life on the box.
func (b *simBox) life() damsonwinch.Life {
	return damsonwinch.Life{ID: b.EndpointID, StartedUnixMs: b.startedUnixMs}
}

// simPlatform is a stand-in for the platform: its boxes, and the orders on them that it takes.
type simPlatform struct {
	random     *rand.Rand
	boxes      []*simBox
	byName     map[string]*simBox
	poweredOff string
	wave       damsonwinch.Wave
	// sharedIDs says that all lives on a box have one ID. lives counts the lives otherwise.
	sharedIDs bool
	lives     int
	// ordersPerSecond is how many orders are taken in a second; allowance is how many are at the moment.
	ordersPerSecond float64
	allowance       float64
}

// addBox adds a box that is up.
func (p *simPlatform) addBox(now time.Time, pool, zone string) {
	name := fmt.Sprintf("box-%03d", len(p.boxes))
	b := &simBox{Box: damsonwinch.Box{
		Name: name, Pool: pool, State: damsonwinch.BoxUp, Zone: zone, Capacity: damsonwinch.Resources{MilliCPU: scriptMilliCPU, MemoryMB: scriptMemoryMB},
	}, maintained: map[int]bool{}}
	p.boxes = append(p.boxes, b)
	p.byName[name] = b
	p.startLife(now, b)
}

// startLife starts a new life on a box, none on one that is powered off.
func (p *simPlatform) startLife(now time.Time, b *simBox) {
	b.State, b.EndpointID, b.startedUnixMs = damsonwinch.BoxUp, "", 0
	if b.Pool == p.poweredOff {
		return
	}
	p.lives++
	b.EndpointID, b.startedUnixMs = fmt.Sprintf("at-%s-%d", b.Name, p.lives), int(now.UnixMilli())
	if p.sharedIDs {
		b.EndpointID = "at-" + b.Name
	}
}

// tick lets boxes come up whose moves, maintenance or restarts are over.
func (p *simPlatform) tick(now time.Time, passed time.Duration) {
	p.allowance = min(p.ordersPerSecond, p.allowance+p.ordersPerSecond*passed.Seconds())
	for _, b := range p.boxes {
		if b.State != damsonwinch.BoxUp && !now.Before(b.readyAt) {
			b.Pool = b.nextPool
			p.startLife(now, b)
		}
	}
}

// timeForAllOrders returns how long the platform needs to take an order on each box.
func (p *simPlatform) timeForAllOrders() time.Duration {
	return time.Duration(float64(len(p.boxes)) / p.ordersPerSecond * float64(time.Second))
}

// take reports whether the platform takes one more order within its rate.
func (p *simPlatform) take() bool {
	if p.allowance < 1 {
		return false
	}
	p.allowance--
	return true
}

// carryOut carries out an order and returns the platform's answer, and the life that the order has ended;
// empty if none.
func (p *simPlatform) carryOut(now time.Time, order boxplan.Order) (ended damsonwinch.Life, err error) {
	b := p.byName[order.Box]
	switch {
	case order.Pool != "" && b.State == damsonwinch.BoxUp && b.Pool == order.Pool, order.Pool == "" && b.maintained[order.Wave]:
		return damsonwinch.Life{}, nil // It has been done before.
	case b.State != damsonwinch.BoxUp:
		return damsonwinch.Life{}, damsonwinch.ErrBoxNotUp
	case order.Pool == "" && !slices.Contains(p.wave.Boxes, b.Name):
		return damsonwinch.Life{}, damsonwinch.ErrNotInWave
	}
	ended = b.life()
	if order.Pool == "" {
		b.maintained[order.Wave] = true
		p.takeDown(now, b, damsonwinch.BoxMaintenance, simMaintainTime, b.Pool)
		return ended, nil
	}
	p.takeDown(now, b, damsonwinch.BoxMoving, simMoveTime, order.Pool)
	return ended, nil
}

// takeDown ends the life on a box, which will be up in a pool after a time.
func (p *simPlatform) takeDown(now time.Time, b *simBox, state damsonwinch.BoxState, duration time.Duration, pool string) {
	b.State, b.nextPool, b.readyAt = state, pool, now.Add(duration)
	b.EndpointID, b.startedUnixMs = "", 0
}

// list returns some of the boxes, by their indexes, as they are now.
func (p *simPlatform) list(from, to int) []damsonwinch.Box {
	var listed []damsonwinch.Box
	for _, b := range p.boxes[from:to] {
		listed = append(listed, b.Box)
	}
	return listed
}
