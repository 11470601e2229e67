package cell

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// markPrefix starts the keys of records about endpoints.
const markPrefix = "endpoint/"

// withdrawal is how far the emptying of an endpoint is.
type withdrawal struct {
	// wanted says that the planner wants it empty, until the time given.
	until time.Time
	// recorded says that the stream holds the withdrawal.
	recorded bool
}

func (c *Cell) loadMark(record damsonwinch.Record) error {
	var mark wire.EndpointRecord
	if err := json.Unmarshal(record.Value, &mark); err != nil {
		return fmt.Errorf("read record of %s: %w", record.Key, err)
	}
	e := c.endpointOf(strings.TrimPrefix(record.Key, markPrefix))
	e.withdrawn, e.withdraw.recorded = mark.Withdrawn, mark.Withdrawn
	return nil
}

// dropEndpoint makes the stream forget an endpoint.
func (c *Cell) dropEndpoint(e *endpoint) {
	if e.withdrawn {
		c.commits.marks = append(c.commits.marks, damsonwinch.Record{Key: markPrefix + e.info.ID})
	}
}
