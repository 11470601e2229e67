package node

import (
	"maps"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/shard"
)

// registry holds the registrations of endpoints, as read from the platform's stream, and the shards of the
// endpoints' lives.
type registry struct {
	decode func(damsonwinch.Record) (damsonwinch.Endpoint, error)
	// endpoints holds the endpoints with a valid registration, by ID.
	endpoints map[string]damsonwinch.Endpoint
	// invalid holds the IDs whose registration is invalid, and reported those of them whose error has been
	// returned. Unlike invalid it remains while no registrations are read, and until the next snapshot.
	invalid, reported map[string]bool
	// lifeShards holds the shard of each registered life.
	lifeShards map[damsonwinch.Life]lifeShard
	// complete is set once all registrations have been read. nextOffset is the offset of the first one that has
	// not been read since.
	complete   bool
	nextOffset int
	// assignedOffset is the newest nextOffset at which no life waited for its shard.
	assignedOffset int
	// requestedAt is when the newest ones were requested from the store.
	requestedAt time.Time
	// firstReadAt is when this node received the first records, or zero before that.
	firstReadAt time.Time
}

// lifeShard is the shard to which a life of an endpoint belongs until the endpoint exits.
type lifeShard struct {
	// known reports whether the shard has been determined.
	known bool
	shard int
	// firstSeenAt is when this node first received a registration of the life. The planner records an
	// order on a box before the next life on the box can start. So a read of placements that is sent
	// after firstSeenAt returns the order, if any, by which this life got its shard.
	firstSeenAt time.Time
}

func newRegistry(decode func(damsonwinch.Record) (damsonwinch.Endpoint, error)) registry {
	return registry{decode: decode, endpoints: map[string]damsonwinch.Endpoint{}, invalid: map[string]bool{}, reported: map[string]bool{}, lifeShards: map[damsonwinch.Life]lifeShard{}}
}

// reset drops all registrations and all shards of lives.
func (r *registry) reset() {
	clear(r.endpoints)
	clear(r.invalid)
	clear(r.lifeShards)
	r.complete, r.firstReadAt = false, time.Time{}
}

// apply applies records of registrations. It reports whether anything has changed that owners need to know, and
// returns the errors of invalid registrations. An endpoint writes its registration every second or two, so the
// error of an ID is returned only when its registration has become invalid.
func (r *registry) apply(m endpointRecords) (changed bool, refused []error) {
	if r.firstReadAt.IsZero() {
		r.firstReadAt = m.receivedAt
	}
	r.requestedAt = m.requestedAt
	if m.snapshot {
		clear(r.endpoints)
		clear(r.invalid)
		r.complete, changed = true, true
		r.nextOffset = m.end
		defer r.dropUnlistedLives()
	} else {
		r.nextOffset += len(m.records)
	}
	for _, record := range m.records {
		before, existed := r.endpoints[record.Key]
		after, err := r.decode(record)
		if err != nil || after.Pool == "" {
			delete(r.endpoints, record.Key)
			changed = changed || existed
		}
		switch {
		case err != nil:
			if !r.reported[record.Key] {
				refused = append(refused, err)
			}
			r.invalid[record.Key], r.reported[record.Key] = true, true
			continue
		case after.Pool != "":
			after.SeenAt = m.requestedAt
			r.endpoints[record.Key] = after
			if _, seen := r.lifeShards[after.Life]; !seen {
				r.lifeShards[after.Life] = lifeShard{firstSeenAt: m.receivedAt}
			}
			changed = changed || !existed || before.Differs(after)
		}
		delete(r.invalid, record.Key)
		delete(r.reported, record.Key)
	}
	if m.snapshot {
		r.reported = maps.Clone(r.invalid)
	}
	return changed, refused
}

// dropUnlistedLives drops the shards of lives that are no longer registered. It keeps those of lives whose
// registration is invalid.
func (r *registry) dropUnlistedLives() {
	for life := range r.lifeShards {
		if r.endpoints[life.ID].Life != life && !r.invalid[life.ID] {
			delete(r.lifeShards, life)
		}
	}
}

// assignShards assigns the new lives in the given pools to their shards. A life that was first seen after the
// placements were read isn't assigned yet. assigned reports whether any life was assigned, and waiting whether
// any life needs newer placements.
func (r *registry) assignShards(layout shard.Layout, pools map[string]bool, boxPlacements *placements) (assigned, waiting bool) {
	if !layout.Sharded() {
		r.assignedOffset = r.nextOffset
		return false, false
	}
	for life, assignment := range r.lifeShards {
		endpoint := r.endpoints[life.ID]
		switch {
		case assignment.known || endpoint.Life != life || !pools[endpoint.Pool]:
		case boxPlacements.upToDateAt.Before(assignment.firstSeenAt):
			waiting = true
		default:
			assignment.known, assignment.shard = true, layout.LifeShard(endpoint.Box, endpoint.Pool, life, boxPlacements.find(endpoint.Box))
			r.lifeShards[life] = assignment
			assigned = true
		}
	}
	if !waiting {
		r.assignedOffset = r.nextOffset
	}
	return assigned, waiting
}

// readyForOwners reports whether owners may be sent their endpoints: all lives that were listed at first have a
// shard. Otherwise an owner would take the endpoints that have one for all endpoints of its cell.
func (r *registry) readyForOwners(layout shard.Layout, boxPlacements *placements) bool {
	return !layout.Sharded() || !r.firstReadAt.IsZero() && !boxPlacements.upToDateAt.Before(r.firstReadAt)
}

// cellEndpoints returns the endpoints of a cell, in the order of their lives.
func (r *registry) cellEndpoints(cell string, layout shard.Layout) []damsonwinch.Endpoint {
	var found []damsonwinch.Endpoint
	pool, number := shard.ParseCellName(cell)
	for _, endpoint := range r.endpoints {
		if endpoint.Pool == pool && r.belongsTo(endpoint.Life, number, layout) {
			found = append(found, endpoint)
		}
	}
	slices.SortFunc(found, func(a, b damsonwinch.Endpoint) int { return a.Life.Compare(b.Life) })
	return found
}

// allEndpoints returns the endpoints of the given cells, by cell.
func (r *registry) allEndpoints(cells []string, layout shard.Layout) map[string][]damsonwinch.Endpoint {
	byCell := make(map[string][]damsonwinch.Endpoint, len(cells))
	for _, cell := range cells {
		byCell[cell] = nil
	}
	for _, endpoint := range r.endpoints {
		number := 0
		if layout.Sharded() {
			assignment := r.lifeShards[endpoint.Life]
			if !assignment.known {
				continue
			}
			number = assignment.shard
		}
		cell := shard.CellName(endpoint.Pool, number)
		if listed, needed := byCell[cell]; needed {
			byCell[cell] = append(listed, endpoint)
		}
	}
	return byCell
}

// belongsTo reports whether a life belongs to the shard of the given number. It returns false while the life's
// shard isn't known.
func (r *registry) belongsTo(life damsonwinch.Life, number int, layout shard.Layout) bool {
	if !layout.Sharded() {
		return number == 0
	}
	assignment := r.lifeShards[life]
	return assignment.known && assignment.shard == number
}
