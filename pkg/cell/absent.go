package cell

import (
	"fmt"

	"damsonwinch/pkg/wire"
)

// noteAbsent counts and logs that a call asks for a job that this cell doesn't have, or doesn't show to the
// client. The line says how old the last confirmation of this owner's claim is: a job that a newer owner has
// accepted is missing here, too.
func (c *Cell) noteAbsent(call string, args wire.JobArgs) {
	c.stats.JobsAbsent++
	c.effects.LogLines = append(c.effects.LogLines, LogLine{
		Message: "no such job", Queue: args.Queue, Job: args.Id,
		Reason: fmt.Sprintf("%s by configuration %d; token %d, last confirmed %d ms ago", call, args.ConfigVersion, c.token, c.now.Sub(c.confirmedAt).Milliseconds()),
	})
}
