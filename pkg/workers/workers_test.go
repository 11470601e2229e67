package workers_test

import (
	"context"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/workers"
)

// TestNoTaskWaitsForAnother starts tasks that block until later ones run. They would deadlock if a
// task were queued behind one that is running.
func TestNoTaskWaitsForAnother(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	pool := workers.New(ctx, &group)
	for range 3 {
		const tasks = 600
		var pending sync.WaitGroup
		pending.Add(tasks)
		for range tasks {
			pool.Go(func() {
				pending.Done()
				pending.Wait()
			})
		}
		pending.Wait()
	}

	cancel()

	// Wait returns once all goroutines of the pool have exited.
	assert.NilError(t, group.Wait())
}

// BenchmarkGo compares a reused goroutine with a new one for each task, with tasks whose stack grows
// like that of a call.
func BenchmarkGo(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	var group errgroup.Group
	pool := workers.New(ctx, &group)
	for name, run := range map[string]func(task func()){
		"reused": pool.Go,
		"new":    func(task func()) { group.Go(func() error { task(); return nil }) },
	} {
		b.Run(name, func(b *testing.B) {
			done := make(chan int, 1)
			for b.Loop() {
				run(func() { done <- recurse(40) })
				<-done
			}
		})
	}
	cancel()
	assert.NilError(b, group.Wait())
}

// recurse grows the stack by some 128 bytes for each level.
func recurse(levels int) int {
	var frame [128]byte
	if levels == 0 {
		return int(frame[0])
	}
	return recurse(levels-1) + int(frame[levels%len(frame)])
}
