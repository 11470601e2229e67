package liveness

import "time"

// refusalLifetime is how long a refused connection counts as proof that the process has exited.
// After that time the group has dropped the member, or the process has been restarted.
const refusalLifetime = 1500 * time.Millisecond

// Refusal is the newest refused connection to a node. The zero value is that of a node that has refused none.
type Refusal struct {
	incarnation int
	at          time.Time
}

// NewRefusal returns the refusal by the address of an incarnation of a node at a time.
func NewRefusal(incarnation int, at time.Time) Refusal {
	return Refusal{incarnation: incarnation, at: at}
}

// ProvesExit reports whether the refusal counts at now as proof that an incarnation of the node has exited.
func (r Refusal) ProvesExit(incarnation int, now time.Time) bool {
	return r.incarnation == incarnation && now.Sub(r.at) < refusalLifetime
}
