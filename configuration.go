package damsonwinch

import (
	"context"
	"time"

	"damsonwinch/pkg/addressbook"
	"damsonwinch/pkg/wire"
)

// AdviceTimes describes the timing of the advice service for the phases of one queue's jobs.
type AdviceTimes struct {
	// CallTime is how long one call takes, and TimePerEndpoint is how much each endpoint that
	// the call names adds to it.
	CallTime        time.Duration
	TimePerEndpoint time.Duration
	// PermitTTL is how long a permit is valid.
	PermitTTL time.Duration
}

// Queue is an HTTP route on which clients submit jobs, and the rules for these jobs.
type Queue struct {
	Name string
	// Host and PathPrefix select the queue for a client's call.
	Host       string
	PathPrefix string
	// Pool names the service whose endpoints run the queue's tasks.
	Pool string
	// Priority orders queues: 0 is the highest.
	Priority int
	// MaxAttempts is the number of failed attempts at one task after which its job fails.
	MaxAttempts int
	// DeadlineFactor and TargetLatency determine the time within which a job should be done:
	// DeadlineFactor times the critical path, plus TargetLatency. The critical path is the
	// longest chain of dependent work, by the client's estimates.
	DeadlineFactor float64
	TargetLatency  time.Duration
	// Timeout is how long a client's call on the queue may take.
	Timeout time.Duration
	// Advice is set if the advice service decides which endpoints may run a phase, else nil.
	Advice *AdviceTimes
	// Public reports whether calls on the queue need no key.
	Public bool
}

// Address returns what clients know the queue by, as far as jobs are concerned: its name and its pool may change.
func (q Queue) Address() string {
	return addressbook.Address(q.Host, q.PathPrefix)
}

// Pool is a service and the boxes that run its tasks.
type Pool struct {
	Name string
	// RejectsOverload reports whether the service's endpoints reject tasks that exceed their
	// free capacity.
	RejectsOverload bool
	// PoweredOff reports whether the boxes in this pool are switched off and cost nothing.
	PoweredOff bool
}

// Limits bounds the size and the duration of clients' HTTP calls.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one complete version of the operator's configuration.
type Configuration struct {
	Version int
	Queues  []Queue
	Pools   []Pool
	// Customers lists the customers whose keys are accepted on queues that are not public.
	Customers []Customer
	Limits    Limits
	// Problems lists the parts of the operator's record that are not in force, each with the
	// reason.
	Problems []string
}

// Queue returns the queue of the given name, and whether there is one.
func (c Configuration) Queue(name string) (Queue, bool) {
	for _, queue := range c.Queues {
		if queue.Name == name {
			return queue, true
		}
	}
	return Queue{}, false
}

// Pool returns the pool of the given name, and whether there is one.
func (c Configuration) Pool(name string) (Pool, bool) {
	for _, pool := range c.Pools {
		if pool.Name == name {
			return pool, true
		}
	}
	return Pool{}, false
}

// Wave is an operator's request to maintain a set of boxes.
type Wave struct {
	Number int
	Boxes  []string
	// Duration is the time within which all boxes should have been maintained.
	Duration time.Duration
	// MaxDown is how many boxes may be down for the wave at once.
	MaxDown int
	// Offset is the offset of the request's record in its stream.
	Offset int
}

// Evacuation is an operator's request that no task start in an availability zone, or the end of
// that request.
type Evacuation struct {
	Zone string
	// Ended reports whether tasks may start in the zone again.
	Ended bool
	// Offset is the offset of the request's record in its stream.
	Offset int
}

// OperatorRecord is a decoded record of the operator's stream. At most one of its fields is set; none
// is set for a record of an unknown kind.
type OperatorRecord struct {
	Configuration *Configuration
	Wave          *Wave
	// CancelledWave is the number of a wave that the operator has cancelled.
	CancelledWave int
	Evacuation    *Evacuation
}

// JobService handles clients' calls on jobs. A call returns at the latest when its context ends.
type JobService interface {
	// Submit submits a job. Only the outcome "accepted" guarantees that the job is stored,
	// and only "refused" that it never runs.
	Submit(ctx context.Context, args wire.JobArgs) wire.JobReply
	// Show returns a job's state.
	Show(ctx context.Context, args wire.JobArgs) wire.JobReply
	// Cancel ends a job permanently.
	Cancel(ctx context.Context, args wire.JobArgs) wire.JobReply
	// Pending returns the number of a queue's jobs that have not started.
	Pending(ctx context.Context, args wire.JobArgs) wire.JobReply
}
