package node

import (
	"slices"
	"time"

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
	// lives holds to which shard each life that has been listed belongs.
	lives map[damsonwinch.Life]life
	// complete says that all that are listed have been read.
	complete bool
	// readAt is when the first reading had come, zero before.
	readAt time.Time
}

// life is a life of an endpoint's, which belongs to one shard to its end.
type life struct {
	// sorted says that its shard is known.
	sorted bool
	shard  int
	// seenAt is when it was first seen: orders that led to it are in the planner's stream
	// since before.
	seenAt time.Time
}

func newRegistry(decode func(damsonwinch.Record) (damsonwinch.Endpoint, error)) registry {
	return registry{decode: decode, endpoints: map[string]damsonwinch.Endpoint{}, spoilt: map[string]bool{}, lives: map[damsonwinch.Life]life{}}
}

// forget drops all that is known.
func (r *registry) forget() {
	clear(r.endpoints)
	clear(r.spoilt)
	clear(r.lives)
	r.complete, r.readAt = false, time.Time{}
}

// take takes records of entries. It says whether owners have something new to learn of the
// endpoints, and returns why entries were refused that were not before: an endpoint writes
// one each second or two.
func (r *registry) take(m endpointRecords) (changed bool, refused []error) {
	if r.readAt.IsZero() {
		r.readAt = m.takenAt
	}
	if m.snapshot {
		clear(r.endpoints)
		clear(r.spoilt)
		r.complete, changed = true, true
		defer r.dropLives()
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
			if _, seen := r.lives[after.Life]; !seen {
				r.lives[after.Life] = life{seenAt: m.takenAt}
			}
			changed = changed || !known || differs(before, after)
		}
		delete(r.spoilt, record.Key)
	}
	return changed, refused
}

// differs says whether an entry tells owners something new.
func differs(before, after damsonwinch.Endpoint) bool {
	return before.Life != after.Life || before.Draining != after.Draining || before.Address != after.Address || before.Pool != after.Pool || before.Zone != after.Zone ||
		before.Box != after.Box || before.Capacity != after.Capacity || !slices.Equal(before.Labels, after.Labels)
}

// dropLives forgets the lives that aren't listed any more.
func (r *registry) dropLives() {
	for named := range r.lives {
		if r.endpoints[named.ID].Life != named && !r.spoilt[named.ID] {
			delete(r.lives, named)
		}
	}
}

// sort sorts the lives in some pools by their shards, those for which the placements read are
// new enough. It says whether any were, and whether others wait for newer placements.
func (r *registry) sort(layout shard.Layout, pools map[string]bool, placed *placements) (sorted, waiting bool) {
	if !layout.Sharded() {
		return false, false
	}
	for named, l := range r.lives {
		endpoint := r.endpoints[named.ID]
		switch {
		case l.sorted || endpoint.Life != named || !pools[endpoint.Pool]:
		case placed.readAt.Before(l.seenAt):
			waiting = true
		default:
			l.sorted, l.shard = true, layout.LifeShard(endpoint.Box, endpoint.Pool, named, placed.of(endpoint.Box))
			r.lives[named] = l
			sorted = true
		}
	}
	return sorted, waiting
}

// told says whether owners can be told of the endpoints: those that were listed at first have
// been sorted, so that no owner takes the others for all there are.
func (r *registry) told(layout shard.Layout, placed *placements) bool {
	return !layout.Sharded() || !r.readAt.IsZero() && !placed.readAt.Before(r.readAt)
}

// of returns the endpoints of a cell.
func (r *registry) of(cell string, layout shard.Layout) []damsonwinch.Endpoint {
	var found []damsonwinch.Endpoint
	pool, number := shard.ParseCellName(cell)
	for _, endpoint := range r.endpoints {
		if endpoint.Pool == pool && r.isIn(endpoint.Life, number, layout) {
			found = append(found, endpoint)
		}
	}
	slices.SortFunc(found, func(a, b damsonwinch.Endpoint) int { return a.Life.Compare(b.Life) })
	return found
}

// isIn says whether a life belongs to a shard.
func (r *registry) isIn(named damsonwinch.Life, number int, layout shard.Layout) bool {
	if !layout.Sharded() {
		return number == 0
	}
	found := r.lives[named]
	return found.sorted && found.shard == number
}
