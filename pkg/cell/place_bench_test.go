package cell_test

import (
	"fmt"
	"testing"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/wire"
)

// benchmark is a cell whose endpoints are full and for which 10,000 tasks wait. An
// endpoint answers its look with an end, so that one task can start.
type benchmark struct {
	cell          *cell.Cell
	now           time.Time
	polls         map[string]cell.Poll
	runs          map[string][]damsonwinch.Run
	lastSequences map[string]int
	endpointIDs   []string
	jobCount      int
	// recordedBytes counts what was recorded.
	recordedBytes int
}

const (
	waitingTasks     = 10_000
	tasksPerJob      = 10
	taskMilliCPU     = 4000
	benchBoxMilliCPU = 32_000
	benchCallID      = 1
)

func newBenchmark(endpoints int) *benchmark {
	m := &benchmark{now: time.UnixMilli(1_700_000_000_000), polls: map[string]cell.Poll{}, runs: map[string][]damsonwinch.Run{}, lastSequences: map[string]int{}}
	m.cell = cell.New(cell.Options{
		MaxLease: 10 * time.Second, RenewalGrace: 5 * time.Second, MaxStopTime: 400 * time.Millisecond, MaxStartDelay: 2 * time.Second,
		PollWait: 500 * time.Millisecond, IdlePollInterval: 2 * time.Second, PollRetryInterval: 300 * time.Millisecond, EndedJobRetention: time.Minute,
	}, 1)
	m.cell.SetQueues(m.now, []damsonwinch.Queue{{Name: "queue", Pool: "pool", MaxAttempts: 3, DeadlineFactor: 20, TargetLatency: time.Minute}})
	var listed []damsonwinch.Endpoint
	for at := range endpoints {
		id := fmt.Sprintf("endpoint-%04d", at)
		m.endpointIDs = append(m.endpointIDs, id)
		listed = append(listed, damsonwinch.Endpoint{
			Life: damsonwinch.Life{ID: id}, Address: "10.0.0.1:80", Box: "box-" + id, Pool: "pool", Zone: "zone",
			Capacity: damsonwinch.Resources{MilliCPU: benchBoxMilliCPU, MemoryMB: 64_000},
		})
	}
	m.cell.SetEndpoints(m.now, listed)
	m.performEffects()
	for _, id := range m.endpointIDs {
		m.answerPoll(id, nil)
	}
	for range (endpoints*benchBoxMilliCPU/taskMilliCPU + waitingTasks) / tasksPerJob {
		m.submit()
	}
	return m
}

func (m *benchmark) submit() {
	m.jobCount++
	m.cell.Submit(m.now, wire.JobArgs{
		Id: fmt.Sprintf("%016x", m.jobCount), Queue: "queue", ReceivedMs: int(m.now.UnixMilli()),
		Spec: &wire.JobSpec{Text: "text", Phases: []wire.Phase{{Count: tasksPerJob, Cpu: taskMilliCPU, MemoryMb: 1000, EstimateMs: 800}}},
	}, benchCallID)
	m.performEffects()
}

// performEffects carries out the cell's effects at once, but for looks, which wait.
func (m *benchmark) performEffects() {
	for {
		effects := m.cell.TakeEffects()
		if effects.Commit == nil && len(effects.Starts) == 0 && len(effects.Polls) == 0 {
			return
		}
		for _, look := range effects.Polls {
			m.polls[look.Endpoint.Life.ID] = look
		}
		for _, start := range effects.Starts {
			m.runs[start.Endpoint.Life.ID] = append(m.runs[start.Endpoint.Life.ID], start.Request.Run)
			m.cell.Started(m.now, start.Endpoint.Life, start.Request.Run, nil)
		}
		if effects.Commit != nil {
			for _, record := range effects.Commit.Records {
				m.recordedBytes += len(record.Key) + len(record.Value)
			}
			m.cell.Committed(m.now, effects.Commit.Number)
		}
	}
}

// answerPoll answers an endpoint's look: its oldest run is done, if there is one.
func (m *benchmark) answerPoll(id string, ended []damsonwinch.Run) {
	look, asked := m.polls[id]
	if !asked {
		return
	}
	delete(m.polls, id)
	found := damsonwinch.PollReply{ClockMs: int(m.now.UnixMilli() % 1_000_000_000)}
	for _, run := range ended {
		m.lastSequences[id]++
		found.Finished = append(found.Finished, damsonwinch.RunResult{Sequence: m.lastSequences[id], Run: run, Ending: damsonwinch.EndedDone})
	}
	for _, run := range m.runs[id] {
		found.Running = append(found.Running, damsonwinch.RunProgress{Run: run, DonePercent: 100})
	}
	m.cell.Polled(m.now, look.Endpoint.Life, look.Number, found, nil)
	m.performEffects()
}

// endTask ends one task, which lets another one start, and submits a job when one's
// worth of tasks has gone.
func (m *benchmark) endTask(number int) {
	m.now = m.now.Add(time.Millisecond)
	id := m.endpointIDs[number%len(m.endpointIDs)]
	if runs := m.runs[id]; len(runs) > 0 {
		m.runs[id] = runs[1:]
		m.answerPoll(id, runs[:1])
	}
	if number%tasksPerJob == 0 {
		m.submit()
	}
}

// BenchmarkStart measures all that the cell decides for one task, from the end
// that makes room to the start's record, while 10,000 tasks wait, and the bytes that it
// records when nothing shares a record.
func BenchmarkStart(b *testing.B) {
	for _, endpoints := range []int{50, 350, 5800} {
		b.Run(fmt.Sprintf("boxes=%d", endpoints), func(b *testing.B) {
			m := newBenchmark(endpoints)
			before, recorded := m.cell.Stats().Starts, m.recordedBytes
			for number := 0; b.Loop(); number++ {
				m.endTask(number)
			}
			starts := float64(m.cell.Stats().Starts - before)
			b.ReportMetric(starts/float64(b.N), "starts/op")
			b.ReportMetric(float64(m.recordedBytes-recorded)/starts, "B/start")
		})
	}
}
