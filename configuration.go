package damsonwinch

import (
	"context"
	"time"

	"damsonwinch/pkg/wire"
)

// AdviceTimes says how long the advice service takes for a queue's phases.
type AdviceTimes struct {
	// CallTime is the time of one call, and Each the time that every named
	// endpoint adds.
	CallTime        time.Duration
	TimePerEndpoint time.Duration
	// PermitTTL is how long a permit holds.
	PermitTTL time.Duration
}

// Queue is a route by which clients hand in jobs.
type Queue struct {
	Name string
	// Host and Prefix are how clients address it.
	Host       string
	PathPrefix string
	// Pool is the service whose endpoints run its tasks.
	Pool string
	// Priority 0 comes first.
	Priority int
	// MaxAttempts is the number of failed attempts at a task that fail its job.
	MaxAttempts int
	// DeadlineFactor times the longest chain of work, plus Target, is the time in
	// which a job should be done.
	DeadlineFactor float64
	TargetLatency  time.Duration
	// Timeout is how long a call on the queue may take.
	Timeout time.Duration
	// Advice is set where only some endpoints may run a phase.
	Advice *AdviceTimes
	// Public says that its calls need no key.
	Public bool
}

// Pool is a service with the boxes that run its tasks.
type Pool struct {
	Name string
	// RejectsOverload says that its endpoints refuse what doesn't fit.
	RejectsOverload bool
	// PoweredOff says that its boxes are off and cost nothing.
	PoweredOff bool
}

// Limits bound clients' calls.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is what the operator has put in force, whole.
type Configuration struct {
	Version int
	Queues  []Queue
	Pools   []Pool
	// Customers are those whose keys are asked for on queues that are not public.
	Customers []Customer
	Limits    Limits
	// Problems say what of the operator's record is not in force, and why.
	Problems []string
}

// Queue returns a queue by its name.
func (c Configuration) Queue(name string) (Queue, bool) {
	for _, queue := range c.Queues {
		if queue.Name == name {
			return queue, true
		}
	}
	return Queue{}, false
}

// Pool returns a pool by its name.
func (c Configuration) Pool(name string) (Pool, bool) {
	for _, pool := range c.Pools {
		if pool.Name == name {
			return pool, true
		}
	}
	return Pool{}, false
}

// Wave is an operator's request to maintain boxes.
type Wave struct {
	Number int
	Boxes  []string
	// Duration is the time in which all of them should be done.
	Duration time.Duration
	// MaxDown is how many may be down for it at once.
	MaxDown int
	// Offset is where the store has the request.
	Offset int
}

// JobService takes clients' calls on jobs. Each call ends when the context does.
type JobService interface {
	// Submit hands in a job; only the outcome "accepted" promises that it is kept,
	// and "refused" that it never runs.
	Submit(ctx context.Context, args wire.JobArgs) wire.JobReply
	// Show tells a job's state.
	Show(ctx context.Context, args wire.JobArgs) wire.JobReply
	// Cancel ends a job for good.
	Cancel(ctx context.Context, args wire.JobArgs) wire.JobReply
	// Pending counts the jobs of a queue that have not begun.
	Pending(ctx context.Context, args wire.JobArgs) wire.JobReply
}
