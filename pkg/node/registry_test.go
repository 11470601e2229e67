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

var errInvalid = errors.New("invalid registration")

// decodeRegistration decodes a registration whose value is the endpoint's pool, or "?" if it is invalid.
func decodeRegistration(record damsonwinch.Record) (damsonwinch.Endpoint, error) {
	if string(record.Value) == "?" {
		return damsonwinch.Endpoint{}, errInvalid
	}
	return damsonwinch.Endpoint{Life: damsonwinch.Life{ID: record.Key}, Pool: string(record.Value), Box: "box-" + record.Key}, nil
}

// registration returns a record that decodeRegistration decodes.
func registration(id, pool string) damsonwinch.Record {
	return damsonwinch.Record{Key: id, Value: []byte(pool)}
}

// lifeNames returns the lives of endpoints in text form.
func lifeNames(endpoints []damsonwinch.Endpoint) []string {
	names := []string{}
	for _, endpoint := range endpoints {
		names = append(names, endpoint.Life.String())
	}
	return names
}

// An invalid registration doesn't affect other endpoints. Its endpoint is not used until its registration is
// valid again.
func TestEndpointWithInvalidRegistrationIsNotUsed(t *testing.T) {
	r := newRegistry(decodeRegistration)
	layout := shard.New(1, nil)
	changed, refused := r.apply(endpointRecords{snapshot: true, records: []damsonwinch.Record{registration("a", "p"), registration("b", "?"), registration("c", "p")}})
	assert.Assert(t, changed)
	assert.Equal(t, len(refused), 1)
	assert.DeepEqual(t, lifeNames(r.cellEndpoints("p", layout)), []string{"a", "c"})

	changed, refused = r.apply(endpointRecords{records: []damsonwinch.Record{registration("a", "?"), registration("b", "?")}})
	assert.Assert(t, changed)
	assert.Equal(t, len(refused), 1, "the error of b must not be returned again")
	assert.DeepEqual(t, lifeNames(r.cellEndpoints("p", layout)), []string{"c"})

	changed, refused = r.apply(endpointRecords{records: []damsonwinch.Record{registration("a", "?")}})
	assert.Assert(t, !changed && len(refused) == 0)

	changed, _ = r.apply(endpointRecords{records: []damsonwinch.Record{registration("a", "p"), registration("b", "")}})
	assert.Assert(t, changed)
	assert.DeepEqual(t, lifeNames(r.cellEndpoints("p", layout)), []string{"a", "c"})
}

// Each snapshot holds the invalid registrations again. The log must not have a line for each of them each time.
func TestInvalidRegistrationIsReportedOnce(t *testing.T) {
	r := newRegistry(decodeRegistration)
	invalid := []damsonwinch.Record{registration("a", "?"), registration("b", "p")}
	reported := 0
	for range 5 {
		_, refused := r.apply(endpointRecords{snapshot: true, records: invalid})
		reported += len(refused)
		r.reset() // The node reads nothing for a while.
	}
	assert.Equal(t, reported, 1)

	_, _ = r.apply(endpointRecords{snapshot: true, records: []damsonwinch.Record{registration("b", "p")}})
	_, refused := r.apply(endpointRecords{records: invalid})
	assert.Equal(t, len(refused), 1, "it is invalid again")
}

// SeenAt of an endpoint is the time of the latest read that returned its registration, even if the registration
// has not changed.
func TestRegistrationIsAsOldAsItsLatestRead(t *testing.T) {
	r := newRegistry(decodeRegistration)
	firstRead := time.UnixMilli(1_700_000_000_000)
	_, _ = r.apply(endpointRecords{snapshot: true, records: []damsonwinch.Record{registration("a", "p"), registration("b", "p")}, requestedAt: firstRead})
	changed, _ := r.apply(endpointRecords{records: []damsonwinch.Record{registration("b", "p")}, requestedAt: firstRead.Add(time.Second)})
	assert.Assert(t, !changed)
	endpoints := r.cellEndpoints("p", shard.New(1, nil))
	assert.Equal(t, endpoints[0].SeenAt, firstRead)
	assert.Equal(t, endpoints[1].SeenAt, firstRead.Add(time.Second))
}

// Owners need to know every change of a registration, but not that it was written again without a change.
func TestDiffersFindsEveryChangeOfARegistration(t *testing.T) {
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
		assert.Assert(t, before.Differs(after), name)
	}
	later := before
	later.Offset = 7
	assert.Assert(t, !before.Differs(later))
}

// orderRecord returns the planner's record of an order that ends a life on a box and takes the box from one shard
// of a pool to another.
func orderRecord(t *testing.T, box, pool, endedLife string, fromShard, toShard int) damsonwinch.Record {
	t.Helper()
	value, err := json.Marshal(wire.OrderRecord{Box: box, Pool: pool, Endpoint: endedLife, Placement: &wire.PlacementRecord{Shard: toShard, Before: fromShard}})
	assert.NilError(t, err)
	return damsonwinch.Record{Key: "order/" + box, Value: value}
}

// The planner records an order on a box before the next life on the box starts. If a node assigned a life by
// placements that it read before it first saw the life, two nodes could assign the life to different shards.
func TestLifeIsAssignedByPlacementsNewerThanItself(t *testing.T) {
	layout := shard.New(4, []string{"p"})
	oldShard := layout.BoxShard("box-a")
	newShard := (oldShard + 1) % layout.Shards
	at := func(ms int) time.Time { return time.UnixMilli(1_700_000_000_000 + int64(ms)) }
	r, placed := newRegistry(decodeRegistration), newPlacements()
	pools := map[string]bool{"p": true}
	register := func(ms int, id string) {
		_, _ = r.apply(endpointRecords{snapshot: true, records: []damsonwinch.Record{registration(id, "p")}, requestedAt: at(ms - 10), receivedAt: at(ms)})
	}
	assignedShard := func() int {
		for number := range layout.Shards {
			if len(r.cellEndpoints(shard.CellName("p", number), layout)) > 0 {
				return number
			}
		}
		return -1
	}

	register(100, "a")
	assert.Equal(t, len(placed.apply(placementRecords{snapshot: true, requestedAt: at(50)})), 0)
	assigned, waiting := r.assignShards(layout, pools, &placed)
	assert.Assert(t, !assigned && waiting, "the placements were read before the life was first seen")
	assert.Assert(t, !r.readyForOwners(layout, &placed))

	_ = placed.apply(placementRecords{records: []damsonwinch.Record{orderRecord(t, "box-a", "p", "", oldShard, newShard)}, end: 2, requestedAt: at(120)})
	assigned, waiting = r.assignShards(layout, pools, &placed)
	assert.Assert(t, !assigned && waiting, "not all placements have been read")

	_ = placed.apply(placementRecords{records: []damsonwinch.Record{{Key: "wave/1"}}, end: 2, requestedAt: at(130)})
	assigned, waiting = r.assignShards(layout, pools, &placed)
	assert.Assert(t, assigned && !waiting && r.readyForOwners(layout, &placed))
	assert.Equal(t, assignedShard(), newShard)

	// An order that ends this life doesn't change its shard, even if the life is listed again after it.
	_ = placed.apply(placementRecords{records: []damsonwinch.Record{orderRecord(t, "box-a", "p", "a", newShard, oldShard)}, end: 3, requestedAt: at(200)})
	register(210, "a")
	_, waiting = r.assignShards(layout, pools, &placed)
	assert.Assert(t, !waiting)
	assert.Equal(t, assignedShard(), newShard)
	restarted := newRegistry(decodeRegistration)
	r = restarted
	register(190, "a")
	_, _ = r.assignShards(layout, pools, &placed)
	assert.Equal(t, assignedShard(), newShard, "a node that first sees the life after the order must assign it to the same shard")
}

// With one shard there is nothing to assign, so owners get their endpoints without any placements.
func TestOneShardNeedsNoPlacements(t *testing.T) {
	r, placed := newRegistry(decodeRegistration), newPlacements()
	layout := shard.New(1, []string{"p"})
	_, _ = r.apply(endpointRecords{snapshot: true, records: []damsonwinch.Record{registration("a", "p")}, receivedAt: time.UnixMilli(1_700_000_000_000)})
	_, waiting := r.assignShards(layout, map[string]bool{"p": true}, &placed)
	assert.Assert(t, !waiting && r.readyForOwners(layout, &placed))
	assert.DeepEqual(t, lifeNames(r.cellEndpoints("p", layout)), []string{"a"})
}

// Nodes of a fleet with many pools of one shard learn their endpoints from other nodes, too. The lists that these
// published were empty: no life is assigned to a shard there, and owners took their endpoints to be gone.
func TestListsOfOneShardHoldTheEndpoints(t *testing.T) {
	for _, shards := range []int{1, 4} {
		r, placed := newRegistry(decodeRegistration), newPlacements()
		layout := shard.New(shards, []string{"p", "q"})
		_, _ = r.apply(endpointRecords{snapshot: true, records: []damsonwinch.Record{registration("a", "p"), registration("b", "q")}, receivedAt: time.UnixMilli(1_700_000_000_000)})
		_ = placed.apply(placementRecords{snapshot: true, requestedAt: time.UnixMilli(1_700_000_000_001)})
		_, _ = r.assignShards(layout, map[string]bool{"p": true, "q": true}, &placed)
		for _, pool := range []string{"p", "q"} {
			lists, listed := r.allEndpoints(layout.CellNames(pool), layout), []string{}
			for cell, endpoints := range lists {
				assert.DeepEqual(t, lifeNames(endpoints), lifeNames(r.cellEndpoints(cell, layout)))
				listed = append(listed, lifeNames(endpoints)...)
			}
			assert.Equal(t, len(listed), 1, "%d shards, pool %s: %v", shards, pool, lists)
		}
	}
}
