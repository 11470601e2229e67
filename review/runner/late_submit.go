package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"damsonwinch/platform/standin"
	"damsonwinch/review/fleet"
)

// stepTime is how long each task of lateSubmit takes.
const stepTime = 4 * time.Second

// lateSubmit sends a job to a node that is frozen. The client gets no answer within its deadline, doesn't want the
// job any more, and cancels it at another node. Then the frozen node wakes.
func lateSubmit(f *fleet.Fleet, trouble bool) ([]string, error) {
	queue := queueOf("pump-desk")
	if err := begin(f, queue); err != nil {
		return nil, err
	}
	step := standin.Phase{Count: 2, MilliCPU: 1000, MemoryMB: 512, EstimatedMs: int(stepTime.Milliseconds())}
	later := step
	later.DependsOn = []int{0}
	if err := submitUntilAccepted(f, queue, "5c0e7a21d94b0001", time.Second, step); err != nil {
		return nil, err
	}
	clock.Sleep(3 * time.Second)
	giver, frozen, other := giverOf(f), f.Nodes[0], f.Nodes[0]
	for _, node := range f.Nodes {
		if node != giver {
			other, frozen = frozen, node
		}
	}
	const job = "5c0e7a21d94b0002"
	begunAt := f.Record.Now()
	if trouble {
		if err := frozen.Freeze(); err != nil {
			return nil, err
		}
	}
	clock.Sleep(300 * time.Millisecond)
	f.Submit(frozen, queue, job, stepTime, step, later)
	answer := f.Cancel(other, queue, job)
	cancelledAt := f.Record.Now()
	if answer.Status != http.StatusGone && answer.Status/100 != 2 {
		return nil, fmt.Errorf("the cancel wasn't acknowledged: %d", answer.Status)
	}
	if trouble {
		clock.Sleep(begunAt + frozenTime - f.Record.Now())
		if err := frozen.Wake(); err != nil {
			return nil, err
		}
	}
	clock.Sleep(2*stepTime + 5*time.Second)
	f.State(other, queue, job)
	var broken []string
	for _, s := range f.Record.Starts(job) {
		if s.At > cancelledAt+cancelTime {
			broken = append(broken, fmt.Sprintf("UNASKED: %s was started at %.3f s by %s, %.3f s after its cancelling was acknowledged",
				s.Task, s.At.Seconds(), strings.TrimSpace(giver.Name), (s.At-cancelledAt).Seconds()))
		}
	}
	return broken, nil
}
