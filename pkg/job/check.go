// Package job holds what follows from a job's text alone: whether it makes sense,
// and how long it should take. It is pure.
package job

import (
	"fmt"
	"time"

	"damsonwinch/pkg/wire"
)

// Limits of a job.
const (
	// MaxTextBytes is the platform's limit of a job's text.
	MaxTextBytes = 4000
	// MaxPhases and MostTasks keep one job from taking an owner's memory: a task
	// costs about 300 bytes there. The largest jobs of the users' sheets have 5
	// phases of 32 tasks.
	MaxPhases = 256
	MaxTasks  = 20_000
	// MaxRounds bounds a repeated job.
	MaxRounds = 1_000_000
)

// Check returns what is wrong with a job, or nil.
func Check(spec wire.JobSpec) error {
	if len(spec.Text) > MaxTextBytes {
		return fmt.Errorf("the job's text has %d bytes; at most %d are taken", len(spec.Text), MaxTextBytes)
	}
	if len(spec.Phases) == 0 || len(spec.Phases) > MaxPhases {
		return fmt.Errorf("the job has %d phases; allowed are 1 to %d", len(spec.Phases), MaxPhases)
	}
	if spec.Rounds < 0 || spec.Rounds > MaxRounds || spec.EveryMs < 0 || spec.FirstMs < 0 {
		return fmt.Errorf("the job's times make no sense: first %d ms, every %d ms, %d rounds", spec.FirstMs, spec.EveryMs, spec.Rounds)
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

func checkPhase(number int, phase wire.Phase) error {
	if phase.Count < 1 {
		return fmt.Errorf("phase %d has %d tasks; at least 1 is needed", number, phase.Count)
	}
	if phase.Cpu < 0 || phase.MemoryMb < 0 || phase.Gpu < 0 || phase.MostPerBox < 0 {
		return fmt.Errorf("phase %d asks for less than nothing", number)
	}
	for _, earlier := range phase.After {
		// Only earlier phases may be named, so that no circle can arise.
		if earlier < 0 || earlier >= number {
			return fmt.Errorf("phase %d waits for phase %d; only earlier phases can be waited for", number, earlier)
		}
	}
	return nil
}

// CriticalPath returns the longest chain of estimated work.
func CriticalPath(spec wire.JobSpec) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(spec.Phases))
	for number, phase := range spec.Phases {
		for _, earlier := range phase.After {
			ends[number] = max(ends[number], ends[earlier])
		}
		ends[number] += time.Duration(phase.EstimateMs) * time.Millisecond
		longest = max(longest, ends[number])
	}
	return longest
}

// IsLongRunning says whether a job has tasks that run until it is cancelled.
func IsLongRunning(spec wire.JobSpec) bool {
	for _, phase := range spec.Phases {
		if phase.Lasting {
			return true
		}
	}
	return false
}
