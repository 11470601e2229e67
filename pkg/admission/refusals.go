package admission

import "time"

const (
	// refusalRetention is how long a refused job is remembered. A client gives up after four retries,
	// none of which is told to wait longer than maxRetryAfter plus maxRetrySpread.
	refusalRetention = maxRetryAfter + maxRetrySpread + time.Second
	// maxRefusals bounds the memory. Beyond it, refused jobs are treated as new when they come back.
	maxRefusals = 4096
)

// Refusals remembers the refused jobs whose clients may come back. The zero value is ready for use. It
// is not safe for concurrent use.
type Refusals struct {
	byID map[string]refusal
	// counts holds, by customer, the number of its jobs in byID. order holds them from the oldest
	// refusal on; entries that are not the newest of their job are outdated.
	counts map[string]int
	order  []expiry
}

type refusal struct {
	customer string
	rank     float64
	at       time.Time
}

type expiry struct {
	id string
	at time.Time
}

// Add notes that a job has been refused. rank is its rank among the jobs over their customers' shares.
func (r *Refusals) Add(now time.Time, job Job, rank float64) {
	r.expire(now)
	if r.byID == nil {
		r.byID, r.counts = map[string]refusal{}, map[string]int{}
	}
	r.Remove(job.ID)
	if len(r.order) >= maxRefusals {
		return
	}
	r.byID[job.ID] = refusal{customer: job.Customer, rank: rank, at: now}
	r.counts[job.Customer]++
	r.order = append(r.order, expiry{id: job.ID, at: now})
}

// Rank returns the rank of a job that comes back, or else the given rank. A job keeps the rank of its
// first refusal, so that it goes before those that have arrived since.
func (r *Refusals) Rank(id string, rank float64) float64 {
	if earlier, refused := r.byID[id]; refused {
		return min(rank, earlier.rank)
	}
	return rank
}

// Has reports whether the job has been refused and its client may come back.
func (r *Refusals) Has(id string) bool {
	_, refused := r.byID[id]
	return refused
}

// Remove forgets a job, because it has been accepted.
func (r *Refusals) Remove(id string) {
	earlier, refused := r.byID[id]
	if !refused {
		return
	}
	delete(r.byID, id)
	if r.counts[earlier.customer]--; r.counts[earlier.customer] == 0 {
		delete(r.counts, earlier.customer)
	}
}

// Count returns the number of a customer's refused jobs that have not come back.
func (r *Refusals) Count(now time.Time, customer string) int {
	r.expire(now)
	return r.counts[customer]
}

// expire forgets the jobs that were refused too long ago.
func (r *Refusals) expire(now time.Time) {
	for len(r.order) > 0 && now.Sub(r.order[0].at) > refusalRetention {
		oldest := r.order[0]
		r.order = r.order[1:]
		if r.byID[oldest.id].at.Equal(oldest.at) {
			r.Remove(oldest.id)
		}
	}
}
