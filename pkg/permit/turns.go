package permit

// Turns decides in which order the phases of a cell have calls made for them. The zero value has made none.
type Turns struct {
	// renewed is set if the last call was for a phase whose former permits had expired without use.
	renewed bool
	// repeated is set if the last one of the other calls was for a phase that had had a turn before.
	repeated bool
}

// UnusedNext reports whether phases that have let their last permits expire go before the others. They get at most
// every second call: else a few of them could keep the service busy for good.
func (t *Turns) UnusedNext() bool {
	return !t.renewed
}

// RepeatNext reports whether phases that have had a turn go before those of the same urgency that have not had any. They
// get at most every second call, so that they keep no new phase waiting for long, and not fewer, so that a stream of new
// ones doesn't keep them waiting.
func (t *Turns) RepeatNext() bool {
	return !t.repeated
}

// Take notes that the next call is for a phase. It comes before the phase's Asked.
func (t *Turns) Take(p *Permits) {
	t.renewed = p.Unused()
	if !t.renewed {
		t.repeated = p.HadTurn()
	}
}
