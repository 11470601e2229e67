package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"damsonwinch/platform/standin"
	"damsonwinch/review/fleet"
)

// Times of staleCancel. frozenTime is the for_s of node_freeze in the site file, and cancelTime is cancel_ms.
const (
	frozenTime     = 4 * time.Second
	cancelTime     = 3 * time.Second
	cancelledStep  = 3 * time.Second
	laterSteps     = 4
	cancelledJobs  = 6
	cancelsSentAt  = 2300 * time.Millisecond
	submittedUntil = 2200 * time.Millisecond
)

// staleCancel freezes the node that owns the cell. Another one takes over, and accepts jobs. Clients that have open
// connections to the frozen node cancel these jobs there, shortly before it wakes.
func staleCancel(f *fleet.Fleet, trouble bool) ([]string, error) {
	queue := queueOf("pump-desk")
	if err := begin(f, queue); err != nil {
		return nil, err
	}
	first := standin.Phase{Count: 1, MilliCPU: 1000, MemoryMB: 512, EstimatedMs: int(cancelledStep.Milliseconds())}
	steps := []standin.Phase{first}
	for number := range laterSteps {
		next := first
		next.DependsOn = []int{number}
		steps = append(steps, next)
	}
	const early = "5c0e7a21d94b0001"
	if err := submitUntilAccepted(f, queue, early, time.Second, first); err != nil {
		return nil, err
	}
	clock.Sleep(3 * time.Second)
	giver, other := giverOf(f), f.Nodes[0]
	if other == giver {
		other = f.Nodes[1]
	}
	clients := make([]*fleet.Client, cancelledJobs)
	for number := range clients {
		clients[number] = f.NewClient()
		clients[number].Call(giver, http.MethodGet, queue, early, nil)
	}
	begunAt := f.Record.Now()
	if trouble {
		if err := giver.Freeze(); err != nil {
			return nil, err
		}
	}
	jobs := make([]string, cancelledJobs)
	for number := range jobs {
		jobs[number] = fmt.Sprintf("5c0e7a21d94b1%03x", number)
		for f.Submit(other, queue, jobs[number], cancelledStep, steps...).Status != http.StatusOK {
			if f.Record.Now()-begunAt > submittedUntil {
				return nil, errors.New("the jobs weren't accepted in time")
			}
			clock.Sleep(50 * time.Millisecond)
		}
	}
	clock.Sleep(begunAt + cancelsSentAt - f.Record.Now())
	answers, answeredAt := make([]fleet.Answer, cancelledJobs), make([]time.Duration, cancelledJobs)
	var group errgroup.Group
	for number, job := range jobs {
		group.Go(func() error {
			answers[number] = clients[number].Call(giver, http.MethodDelete, queue, job, nil)
			answeredAt[number] = f.Record.Now()
			return nil
		})
	}
	if trouble {
		clock.Sleep(begunAt + frozenTime - f.Record.Now())
		if err := giver.Wake(); err != nil {
			return nil, err
		}
	}
	// The functions always return nil.
	_ = group.Wait()
	clock.Sleep((laterSteps+1)*cancelledStep + cancelTime)
	var broken []string
	for number, job := range jobs {
		state := f.State(other, queue, job).State
		if status := answers[number].Status; status != http.StatusGone && status/100 != 2 {
			continue
		}
		for _, s := range f.Record.Starts(job) {
			if s.At > answeredAt[number]+cancelTime {
				broken = append(broken, fmt.Sprintf("UNASKED: %s was started at %.3f s, %.3f s after the cancelling of its job was answered with %d; the job was accepted before, and is now shown as %q",
					s.Task, s.At.Seconds(), (s.At-answeredAt[number]).Seconds(), answers[number].Status, state))
			}
		}
	}
	return broken, nil
}
