package node

import (
	"slices"
	"strings"

	"damsonwinch"
	"damsonwinch/pkg/shard"
)

// registry is the endpoints that the platform lists.
type registry struct {
	decode func(damsonwinch.Record) (damsonwinch.Endpoint, error)
	// endpoints holds those that may be used, by their IDs.
	endpoints map[string]damsonwinch.Endpoint
	// spoilt holds the IDs of entries that name no endpoint to use.
	spoilt map[string]bool
	// complete says that all that are listed have been read.
	complete bool
}

func newRegistry(decode func(damsonwinch.Record) (damsonwinch.Endpoint, error)) registry {
	return registry{decode: decode, endpoints: map[string]damsonwinch.Endpoint{}, spoilt: map[string]bool{}}
}

// forget drops all that is known.
func (r *registry) forget() {
	clear(r.endpoints)
	clear(r.spoilt)
	r.complete = false
}

// take takes records of entries. It says whether owners have something new to learn of the
// endpoints, and returns why entries were refused that were not before: an endpoint writes
// one each second or two.
func (r *registry) take(m endpointRecords) (changed bool, refused []error) {
	if m.snapshot {
		r.forget()
		r.complete, changed = true, true
	}
	for _, record := range m.records {
		before, known := r.endpoints[record.Key]
		after, err := r.decode(record)
		if err != nil || after.Pool == "" {
			delete(r.endpoints, record.Key)
			changed = changed || known
		}
		switch {
		case err != nil:
			if !r.spoilt[record.Key] {
				refused = append(refused, err)
			}
			r.spoilt[record.Key] = true
			continue
		case after.Pool != "":
			after.SeenAt = m.askedAt
			r.endpoints[record.Key] = after
			changed = changed || !known || differs(before, after)
		}
		delete(r.spoilt, record.Key)
	}
	return changed, refused
}

// differs says whether an entry tells owners something new.
func differs(before, after damsonwinch.Endpoint) bool {
	return before.Draining != after.Draining || before.Address != after.Address || before.Pool != after.Pool || before.Zone != after.Zone ||
		before.Box != after.Box || before.Capacity != after.Capacity || !slices.Equal(before.Labels, after.Labels)
}

// of returns the endpoints of a cell.
func (r *registry) of(cell string, layout shard.Layout) []damsonwinch.Endpoint {
	var found []damsonwinch.Endpoint
	pool, number := shard.Split(cell)
	for _, endpoint := range r.endpoints {
		if endpoint.Pool == pool && layout.OfBox(endpoint.Box) == number {
			found = append(found, endpoint)
		}
	}
	slices.SortFunc(found, func(a, b damsonwinch.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return found
}
