package cell

import "time"

const (
	// warmUpTime is how long the cold endpoints of a zone get less than their capacity after the end of
	// its evacuation.
	warmUpTime = 1500 * time.Millisecond
	// warmUpPercent is the part of their CPU that they get at once. The rest follows evenly.
	warmUpPercent = 50
)

// allowsWhileCold reports whether an endpoint that is cold after the evacuation of its zone may get another
// short task. All endpoints of the zone come back at once, so that whole phases would otherwise start on slow
// ones. An endpoint without runs always gets one, however large it is.
func (c *Cell) allowsWhileCold(p *phase, e *endpoint) bool {
	sinceReturn := c.now.Sub(e.zone.returnedAt)
	if !e.info.Cold || p.spec.Lasting || sinceReturn >= warmUpTime || len(e.runs) == 0 {
		return true
	}
	percent := warmUpPercent + (fullPercent-warmUpPercent)*int(sinceReturn.Milliseconds())/int(warmUpTime.Milliseconds())
	return e.used.MilliCPU+p.need().MilliCPU <= e.info.Capacity.MilliCPU*percent/fullPercent
}
