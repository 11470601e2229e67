// Package workers reuses goroutines for the calls that the owner of a cell makes. A goroutine that is
// started for a single call has to grow its stack each time, which takes a tenth of an owner's CPU
// time at some 600 calls per second.
package workers

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// maxIdle limits the number of goroutines that wait for work. Each of them holds some 8 KB of memory.
// An owner has some 300 calls in flight while most of the demand is for its pool.
const maxIdle = 256

// Pool runs tasks in goroutines of an errgroup.Group and reuses the goroutines.
type Pool struct {
	group *errgroup.Group
	ctx   context.Context // Idle goroutines exit when it ends.
	tasks chan func()     // Unbuffered: hands a task to an idle goroutine.
	idle  atomic.Int64    // Number of idle goroutines.
}

// New returns a pool that has no goroutines yet. Its idle goroutines exit when ctx ends.
func New(ctx context.Context, group *errgroup.Group) *Pool {
	return &Pool{group: group, ctx: ctx, tasks: make(chan func())}
}

// Go runs task in an idle goroutine, or in a new one if none is idle. It returns at once.
func (p *Pool) Go(task func()) {
	select {
	case p.tasks <- task:
	default:
		p.group.Go(func() error {
			p.work(task)
			return nil
		})
	}
}

// work runs task and then each task that it gets from wait.
func (p *Pool) work(task func()) {
	for {
		task()
		next, ok := p.wait()
		if !ok {
			return
		}
		task = next
	}
}

// wait waits for the next task for this goroutine and returns it. It returns false if the goroutine
// should exit, because maxIdle others are idle or the pool's context has ended.
func (p *Pool) wait() (func(), bool) {
	defer p.idle.Add(-1)
	if p.idle.Add(1) > maxIdle {
		return nil, false
	}
	select {
	case task := <-p.tasks:
		return task, true
	case <-p.ctx.Done():
		return nil, false
	}
}
