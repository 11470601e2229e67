package node

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
)

// decodeStartTime reads an entry whose value is when the life was born.
func decodeStartTime(record damsonwinch.Record) (damsonwinch.Endpoint, error) {
	born, err := strconv.Atoi(string(record.Value))
	return damsonwinch.Endpoint{Life: damsonwinch.Life{ID: record.Key, StartedUnixMs: born}, Pool: "p", Box: "box-" + record.Key}, err
}

// TestALaterLifeUnderAnIDIsSortedAnew: an order on its box that ended the earlier life takes it to
// another shard, where the earlier one was to its end. The newest entry is the one that counts,
// whichever life was born later by its own clock.
func TestALaterLifeUnderAnIDIsSortedAnew(t *testing.T) {
	layout := shard.NewLayout(4, []string{"p"})
	home := layout.BoxShard("box-a")
	away := (home + 1) % layout.Shards
	at := func(ms int) time.Time { return time.UnixMilli(1_700_000_000_000 + int64(ms)) }
	r, placed := newRegistry(decodeStartTime), newPlacements()
	shown := func(ms, born int) (found damsonwinch.Life, number int) {
		_, _ = r.apply(endpointRecords{records: []damsonwinch.Record{registration("a", strconv.Itoa(born))}, requestedAt: at(ms), receivedAt: at(ms)})
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
	life, number := shown(50, 700)
	assert.Equal(t, life, damsonwinch.Life{ID: "a", StartedUnixMs: 700})
	assert.Equal(t, number, home)

	ended := damsonwinch.Life{ID: "a", StartedUnixMs: 700}
	_ = placed.apply(placementRecords{records: []damsonwinch.Record{orderRecord(t, "box-a", "p", ended.String(), home, away)}, end: 1, requestedAt: at(200)})
	_, number = shown(210, 700)
	assert.Equal(t, number, home, "to its end it stays where it is")
	life, number = shown(190, 600)
	assert.Equal(t, life, damsonwinch.Life{ID: "a", StartedUnixMs: 600}, "its box's clock was set back")
	assert.Equal(t, number, away)
}
