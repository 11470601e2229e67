package node

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

var errInvalid = errors.New("spoilt")

// decodeRegistration reads an entry whose value is the endpoint's pool.
func decodeRegistration(record damsonwinch.Record) (damsonwinch.Endpoint, error) {
	if string(record.Value) == "?" {
		return damsonwinch.Endpoint{}, errInvalid
	}
	return damsonwinch.Endpoint{Life: damsonwinch.Life{ID: record.Key}, Pool: string(record.Value), Box: "box-" + record.Key}, nil
}

func registration(id, pool string) damsonwinch.Record {
	return damsonwinch.Record{Key: id, Value: []byte(pool)}
}

func lifeNames(endpoints []damsonwinch.Endpoint) []string {
	ids := []string{}
	for _, endpoint := range endpoints {
		ids = append(ids, endpoint.Life.String())
	}
	return ids
}

// TestASpoiltEntryNamesNoEndpointToUse and the others hold: the one that was there before
// under its name is used no more until it can be read again.
func TestASpoiltEntryNamesNoEndpointToUse(t *testing.T) {
	r := newRegistry(decodeRegistration)
	one := shard.NewLayout(1, nil)
	changed, refused := r.apply(endpointRecords{snapshot: true, records: []damsonwinch.Record{registration("a", "p"), registration("b", "?"), registration("c", "p")}})
	assert.Assert(t, changed)
	assert.Equal(t, len(refused), 1)
	assert.DeepEqual(t, lifeNames(r.cellEndpoints("p", one)), []string{"a", "c"})

	changed, refused = r.apply(endpointRecords{records: []damsonwinch.Record{registration("a", "?"), registration("b", "?")}})
	assert.Assert(t, changed)
	assert.Equal(t, len(refused), 1, "only what is new is told")
	assert.DeepEqual(t, lifeNames(r.cellEndpoints("p", one)), []string{"c"})

	changed, refused = r.apply(endpointRecords{records: []damsonwinch.Record{registration("a", "?")}})
	assert.Assert(t, !changed && len(refused) == 0)

	changed, _ = r.apply(endpointRecords{records: []damsonwinch.Record{registration("a", "p"), registration("b", "")}})
	assert.Assert(t, changed)
	assert.DeepEqual(t, lifeNames(r.cellEndpoints("p", one)), []string{"a", "c"})
}

// TestAnEntryIsAsOldAsTheReadingThatBroughtIt, also where it tells nothing new.
func TestAnEntryIsAsOldAsTheReadingThatBroughtIt(t *testing.T) {
	r := newRegistry(decodeRegistration)
	first := time.UnixMilli(1_700_000_000_000)
	_, _ = r.apply(endpointRecords{snapshot: true, records: []damsonwinch.Record{registration("a", "p"), registration("b", "p")}, requestedAt: first})
	changed, _ := r.apply(endpointRecords{records: []damsonwinch.Record{registration("b", "p")}, requestedAt: first.Add(time.Second)})
	assert.Assert(t, !changed)
	found := r.cellEndpoints("p", shard.NewLayout(1, nil))
	assert.Equal(t, found[0].SeenAt, first)
	assert.Equal(t, found[1].SeenAt, first.Add(time.Second))
}

// TestOwnersAreToldWhatIsNewOfAnEndpoint and not each time that it writes its entry.
func TestOwnersAreToldWhatIsNewOfAnEndpoint(t *testing.T) {
	before := damsonwinch.Endpoint{Life: damsonwinch.Life{ID: "a"}, Pool: "p", Address: "x", Zone: "z", Box: "b", Labels: []string{"l"}, Capacity: damsonwinch.Resources{MilliCPU: 1}}
	for name, change := range map[string]func(*damsonwinch.Endpoint){
		"pool": func(e *damsonwinch.Endpoint) { e.Pool = "q" }, "address": func(e *damsonwinch.Endpoint) { e.Address = "y" },
		"zone": func(e *damsonwinch.Endpoint) { e.Zone = "y" }, "box": func(e *damsonwinch.Endpoint) { e.Box = "c" },
		"labels": func(e *damsonwinch.Endpoint) { e.Labels = nil }, "capacity": func(e *damsonwinch.Endpoint) { e.Capacity.MilliCPU = 2 },
		"life":     func(e *damsonwinch.Endpoint) { e.Life.StartedUnixMs = 2 },
		"draining": func(e *damsonwinch.Endpoint) { e.Draining = true },
	} {
		after := before
		change(&after)
		assert.Assert(t, differs(before, after), name)
	}
	later := before
	later.Offset = 7
	assert.Assert(t, !differs(before, later))
}

// orderRecord is the planner's record of an order that takes a box to a shard of a pool.
func orderRecord(t *testing.T, box, pool, ended string, from, to int) damsonwinch.Record {
	t.Helper()
	value, err := json.Marshal(wire.OrderRecord{Box: box, Pool: pool, Endpoint: ended, Placement: &wire.PlacementRecord{Shard: to, Before: from}})
	assert.NilError(t, err)
	return damsonwinch.Record{Key: "order/" + box, Value: value}
}

// TestALifeIsSortedByPlacementsNewerThanItself: an order is in the planner's stream before the
// life that it leads to, so that of two nodes none counts that life to the shard it came from.
func TestALifeIsSortedByPlacementsNewerThanItself(t *testing.T) {
	layout := shard.NewLayout(4, []string{"p"})
	home := layout.BoxShard("box-a")
	away := (home + 1) % layout.Shards
	at := func(ms int) time.Time { return time.UnixMilli(1_700_000_000_000 + int64(ms)) }
	r, placed := newRegistry(decodeRegistration), newPlacements()
	pools := map[string]bool{"p": true}
	listed := func(ms int, id string) {
		_, _ = r.apply(endpointRecords{snapshot: true, records: []damsonwinch.Record{registration(id, "p")}, requestedAt: at(ms - 10), receivedAt: at(ms)})
	}
	cellOf := func() int {
		for number := range layout.Shards {
			if len(r.cellEndpoints(shard.CellName("p", number), layout)) > 0 {
				return number
			}
		}
		return -1
	}

	listed(100, "a")
	assert.Equal(t, len(placed.apply(placementRecords{snapshot: true, requestedAt: at(50)})), 0)
	sorted, waiting := r.assignShards(layout, pools, &placed)
	assert.Assert(t, !sorted && waiting, "the placements are older than what was first seen")
	assert.Assert(t, !r.readyForOwners(layout, &placed))

	_ = placed.apply(placementRecords{records: []damsonwinch.Record{orderRecord(t, "box-a", "p", "", home, away)}, end: 2, requestedAt: at(120)})
	sorted, waiting = r.assignShards(layout, pools, &placed)
	assert.Assert(t, !sorted && waiting, "not all of the placements have been read")

	_ = placed.apply(placementRecords{records: []damsonwinch.Record{{Key: "wave/1"}}, end: 2, requestedAt: at(130)})
	sorted, waiting = r.assignShards(layout, pools, &placed)
	assert.Assert(t, sorted && !waiting && r.readyForOwners(layout, &placed))
	assert.Equal(t, cellOf(), away)

	// An order that ends this life leaves it where it is, also where it is listed anew.
	_ = placed.apply(placementRecords{records: []damsonwinch.Record{orderRecord(t, "box-a", "p", "a", away, home)}, end: 3, requestedAt: at(200)})
	listed(210, "a")
	_, waiting = r.assignShards(layout, pools, &placed)
	assert.Assert(t, !waiting)
	assert.Equal(t, cellOf(), away)
	fresh := newRegistry(decodeRegistration)
	r = fresh
	listed(190, "a")
	_, _ = r.assignShards(layout, pools, &placed)
	assert.Equal(t, cellOf(), away, "for a node that sees it first after that, too")
}

// TestAFleetInOneShardWaitsForNoPlacements.
func TestAFleetInOneShardWaitsForNoPlacements(t *testing.T) {
	r, placed := newRegistry(decodeRegistration), newPlacements()
	one := shard.NewLayout(1, []string{"p"})
	_, _ = r.apply(endpointRecords{snapshot: true, records: []damsonwinch.Record{registration("a", "p")}, receivedAt: time.UnixMilli(1_700_000_000_000)})
	_, waiting := r.assignShards(one, map[string]bool{"p": true}, &placed)
	assert.Assert(t, !waiting && r.readyForOwners(one, &placed))
	assert.DeepEqual(t, lifeNames(r.cellEndpoints("p", one)), []string{"a"})
}
