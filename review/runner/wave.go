package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"damsonwinch/review/fleet"
)

// Times of forgottenWave. downTime is the for_s of platform_down.
const (
	waveTime      = 27 * time.Second
	waveCap       = 2
	waveRunsFor   = 5 * time.Second
	downTime      = 5 * time.Second
	killedAfter   = 3 * time.Second
	restartDelay  = 300 * time.Millisecond
	operatorTopic = "keyed.op"
)

// forgottenWave has the operator ask for a wave. While a part of the store's partitions is down, among them the one
// with the operator's records, all nodes are killed, and start again.
func forgottenWave(f *fleet.Fleet, trouble bool) ([]string, error) {
	var down atomic.Bool
	refuse := func(rw http.ResponseWriter, r *http.Request) bool {
		refused := down.Load() && r.URL.Query().Get("topic") == operatorTopic
		if refused {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return refused
	}
	if err := f.Proxy(refuse); err != nil {
		return nil, err
	}
	if err := begin(f, queueOf("pump-desk")); err != nil {
		return nil, err
	}
	machines, err := f.RequestWave(1, waveTime, waveCap)
	if err != nil {
		return nil, err
	}
	begunAt := f.Record.Now()
	clock.Sleep(waveRunsFor)
	if trouble {
		f.Record.Note("store   the partition of %s is down", operatorTopic)
		down.Store(true)
		clock.Sleep(killedAfter)
		for _, node := range f.Nodes {
			node.Kill()
		}
		clock.Sleep(restartDelay)
		for _, node := range f.Nodes {
			if err := node.Start(false); err != nil {
				return nil, err
			}
		}
		clock.Sleep(downTime - killedAfter - restartDelay)
		down.Store(false)
		f.Record.Note("store   the partition of %s is back", operatorTopic)
	}
	var broken []string
	last := ""
	for f.Record.Now()-begunAt < waveTime+5*time.Second {
		status, left := f.WaveStatus(1), f.NotBegun(1, machines)
		if status != last {
			last = status
			f.Record.Note("status  wave 1: %s; %d machines haven't begun their upkeep", status, len(left))
			if strings.Contains(status, "completed") && len(left) > 0 {
				broken = append(broken, fmt.Sprintf("MIXED: wave 1 is said to be completed at %.3f s, and %v haven't begun their upkeep", f.Record.Now().Seconds(), left))
			}
		}
		clock.Sleep(20 * time.Millisecond)
	}
	if left := f.NotBegun(1, machines); len(left) > 0 {
		f.Record.Note("status  at the end of the wave's time %v haven't begun their upkeep", left)
	}
	return broken, nil
}
