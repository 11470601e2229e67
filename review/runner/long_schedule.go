package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"time"

	"damsonwinch/platform/standin"
	"damsonwinch/review/fleet"
)

// What the clients send in longSchedule. recordBytes and callBytes are
// platform.record_bytes and platform.call_bytes of the settings.
const (
	recordBytes     = 262144
	callBytes       = 2097152
	scheduleEvery   = 120 * time.Millisecond
	scheduleTimes   = 640
	scheduleWidth   = 32
	scheduledTask   = 100 * time.Millisecond
	smallJobEvery   = 2 * time.Second
	scheduleTime    = 85 * time.Second
	turnTime        = 3 * time.Second
	secondStepAfter = 2 * time.Second
)

// longSchedule has a job accepted whose steps run many times, and meanwhile small jobs of two steps. The store
// takes no record of more than recordBytes or, without trouble, of more than callBytes.
func longSchedule(f *fleet.Fleet, trouble bool) ([]string, error) {
	queue := queueOf("pump-desk")
	limit := recordBytes
	if !trouble {
		limit = callBytes
	}
	if err := f.Proxy(func(rw http.ResponseWriter, r *http.Request) bool { return refuseLongRecords(f, limit, rw, r) }); err != nil {
		return nil, err
	}
	if err := begin(f, queue); err != nil {
		return nil, err
	}
	const scheduled = "5c0e7a21d94b0001"
	schedule := fleet.Schedule{StartAt: clock.Now().Add(time.Second), Interval: scheduleEvery, Times: scheduleTimes}
	phase := standin.Phase{Count: scheduleWidth, MilliCPU: 100, MemoryMB: 64, EstimatedMs: int(scheduledTask.Milliseconds())}
	if answer := f.SubmitRepeated(f.Nodes[0], queue, scheduled, scheduledTask, schedule, phase); answer.Status != http.StatusOK {
		return nil, fmt.Errorf("the scheduled job isn't accepted: %d", answer.Status)
	}
	step := standin.Phase{Count: 1, MilliCPU: 1000, MemoryMB: 512, EstimatedMs: int(secondStepAfter.Milliseconds())}
	later := step
	later.DependsOn = []int{0}
	var accepted []string
	begunAt := f.Record.Now()
	for number := 2; f.Record.Now()-begunAt < scheduleTime; number++ {
		job := fmt.Sprintf("5c0e7a21d94b%04x", number)
		if f.Submit(f.Nodes[number%len(f.Nodes)], queue, job, secondStepAfter, step, later).Status == http.StatusOK {
			accepted = append(accepted, job)
		}
		clock.Sleep(smallJobEvery)
	}
	clock.Sleep(2*secondStepAfter + turnTime)
	var broken []string
	for _, job := range accepted {
		state := f.State(f.Nodes[0], queue, job).State
		if starts := f.Record.Starts(job); state != "completed" && len(starts) < 2 {
			broken = append(broken, fmt.Sprintf("LOST: job %s was accepted and is shown as %q; %d of its 2 tasks were started, and nothing of it runs", job, state, len(starts)))
		}
	}
	state := f.State(f.Nodes[0], queue, scheduled).State
	if starts := f.Record.Starts(scheduled); state != "completed" {
		last := starts[len(starts)-1]
		broken = append(broken, fmt.Sprintf("LOST: job %s is shown as %q; %d of its %d tasks were started, the last one at %.3f s; its last time was due %.3f s before now",
			scheduled, state, len(starts), scheduleTimes*scheduleWidth, last.At.Seconds(), clock.Since(schedule.StartAt.Add(scheduleEvery*scheduleTimes)).Seconds()))
	}
	return broken, nil
}

// refuseLongRecords answers an append that holds a record of more than limit bytes. Nothing of it is appended.
func refuseLongRecords(f *fleet.Fleet, limit int, rw http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path != "/log-append" {
		return false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return true
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	for rest := body; len(rest) >= 4; {
		length := int(binary.BigEndian.Uint32(rest))
		if length > limit {
			f.Record.Note("store   an append to %s is refused with 413: a record of %d bytes", r.URL.Query().Get("topic"), length)
			rw.WriteHeader(http.StatusRequestEntityTooLarge)
			return true
		}
		rest = rest[min(len(rest), 4+length):]
	}
	return false
}
