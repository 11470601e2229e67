package fairshare

// order ranks the jobs over their customers' shares by start-time fair queueing: what the customers
// within their shares leave unused goes to the others in proportion to their weights, measured in
// work. A job's rank is a virtual time, the later of the rank of the newest job that has begun and the
// end of the customer's previous job.
type order struct {
	// now is the highest rank of a job that has begun.
	now float64
	// ends holds, by customer, the rank at which its last job ends. Customers whose entry is not after
	// now are removed.
	ends map[string]float64
}

// next returns the rank of a customer's next job.
func (o *order) next(name string) float64 {
	return max(o.now, o.ends[name])
}

// add adds a job of the given rank.
func (o *order) add(name string, rank float64, work, weight int) {
	if o.ends == nil {
		o.ends = map[string]float64{}
	}
	o.ends[name] = max(rank, o.ends[name]) + cost(work, weight)
}

// remove takes back the work of a job that has not begun in time. Otherwise a customer of whose jobs
// many are late would get nothing until the others' ranks have reached its own: in trials with three
// overloaded customers, the least served one got 0.06 of its part instead of 0.9.
func (o *order) remove(name string, work, weight int) {
	if end, known := o.ends[name]; known {
		o.ends[name] = end - cost(work, weight)
	}
}

// cost returns by how much a job puts off its customer's next one. A customer without a weight gets as
// much of the rest as one with the smallest weight.
func cost(work, weight int) float64 {
	return float64(max(1, work)) / float64(max(1, weight))
}

// begin notes that a job of the given rank has begun.
func (o *order) begin(rank float64) {
	if rank <= o.now {
		return
	}
	o.now = rank
	for name, end := range o.ends {
		if end <= rank {
			delete(o.ends, name)
		}
	}
}
