package job

import "damsonwinch/pkg/wire"

// Estimate is what a job is expected to take.
type Estimate struct {
	// TaskMs holds, by phase, the expected time of a task in milliseconds.
	TaskMs []int
	// CriticalPathMs holds, by phase, the expected time from the phase's start to the end of the job,
	// in milliseconds.
	CriticalPathMs []int
	// Work is the total of all tasks' expected time multiplied by their CPU, in thousandths of a core
	// times milliseconds; long-running and filler tasks do not count.
	Work int
}

// EstimateOf returns what a job with the given phases is expected to take. taskMs returns the expected
// time of a task, given the client's estimate or 0. Each phase may only depend on earlier ones.
func EstimateOf(phases []wire.Phase, taskMs func(estimateMs int) int) Estimate {
	e := Estimate{TaskMs: make([]int, len(phases)), CriticalPathMs: make([]int, len(phases))}
	for number := len(phases) - 1; number >= 0; number-- {
		phase := &phases[number]
		e.TaskMs[number] = taskMs(phase.EstimateMs)
		e.CriticalPathMs[number] += e.TaskMs[number]
		for _, earlier := range phase.After {
			e.CriticalPathMs[earlier] = max(e.CriticalPathMs[earlier], e.CriticalPathMs[number])
		}
		if !phase.Lasting && !phase.Fills {
			e.Work += phase.Count * phase.Cpu * e.TaskMs[number]
		}
	}
	return e
}
