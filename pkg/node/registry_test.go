package node

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
)

var errSpoilt = errors.New("spoilt")

// decodeEntry reads an entry whose value is the endpoint's pool.
func decodeEntry(record damsonwinch.Record) (damsonwinch.Endpoint, error) {
	if string(record.Value) == "?" {
		return damsonwinch.Endpoint{}, errSpoilt
	}
	return damsonwinch.Endpoint{ID: record.Key, Pool: string(record.Value), Box: "box-" + record.Key}, nil
}

func entry(id, pool string) damsonwinch.Record {
	return damsonwinch.Record{Key: id, Value: []byte(pool)}
}

func idsOf(endpoints []damsonwinch.Endpoint) []string {
	ids := []string{}
	for _, endpoint := range endpoints {
		ids = append(ids, endpoint.ID)
	}
	return ids
}

// TestASpoiltEntryNamesNoEndpointToUse and the others hold: the one that was there before
// under its name is used no more until it can be read again.
func TestASpoiltEntryNamesNoEndpointToUse(t *testing.T) {
	r := newRegistry(decodeEntry)
	one := shard.New(1, nil)
	changed, refused := r.take(endpointRecords{snapshot: true, records: []damsonwinch.Record{entry("a", "p"), entry("b", "?"), entry("c", "p")}})
	assert.Assert(t, changed)
	assert.Equal(t, len(refused), 1)
	assert.DeepEqual(t, idsOf(r.of("p", one)), []string{"a", "c"})

	changed, refused = r.take(endpointRecords{records: []damsonwinch.Record{entry("a", "?"), entry("b", "?")}})
	assert.Assert(t, changed)
	assert.Equal(t, len(refused), 1, "only what is new is told")
	assert.DeepEqual(t, idsOf(r.of("p", one)), []string{"c"})

	changed, refused = r.take(endpointRecords{records: []damsonwinch.Record{entry("a", "?")}})
	assert.Assert(t, !changed && len(refused) == 0)

	changed, _ = r.take(endpointRecords{records: []damsonwinch.Record{entry("a", "p"), entry("b", "")}})
	assert.Assert(t, changed)
	assert.DeepEqual(t, idsOf(r.of("p", one)), []string{"a", "c"})
}

// TestAnEntryIsAsOldAsTheReadingThatBroughtIt, also where it tells nothing new.
func TestAnEntryIsAsOldAsTheReadingThatBroughtIt(t *testing.T) {
	r := newRegistry(decodeEntry)
	first := time.UnixMilli(1_700_000_000_000)
	_, _ = r.take(endpointRecords{snapshot: true, records: []damsonwinch.Record{entry("a", "p"), entry("b", "p")}, askedAt: first})
	changed, _ := r.take(endpointRecords{records: []damsonwinch.Record{entry("b", "p")}, askedAt: first.Add(time.Second)})
	assert.Assert(t, !changed)
	found := r.of("p", shard.New(1, nil))
	assert.Equal(t, found[0].SeenAt, first)
	assert.Equal(t, found[1].SeenAt, first.Add(time.Second))
}

// TestOwnersAreToldWhatIsNewOfAnEndpoint and not each time that it writes its entry.
func TestOwnersAreToldWhatIsNewOfAnEndpoint(t *testing.T) {
	before := damsonwinch.Endpoint{ID: "a", Pool: "p", Address: "x", Zone: "z", Box: "b", Labels: []string{"l"}, Capacity: damsonwinch.Resources{CPU: 1}}
	for name, change := range map[string]func(*damsonwinch.Endpoint){
		"pool": func(e *damsonwinch.Endpoint) { e.Pool = "q" }, "address": func(e *damsonwinch.Endpoint) { e.Address = "y" },
		"zone": func(e *damsonwinch.Endpoint) { e.Zone = "y" }, "box": func(e *damsonwinch.Endpoint) { e.Box = "c" },
		"labels": func(e *damsonwinch.Endpoint) { e.Labels = nil }, "capacity": func(e *damsonwinch.Endpoint) { e.Capacity.CPU = 2 },
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
