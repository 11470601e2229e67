package node

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
)

// decodeStartTime decodes a registration whose value is the start time of the life.
func decodeStartTime(record damsonwinch.Record) (damsonwinch.Endpoint, error) {
	startedUnixMs, err := strconv.Atoi(string(record.Value))
	return damsonwinch.Endpoint{Life: damsonwinch.Life{ID: record.Key, StartedUnixMs: startedUnixMs}, Pool: "p", Box: "box-" + record.Key}, err
}

// An order ends a life and assigns its box to another shard. The life belongs to the old shard until its end,
// and the next life of the same ID belongs to the new shard. The next life is the one that was registered last,
// even if its start time, by the clock of its box, is the earlier one.
func TestLaterLifeOfAnIDIsAssignedAgain(t *testing.T) {
	layout := shard.New(4, []string{"p"})
	oldShard := layout.BoxShard("box-a")
	newShard := (oldShard + 1) % layout.Shards
	at := func(ms int) time.Time { return time.UnixMilli(1_700_000_000_000 + int64(ms)) }
	r, placed := newRegistry(decodeStartTime), newPlacements()
	registerAndFind := func(ms, startedUnixMs int) (found damsonwinch.Life, number int) {
		_, _ = r.apply(endpointRecords{records: []damsonwinch.Record{registration("a", strconv.Itoa(startedUnixMs))}, requestedAt: at(ms), receivedAt: at(ms)})
		_, _ = r.assignShards(layout, map[string]bool{"p": true}, &placed)
		for number := range layout.Shards {
			if listed := r.cellEndpoints(shard.CellName("p", number), layout); len(listed) > 0 {
				assert.Equal(t, len(listed), 1)
				return listed[0].Life, number
			}
		}
		return damsonwinch.Life{}, -1
	}

	_ = placed.apply(placementRecords{snapshot: true, requestedAt: at(100)})
	life, number := registerAndFind(50, 700)
	assert.Equal(t, life, damsonwinch.Life{ID: "a", StartedUnixMs: 700})
	assert.Equal(t, number, oldShard)

	ended := damsonwinch.Life{ID: "a", StartedUnixMs: 700}
	_ = placed.apply(placementRecords{records: []damsonwinch.Record{orderRecord(t, "box-a", "p", ended.String(), oldShard, newShard)}, end: 1, requestedAt: at(200)})
	_, number = registerAndFind(210, 700)
	assert.Equal(t, number, oldShard, "a life stays in its shard until it ends")
	life, number = registerAndFind(190, 600)
	assert.Equal(t, life, damsonwinch.Life{ID: "a", StartedUnixMs: 600}, "the latest registration counts, although the clock of its box was set back")
	assert.Equal(t, number, newShard)
}
