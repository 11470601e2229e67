// Package job validates job specifications and derives properties from them, such as the critical
// path. Its functions are pure.
package job

import (
	"fmt"

	"damsonwinch/pkg/wire"
)

// Limits of one job.
const (
	// MaxTextBytes is the platform's limit for the text of a job, in bytes.
	MaxTextBytes = 4000
	// MaxPhases and MaxTasks keep one job from using up the memory of the node that owns its
	// cell, where a task takes about 300 bytes. The largest jobs that users have specified have
	// 5 phases of 32 tasks.
	MaxPhases = 256
	MaxTasks  = 20_000
	// MaxRounds is the maximum number of repetitions of a repeated job.
	MaxRounds = 1_000_000
)

// Check returns an error that describes the first violation of a rule in spec, or nil.
func Check(spec wire.JobSpec) error {
	if len(spec.Text) > MaxTextBytes {
		return fmt.Errorf("the job's text has %d bytes; at most %d are taken", len(spec.Text), MaxTextBytes)
	}
	if len(spec.Phases) == 0 || len(spec.Phases) > MaxPhases {
		return fmt.Errorf("the job has %d phases; allowed are 1 to %d", len(spec.Phases), MaxPhases)
	}
	if spec.Rounds < 0 || spec.Rounds > MaxRounds || spec.EveryMs < 0 || spec.FirstMs < 0 {
		return fmt.Errorf("the job's times are out of range: first %d ms, every %d ms, %d rounds", spec.FirstMs, spec.EveryMs, spec.Rounds)
	}
	tasks := 0
	for number, phase := range spec.Phases {
		if err := checkPhase(number, phase); err != nil {
			return err
		}
		tasks += phase.Count
	}
	if tasks > MaxTasks {
		return fmt.Errorf("the job has %d tasks; at most %d are taken", tasks, MaxTasks)
	}
	return nil
}

// checkPhase returns an error that describes the first violation of a rule in a phase, or nil. number
// is the index of the phase in its job.
func checkPhase(number int, phase wire.Phase) error {
	if phase.Count < 1 {
		return fmt.Errorf("phase %d has %d tasks; at least 1 is needed", number, phase.Count)
	}
	if phase.Cpu < 0 || phase.MemoryMb < 0 || phase.Gpu < 0 || phase.MostPerBox < 0 {
		return fmt.Errorf("phase %d asks for a negative amount", number)
	}
	for _, earlier := range phase.After {
		// Only earlier phases may be named, which rules out dependency cycles.
		if earlier < 0 || earlier >= number {
			return fmt.Errorf("phase %d waits for phase %d; it can only wait for earlier phases", number, earlier)
		}
	}
	return nil
}

// TotalTasks returns the number of tasks in all rounds of a job.
func TotalTasks(spec wire.JobSpec) int {
	count := 0
	for _, phase := range spec.Phases {
		count += phase.Count
	}
	return Rounds(spec) * count
}

// TasksTogether returns how many tasks of a job must be able to run at the same time: all long-running tasks of all
// rounds, which don't end by themselves, and beside them the largest gang or a single task.
func TasksTogether(spec wire.JobSpec) int {
	longRunning, largest := 0, 1
	for _, phase := range spec.Phases {
		if phase.Lasting {
			longRunning += phase.Count
		}
		if phase.Gang {
			largest = max(largest, phase.Count)
		}
	}
	return Rounds(spec)*longRunning + largest
}

// IsLongRunning reports whether a job has tasks that run until the job is cancelled.
func IsLongRunning(spec wire.JobSpec) bool {
	for _, phase := range spec.Phases {
		if phase.Lasting {
			return true
		}
	}
	return false
}
