package cell

import "damsonwinch"

// KnownRun is a run that may exist, as far as a cell knows, on the endpoint to which it is assigned.
type KnownRun struct {
	run      *run
	endpoint *endpoint
}

// AppendRuns appends the runs that may exist to a slice, in the order of their lives and starts.
func (c *Cell) AppendRuns(runs []KnownRun) []KnownRun {
	for _, e := range c.sortedEndpoints {
		for _, r := range e.runsByStart {
			runs = append(runs, KnownRun{run: r, endpoint: e})
		}
	}
	return runs
}

// ID returns the run's identity as endpoints know it.
func (k KnownRun) ID() damsonwinch.Run {
	return k.run.id()
}

// Life returns the life of the endpoint.
func (k KnownRun) Life() damsonwinch.Life {
	return k.endpoint.info.Life
}

// IsSameRun reports whether k and other are the same run, on the same endpoint or on two.
func (k KnownRun) IsSameRun(other KnownRun) bool {
	return k.run == other.run
}
