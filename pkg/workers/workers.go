// Package workers keeps the goroutines of an owner's calls for the next ones. One that is
// started for a call grows its stack anew for each: a tenth of an owner's processor time
// with some 600 calls a second.
package workers

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// mostIdle bounds the goroutines that wait for work; each keeps some 8 KB. An owner in its
// pool's turn of demand has some 300 calls under way.
const mostIdle = 256

// Pool runs tasks in goroutines of a group, which end with the group's context.
type Pool struct {
	group *errgroup.Group
	ctx   context.Context // Ends the goroutines that wait.
	tasks chan func()
	idle  atomic.Int64
}

// New returns a pool without goroutines.
func New(ctx context.Context, group *errgroup.Group) *Pool {
	return &Pool{group: group, ctx: ctx, tasks: make(chan func())}
}

// Go runs a task in a goroutine that waits for one, or in a new one. It doesn't wait.
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

// work runs a task and then those that come.
func (p *Pool) work(task func()) {
	for {
		task()
		next, more := p.wait()
		if !more {
			return
		}
		task = next
	}
}

// wait returns the next task, unless enough others wait for one.
func (p *Pool) wait() (func(), bool) {
	defer p.idle.Add(-1)
	if p.idle.Add(1) > mostIdle {
		return nil, false
	}
	select {
	case task := <-p.tasks:
		return task, true
	case <-p.ctx.Done():
		return nil, false
	}
}
