package workers_test

import (
	"context"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/workers"
)

// TestAllTasksRun although some wait for others that were given later: none may stand in a
// queue behind one that runs.
func TestAllTasksRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	pool := workers.New(ctx, &group)
	for range 3 {
		const tasks = 600
		var all sync.WaitGroup
		all.Add(tasks)
		for range tasks {
			pool.Go(func() {
				all.Done()
				all.Wait()
			})
		}
		all.Wait()
	}

	cancel()

	// Returns once no goroutine is left.
	assert.NilError(t, group.Wait())
}

// BenchmarkDo compares a goroutine that is kept with one for each task, where a task's
// stack grows as that of a call does.
func BenchmarkDo(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	var group errgroup.Group
	pool := workers.New(ctx, &group)
	for name, do := range map[string]func(task func()){
		"kept":     pool.Go,
		"for each": func(task func()) { group.Go(func() error { task(); return nil }) },
	} {
		b.Run(name, func(b *testing.B) {
			done := make(chan int, 1)
			for b.Loop() {
				do(func() { done <- deep(40) })
				<-done
			}
		})
	}
	cancel()
	assert.NilError(b, group.Wait())
}

// deep uses some stack.
func deep(levels int) int {
	var room [128]byte
	if levels == 0 {
		return int(room[0])
	}
	return deep(levels-1) + int(room[levels%len(room)])
}
